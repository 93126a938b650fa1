"""Late starts at workers that have had nothing to run, by their slow clocks."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple
from unittest.mock import patch

from hypothesis import example, given, settings
from hypothesis import strategies as st

from curranthill.dispatch.lease import Lease
from curranthill.dispatch.silence import SilentWorkers
from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import Step, TaskKey, Timing
from tests.domain import ONE_GPU, Domain, in_domain, make_spec
from tests.invariants import InvariantChecker
from tests.support import ManualClock, run
from tests.test_lost_worker_properties import (
    CHECK_S,
    EXAMPLES,
    FINISH_S,
    LEASES_S,
    LONG_RUN_S,
    SlowClock,
    times_s,
)

#: The most of a lease that a start may lack on right clocks, in seconds.
MAX_LOST_LEASE_S: Final = 0.45

#: A worker that is known not to respond gets no start, so a task of it starts
#: elsewhere within this time, in seconds.
PROMPT_S: Final = 2.0

TASK: Final = TaskKey('a1', 0, 0, 0)


class LateOrder(NamedTuple):
    """An order to a worker, and when it takes effect.

    :param clock_rate: the speed of the worker's clock.
    :param clock_age_s: the age of the newest reading of that clock.
    """

    lease_s: float
    clock_rate: float
    clock_age_s: float
    late_s: float


LATE_ORDERS: Final = st.builds(
    LateOrder,
    lease_s=st.sampled_from(LEASES_S),
    clock_rate=st.floats(0.98, 1.0),
    clock_age_s=st.floats(0, 1000),
    late_s=st.floats(0, 12),
)


async def _lease_outlasts_s(order: LateOrder) -> float:
    """Return for how long a run goes on after its lease counts as expired."""
    clock = ManualClock()
    lease = Lease(
        clock=clock,
        length_s=order.lease_s,
        clock_s=0.0,
        previous_s=0.0,
        worker_id='w0',
        silent_workers=SilentWorkers(clock=clock),
    )
    worker_clock_s = order.clock_rate * order.clock_age_s
    await clock.advance(order.clock_age_s)
    deadline_s = lease.grant()
    await clock.advance(order.late_s)
    worker_clock_s += order.clock_rate * order.late_s
    bounded_s = min(deadline_s - worker_clock_s, order.lease_s)
    return bounded_s / order.clock_rate - lease.remaining_s


class LateOrderTest(unittest.TestCase):
    """A lease by an order that takes effect late, at any time."""

    @given(LATE_ORDERS)
    def test_its_lease_does_not_outlast_the_estimate(
        self, order: LateOrder
    ) -> None:
        """The clock may have been read long ago."""
        self.assertLessEqual(run(_lease_outlasts_s(order)), 0)


class LateStart(NamedTuple):
    """A start that takes effect late, at a worker that is then cut off.

    :param idle_s: for how long the workers have had nothing to run.
    :param cut_after_s: after the start has arrived.
    :param cut_s: for how long the worker is cut off.
    :param kills_s: the life of each leader that is killed, the first one since
        the start arrived.
    """

    lease_s: float
    members: int
    idle_s: float
    late_s: float
    cut_after_s: float
    cut_s: float
    kills_s: tuple[float, ...]


LATE_STARTS: Final = st.builds(
    LateStart,
    lease_s=st.sampled_from(LEASES_S),
    members=st.sampled_from((1, 1, 2)),
    idle_s=st.one_of(times_s(0, 30), times_s(60, 400), times_s(60, 400)),
    late_s=times_s(0.5, 9),
    cut_after_s=times_s(0, 0.4),
    cut_s=times_s(1, 16),
    kills_s=st.lists(times_s(0, 9), max_size=2).map(tuple),
)


class Play:
    """Plays a late start on a domain, and checks its runs."""

    def __init__(self, *, domain: Domain, case: LateStart) -> None:
        """Start hosts and workers whose clocks are slow."""
        domain.timing = Timing(lease_s=case.lease_s)
        self._domain = domain
        self._case = case
        for worker in domain.workers.values():
            worker.clock = SlowClock(clock=domain.clock)
            worker.max_lease_s = case.lease_s
        self._checker = InvariantChecker(
            workers=lambda: list(domain.workers.values()), attempts=2
        )
        for number in range(len(case.kills_s) + 1):
            domain.start_host(f'h{number}')

    async def run(self) -> list[str]:
        """Play the case; return each violation as a sentence."""
        leader = await self._domain.leader()
        await self._domain.clock.advance(self._case.idle_s)
        for worker in self._domain.workers.values():
            worker.late_starts = 1
            worker.late_s = self._case.late_s
        members = self._case.members
        gang = Step(
            width=members,
            needs=ONE_GPU,
            estimate_s=LONG_RUN_S,
            gang=members > 1,
            max_per_worker=1,
        )
        await leader.accept(make_spec('a1', gang))
        await self._cut_off_worker()
        for life_s in self._case.kills_s:
            await self._advance(life_s)
            while not self._domain.leading():
                await self._advance(CHECK_S)
            await self._domain.leading()[0].kill()
        await self._advance(self._case.cut_s)
        for worker in self._domain.workers.values():
            worker.disconnected = False
        await self._advance(FINISH_S)
        if (
            sum(len(one.runs) for one in self._domain.workers.values())
            < members
        ):
            return [*self._checker.violations, 'a1 does not run']
        return self._checker.violations

    async def _cut_off_worker(self) -> None:
        """Cut off the first worker that gets a start, after that."""
        workers = self._domain.workers.values()
        await self._domain.clock.until(
            lambda: any(not worker.late_starts for worker in workers)
        )
        used = next(worker for worker in workers if not worker.late_starts)
        for worker in workers:
            worker.late_starts = 0
        await self._advance(self._case.cut_after_s)
        used.disconnected = True

    async def _advance(self, seconds_s: float) -> None:
        until_s = self._domain.clock.monotonic_s() + seconds_s
        while self._domain.clock.monotonic_s() < until_s:
            await self._domain.clock.advance(CHECK_S)
            self._checker.check()


def play(case: LateStart) -> list[str]:
    """Play a case; return each violation as a sentence."""
    violations: list[str] = []

    async def main(domain: Domain) -> None:
        violations.extend(await Play(domain=domain, case=case).run())

    _in_domain(main)
    return violations


def _in_domain(case: Callable[[Domain], Awaitable[None]]) -> None:
    """Run a case in a domain whose stand-ins poll less often."""
    with (
        patch('curranthill.standin.rows.FEED_POLL_S', CHECK_S),
        patch('curranthill.standin.task_worker.WAIT_POLL_S', CHECK_S),
    ):
        in_domain(case, workers=4, run_s=LONG_RUN_S)


class LateStartTest(unittest.TestCase):
    """A start takes effect late at a worker that is cut off meanwhile."""

    @settings(max_examples=EXAMPLES // 2)
    @example(LateStart(6.0, 1, 80.0, 4.0, 0.05, 12.0, ()))
    @example(LateStart(10.0, 1, 170.0, 3.0, 0.05, 16.0, (3.0, 4.0)))
    @example(LateStart(10.0, 2, 170.0, 3.0, 0.05, 16.0, (9.0,)))
    @given(LATE_STARTS)
    def test_its_task_does_not_run_twice(self, case: LateStart) -> None:
        """The wait for its lease may pass to other leaders."""
        self.assertEqual(play(case), [])


class RestartedWorkerTest(unittest.TestCase):
    """A late start takes effect in the next incarnation of a worker."""

    def test_its_lease_does_not_outlast_the_estimate(self) -> None:
        """The clock of the next incarnation begins anew."""

        async def case(domain: Domain) -> None:
            domain.timing = Timing(lease_s=min(LEASES_S))
            workers = domain.workers.values()
            for worker in workers:
                worker.max_lease_s = min(LEASES_S)
                worker.late_starts = 1
                worker.late_s = 4.0
            domain.start_host('h0')
            leader = await domain.leader()
            await leader.accept(make_spec('a1'))
            await domain.clock.until(
                lambda: any(not worker.late_starts for worker in workers)
            )
            used = next(worker for worker in workers if not worker.late_starts)
            for worker in workers:
                worker.late_starts = 0
            used.disconnected = True
            await domain.clock.advance(0.5)
            domain.restart_worker(used.entry.worker_id)
            checker = InvariantChecker(
                workers=domain.workers.values, attempts=2
            )
            for _ in range(round(16 / CHECK_S)):
                await domain.clock.advance(CHECK_S)
                checker.check()
            self.assertEqual(checker.violations, [])

        _in_domain(case)


class IdleWorkerTest(unittest.TestCase):
    """Workers that have had nothing to run for long, without faults."""

    def test_a_start_gets_its_whole_lease(self) -> None:
        """The time for which the worker was idle does not shorten it."""
        for lease_s in LEASES_S:
            for idle_s in (10, 19, 21, 60, 600):
                with self.subTest(lease_s=lease_s, idle_s=idle_s):
                    lost_s = _lost_lease_s(lease_s, idle_s)
                    self.assertLess(lost_s, MAX_LOST_LEASE_S)

    def test_no_start_is_sent_to_a_silent_worker(self) -> None:
        """A worker that was cut off while idle does not delay a task."""

        async def case(domain: Domain) -> None:
            domain.start_host('h0')
            leader = await domain.leader()
            await domain.clock.advance(60)
            for number in range(3):
                domain.workers[f'w{number}'].disconnected = True
            await leader.accept(make_spec('a1'))
            await domain.clock.until(domain.any_run, within_s=3 * PROMPT_S)
            self.assertEqual(len(domain.starts(TASK)), 1)

        _in_domain(case)

    def test_a_restart_while_idle_is_seen_before_a_start(self) -> None:
        """The worker's entry does not show the restart yet."""

        async def case(domain: Domain) -> None:
            domain.start_host('h0')
            leader = await domain.leader()
            for number in range(3):
                domain.workers[f'w{number}'].restart()
            await domain.clock.advance(60)
            await leader.accept(make_spec('a1'))
            await domain.clock.until(domain.any_run, within_s=PROMPT_S)
            self.assertEqual(len(domain.starts(TASK)), 1)

        _in_domain(case)

    def test_no_calls_are_made_to_idle_workers(self) -> None:
        """Each call to a worker has a price."""

        async def case(domain: Domain) -> None:
            domain.start_host('h0')
            await domain.leader()
            await domain.clock.advance(5)
            before = domain.renewals.total
            await domain.clock.advance(120)
            self.assertEqual(domain.renewals.total, before)

        _in_domain(case)


def _lost_lease_s(lease_s: float, idle_s: float) -> float:
    """Return what the lease of a first start lacks on right clocks."""
    granted_s: list[float] = []
    start: Callable[..., Awaitable[float]] = TaskWorkerModel.start

    async def record(worker: TaskWorkerModel, order: object) -> float:
        clock_s = await start(worker, order)
        granted_s.append(worker.starts[-1].deadline_s - clock_s)
        return clock_s

    async def case(domain: Domain) -> None:
        domain.timing = Timing(lease_s=lease_s)
        domain.start_host('h0')
        leader = await domain.leader()
        await domain.clock.advance(idle_s)
        await leader.accept(make_spec('a1'))
        await domain.clock.until(domain.any_run)
        await domain.clock.advance(1)

    with patch.object(TaskWorkerModel, 'start', record):
        _in_domain(case)
    return lease_s - granted_s[0]


if __name__ == '__main__':
    unittest.main()
