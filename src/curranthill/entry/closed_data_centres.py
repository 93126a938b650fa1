"""Data centres that operators have closed, in which no tasks are started.

Closing a data centre is how operators evacuate it: its running tasks continue,
and none starts there until it is opened again. With a time bound for closings,
a data centre that is not known to be open counts as closed, so a host that has
not read the operators' rows recently starts nothing anywhere. Without a bound,
only data centres that were read as closed count as closed.
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.storage.rows import MalformedRecordError, StoredRow
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Maximum age of the information, as a share of the time in which starts must
#: cease. The rest is left for orders in flight, which time out after 0.6 s.
MAX_AGE_SHARE: Final = 0.6

#: Age of the information of a host that has read nothing yet, in seconds; above
#: every bound.
NEVER_READ_AGE_S: Final = 86_400.0

ClosureDecoder = Callable[[StoredRow], str | None]


class ClosedDataCentre(NamedTuple):
    """A data centre in which no tasks are started.

    :param version: the version of the row that closed it.
    :param seen_s: when this host read the row, in seconds of its clock.
    """

    name: str
    version: int
    seen_s: float


class ClosedDataCentres:
    """The data centres that this host knows to be closed.

    :param read_s: up to when all rows are known, in seconds of the clock.
    :param decode: returns the data centre that a row closes, or nothing for
        other rows; raises :class:`MalformedRecordError` for a closing that
        names none.
    :param cease_s: how many seconds after its closing a data centre may still
        get starts; 0 for no bound.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        decode: ClosureDecoder,
        cease_s: float,
    ) -> None:
        """Initialize with nothing read; with a bound, starts are forbidden."""
        self.closed: dict[str, ClosedDataCentre] = {}
        self._clock = clock
        self._decode = decode
        self._max_age_s = MAX_AGE_SHARE * cease_s if cease_s else math.inf
        self.read_s = clock.monotonic_s() - NEVER_READ_AGE_S
        self._was_current = False

    @property
    def age_s(self) -> float:
        """Return the age of the information, in seconds."""
        return self._clock.monotonic_s() - self.read_s

    def allows_starts(self, data_centre: str) -> bool:
        """Return whether a task may start in a data centre now."""
        return self._is_current() and data_centre not in self.closed

    def confirm(self, until_s: float) -> None:
        """Record that all rows are known up to a time."""
        self.read_s = max(self.read_s, until_s)

    def replace_all(self, rows: tuple[StoredRow, ...]) -> None:
        """Replace all known rows of the operators."""
        present = {self._name_of(row) for row in rows}
        for name in set(self.closed) - present:
            self._open(name)
        self.apply_changes(rows)

    def apply_changes(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply written and removed rows, in order."""
        for row in rows:
            name = self._name_of(row)
            if name is None:
                continue
            if row.removed:
                self._open(name)
            else:
                self._close(name, row)

    def _is_current(self) -> bool:
        current = self.age_s < self._max_age_s
        if current != self._was_current:
            self._was_current = current
            events.log(
                'closures_known' if current else 'closures_unknown',
                closed=sorted(self.closed),
                age_s=round(self.age_s, 2),
            )
        return current

    def _name_of(self, row: StoredRow) -> str | None:
        try:
            return self._decode(row)
        except MalformedRecordError as error:
            events.log(
                'closure_bad',
                key=row.key,
                version=row.version,
                error=error.message,
            )
            metrics.malformed_records.add(1, {'kind': 'closure'})
            return None

    def _close(self, name: str, row: StoredRow) -> None:
        known = self.closed.get(name)
        if known is not None and known.version >= row.version:
            return
        now_s = self._clock.monotonic_s()
        self.closed[name] = ClosedDataCentre(name, row.version, now_s)
        self._report('data_centre_closed', name, row.version)

    def _open(self, name: str) -> None:
        known = self.closed.pop(name, None)
        if known is not None:
            self._report('data_centre_opened', name, known.version)

    def _report(self, event: str, name: str, version: int) -> None:
        events.log(
            event,
            name=name,
            version=version,
            all_closed=sorted(self.closed),
            age_s=round(self.age_s, 2),
        )
        metrics.data_centres_closed.set(len(self.closed))


__all__ = ('ClosedDataCentre', 'ClosedDataCentres', 'ClosureDecoder')
