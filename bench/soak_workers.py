"""The workers of a soak: stand-ins behind proxies, and what befalls them."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

from bench.proxy import Proxy
from curranthill.clock import Clock
from curranthill.placement import WorkerEntry
from curranthill.standin.rows import RowStoreModel
from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.storage.rows import RowPut, RowRemoval
from curranthill.tasks import Resources, TaskKey
from tests.platform_standin import WorkerServer, serve, worker_row

WORKERS: Final = 5
ROOM: Final = Resources(cpu_millis=8000, memory_mb=8192, gpus=8)

#: Workers stand in these by turns.
DATA_CENTRES: Final = ('dc', 'east')

#: Crashed workers that come back under another id.
REPLACED_SHARE: Final = 0.3

#: Tasks that end between two faults, and tasks that outlast a lease.
RUN_TIMES_S: Final = (0.3, 1.5, 8.0)


class SoakWorkers:
    """All workers by their names.

    :param models: every worker that there ever was.
    :param proxies: what hosts reach each worker through.
    :param crashing: tasks that crash each worker that starts them.
    :param lengths_s: how long some tasks take instead of their worker's time.
    :param disturbed_s: when a worker last crashed or came back.
    """

    def __init__(
        self,
        *,
        rows: RowStoreModel,
        clock: Clock,
        drawn: random.Random,
        count: int = WORKERS,
        run_times_s: Sequence[float] = RUN_TIMES_S,
    ) -> None:
        """Start without workers.

        :param count: how many there are to be.
        :param run_times_s: what each worker's time for a task is drawn from.
        """
        self.models: list[TaskWorkerModel] = []
        self.proxies: dict[str, Proxy] = {}
        self.crashing: set[TaskKey] = set()
        self.lengths_s: dict[TaskKey, float] = {}
        self.disturbed_s = clock.monotonic_s()
        self._count = count
        self._run_times_s = run_times_s
        self._servers: dict[str, WorkerServer] = {}
        self._rows = rows
        self._clock = clock
        self._drawn = drawn
        self._coming_back: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Start the workers."""
        for number in range(self._count):
            await self._add(f'w{number}')

    def listed(self) -> list[TaskWorkerModel]:
        """Return the workers that are listed now."""
        return [server.model for server in self._servers.values()]

    @property
    def calm_s(self) -> float:
        """Return the seconds since a crash; 0 while a worker is away."""
        if self._coming_back:
            return 0.0
        return self._clock.monotonic_s() - self.disturbed_s

    def draw(self) -> str:
        """Return the name of some worker."""
        return self._drawn.choice(sorted(self._servers))

    def model(self, name: str) -> TaskWorkerModel:
        """Return the worker of a name."""
        return self._servers[name].model

    def list_again(self, name: str) -> None:
        """Write a worker's entry as it is now, unless it was replaced."""
        if name not in self._servers:
            return
        model = self.model(name)
        entry = model.entry._replace(
            address=self.proxies[name].address,
            incarnation=model.incarnation,
        )
        self._rows.apply((), (worker_row(entry),), ())

    def write_entry(self, name: str, content: bytes) -> None:
        """Write an entry as another writer does."""
        self._rows.apply((), (RowPut('servers', name, content),), ())

    async def replace(self, name: str) -> None:
        """Let a worker go for good, and another id come in its place."""
        lost = self._servers.pop(name)
        lost.model.runs.clear()
        lost.model.replaced = True
        await self.proxies.pop(name).close()
        self._rows.apply((), (), (RowRemoval('servers', name),))
        await self._add(f'{name}x')

    def resize(self, name: str, gpus: int) -> None:
        """Let a worker have so many accelerators from now on."""
        if name not in self._servers:
            return
        model = self.model(name)
        model.entry = model.entry._replace(capacity=ROOM._replace(gpus=gpus))
        self.list_again(name)

    async def _come_back(self, name: str) -> None:
        """Start a crashed worker again, or another one in its place."""
        await asyncio.sleep(self._drawn.uniform(0.2, 4.0))
        if name not in self._servers:
            return
        if self._drawn.random() < REPLACED_SHARE:
            await self.replace(name)
            return
        self.model(name).restart()
        self.list_again(name)

    def _crashed(self, model: TaskWorkerModel) -> None:
        task = asyncio.ensure_future(self._come_back(model.entry.worker_id))
        self._coming_back.add(task)
        task.add_done_callback(self._is_back)

    def _is_back(self, task: asyncio.Task[None]) -> None:
        self._coming_back.discard(task)
        self.disturbed_s = self._clock.monotonic_s()

    def heal(self) -> None:
        """Make all workers reachable, sound and well listed."""
        for name, server in self._servers.items():
            server.model.failing = False
            self.resize(name, ROOM.gpus)
            self.proxies[name].change('pass')
            self.list_again(name)

    async def _add(self, name: str) -> None:
        entry = WorkerEntry(
            worker_id=name,
            service='calc',
            address='',
            data_centre=DATA_CENTRES[len(self.models) % len(DATA_CENTRES)],
            capacity=ROOM,
            labels=('a', 'r1'),
            incarnation=1,
        )
        model = TaskWorkerModel(
            entry=entry,
            clock=self._clock,
            run_s=self._drawn.choice(self._run_times_s),
        )
        model.crashing = self.crashing
        model.run_s_by_task = self.lengths_s
        model.on_crash = self._crashed
        server = WorkerServer(model=model)
        _, address = await serve(server.handle)
        proxy = Proxy(target=address)
        await proxy.open()
        self.models.append(model)
        self._servers[name] = server
        self.proxies[name] = proxy
        self.list_again(name)


__all__ = ('SoakWorkers',)
