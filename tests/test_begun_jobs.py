"""A job has begun once a worker has said that it started a task of it."""

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from curranthill.dispatch import RejectedError, StartOrder
from curranthill.errors import WorkerReplyLostError
from curranthill.tasks import JobSpec, Step
from tests.domain import ONE_GPU, Domain, in_domain, make_spec

#: A gang of four tasks.
GANG = Step(width=4, needs=ONE_GPU, estimate_s=1.0, gang=True)


class UnstartedJobTest(unittest.TestCase):
    """Starts that no worker has carried out."""

    def test_refused_starts_do_not_count(self) -> None:
        """Neither under the leader that ordered them nor under the next."""

        async def case(domain: Domain) -> None:
            with refusing(domain):
                await submit(domain, 8)
                await domain.clock.advance(3)
                await self.check(domain, 8, 'queued')
                await change_leader(domain)
                await self.check(domain, 8, 'queued')
            self.assertEqual(await domain.ended('job0'), 'completed')

        in_domain(case)

    def test_refused_gangs_do_not_count(self) -> None:
        """A gang counts once a member has started."""

        async def case(domain: Domain) -> None:
            with refusing(domain):
                await submit(domain, 2, GANG)
                await domain.clock.advance(3)
                await self.check(domain, 2, 'queued')

        in_domain(case)

    def test_starts_at_a_silent_worker_do_not_count(self) -> None:
        """They may have been carried out, but the worker has not said so."""

        async def case(domain: Domain) -> None:
            await start(domain)
            with silent(domain):
                await submit(domain, 8)
                await domain.clock.advance(3)
                await self.check(domain, 8, 'queued')
                await change_leader(domain)
                await self.check(domain, 8, 'queued')

        in_domain(case, workers=1)

    async def check(self, domain: Domain, pending: int, state: str) -> None:
        """Check the count, with a leader and without, and the shown state."""
        await check(self, domain, pending, state)


class StartedJobTest(unittest.TestCase):
    """Starts that a worker has carried out."""

    def test_a_start_counts_for_good(self) -> None:
        """Also after a loss of the run and a change of the leader."""

        async def case(domain: Domain) -> None:
            await submit(domain, 2)
            await domain.clock.until(lambda: len(runs(domain)) == 2)
            await domain.clock.advance(1)
            await check(self, domain, 0, 'running')
            with silent(domain):
                for worker in domain.workers.values():
                    worker.runs.clear()
                await domain.clock.advance(15)
                await change_leader(domain)
                await check(self, domain, 0, 'running')

        in_domain(case, workers=1, run_s=100.0)

    def test_the_next_leader_learns_of_a_start_from_the_worker(self) -> None:
        """Its leader was lost before it could store the start."""

        async def case(domain: Domain) -> None:
            await submit(domain, 1)
            await domain.clock.until(lambda: bool(runs(domain)))
            await change_leader(domain)
            await domain.clock.advance(2)
            await check(self, domain, 0, 'running')

        in_domain(case, workers=1, run_s=100.0)

    def test_a_start_costs_no_write(self) -> None:
        """It is stored with the next heartbeat."""

        async def case(domain: Domain) -> None:
            await submit(domain, 0)
            await domain.clock.advance(5)
            host = domain.leading()[0]
            before = sum(map(len, host.leader_writes_s.values()))
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(runs(domain)))
            await domain.clock.advance(0.2)
            after = sum(map(len, host.leader_writes_s.values()))
            # The assignment, and at most one heartbeat.
            self.assertLessEqual(after - before, 2)

        in_domain(case, workers=1, run_s=100.0)


async def check(
    test: unittest.TestCase, domain: Domain, pending: int, state: str
) -> None:
    """Check what callers see of the jobs ``job0`` and so on."""
    host = next(iter(domain.hosts.values()))
    queue = make_spec().queue
    for recount in (False, True):
        count = await host.during(host.handler.pending(queue, recount=recount))
        test.assertEqual(count, pending, f'recount={recount}')
    shown = await host.during(host.handler.state('job0'))
    test.assertEqual(shown, state)


async def start(domain: Domain) -> None:
    """Start two hosts, unless they have started, and let workers respond."""
    if not domain.hosts:
        domain.start_host('h1')
        await domain.leader()
        domain.start_host('h2')
        await domain.clock.advance(2)


async def submit(domain: Domain, jobs: int, *steps: Step) -> None:
    """Start two hosts and hand in some jobs."""
    await start(domain)
    for number in range(jobs):
        spec: JobSpec = make_spec(f'job{number}', *steps)
        await domain.hosts['h1'].accept(spec)


async def change_leader(domain: Domain) -> None:
    """Kill the leader and wait until the other host has led for a second."""
    await domain.leading()[0].kill()
    await domain.leader()
    await domain.clock.advance(1)


def runs(domain: Domain) -> list[object]:
    """Return all runs that exist."""
    return [
        run
        for worker in domain.workers.values()
        for run in worker.runs.values()
    ]


@contextmanager
def refusing(domain: Domain) -> Iterator[None]:
    """Have all workers refuse starts."""

    async def refuse(order: StartOrder) -> float:
        raise RejectedError('No.', step='start', peer='w', reason='503')

    with each_patched(domain, 'start', refuse):
        yield


@contextmanager
def silent(domain: Domain) -> Iterator[None]:
    """Have no worker respond to starts and renewals."""

    async def lose(order: object) -> float:
        raise WorkerReplyLostError('Lost.', step='call')

    with each_patched(domain, 'start', lose):
        with each_patched(domain, 'renew', lose):
            yield


@contextmanager
def each_patched(domain: Domain, name: str, method: object) -> Iterator[None]:
    """Replace a method of all workers."""
    patches = [
        patch.object(worker, name, method) for worker in domain.workers.values()
    ]
    for one in patches:
        one.start()
    try:
        yield
    finally:
        for one in patches:
            one.stop()
