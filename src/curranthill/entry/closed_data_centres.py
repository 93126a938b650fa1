"""Data centres that operators have closed; nothing new starts there.

Answers an evacuation: what runs in a data centre goes on, and no task starts
there until it is taken back. What is not known to be open counts as closed, so
a host that has not read the operators' rows of late starts nothing anywhere.
Without a bound only what was read as closed counts as closed.
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.storage.rows import MalformedRecordError, StoredRow
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Of the time in which starts must cease, what is known may be this old: the
#: rest is for orders on their way, which are given up after 0.6 s.
KNOWN_SHARE: Final = 0.6

#: How old the knowledge of a host is that has read nothing yet, in seconds:
#: above every bound.
NEVER_READ_AGE_S: Final = 86_400.0

ClosureDecoder = Callable[[StoredRow], str | None]


class ClosedDataCentre(NamedTuple):
    """A data centre in which nothing new starts.

    :param version: that of the row that closed it.
    :param seen_s: when this host learnt of it, in seconds of its clock.
    """

    name: str
    version: int
    seen_s: float


class ClosedDataCentres:
    """Which data centres are closed, as far as this host knows.

    :param read_s: up to when all rows are known, in seconds of the clock.
    :param decode: returns the data centre that a row closes, or nothing for
        other rows; raises :class:`MalformedRecordError` for one that closes
        none that can be told.
    :param cease_s: in how many seconds after its closing no task may start in
        a data centre any more; 0 for no bound, so that only what was read to
        be closed is.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        decode: ClosureDecoder,
        cease_s: float,
    ) -> None:
        """Start with nothing read: with a bound, nothing is allowed."""
        self.closed: dict[str, ClosedDataCentre] = {}
        self._clock = clock
        self._decode = decode
        self._fresh_s = KNOWN_SHARE * cease_s if cease_s else math.inf
        self.read_s = clock.monotonic_s() - NEVER_READ_AGE_S
        self._was_known = False

    @property
    def age_s(self) -> float:
        """Return how old the knowledge is, in seconds."""
        return self._clock.monotonic_s() - self.read_s

    def allows_starts(self, data_centre: str) -> bool:
        """Return whether a task may start in a data centre now."""
        return self._is_known() and data_centre not in self.closed

    def confirm(self, until_s: float) -> None:
        """Take note that all rows are known up to a moment."""
        self.read_s = max(self.read_s, until_s)

    def replace_all(self, rows: tuple[StoredRow, ...]) -> None:
        """Take the operators' rows in place of all before."""
        present = {self._name_of(row) for row in rows}
        for name in set(self.closed) - present:
            self._open(name)
        self.apply_changes(rows)

    def apply_changes(self, rows: tuple[StoredRow, ...]) -> None:
        """Take rows that were written or removed, in order."""
        for row in rows:
            name = self._name_of(row)
            if name is None:
                continue
            if row.removed:
                self._open(name)
            else:
                self._close(name, row)

    def _is_known(self) -> bool:
        known = self.age_s < self._fresh_s
        if known != self._was_known:
            self._was_known = known
            events.log(
                'closures_known' if known else 'closures_unknown',
                closed=sorted(self.closed),
                age_s=round(self.age_s, 2),
            )
        return known

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
            metrics.records_bad.add(1, {'kind': 'closure'})
            return None

    def _close(self, name: str, row: StoredRow) -> None:
        known = self.closed.get(name)
        if known is not None and known.version >= row.version:
            return
        now_s = self._clock.monotonic_s()
        self.closed[name] = ClosedDataCentre(name, row.version, now_s)
        self._tell('data_centre_closed', name, row.version)

    def _open(self, name: str) -> None:
        known = self.closed.pop(name, None)
        if known is not None:
            self._tell('data_centre_opened', name, known.version)

    def _tell(self, event: str, name: str, version: int) -> None:
        events.log(
            event,
            name=name,
            version=version,
            all_closed=sorted(self.closed),
            age_s=round(self.age_s, 2),
        )
        metrics.data_centres_closed.set(len(self.closed))


__all__ = ('ClosedDataCentre', 'ClosedDataCentres', 'ClosureDecoder')
