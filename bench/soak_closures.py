"""Closes data centres in a soak and finds starts there that are too late."""

from typing import Final

from bench.soak_workers import SoakWorkers
from curranthill.clock import Clock
from curranthill.standin.rows import RowStoreModel
from curranthill.storage.rows import RowPut, RowRemoval
from curranthill.tasks import Timing

#: The longest time by which a disturbed connection delays a start, in seconds:
#: the longest disturbance and a response.
MAX_START_DELAY_S: Final = 5.0


class SoakClosures:
    """Closes and opens data centres, and checks the starts there.

    :param late_starts: one sentence for each start that came too late after its
        data centre was closed.
    """

    def __init__(
        self,
        *,
        rows: RowStoreModel,
        workers: SoakWorkers,
        clock: Clock,
    ) -> None:
        """Initialize with all data centres open."""
        self.late_starts: list[str] = []
        self._rows = rows
        self._workers = workers
        self._clock = clock
        self._close_counts: dict[str, int] = {}
        self._closed_at_s: dict[str, float] = {}
        self._start_counts: dict[str, int] = {}

    def close(self, name: str) -> None:
        """Close a data centre; one may be closed several times."""
        self._close_counts[name] = self._close_counts.get(name, 0) + 1
        self._closed_at_s.setdefault(name, self._clock.monotonic_s())
        put = RowPut('op', f'evacuate/{name}', b'{}')
        self._rows.apply((), (put,), ())

    def open(self, name: str) -> None:
        """Undo one close(); the last one opens the data centre."""
        self._close_counts[name] -= 1
        if self._close_counts[name] == 0:
            self._closed_at_s.pop(name)
            removal = RowRemoval('op', f'evacuate/{name}')
            self._rows.apply((), (), (removal,))

    def open_all(self) -> None:
        """Open all data centres, however often they were closed."""
        for name in list(self._closed_at_s):
            self._close_counts[name] = 1
            self.open(name)

    def check(self) -> None:
        """Check the starts since the last check."""
        now_s = self._clock.monotonic_s()
        for name, proxy in self._workers.proxies.items():
            model = self._workers.model(name)
            before = self._start_counts.get(name, 0)
            self._start_counts[name] = len(model.starts)
            closed_at_s = self._closed_at_s.get(model.entry.data_centre, now_s)
            is_past_bound = now_s - closed_at_s > Timing().evacuate_s
            undisturbed_s = now_s - proxy.mode_changed_s
            is_undisturbed = (
                proxy.mode == 'pass' and undisturbed_s > MAX_START_DELAY_S
            )
            if is_past_bound and is_undisturbed and len(model.starts) > before:
                self.late_starts.append(
                    f'{name} starts a task {now_s - closed_at_s:.2f} s after '
                    'its data centre was closed',
                )


__all__ = ('SoakClosures',)
