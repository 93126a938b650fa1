"""No job stays in a state that no event ends, whatever led to it."""

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

#: Two looks and a start.
MENDED_S: Final = 5.0

Spoil = Callable[[Domain, TermState], None]


class Lines:
    """Keeps the lines that are logged of inconsistent jobs."""

    def __init__(self) -> None:
        """Start with none."""
        self.found: list[str] = []

    def log(self, kind: str, **fields: Any) -> None:
        """Keep what one of them tells."""
        if kind == 'job_inconsistent':
            self.found.append(fields['found'])


def drop_session_run(domain: Domain, term: TermState) -> None:
    """Have the session forget a run that its worker lost."""
    run = term.jobs['a1'].runs[FIRST]
    term.sessions[run.worker_id].runs.pop(run.name)
    domain.workers[run.worker_id].runs.clear()


def drop_run(domain: Domain, term: TermState) -> None:
    """Forget a run that its worker lost, and keep its mark."""
    drop_session_run(domain, term)
    term.jobs['a1'].runs.pop(FIRST)


def drop_known_run(domain: Domain, term: TermState) -> None:
    """Forget a run that its worker still has, and keep its mark."""
    run = term.jobs['a1'].runs.pop(FIRST)
    term.sessions[run.worker_id].runs.pop(run.name)


def drop_run_of_gone_worker(domain: Domain, term: TermState) -> None:
    """Forget a run whose worker is gone, and keep its mark."""
    run = term.jobs['a1'].runs[FIRST]
    drop_run(domain, term)
    domain.workers[run.worker_id].gone = True
    term.sessions[run.worker_id].remove()


def drop_member(domain: Domain, term: TermState) -> None:
    """Forget a member of a gang, with its mark, and not its fellow."""
    drop_run(domain, term)
    term.jobs['a1'].progress.task(FIRST).worker = ''


def end_member(domain: Domain, term: TermState) -> None:
    """Take one member of a gang as done, and not its fellow."""
    drop_member(domain, term)
    term.jobs['a1'].progress.task(FIRST).done = True


def end_all(domain: Domain, term: TermState) -> None:
    """Take all tasks as done, and the job not as ended."""
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


class MendedTest(unittest.TestCase):
    """What is found is told once and mended."""

    def check(self, step: Step, spoil: Spoil) -> Lines:
        """Spoil what the leader knows of a job; return what was told."""
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
                spoil(domain, host.leader.term)
                for _ in range(40):
                    await domain.clock.advance(0.5)
                    watch.check()
            self.assertEqual(domain.state('a1'), 'completed')
            self.assertEqual(watch.violations, [])

        in_domain(case, workers=3, run_s=3)
        return lines

    def test_a_run_that_no_session_holds_starts_again(self) -> None:
        """Its worker is asked first."""
        lines = self.check(PAIR, drop_session_run)
        self.assertEqual(lines.found, ['run_unheld'])

    def test_a_mark_without_a_run_starts_again(self) -> None:
        """Its worker is asked first."""
        lines = self.check(PAIR, drop_run)
        self.assertEqual(lines.found, ['mark_without_run'])

    def test_a_mark_at_a_gone_worker_starts_again(self) -> None:
        """Once a lease of that worker would have lapsed."""
        lines = self.check(PAIR, drop_run_of_gone_worker)
        self.assertEqual(lines.found, ['mark_without_run'])

    def test_a_run_that_its_worker_has_gets_no_second_beside_it(self) -> None:
        """The worker lists it: it is stopped before the next start."""
        self.check(PAIR, drop_known_run)

    def test_a_gang_that_lacks_a_member_is_stopped(self) -> None:
        """It starts again as a whole."""
        lines = self.check(GANG, drop_member)
        self.assertEqual(lines.found, ['gang_incomplete'])

    def test_a_gang_that_is_partly_done_is_done(self) -> None:
        """One member's end tells of all."""
        lines = self.check(GANG, end_member)
        self.assertEqual(lines.found, ['gang_partly_done'])

    def test_a_job_without_an_open_task_ends(self) -> None:
        """All its tasks are done."""
        lines = self.check(PAIR, end_all)
        self.assertEqual(lines.found, ['end_not_noted'])


class EndedJobTest(unittest.TestCase):
    """A job that has ended is kept until its runs have."""

    def test_a_cancelled_job_whose_run_nobody_holds_is_dropped(self) -> None:
        """Its rows and its place in memory would stay."""

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
                within_s=MENDED_S,
            )

        in_domain(case, workers=2, run_s=3)


class RecoveredMarkTest(unittest.TestCase):
    """A run of this term whose mark is taken up again may exist."""

    def test_a_list_under_the_token_of_its_start_does_not_end_it(self) -> None:
        """That list may have been made before the start came through."""

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
    """What a former leader left half done is ended."""

    def test_a_gang_that_lost_a_member_in_a_former_term_is_stopped(
        self,
    ) -> None:
        """The former leader could not stop the fellow."""

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
            domain.workers[lost].gone = True
            await domain.clock.until(
                lambda: not domain.progress('a1').task(FIRST).worker,
            )
            self.assertTrue(domain.progress('a1').task(SECOND).worker)
            await host.kill()
            domain.start_host('h2')
            await domain.clock.until(
                lambda: domain.starts(FIRST) == [1, 2],
                within_s=MENDED_S + 5,
            )
            self.assertEqual(domain.starts(SECOND), [1, 2])
            self.assertEqual(await domain.ended('a1', 90), 'completed')

        in_domain(case, workers=3, run_s=60)


class HealthTest(unittest.TestCase):
    """Nothing is told of jobs that go on."""

    def test_healthy_jobs_are_not_told_of(self) -> None:
        """Through restarts of workers and the loss of one."""

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
