"""The quick lane: limits, fair turns, retries, ejection."""

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
    """A worker's 64 connections, whatever anybody believes."""

    @given(st.lists(_STEP, max_size=40))
    def test_the_sum_never_passes_the_bound(self, steps: Any) -> None:
        """Any order of views, new leaders, lost replies, two leaders."""
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
                # A leader is replaced only after its lease has lapsed; its
                # grants never outlive that lease.
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
        """What an earlier leader granted may still be in use."""
        clock = ManualClock()
        grants = ConnectionGrants(clock=clock, pool=32)
        self.assertEqual(grants.grant('g', 1, 9).amount, 0)
        run(clock.advance(GRANT_TERM_S))
        self.assertEqual(grants.grant('g', 1, 9).amount, 32)

    def test_a_gateway_obeys_its_grant_until_it_lapses(self) -> None:
        """Afterwards only its fixed part is left."""
        clock = ManualClock()
        pool = WorkerPool(clock=clock, fixed_connections=8)
        pool.grant(10, clock.monotonic_s(), 5)
        self.assertEqual(pool.connections(), 18)
        run(clock.advance(5))
        self.assertEqual(pool.connections(), 8)

    def test_another_data_centres_workers_come_last(self) -> None:
        """Nothing spills while it may still run here."""
        pool = WorkerPool(clock=ManualClock(), fixed_connections=8)
        pool.grant(4, 1000, 5, spill=True)
        own = AllottedWorker('own', 'own', slots=1)
        pool.allot([own, AllottedWorker('far', 'far', 1, spill=True)], 1)
        self.assertEqual(_names(pool), ['own'])
        next(iter(pool)).in_flight = 2
        self.assertEqual(_names(pool), ['far'])


class FairQueueTest(unittest.TestCase):
    """One workspace's burst delays only its own."""

    def test_turns_go_round_between_workspaces(self) -> None:
        """A newcomer is served second, not behind the whole burst."""

        async def case() -> None:
            served: list[str] = []
            room: list[PooledWorker] = []

            def take(excluded: frozenset[str]) -> PooledWorker | None:
                return room.pop() if room else None

            queue = FairQueue(bound=50, take=take)

            async def ask(workspace: str) -> None:
                await queue.acquire(workspace, frozenset())
                served.append(workspace)

            tasks = [asyncio.create_task(ask('burst')) for _ in range(20)]
            await run_until_idle()
            tasks.append(asyncio.create_task(ask('other')))
            await run_until_idle()
            for _ in range(21):
                room.append(PooledWorker(name='w', address='w', slots=1))
                queue.serve()
                await run_until_idle()
            self.assertEqual(served.index('other'), 1)
            self.assertEqual(len(served), 21)
            self.assertEqual(len(queue), 0)
            await asyncio.gather(*tasks)

        run(case())

    def test_each_workspace_has_its_own_bound(self) -> None:
        """A full line refuses; another workspace may still wait."""

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
    """Workers that answer as a test says, and count what they were sent."""

    def __init__(self, answers: dict[str, list[WorkerError | None]]) -> None:
        """Keep the answers of each worker, the last one for ever."""
        self.answers = answers
        self.sent: list[str] = []

    def at(self, address: str) -> Worker:
        """Return one worker's client."""
        return cast(Worker, _FakeWorker(self, address))


class _FakeWorker:
    def __init__(self, workers: FakeWorkers, name: str) -> None:
        self._workers = workers
        self._name = name

    async def quick(self, request: QuickRequest) -> QuickReply:
        """Answer one request."""
        self._workers.sent.append(self._name)
        answers = self._workers.answers[self._name]
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer is not None:
            raise answer
        return QuickReply(request.body, 'application/json', 1)


def make_router(workers: FakeWorkers, clock: ManualClock) -> Router:
    """Return a router over fake workers, taken in turns."""
    pool = WorkerPool(clock=clock, fixed_connections=8)
    pool.allot(
        [AllottedWorker(name, name, slots=8) for name in workers.answers],
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
    """Return one quick request."""
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
    """Retries only where safe, never the same worker, under a budget."""

    def route(
        self,
        workers: FakeWorkers,
        *,
        idempotent: bool = True,
    ) -> str:
        """Return the outcome of one request, or 'answered'."""

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

    def test_lost_idempotent_work_goes_to_another_worker(self) -> None:
        """The second worker answers."""
        lost = WorkerReplyLostError('lost', step='quick')
        workers = FakeWorkers({'a': [lost], 'b': [None]})
        self.assertEqual(self.route(workers), 'answered')
        self.assertEqual(workers.sent, ['a', 'b'])

    def test_work_that_loses_its_workers_is_not_sent_to_all(self) -> None:
        """It may be what crashes them; the second lost one is the last."""
        lost = WorkerReplyLostError('lost', step='quick')
        workers = FakeWorkers({name: [lost] for name in 'abcde'})
        self.assertEqual(self.route(workers), 'unknown')
        self.assertEqual(len(workers.sent), 2)

    def test_lost_non_idempotent_work_is_unknown(self) -> None:
        """It is sent once and never again."""
        lost = WorkerReplyLostError('lost', step='quick')
        workers = FakeWorkers({'a': [lost], 'b': [None]})
        self.assertEqual(self.route(workers, idempotent=False), 'unknown')
        self.assertEqual(workers.sent, ['a'])

    def test_unreached_non_idempotent_work_may_go_elsewhere(self) -> None:
        """No byte has left, so it was not run."""
        away = WorkerUnreachableError('away', step='quick')
        workers = FakeWorkers({'a': [away], 'b': [None]})
        self.assertEqual(self.route(workers, idempotent=False), 'answered')

    def test_a_task_that_failed_is_not_retried(self) -> None:
        """It ran; the caller is told so."""
        failed = TaskFailedError('failed', step='quick')
        workers = FakeWorkers({'a': [failed], 'b': [None]})
        self.assertEqual(self.route(workers), 'failed')
        self.assertEqual(workers.sent, ['a'])

    def test_a_busy_worker_costs_no_retry(self) -> None:
        """It refused before running; the request waits a moment."""
        busy = WorkerBusyError('busy', step='quick')
        workers = FakeWorkers({'a': [busy, None], 'b': [busy, None]})
        self.assertEqual(self.route(workers), 'answered')

    def test_when_all_are_away_it_was_not_run(self) -> None:
        """Each worker is tried at most once."""
        away = WorkerUnreachableError('away', step='quick')
        workers = FakeWorkers({'a': [away], 'b': [away]})
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
        """However many ask, retries stay within their share."""
        budget = RetryBudget(clock=ManualClock(), share=0.1)
        for _ in range(requests):
            budget.count_request()
        allowed = sum(budget.take() for _ in range(retries))
        self.assertLessEqual(allowed, max(3, requests // 10 + 1))


class EjectionTest(unittest.TestCase):
    """Bad workers go, bad kinds do not, and enough always stay."""

    def setUp(self) -> None:
        """Judge four workers."""
        self.clock = ManualClock()
        self.ejector = OutlierEjector(clock=self.clock, healthy_share=0.5)
        self.names = ['a', 'b', 'c', 'd']

    def feed(self, failing: set[str], times: int = 10) -> None:
        """Record results of each worker."""
        for _ in range(times):
            for name in self.names:
                self.ejector.record(name, 'k', failed=name in failing)

    def out(self) -> set[str]:
        """Return the ejected workers."""
        return {name for name in self.names if self.ejector.is_ejected(name)}

    def test_a_worker_that_fails_everything_goes_and_comes_back(self) -> None:
        """It is ejected, then gets a part of its load, then all."""
        self.feed({'a'})
        self.assertEqual(self.out(), {'a'})
        run(self.clock.advance(5.5))
        self.assertEqual(self.out(), set())
        self.assertLess(self.ejector.limit_share('a'), 0.2)
        run(self.clock.advance(10))
        self.assertEqual(self.ejector.limit_share('a'), 1)

    def test_a_kind_that_fails_everywhere_ejects_no_one(self) -> None:
        """The peers are no better."""
        self.feed(set(self.names))
        self.assertEqual(self.out(), set())

    def test_half_of_the_workers_always_stay(self) -> None:
        """Three of four fail everything; at most two go."""
        self.feed({'a', 'b', 'c'})
        self.assertLessEqual(len(self.out()), 2)


class ChoiceTest(unittest.TestCase):
    """The registered ways to choose."""

    def test_two_choices_takes_the_less_loaded(self) -> None:
        """Of two, the idle one."""
        busy = PooledWorker(
            name='b', address='b', slots=8, limit=8, in_flight=7
        )
        idle = PooledWorker(name='i', address='i', slots=8, limit=8)
        choose = choices.get('two_choices')(1)
        self.assertEqual({choose([busy, idle]).name for _ in range(20)}, {'i'})

    def test_a_wrong_name_lists_the_right_ones(self) -> None:
        """The message helps."""
        with self.assertRaises(Exception) as caught:
            choices.get('nearest')
        self.assertIn('random, round_robin, two_choices', str(caught.exception))


def _names(pool: WorkerPool) -> list[str]:
    return [worker.name for worker in pool.candidates(frozenset())]
