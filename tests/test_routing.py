"""Tests of quick requests: limits, fair queueing, retries and ejection."""

import asyncio
import unittest
from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st

from curranthill.errors import (
    RefusedError,
    TaskFailedError,
    WorkerBusyError,
    WorkerError,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from curranthill.routing import (
    AllottedWorker,
    FairQueue,
    OutlierEjector,
    PooledWorker,
    QueueFullError,
    QuickWork,
    RetryBudget,
    Router,
    WorkerPool,
    choices,
)
from curranthill.scheduler.quick import (
    GRANT_TERM_S,
    ConnectionGrants,
    fixed_share,
    granted_pool,
)
from curranthill.workers import QuickReply, QuickRequest, Worker
from tests.support import ManualClock, run, run_until_idle

CONNECTIONS = 64
GATEWAYS = 4

_STEP = st.tuples(
    st.sampled_from(['report', 'advance', 'replace', 'lose reply']),
    st.integers(min_value=0, max_value=5),
    st.integers(min_value=1, max_value=6),
)


class ConnectionShareTest(unittest.TestCase):
    """Distribution of a worker's 64 connections among the gateways."""

    @given(st.lists(_STEP, max_size=40))
    def test_the_sum_never_exceeds_the_bound(self, steps: Any) -> None:
        """This holds for any order of views, new leaders and lost replies."""
        clock = ManualClock()
        pool = granted_pool(CONNECTIONS, GATEWAYS)
        fixed = fixed_share(CONNECTIONS, GATEWAYS)
        leader = ConnectionGrants(clock=clock, pool=pool)
        held: dict[str, tuple[int, float]] = {}
        for action, gateway, views in steps:
            name = f'g{gateway}'
            if action == 'advance':
                run(clock.advance(views))
            elif action == 'replace':
                # A leader is replaced only after its lease has expired, and
                # its grants never outlive that lease.
                leader = ConnectionGrants(clock=clock, pool=pool)
            else:
                grant = leader.grant(name, views, lease_left_s=4)
                if action == 'report':
                    held[name] = (grant.amount, grant.until_s)
            now_s = clock.monotonic_s()
            granted = sum(
                amount for amount, until_s in held.values() if until_s > now_s
            )
            self.assertLessEqual(GATEWAYS * fixed + granted, CONNECTIONS)

    def test_a_new_leader_grants_nothing_for_one_term(self) -> None:
        """The grants of the previous leader may still be in use."""
        clock = ManualClock()
        grants = ConnectionGrants(clock=clock, pool=32)
        self.assertEqual(grants.grant('g', 1, 9).amount, 0)
        run(clock.advance(GRANT_TERM_S))
        self.assertEqual(grants.grant('g', 1, 9).amount, 32)

    def test_a_gateway_uses_its_grant_until_it_expires(self) -> None:
        """Afterwards it has only its fixed connections."""
        clock = ManualClock()
        pool = WorkerPool(clock=clock, fixed_connections=8)
        pool.grant(10, clock.monotonic_s(), 5)
        self.assertEqual(pool.connections(), 18)
        run(clock.advance(5))
        self.assertEqual(pool.connections(), 8)

    def test_workers_of_other_data_centres_come_last(self) -> None:
        """Requests spill only when no worker of this one may take them."""
        pool = WorkerPool(clock=ManualClock(), fixed_connections=8)
        pool.grant(4, 1000, 5, spill=True)
        own = AllottedWorker('own', 'own', slots=1)
        pool.allot([own, AllottedWorker('far', 'far', 1, spill=True)], 1)
        self.assertEqual(_names(pool), ['own'])
        next(iter(pool)).in_flight = 2
        self.assertEqual(_names(pool), ['far'])


class FairQueueTest(unittest.TestCase):
    """A burst of one workspace delays only its own requests."""

    def test_workspaces_are_served_round_robin(self) -> None:
        """Another workspace is served second, not after the whole burst."""

        async def case() -> None:
            served: list[str] = []
            free: list[PooledWorker] = []

            def take(excluded: frozenset[str]) -> PooledWorker | None:
                return free.pop() if free else None

            queue = FairQueue(bound=50, take=take)

            async def ask(workspace: str) -> None:
                await queue.acquire(workspace, frozenset())
                served.append(workspace)

            tasks = [asyncio.create_task(ask('burst')) for _ in range(20)]
            await run_until_idle()
            tasks.append(asyncio.create_task(ask('other')))
            await run_until_idle()
            for _ in range(21):
                free.append(PooledWorker(name='w', address='w', slots=1))
                queue.serve()
                await run_until_idle()
            self.assertEqual(served.index('other'), 1)
            self.assertEqual(len(served), 21)
            self.assertEqual(len(queue), 0)
            await asyncio.gather(*tasks)

        run(case())

    def test_each_workspace_has_its_own_bound(self) -> None:
        """A full queue refuses; another workspace may still wait."""

        async def case() -> None:
            queue = FairQueue(bound=1, take=lambda excluded: None)
            first = asyncio.create_task(queue.acquire('a', frozenset()))
            await run_until_idle()
            with self.assertRaises(QueueFullError):
                await queue.acquire('a', frozenset())
            other = asyncio.create_task(queue.acquire('b', frozenset()))
            await run_until_idle()
            self.assertEqual(len(queue), 2)
            for task in (first, other):
                task.cancel()
            await run_until_idle()
            self.assertEqual(len(queue), 0)

        run(case())


class FakeWorkers:
    """Workers with given outcomes, which record the requests that they get."""

    def __init__(self, outcomes: dict[str, list[WorkerError | None]]) -> None:
        """Initialize with each worker's outcomes; the last one is repeated."""
        self.outcomes = outcomes
        self.sent: list[str] = []

    def at(self, address: str) -> Worker:
        """Return one worker's client."""
        return cast(Worker, _FakeWorker(self, address))


class _FakeWorker:
    def __init__(self, workers: FakeWorkers, name: str) -> None:
        self._workers = workers
        self._name = name

    async def quick(self, request: QuickRequest) -> QuickReply:
        """Return the reply to a request or raise its error."""
        self._workers.sent.append(self._name)
        outcomes = self._workers.outcomes[self._name]
        outcome = outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]
        if outcome is not None:
            raise outcome
        return QuickReply(request.body, 'application/json', 1)


def make_router(workers: FakeWorkers, clock: ManualClock) -> Router:
    """Return a round-robin router over fake workers."""
    pool = WorkerPool(clock=clock, fixed_connections=8)
    pool.allot(
        [AllottedWorker(name, name, slots=8) for name in workers.outcomes],
        1,
    )
    return Router(
        clock=clock,
        pool=pool,
        choice=choices.get('round_robin')(None),
        ejector=OutlierEjector(clock=clock, healthy_share=0.5),
        retries=RetryBudget(clock=clock, share=0.1),
        worker_at=workers.at,
        queue_bound=8,
    )


def work(*, idempotent: bool = True) -> QuickWork:
    """Return a quick request."""
    return QuickWork(
        request_id='r',
        workspace='w',
        service='s',
        kind='k',
        idempotent=idempotent,
        body=b'{}',
        deadline_s=5,
    )


class RetryTest(unittest.TestCase):
    """Retries are safe, use another worker and stay within a budget."""

    def route(
        self,
        workers: FakeWorkers,
        *,
        idempotent: bool = True,
    ) -> str:
        """Return the outcome of a request, 'answered' if it succeeded."""

        async def case() -> str:
            clock = ManualClock()
            router = make_router(workers, clock)
            task = asyncio.create_task(router.run(work(idempotent=idempotent)))
            await clock.until(task.done)
            try:
                task.result()
            except RefusedError as error:
                return error.outcome
            return 'answered'

        return run(case())

    def test_a_lost_idempotent_request_is_sent_to_another_worker(self) -> None:
        """The second worker replies."""
        lost = WorkerReplyLostError('lost', step='quick')
        workers = FakeWorkers({'a': [lost], 'b': [None]})
        self.assertEqual(self.route(workers), 'answered')
        self.assertEqual(workers.sent, ['a', 'b'])

    def test_a_request_that_loses_its_workers_is_not_sent_to_all(self) -> None:
        """It may be what crashes them, so it gets at most two workers."""
        lost = WorkerReplyLostError('lost', step='quick')
        workers = FakeWorkers({name: [lost] for name in 'abcde'})
        self.assertEqual(self.route(workers), 'unknown')
        self.assertEqual(len(workers.sent), 2)

    def test_a_lost_non_idempotent_request_has_an_unknown_outcome(self) -> None:
        """It is sent once and never again."""
        lost = WorkerReplyLostError('lost', step='quick')
        workers = FakeWorkers({'a': [lost], 'b': [None]})
        self.assertEqual(self.route(workers, idempotent=False), 'unknown')
        self.assertEqual(workers.sent, ['a'])

    def test_an_unsent_non_idempotent_request_is_retried(self) -> None:
        """No byte was sent, so it was not run."""
        unreachable = WorkerUnreachableError('unreachable', step='quick')
        workers = FakeWorkers({'a': [unreachable], 'b': [None]})
        self.assertEqual(self.route(workers, idempotent=False), 'answered')

    def test_a_task_that_failed_is_not_retried(self) -> None:
        """It ran, and the caller gets its failure."""
        failed = TaskFailedError('failed', step='quick')
        workers = FakeWorkers({'a': [failed], 'b': [None]})
        self.assertEqual(self.route(workers), 'failed')
        self.assertEqual(workers.sent, ['a'])

    def test_a_busy_worker_consumes_no_retry(self) -> None:
        """It refused before running; the request is sent again later."""
        busy = WorkerBusyError('busy', step='quick')
        workers = FakeWorkers({'a': [busy, None], 'b': [busy, None]})
        self.assertEqual(self.route(workers), 'answered')

    def test_with_all_workers_unreachable_it_was_not_run(self) -> None:
        """Each worker is tried at most once."""
        unreachable = WorkerUnreachableError('unreachable', step='quick')
        workers = FakeWorkers({'a': [unreachable], 'b': [unreachable]})
        self.assertEqual(self.route(workers), 'not_run')
        self.assertEqual(sorted(workers.sent), ['a', 'b'])

    @given(
        st.integers(min_value=0, max_value=500),
        st.integers(min_value=0, max_value=500),
    )
    def test_the_budget_is_a_share_of_requests(
        self,
        requests: int,
        retries: int,
    ) -> None:
        """Any number of attempts stays within the share."""
        budget = RetryBudget(clock=ManualClock(), share=0.1)
        for _ in range(requests):
            budget.count_request()
        allowed = sum(budget.take() for _ in range(retries))
        self.assertLessEqual(allowed, max(3, requests // 10 + 1))


class EjectionTest(unittest.TestCase):
    """Ejection of failing workers, up to the share that must remain."""

    def setUp(self) -> None:
        """Create an ejector for four workers."""
        self.clock = ManualClock()
        self.ejector = OutlierEjector(clock=self.clock, healthy_share=0.5)
        self.names = ['a', 'b', 'c', 'd']

    def feed(self, failing: set[str], times: int = 10) -> None:
        """Record results of all workers."""
        for _ in range(times):
            for name in self.names:
                self.ejector.record(name, 'k', failed=name in failing)

    def ejected(self) -> set[str]:
        """Return the ejected workers."""
        return {name for name in self.names if self.ejector.is_ejected(name)}

    def test_a_worker_that_fails_everything_is_ejected_for_a_while(
        self,
    ) -> None:
        """After its ejection its limit grows until it is whole again."""
        self.feed({'a'})
        self.assertEqual(self.ejected(), {'a'})
        run(self.clock.advance(5.5))
        self.assertEqual(self.ejected(), set())
        self.assertLess(self.ejector.limit_share('a'), 0.2)
        run(self.clock.advance(10))
        self.assertEqual(self.ejector.limit_share('a'), 1)

    def test_a_kind_that_fails_everywhere_ejects_no_worker(self) -> None:
        """The peers fail it too."""
        self.feed(set(self.names))
        self.assertEqual(self.ejected(), set())

    def test_half_of_the_workers_always_stay(self) -> None:
        """Three of four fail everything; at most two are ejected."""
        self.feed({'a', 'b', 'c'})
        self.assertLessEqual(len(self.ejected()), 2)


class ChoiceTest(unittest.TestCase):
    """The registered load-balancing policies."""

    def test_two_choices_takes_the_less_loaded(self) -> None:
        """Of two workers it takes the idle one."""
        busy = PooledWorker(
            name='b', address='b', slots=8, limit=8, in_flight=7
        )
        idle = PooledWorker(name='i', address='i', slots=8, limit=8)
        choose = choices.get('two_choices')(1)
        self.assertEqual({choose([busy, idle]).name for _ in range(20)}, {'i'})

    def test_the_error_for_an_unknown_name_lists_the_known_ones(self) -> None:
        """Operators see the valid values of the setting."""
        with self.assertRaises(Exception) as caught:
            choices.get('nearest')
        self.assertIn('random, round_robin, two_choices', str(caught.exception))


def _names(pool: WorkerPool) -> list[str]:
    return [worker.name for worker in pool.candidates(frozenset())]
