"""A job does not stay in a state that no event can end."""

import unittest
from collections.abc import Callable
from typing import Any, Final
from unittest.mock import Mock, patch

from curranthill.dispatch import consistency
from curranthill.dispatch.term_state import TermState
from curranthill.tasks import Resources, Step, TaskKey
from tests.domain import ONE_GPU, Domain, in_domain, make_spec
from tests.invariants import InvariantChecker

FIRST: Final = TaskKey('a1', 0, 0, 0)
SECOND: Final = TaskKey('a1', 0, 0, 1)

WHOLE_WORKER: Final = Resources(cpu_millis=4000, memory_mb=1024, gpus=8)
GANG: Final = Step(width=2, needs=WHOLE_WORKER, estimate_s=1.0, gang=True)
PAIR: Final = Step(width=2, needs=ONE_GPU, estimate_s=1.0)

#: Two checks and a start, in seconds.
REPAIR_S: Final = 5.0

Corrupt = Callable[[Domain, TermState], None]


class Lines:
    """Records the log lines of inconsistent jobs."""

    def __init__(self) -> None:
        """Initialize a log without lines."""
        self.found: list[str] = []

    def log(self, kind: str, **fields: Any) -> None:
        """Record what a log line has found."""
        if kind == 'job_inconsistent':
            self.found.append(fields['found'])


def drop_session_run(domain: Domain, term: TermState) -> None:
    """Drop a run, which its worker has lost, from its session."""
    run = term.jobs['a1'].runs[FIRST]
    term.sessions[run.worker_id].runs.pop(run.name)
    domain.workers[run.worker_id].runs.clear()


def drop_run(domain: Domain, term: TermState) -> None:
    """Drop a run, which its worker has lost, but keep its assignment."""
    drop_session_run(domain, term)
    term.jobs['a1'].runs.pop(FIRST)


def drop_known_run(domain: Domain, term: TermState) -> None:
    """Drop a run that its worker still has, but keep its assignment."""
    run = term.jobs['a1'].runs.pop(FIRST)
    term.sessions[run.worker_id].runs.pop(run.name)


def drop_run_of_removed_worker(domain: Domain, term: TermState) -> None:
    """Drop a run whose worker is removed, but keep its assignment."""
    run = term.jobs['a1'].runs[FIRST]
    drop_run(domain, term)
    domain.workers[run.worker_id].replaced = True
    term.sessions[run.worker_id].remove()


def drop_member(domain: Domain, term: TermState) -> None:
    """Drop one member of a gang with its assignment."""
    drop_run(domain, term)
    term.jobs['a1'].progress.task(FIRST).worker = ''


def end_member(domain: Domain, term: TermState) -> None:
    """Set one member of a gang to done."""
    drop_member(domain, term)
    term.jobs['a1'].progress.task(FIRST).done = True


def end_all(domain: Domain, term: TermState) -> None:
    """Set all tasks to done without ending the job."""
    drop_run(domain, term)
    job = term.jobs['a1']
    for key in list(job.runs):
        run = job.runs.pop(key)
        term.sessions[run.worker_id].runs.pop(run.name)
    for worker in domain.workers.values():
        worker.runs.clear()
    for key in (FIRST, SECOND):
        task = job.progress.task(key)
        task.worker = ''
        task.done = True


class RepairTest(unittest.TestCase):
    """What is found is logged once and repaired."""

    def check(self, step: Step, corrupt: Corrupt) -> Lines:
        """Corrupt the leader's state of a job; return the lines logged."""
        lines = Lines()

        async def case(domain: Domain) -> None:
            watch = InvariantChecker(workers=domain.workers.values, attempts=2)
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', step))
            await domain.clock.until(lambda: bool(domain.starts(SECOND)))
            await domain.clock.advance(0.5)
            assert host.leader is not None
            with patch.object(consistency, 'events', lines):
                corrupt(domain, host.leader.term)
                for _ in range(40):
                    await domain.clock.advance(0.5)
                    watch.check()
            self.assertEqual(domain.state('a1'), 'completed')
            self.assertEqual(watch.violations, [])

        in_domain(case, workers=3, run_s=3)
        return lines

    def test_a_run_that_no_session_tracks_starts_again(self) -> None:
        """Its worker is asked first whether it exists."""
        lines = self.check(PAIR, drop_session_run)
        self.assertEqual(lines.found, ['run_unheld'])

    def test_an_assignment_without_a_run_starts_again(self) -> None:
        """Its worker is asked first whether the run exists."""
        lines = self.check(PAIR, drop_run)
        self.assertEqual(lines.found, ['mark_without_run'])

    def test_an_assignment_to_a_removed_worker_starts_again(self) -> None:
        """It does so once a lease of that worker would have expired."""
        lines = self.check(PAIR, drop_run_of_removed_worker)
        self.assertEqual(lines.found, ['mark_without_run'])

    def test_a_run_that_its_worker_has_gets_no_second_beside_it(self) -> None:
        """The worker reports it, and it is stopped before the next start."""
        self.check(PAIR, drop_known_run)

    def test_a_gang_that_lacks_a_member_is_stopped(self) -> None:
        """It starts again as a whole."""
        lines = self.check(GANG, drop_member)
        self.assertEqual(lines.found, ['gang_incomplete'])

    def test_a_gang_that_is_partly_done_is_done(self) -> None:
        """The end of one member applies to all."""
        lines = self.check(GANG, end_member)
        self.assertEqual(lines.found, ['gang_partly_done'])

    def test_a_job_whose_tasks_are_all_done_ends(self) -> None:
        """It ends although the end of its last task was not applied."""
        lines = self.check(PAIR, end_all)
        self.assertEqual(lines.found, ['end_not_noted'])


class EndedJobTest(unittest.TestCase):
    """A job that has ended is tracked until its runs have ended."""

    def test_a_cancelled_job_with_an_untracked_run_is_dropped(self) -> None:
        """Otherwise its rows and its memory would never be freed."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', PAIR))
            await domain.clock.until(lambda: bool(domain.starts(SECOND)))
            await domain.clock.advance(0.5)
            assert host.leader is not None
            term = host.leader.term
            drop_session_run(domain, term)
            term.cancel('a1')
            await domain.clock.until(
                lambda: 'a1' not in term.jobs,
                within_s=REPAIR_S,
            )

        in_domain(case, workers=2, run_s=3)


class RecoveredAssignmentTest(unittest.TestCase):
    """A run of this term that is recovered from its assignment may exist."""

    def test_a_report_under_the_token_of_its_start_does_not_end_it(
        self,
    ) -> None:
        """That report may have been made before the start took effect."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', PAIR))
            await domain.clock.until(lambda: bool(domain.starts(SECOND)))
            await domain.clock.advance(0.5)
            assert host.leader is not None
            term = host.leader.term
            run = term.jobs['a1'].runs[FIRST]
            session = term.sessions[run.worker_id]
            token = session.token
            checker = consistency.ConsistencyCheck(
                clock=domain.clock,
                term=term,
                writer=Mock(),
                recover=lambda job, key: term.recover_run(job, key, session),
            )
            drop_known_run(domain, term)
            checker.check()
            checker.check()
            found = term.jobs['a1'].runs[FIRST]
            self.assertEqual(found.ordered_token, token)
            self.assertGreater(session.token, token)

        in_domain(case, workers=1, run_s=30)


class TakeoverTest(unittest.TestCase):
    """What a previous leader left incomplete is repaired."""

    def test_a_gang_that_lost_a_member_in_a_previous_term_is_stopped(
        self,
    ) -> None:
        """The previous leader could not stop the other member."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', GANG))
            await domain.clock.until(lambda: bool(domain.starts(SECOND)))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            await domain.clock.advance(0.5)
            job = domain.progress('a1')
            lost, kept = (job.task(key).worker for key in (FIRST, SECOND))
            host.cut_off.add(kept)
            domain.workers[lost].runs.clear()
            domain.workers[lost].replaced = True
            await domain.clock.until(
                lambda: not domain.progress('a1').task(FIRST).worker,
            )
            self.assertTrue(domain.progress('a1').task(SECOND).worker)
            await host.kill()
            domain.start_host('h2')
            await domain.clock.until(
                lambda: domain.starts(FIRST) == [1, 2],
                within_s=REPAIR_S + 5,
            )
            self.assertEqual(domain.starts(SECOND), [1, 2])
            self.assertEqual(await domain.ended('a1', 90), 'completed')

        in_domain(case, workers=3, run_s=60)


class HealthTest(unittest.TestCase):
    """Nothing is logged of healthy jobs."""

    def test_healthy_jobs_are_not_logged(self) -> None:
        """This holds through restarts of all their workers."""

        async def case(domain: Domain) -> None:
            lines = Lines()
            host = domain.start_host('h1')
            await domain.leader()
            with patch.object(consistency, 'events', lines):
                for number, step in enumerate((GANG, PAIR, GANG, PAIR)):
                    await host.accept(make_spec(f'a{number}', step))
                for name in ('w0', 'w1', 'w2'):
                    await domain.clock.advance(2)
                    domain.restart_worker(name)
                for number in range(4):
                    await domain.ended(f'a{number}', 90)
            self.assertEqual(lines.found, [])

        in_domain(case, workers=3, run_s=3)


if __name__ == '__main__':
    unittest.main()
