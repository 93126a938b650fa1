"""Losses that a later leader has to take back, or to count."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from curranthill.dispatch.crashes import (
    CONFIRMATION_S,
    MAX_LOSSES,
    PROMPT_CRASH_S,
)
from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import (
    JobProgress,
    Step,
    TaskKey,
    TaskProgress,
    UnconfirmedLoss,
    decode,
    encode,
)
from tests.domain import ONE_GPU, Domain, TestHost, in_domain, make_spec

LONG = Step(width=1, needs=ONE_GPU, estimate_s=600.0)
TASK = TaskKey('a1', 0, 0, 0)

#: Longer than the wait for a lease after a change of the leader, in seconds.
EXPIRED_WITHIN_S = 20.0

Ending = Callable[[Domain, TestHost], Awaitable[None]]


async def kill(domain: Domain, leader: TestHost) -> None:
    """Kill a leader."""
    await leader.kill()


async def step_down(domain: Domain, leader: TestHost) -> None:
    """Stop a leader as a planned restart does."""
    assert leader.leader is not None
    await leader.during(leader.leader.step_down())
    await leader.kill()


def used_worker(domain: Domain) -> TaskWorkerModel:
    """Return the reachable worker that has a run."""
    return next(
        worker
        for worker in domain.workers.values()
        if worker.runs and not worker.disconnected
    )


def losses(domain: Domain, task: TaskKey = TASK) -> int:
    """Return how many losses of a task are stored."""
    return domain.progress(task.job_id).task(task).losses


async def shown_as_running(domain: Domain) -> None:
    """Wait until the confirmed start of the job is stored."""
    await domain.clock.until(
        lambda: domain.state('a1') == 'running', within_s=1
    )


async def started_job(domain: Domain, step: Step = LONG) -> TestHost:
    """Start three hosts and one job; return the leader."""
    for number in range(3):
        domain.start_host(f'h{number}')
    leader = await domain.leader()
    await leader.accept(make_spec('a1', step))
    await domain.clock.until(lambda: bool(domain.starts(TASK)))
    return leader


async def lose_run(domain: Domain, *, after_s: float = 5.0) -> TaskWorkerModel:
    """Cut off the worker of the task until its lease has expired."""
    await domain.clock.advance(after_s)
    cut = used_worker(domain)
    known = losses(domain)
    cut.disconnected = True
    await domain.clock.until(
        lambda: losses(domain) > known, within_s=EXPIRED_WITHIN_S
    )
    return cut


class RevokedTest(unittest.TestCase):
    """The worker responds in the same incarnation: it has not crashed."""

    def test_under_the_leader_after_a_planned_stop(self) -> None:
        """A rolling restart of the hosts must not turn cuts into crashes."""
        self._check_revoked(step_down)

    def test_under_the_second_leader_after_the_loss(self) -> None:
        """The leader in between must store the loss as unconfirmed again."""

        async def end_two(domain: Domain, leader: TestHost) -> None:
            await kill(domain, leader)
            await kill(domain, await domain.leader())

        self._check_revoked(end_two)

    def test_after_its_entry_was_removed_between_two_leaders(self) -> None:
        """The leader has no session of the worker until it is listed again."""

        async def case(domain: Domain) -> None:
            leader = await started_job(domain)
            cut = await lose_run(domain)
            domain.delist_worker(cut.entry.worker_id)
            await leader.kill()
            await domain.leader()
            await domain.clock.advance(5)
            self.assertEqual(losses(domain), 1)
            cut.disconnected = False
            domain.list_worker(cut.entry)
            await domain.clock.until(lambda: not losses(domain), within_s=5)

        in_domain(case, workers=4, run_s=600.0)

    def test_of_all_members_of_a_gang(self) -> None:
        """The whole gang is lost with one worker."""

        async def case(domain: Domain) -> None:
            gang = Step(width=2, needs=ONE_GPU, estimate_s=600.0, gang=True)
            leader = await started_job(domain, gang)
            await domain.clock.advance(5)
            cut = [one for one in domain.workers.values() if one.runs]
            for worker in cut:
                worker.disconnected = True
            await domain.clock.until(
                lambda: losses(domain) == 1, within_s=EXPIRED_WITHIN_S
            )
            await leader.kill()
            for worker in cut:
                worker.disconnected = False
            await domain.clock.advance(10)
            for key in (TASK, TASK._replace(rank=1)):
                self.assertEqual(losses(domain, key), 0)

        in_domain(case, workers=4, run_s=600.0)

    def test_five_cuts_with_a_kill_each_do_not_end_the_job(self) -> None:
        """Without a crash a job must not be shown as failed."""

        async def case(domain: Domain) -> None:
            leader = await started_job(domain)
            for number in range(MAX_LOSSES):
                cut = await lose_run(domain)
                await leader.kill()
                domain.start_host(f'n{number}')
                cut.disconnected = False
                leader = await domain.leader()
            await domain.clock.advance(10)
            self.assertEqual(domain.state('a1'), 'running')
            self.assertEqual(losses(domain), 0)

        in_domain(case, workers=4, run_s=600.0)

    def test_a_second_return_revokes_nothing(self) -> None:
        """A loss at another worker is not taken back with it."""

        async def case(domain: Domain) -> None:
            leader = await started_job(domain)
            first = await lose_run(domain)
            second = await lose_run(domain)
            await leader.kill()
            first.disconnected = False
            await domain.leader()
            await domain.clock.until(
                lambda: losses(domain) == 1, within_s=EXPIRED_WITHIN_S
            )
            first.disconnected = True
            await domain.clock.advance(3)
            first.disconnected = False
            await domain.clock.advance(3)
            self.assertEqual(losses(domain), 1)
            second.disconnected = False
            await domain.clock.until(lambda: not losses(domain), within_s=5)

        in_domain(case, workers=5, run_s=600.0)

    def _check_revoked(self, end_leader: Ending) -> None:
        async def case(domain: Domain) -> None:
            leader = await started_job(domain)
            cut = await lose_run(domain)
            await end_leader(domain, leader)
            cut.disconnected = False
            await domain.leader()
            await domain.clock.until(lambda: not losses(domain), within_s=5)
            self.assertEqual(
                domain.progress('a1').unconfirmed_losses,
                {},
            )

        in_domain(case, workers=4, run_s=600.0)


class ConfirmedTest(unittest.TestCase):
    """The worker has crashed, which no leader saw happen."""

    def test_a_restart_under_the_next_leader_counts(self) -> None:
        """A run that had just started counts as a prompt crash, too."""

        async def case(domain: Domain) -> None:
            leader = await started_job(domain)
            cut = await lose_run(domain, after_s=PROMPT_CRASH_S / 4)
            await leader.kill()
            await domain.leader()
            cut.disconnected = False
            domain.restart_worker(cut.entry.worker_id)
            await domain.clock.advance(5)
            task = domain.progress('a1').task(TASK)
            self.assertEqual((task.losses, task.prompt_crashes), (1, 1))
            self.assertEqual(domain.progress('a1').unconfirmed_losses, {})

        in_domain(case, workers=4, run_s=600.0)

    def test_workers_that_never_return_end_the_job(self) -> None:
        """Otherwise such a task would crash one worker after another."""

        async def case(domain: Domain) -> None:
            leader = await started_job(domain)
            for number in range(MAX_LOSSES):
                await shown_as_running(domain)
                lost = await lose_run(domain)
                domain.delist_worker(lost.entry.worker_id)
                await leader.kill()
                domain.start_host(f'n{number}')
                leader = await domain.leader()
            await domain.clock.advance(CONFIRMATION_S + 1)
            self.assertEqual(domain.state('a1'), 'failed')
            self.assertEqual(len(domain.starts(TASK)), MAX_LOSSES)

        in_domain(case, workers=8, run_s=600.0)

    def test_a_loss_is_counted_once_by_two_leaders(self) -> None:
        """Both wait for the lease of the same run to expire."""

        async def case(domain: Domain) -> None:
            leader = await started_job(domain)
            await domain.clock.advance(5)
            used_worker(domain).disconnected = True
            await domain.clock.advance(4)
            await leader.kill()
            second = await domain.leader()
            await domain.clock.until(
                lambda: losses(domain) == 1, within_s=EXPIRED_WITHIN_S
            )
            await second.kill()
            await domain.leader()
            await domain.clock.advance(EXPIRED_WITHIN_S)
            self.assertEqual(losses(domain), 1)

        in_domain(case, workers=4, run_s=600.0)


class DrainedTest(unittest.TestCase):
    """A worker has announced that it drains, and has left."""

    def test_a_leader_that_never_saw_its_entry_counts_no_loss(self) -> None:
        """Its entry is removed before the next leader reads the list."""

        async def case(domain: Domain) -> None:
            leader = await started_job(domain)
            await domain.clock.advance(5)
            worker = used_worker(domain)
            domain.list_worker(worker.entry._replace(leaving=True))
            await domain.clock.advance(1)
            worker.disconnected = True
            domain.delist_worker(worker.entry.worker_id)
            await leader.kill()
            await domain.leader()
            await domain.clock.until(
                lambda: len(domain.starts(TASK)) == 2,
                within_s=EXPIRED_WITHIN_S,
            )
            self.assertEqual(losses(domain), 0)

        in_domain(case, workers=4, run_s=600.0)

    def test_a_crash_of_the_next_worker_counts(self) -> None:
        """The announcement holds for one attempt only."""

        async def case(domain: Domain) -> None:
            await started_job(domain)
            worker = used_worker(domain)
            domain.list_worker(worker.entry._replace(leaving=True))
            await domain.clock.advance(1)
            worker.replaced = True
            await domain.clock.until(lambda: len(domain.starts(TASK)) == 2)
            await domain.clock.advance(5)
            worker.disconnected = True
            used_worker(domain).crash()
            await domain.clock.until(
                lambda: losses(domain) == 1, within_s=EXPIRED_WITHIN_S
            )

        in_domain(case, workers=4, run_s=600.0)


class WithheldTest(unittest.TestCase):
    """A task reaches the limit by a loss that is not confirmed."""

    def test_a_worker_that_returns_at_the_limit_saves_the_job(self) -> None:
        """The task does not start, and its job does not end, before that."""

        async def case(domain: Domain) -> None:
            await started_job(domain)
            cut = [await lose_run(domain) for _ in range(MAX_LOSSES)]
            self.assertEqual(losses(domain), MAX_LOSSES)
            self.assertEqual(len(domain.starts(TASK)), MAX_LOSSES)
            cut[-1].disconnected = False
            await domain.clock.until(
                lambda: len(domain.starts(TASK)) > MAX_LOSSES, within_s=2
            )
            self.assertEqual(domain.state('a1'), 'running')
            self.assertEqual(losses(domain), MAX_LOSSES - 1)

        in_domain(case, workers=8, run_s=600.0)


class _FormerProgress(msgspec.Struct, array_like=True):
    """The row of a job as the release before unconfirmed losses knows it."""

    queue: str
    state: str = 'queued'
    tasks: dict[str, TaskProgress] = {}
    ended_at_s: float = 0.0
    done_steps: list[str] = []
    reason: str = ''
    stops: int = 0


class ReleasesTest(unittest.TestCase):
    """Rows that another release has written."""

    def test_rows_of_both_releases_are_read(self) -> None:
        """An upgrade and a downgrade keep the counted losses."""
        task = TaskProgress(attempt=2, losses=1)
        current = JobProgress(
            queue='q',
            tasks={'0.0.0': task},
            unconfirmed_losses={'0.0.0': [UnconfirmedLoss('w0', 1)]},
        )
        former = _FormerProgress(queue='q', tasks={'0.0.0': task})
        self.assertEqual(_converted(current, _FormerProgress), former)
        read = _converted(former, JobProgress)
        self.assertEqual(
            read, msgspec.structs.replace(current, unconfirmed_losses={})
        )


def _converted(record: msgspec.Struct, form: type[Any]) -> Any:
    return decode(encode(record), form)


if __name__ == '__main__':
    unittest.main()
