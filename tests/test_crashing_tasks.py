"""Tasks that crash the workers that start them.

The end of a run is not reported if its worker has crashed, and the limit of a
queue counts reported ends only. So a task that crashed its worker 10 ms after
each start was placed on another worker as soon as the loss was detected, 19
times until the simulated day ended. The log of such a task repeats every 3.5 s
`worker_unreachable ... Server disconnected`, `worker_gone ... runs 1`,
`run_vanished ... worker gone` and, 5 ms later, `placed` with the next attempt,
without any `run_ended`.
"""

import unittest

from curranthill.placement.suspects import (
    EXCLUSIVE_MAX_WAIT_S,
    SUSPECT_LOSSES,
    SUSPECT_TRIAL_S,
)
from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import Resources, Step, TaskKey
from tests.domain import (
    DOWN_S,
    ONE_GPU,
    WORKER_CAPACITY,
    Domain,
    in_domain,
    make_spec,
)

FIRST = TaskKey('a1', 0, 0, 0)

#: A task that needs a whole worker, like those observed.
WHOLE = Step(width=1, needs=WORKER_CAPACITY, estimate_s=1.0)

#: A task that leaves free capacity on its worker.
HALF = Resources(cpu_millis=8000, memory_mb=1024, gpus=4)

#: The most workers that one task may crash: it must not be started a third
#: time after three workers have crashed under it.
MAX_CRASHES = 5


def worker_of(domain: Domain, task: TaskKey) -> TaskWorkerModel:
    """Return the worker that runs a task."""
    return next(
        worker
        for worker in domain.workers.values()
        if any(key == task for key, _ in worker.runs)
    )


async def crashed_once_more(domain: Domain) -> None:
    """Advance time until the task has crashed a worker, or is given up."""
    seen = domain.crashes(FIRST)

    def has_changed() -> bool:
        return domain.crashes(FIRST) > seen or domain.state('a1') == 'failed'

    await domain.clock.until(has_changed, within_s=60)


class GivenUpTest(unittest.TestCase):
    """Such a task is given up, and its job fails."""

    def test_a_task_that_crashes_its_workers_is_given_up(self) -> None:
        """The workers restart under their ids."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.crashing.add(FIRST)
            await host.accept(make_spec('a1', WHOLE, priority=0))
            await domain.clock.advance(60)
            self.assertEqual(domain.state('a1'), 'failed')
            self.assertLessEqual(len(domain.starts(FIRST)), MAX_CRASHES)

        in_domain(case, workers=6)

    def test_it_is_given_up_if_workers_return_under_other_ids(self) -> None:
        """The losses are counted by task, not by worker."""

        async def case(domain: Domain) -> None:
            domain.same_id = False
            host = domain.start_host('h1')
            await domain.leader()
            domain.crashing.add(FIRST)
            await host.accept(make_spec('a1', WHOLE, priority=0))
            await domain.clock.advance(60)
            self.assertEqual(domain.state('a1'), 'failed')
            self.assertLessEqual(len(domain.starts(FIRST)), MAX_CRASHES)

        in_domain(case, workers=6)

    def test_it_is_given_up_across_leaders(self) -> None:
        """A new leader continues the count of the previous ones."""

        async def case(domain: Domain) -> None:
            domain.same_id = False
            host = domain.start_host('h0')
            await domain.leader()
            domain.crashing.add(FIRST)
            await host.accept(make_spec('a1', WHOLE, priority=0))
            for number in range(1, 12):
                await crashed_once_more(domain)
                await domain.leading()[0].kill()
                domain.start_host(f'h{number}')
                await domain.leader()
            self.assertEqual(domain.state('a1'), 'failed')
            self.assertLessEqual(len(domain.starts(FIRST)), MAX_CRASHES)

        in_domain(case, workers=6)


class SameIdTest(unittest.TestCase):
    """Workers that are back under their ids before a new leader probes."""

    def test_a_crash_that_no_leader_saw_is_counted(self) -> None:
        """The assignment names the incarnation that the task started in."""

        async def case(domain: Domain) -> None:
            domain.down_s = 0.2
            domain.start_host('h0')
            await domain.leader()
            domain.crashing.add(FIRST)
            await domain.hosts['h0'].accept(make_spec('a1', WHOLE))
            for number in range(1, 12):
                await crashed_once_more(domain)
                await domain.leading()[0].kill()
                await domain.clock.advance(1)
                domain.start_host(f'h{number}')
                await domain.leader()
            self.assertEqual(domain.state('a1'), 'failed')
            self.assertLessEqual(len(domain.starts(FIRST)), MAX_CRASHES)

        in_domain(case, workers=6)


def _accepts_work(domain: Domain, name: str) -> bool:
    """Return whether the leader may place tasks at a worker."""
    leader = domain.leading()[0].leader
    assert leader is not None
    session = leader.term.sessions.get(name)
    return session is not None and session.accepts_work


class InnocentTest(unittest.TestCase):
    """Tasks that can't have caused a crash are not counted for it."""

    def test_a_start_that_was_never_sent_is_not_counted(self) -> None:
        """Its worker had crashed unnoticed; it starts elsewhere at once."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.workers['w0'].crash()
            await host.accept(make_spec('a1', WHOLE, priority=0))
            await domain.clock.until(
                lambda: bool(domain.starts(FIRST)),
                within_s=0.2,
            )
            self.assertEqual(domain.progress('a1').task(FIRST).losses, 0)
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case)

    def test_a_start_that_reached_another_worker_is_not_counted(
        self,
    ) -> None:
        """Its worker had crashed unnoticed; another one has its address."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            # Otherwise the leader's first probe may already find it replaced.
            await domain.clock.until(lambda: _accepts_work(domain, 'w0'))
            domain.workers['w0'].replaced = True
            await host.accept(make_spec('a1', WHOLE, priority=0))
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(FIRST), [2])

        in_domain(case)

    def test_a_loss_is_revoked_when_a_cut_worker_is_back(self) -> None:
        """Its lease had expired, but its incarnation is the same."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', WHOLE))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            await domain.clock.advance(1)
            worker = domain.workers['w0']
            worker.disconnected = True
            await domain.clock.until(
                lambda: domain.progress('a1').task(FIRST).losses == 1,
                within_s=12,
            )
            worker.disconnected = False
            await domain.clock.until(
                lambda: domain.progress('a1').task(FIRST).losses == 0,
                within_s=3,
            )

        in_domain(case, run_s=60)

    def test_a_worker_without_a_known_incarnation_has_not_crashed(self) -> None:
        """A new leader finds its entry missing, and then the worker up."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', WHOLE))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            worker = domain.workers['w0']
            domain.delist_worker('w0')
            await host.kill()
            domain.start_host('h2')
            await domain.leader()
            await domain.clock.until(
                lambda: domain.progress('a1').task(FIRST).losses == 1,
                within_s=30,
            )
            domain.list_worker(worker.entry)
            await domain.clock.advance(2)
            task = domain.progress('a1').task(FIRST)
            self.assertEqual((task.losses, task.prompt_crashes), (0, 0))

        in_domain(case, run_s=100)

    def test_a_run_that_was_lost_with_its_leader_had_not_just_started(
        self,
    ) -> None:
        """Its age is not known to the next leader."""

        async def case(domain: Domain) -> None:
            for number in range(4):
                domain.start_host(f'h{number}')
            leader = await domain.leader()
            await leader.accept(make_spec('a1'))
            for losses in range(1, 4):
                await domain.clock.until(domain.any_run)
                await domain.clock.advance(30)
                await (await domain.leader()).kill()
                used = next(one for one in domain.workers.values() if one.runs)
                used.crash()
                await domain.clock.advance(DOWN_S + 2)
                progress = domain.progress('a1').task(FIRST)
                self.assertEqual(domain.state('a1'), 'running')
                self.assertEqual(progress.losses, losses)
                self.assertEqual(progress.prompt_crashes, 0)

        in_domain(case, workers=4, run_s=600)

    def test_a_worker_that_drains_is_not_counted(self) -> None:
        """It had announced that it drains, and its runs ended with it."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', WHOLE))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            worker = domain.workers['w0']
            domain.list_worker(worker.entry._replace(leaving=True))
            await domain.clock.advance(1)
            worker.replaced = True
            await domain.clock.until(lambda: len(domain.starts(FIRST)) == 2)
            self.assertEqual(domain.progress('a1').task(FIRST).losses, 0)

        in_domain(case, run_s=60)

    def test_the_losses_of_a_perpetual_task_are_cleared(self) -> None:
        """After it has run for ten minutes, earlier losses do not count."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            perpetual = Step(width=1, needs=WORKER_CAPACITY, perpetual=True)
            await host.accept(make_spec('a1', perpetual))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            await domain.clock.advance(5)
            domain.workers['w0'].crash()
            await domain.clock.until(lambda: len(domain.starts(FIRST)) == 2)
            self.assertEqual(domain.progress('a1').task(FIRST).losses, 1)
            await domain.clock.advance(700)
            self.assertEqual(domain.progress('a1').task(FIRST).losses, 0)

        in_domain(case, run_s=10_000)


class SuspectTest(unittest.TestCase):
    """Tasks that may have crashed a worker are started apart from others."""

    def test_a_neighbour_of_a_crashing_task_is_not_given_up(self) -> None:
        """Both ran on the workers that crashed; only one crashes them."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.crashing.add(FIRST)
            for number in range(6):
                await host.accept(make_spec(f'n{number}'))
            await host.accept(make_spec('a1'))
            self.assertEqual(await domain.ended('a1'), 'failed')
            for number in range(6):
                self.assertEqual(await domain.ended(f'n{number}'), 'completed')

        in_domain(case, workers=3)

    def test_suspects_have_a_worker_each(self) -> None:
        """Two tasks that ran on a crashed worker start exclusively on two."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            for job_id in ('a1', 'b2'):
                await host.accept(make_spec(job_id))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            domain.workers['w0'].crash()
            await domain.clock.until(lambda: len(domain.starts(FIRST)) == 2)
            await host.accept(make_spec('c3', Step(width=8, needs=ONE_GPU)))
            await domain.clock.advance(1)
            places = [
                sorted(task.job_id for task, _ in worker.runs)
                for worker in domain.workers.values()
            ]
            self.assertIn(['a1'], places)
            self.assertIn(['b2'], places)

        in_domain(case, workers=3, run_s=20)

    def test_a_step_that_crashes_its_workers_takes_one_at_a_time(self) -> None:
        """Six tasks, each with a worker of its own, crash six at first."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            step = Step(width=6, needs=WORKER_CAPACITY, estimate_s=1.0)
            keys = [FIRST._replace(rank=rank) for rank in range(6)]
            domain.crashing.update(keys)
            await host.accept(make_spec('a1', step))
            self.assertEqual(await domain.ended('a1'), 'failed')
            crashes = sum(domain.crashes(key) for key in keys)
            self.assertLessEqual(crashes, 6 + 2)

        in_domain(case, workers=8)

    def test_a_suspect_does_not_wait_for_one_at_a_silent_worker(self) -> None:
        """Whether that one crashes its worker is not known for a lease."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.down_s = 0.5
            step = Step(
                width=2, needs=ONE_GPU, estimate_s=600.0, max_per_worker=1
            )
            await host.accept(make_spec('a1', step))
            tasks = [FIRST, FIRST._replace(rank=1)]
            for _ in range(SUSPECT_LOSSES):
                await domain.clock.advance(SUSPECT_TRIAL_S + 2)
                for task in tasks:
                    worker_of(domain, task).crash()
            await domain.clock.advance(3)
            worker_of(domain, tasks[0]).disconnected = True
            starts = len(domain.starts(tasks[1]))
            await domain.clock.until(
                lambda: len(domain.starts(tasks[1])) > starts,
                within_s=SUSPECT_TRIAL_S,
            )

        in_domain(case, workers=8, run_s=600)

    def test_perpetual_suspects_do_not_wait_for_each_other(self) -> None:
        """Both run again soon after their worker has crashed."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            step = Step(width=2, needs=ONE_GPU, perpetual=True)
            await host.accept(make_spec('a1', step))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            domain.workers['w0'].crash()
            await domain.clock.advance(DOWN_S + 3)
            for rank in range(2):
                starts = domain.starts(FIRST._replace(rank=rank))
                self.assertEqual(len(starts), 2)

        in_domain(case, workers=3, run_s=10_000)

    def test_a_suspect_waits_only_so_long_for_a_worker_of_its_own(
        self,
    ) -> None:
        """No worker is empty, so it starts beside other runs."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            domain.workers['w0'].crash()
            await host.accept(make_spec('n1', Step(width=1, needs=HALF)))
            await domain.clock.until(
                lambda: len(domain.starts(FIRST)) == 2,
                within_s=DOWN_S + EXCLUSIVE_MAX_WAIT_S + 1,
            )

        in_domain(case, workers=1, run_s=40)


if __name__ == '__main__':
    unittest.main()
