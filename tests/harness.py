"""A data centre in one event loop, with a clock that tests advance.

The schedulers are real; the table, the object store and the workers are the
models of the stand-ins, without a network.
"""

from typing import Any, cast

from curranthill.application import Application
from curranthill.configuration import (
    ActiveConfiguration,
    Json,
    Manifest,
    canonical_json,
    sha256_hex,
)
from curranthill.jobs import Job, JobStore, StoredJob
from curranthill.membership import Member, View
from curranthill.scheduler.context import Context
from curranthill.scheduler.election import Election
from curranthill.scheduler.leader import Leader
from curranthill.settings import LeaseSettings, PlacementSettings
from curranthill.standin import FaultSettings, WorkerModel
from curranthill.storage import HostDirectory, HostEntry
from curranthill.workers import Worker
from tests.support import (
    EmbeddedObjects,
    EmbeddedTable,
    EmbeddedWorker,
    ManualClock,
    make_job,
)

DOCUMENT: Json = {
    'shapes': {
        'single': {'accelerators': 1},
        'pair': {'accelerators': 16, 'adjacent': 'rack'},
    },
    'data_centres': {
        'dc': {'region': 'r', 'racks': {'r1': {'workers': 2, 'slots': 8}}},
    },
}


class Site:
    """Workers, table and object store of one data centre."""

    def __init__(
        self,
        *,
        workers: int = 2,
        slots: int = 8,
        document: Json | None = None,
    ) -> None:
        """Create the stand-ins."""
        self.clock = ManualClock()
        self.table = EmbeddedTable(clock=self.clock)
        self.objects = EmbeddedObjects(clock=self.clock)
        self.workers = {
            f'w{number}': WorkerModel(
                name=f'w{number}',
                clock=self.clock,
                slots=slots,
                connections=64,
            )
            for number in range(workers)
        }
        self.store = JobStore(table=self.table, clock=self.clock)
        self.document = document or DOCUMENT
        self.schedulers: list[TestScheduler] = []

    async def hosts(self, data_centre: str = '') -> tuple[HostEntry, ...]:
        """Return the host list of the platform."""
        return tuple(
            HostEntry(
                host=worker.name,
                role='worker',
                data_centre='dc',
                address=worker.name,
                rack='r1',
                slots=worker.slots,
                leaving=worker.draining,
            )
            for worker in self.workers.values()
        )

    def worker_at(self, address: str) -> Worker:
        """Return the client of a worker."""
        return cast(Worker, EmbeddedWorker(model=self.workers[address]))

    async def scheduler(self, name: str, **placement: Any) -> 'TestScheduler':
        """Start a scheduler."""
        scheduler = TestScheduler(name=name, site=self, placement=placement)
        self.schedulers.append(scheduler)
        await scheduler.start()
        return scheduler

    async def accept(self, **fields: Any) -> StoredJob:
        """Accept a job as a gateway would."""
        return await self.store.accept(make_job(**fields), None)

    async def job(self, job_id: str) -> Job:
        """Return a job as stored in the table, without injected faults."""
        faults = self.table.faults
        before = faults.settings
        faults.settings = FaultSettings()
        stored = await self.store.load(job_id)
        faults.settings = before
        assert stored is not None
        return stored.job

    def starts(self, job_id: str) -> dict[int, int]:
        """Return how many members of each attempt the workers started."""
        counts: dict[int, int] = {}
        for worker in self.workers.values():
            for start in worker.starts:
                if start.job == job_id:
                    counts[start.attempt] = counts.get(start.attempt, 0) + 1
        return counts

    def running(self, job_id: str) -> dict[int, int]:
        """Return how many members of each attempt are running."""
        counts: dict[int, int] = {}
        for worker in self.workers.values():
            for attempt_id in worker.running():
                if attempt_id.job == job_id:
                    attempt = attempt_id.attempt
                    counts[attempt] = counts.get(attempt, 0) + 1
        return counts

    async def close(self) -> None:
        """Kill the schedulers and close the workers."""
        for scheduler in self.schedulers:
            await scheduler.kill()
        for worker in self.workers.values():
            worker.close()


class TestScheduler:
    """One real scheduler of a site, without its network interfaces."""

    __test__ = False

    def __init__(
        self,
        *,
        name: str,
        site: Site,
        placement: dict[str, Any],
    ) -> None:
        """Create the parts as the daemon does."""
        self.app = Application(name=name, clock=site.clock)
        self.leases = LeaseSettings()
        self.election = Election(
            table=site.table,
            clock=site.clock,
            settings=self.leases,
            holder=name,
            data_centre='dc',
        )
        self.context = Context(
            clock=site.clock,
            store=JobStore(table=site.table, clock=site.clock),
            objects=site.objects,
            election=self.election,
            worker_at=site.worker_at,
            leases=self.leases,
            placement=PlacementSettings(**({'quick_slots': 0} | placement)),
        )
        self.directory = HostDirectory(
            app=self.app,
            host_list=site,
            interval_s=2,
        )
        self.configuration = ActiveConfiguration()
        merged = canonical_json(site.document)
        self.configuration.activate(
            Manifest(revision=1, files={}, merged=sha256_hex(merged)),
            site.document,
        )
        own = Member(
            name=name,
            role='scheduler',
            data_centre='dc',
            address=name,
            incarnation=1,
        )
        self.leader = Leader(
            app=self.app,
            context=self.context,
            data_centre='dc',
            directory=self.directory,
            configuration=self.configuration,
            view=View(own=own, clock=site.clock),
            notify_moved=self._on_moved,
        )

    def _on_moved(self, data_centre: str, job_id: str) -> None:
        """Do nothing: a site has only one data centre."""

    async def start(self) -> None:
        """Read the host list and start the election."""
        await self.directory.start()
        await self.leader.start()

    async def kill(self) -> None:
        """Stop as in a crash, without notifying other processes."""
        term = self.leader.term
        self.leader.term = None
        if term is not None:
            await term.close()
        await self.app.stop()

    @property
    def active(self) -> bool:
        """Return whether it leads and has recovered its state."""
        return self.leader.term is not None


__all__ = ('DOCUMENT', 'Site', 'TestScheduler')
