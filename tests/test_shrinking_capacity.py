"""Workers whose capacity shrinks and grows while they run tasks.

Starts are queued for a worker behind one whose response is slow. When they
were checked against the capacity only at placement, they were sent long after
the worker had announced less: four of five ran on a worker that had capacity
for two.
"""

import unittest

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import Resources, Step, TaskKey
from tests.domain import ONE_GPU, WORKER_CAPACITY, Domain, in_domain, make_spec

FIRST = TaskKey('a1', 0, 0, 0)

CAPACITY_FOR_TWO = Resources(cpu_millis=8000, memory_mb=65_536, gpus=2)


def resize(
    domain: Domain,
    worker: TaskWorkerModel,
    capacity: Resources,
) -> None:
    """Have a worker announce another capacity."""
    worker.entry = worker.entry._replace(capacity=capacity)
    domain.list_worker(worker.entry)


def wide(width: int) -> Step:
    """Return a step of tasks of one accelerator each."""
    return Step(width=width, needs=ONE_GPU, estimate_s=60.0)


class ShrunkCapacityTest(unittest.TestCase):
    """No task starts on capacity that no longer exists."""

    def test_queued_starts_use_the_newest_capacity(self) -> None:
        """Five wait at a slow worker; its capacity shrinks after the first."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.start_delay_s = 1.2
            await host.accept(make_spec('a1', wide(5)))
            await domain.clock.until(lambda: bool(worker.runs))
            resize(domain, worker, CAPACITY_FOR_TWO)
            await domain.clock.advance(20)
            self.assertLessEqual(worker.peak_runs, 2)

        in_domain(case, workers=1, run_s=60)

    def test_a_gang_is_not_started_if_one_member_does_not_fit(self) -> None:
        """It starts as a whole once it fits again, and never in part."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.start_delay_s = 1.2
            gang = wide(4)._replace(gang=True)
            await host.accept(make_spec('a1', gang))
            await domain.clock.until(lambda: bool(worker.runs))
            resize(domain, worker, CAPACITY_FOR_TWO)
            await domain.clock.advance(5)
            self.assertEqual(len(worker.runs), 0)
            resize(domain, worker, WORKER_CAPACITY)
            await domain.clock.until(lambda: len(worker.runs) == 4)

        in_domain(case, workers=1, run_s=60)

    def test_runs_continue_when_the_capacity_has_shrunk(self) -> None:
        """A stop would discard work; no other task starts meanwhile."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            await host.accept(make_spec('a1', wide(4)))
            await domain.clock.until(lambda: len(worker.runs) == 4)
            resize(domain, worker, CAPACITY_FOR_TWO)
            await host.accept(make_spec('b2', wide(1)))
            await domain.clock.advance(10)
            self.assertEqual(len(worker.starts), 4)
            self.assertEqual(len(worker.runs), 4)

        in_domain(case, workers=1, run_s=60)

    def test_a_flapping_capacity_stops_nothing(self) -> None:
        """The capacity changes each second; four tasks still run to the end."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            await host.accept(make_spec('a1', wide(4)))
            await domain.clock.until(lambda: len(worker.runs) == 4)
            for _ in range(5):
                resize(domain, worker, CAPACITY_FOR_TWO)
                await domain.clock.advance(1)
                resize(domain, worker, WORKER_CAPACITY)
                await domain.clock.advance(1)
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(len(worker.starts), 4)

        in_domain(case, workers=1, run_s=12)

    def test_a_grown_capacity_is_used_at_once(self) -> None:
        """Within the time of one round."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            resize(domain, worker, CAPACITY_FOR_TWO)
            await domain.clock.advance(1)
            await host.accept(make_spec('a1', wide(4)))
            await domain.clock.advance(2)
            self.assertEqual(len(worker.runs), 2)
            resize(domain, worker, WORKER_CAPACITY)
            await domain.clock.until(
                lambda: len(worker.runs) == 4,
                within_s=0.3,
            )

        in_domain(case, workers=1, run_s=60)


#: Changes: a worker, its number of accelerators, and for how many seconds.
SERIES = st.lists(
    st.tuples(
        st.integers(0, 1),
        st.integers(0, 8),
        st.sampled_from((0.02, 0.3, 1.1, 2.6)),
    ),
    min_size=1,
    max_size=15,
)

#: A changed capacity reaches the leader well within this, in seconds.
UPDATE_S = 0.1


class AnyCapacityTest(unittest.TestCase):
    """Capacities that shrink and grow in any order."""

    @settings(max_examples=25, phases=(Phase.explicit, Phase.generate))
    @given(SERIES, st.sampled_from((0.0, 0.25)))
    def test_no_start_exceeds_a_known_capacity(
        self,
        series: list[tuple[int, int, float]],
        start_delay_s: float,
    ) -> None:
        """All accepted jobs end once the capacities are restored."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            for worker in domain.workers.values():
                worker.start_delay_s = start_delay_s
            gang = wide(3)._replace(gang=True)
            await host.accept(make_spec('a1', wide(6)))
            await host.accept(make_spec('b2', gang))
            await host.accept(make_spec('c3', wide(4), priority=0))
            for number, gpus, wait_s in series:
                worker = domain.workers[f'w{number}']
                resize(domain, worker, WORKER_CAPACITY._replace(gpus=gpus))
                await domain.clock.advance(UPDATE_S + start_delay_s)
                await self.check(domain, wait_s)
            for worker in domain.workers.values():
                resize(domain, worker, WORKER_CAPACITY)
            for job_id in ('a1', 'b2', 'c3'):
                self.assertEqual(await domain.ended(job_id), 'completed')

        in_domain(case, run_s=2)

    async def check(self, domain: Domain, wait_s: float) -> None:
        """Advance time; check that each worker which starts a task fits it."""
        until_s = domain.clock.monotonic_s() + wait_s
        while domain.clock.monotonic_s() < until_s:
            before = {
                name: len(worker.starts)
                for name, worker in domain.workers.items()
            }
            await domain.clock.advance(0.01)
            for name, worker in domain.workers.items():
                if len(worker.starts) > before[name]:
                    gpus = worker.entry.capacity.gpus
                    self.assertLessEqual(len(worker.runs), gpus)


if __name__ == '__main__':
    unittest.main()
