"""Data centres that a soak closes, and starts that come there too late."""

from typing import Final

from bench.soak_workers import SoakWorkers
from curranthill.clock import Clock
from curranthill.standin.rows import RowStoreModel
from curranthill.storage.rows import RowPut, RowRemoval
from curranthill.tasks import Timing

#: A start that a disturbed link held up is delivered so late at most, in
#: seconds: the longest disturbance and a reply.
HELD_UP_S: Final = 5.0


class SoakClosings:
    """Closes and opens data centres and watches what starts there.

    :param late: starts past the bound, a sentence each.
    """

    def __init__(
        self,
        *,
        rows: RowStoreModel,
        workers: SoakWorkers,
        clock: Clock,
    ) -> None:
        """Start with all open."""
        self.late: list[str] = []
        self._rows = rows
        self._workers = workers
        self._clock = clock
        self._holders: dict[str, int] = {}
        self._closed_s: dict[str, float] = {}
        self._starts: dict[str, int] = {}

    def close(self, name: str) -> None:
        """Close a data centre, also one that is closed."""
        self._holders[name] = self._holders.get(name, 0) + 1
        self._closed_s.setdefault(name, self._clock.monotonic_s())
        put = RowPut('op', f'evacuate/{name}', b'{}')
        self._rows.apply((), (put,), ())

    def open(self, name: str) -> None:
        """Take a data centre back once nobody keeps it closed any more."""
        self._holders[name] -= 1
        if self._holders[name] == 0:
            self._closed_s.pop(name)
            removal = RowRemoval('op', f'evacuate/{name}')
            self._rows.apply((), (), (removal,))

    def open_all(self) -> None:
        """Take all data centres back."""
        for name in list(self._closed_s):
            self._holders[name] = 1
            self.open(name)

    def look(self) -> None:
        """Check what has started since the last look."""
        now_s = self._clock.monotonic_s()
        for name, proxy in self._workers.proxies.items():
            model = self._workers.model(name)
            before = self._starts.get(name, 0)
            self._starts[name] = len(model.starts)
            closed_s = self._closed_s.get(model.entry.data_centre, now_s)
            past = now_s - closed_s > Timing().evacuate_s
            undisturbed_s = now_s - proxy.changed_s
            calm = proxy.mode == 'pass' and undisturbed_s > HELD_UP_S
            if past and calm and len(model.starts) > before:
                self.late.append(
                    f'{name} starts a task {now_s - closed_s:.2f} s after '
                    'its data centre was closed',
                )


__all__ = ('SoakClosings',)
