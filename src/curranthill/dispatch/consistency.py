"""Detects and repairs tasks that wait for an event that can't happen.

Each task of a job that has not ended is done, has a run that its worker's
session tracks, or may be placed later. Any other state results from a fault in
the program or in a stored record: it is logged, and the task is put back into
one of these states, but never while another run of it may exist.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.term_state import TermState
from curranthill.placement import ActiveJob
from curranthill.registry import Registry
from curranthill.tasks import TaskKey
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The interval at which all jobs are checked, in seconds. A finding of two
#: consecutive checks is not a transient state.
CHECK_INTERVAL_S: Final = 1.0

RUN_UNTRACKED: Final = 'run_unheld'
ASSIGNMENT_WITHOUT_RUN: Final = 'mark_without_run'
GANG_INCOMPLETE: Final = 'gang_incomplete'
GANG_PARTLY_DONE: Final = 'gang_partly_done'
END_NOT_RECORDED: Final = 'end_not_noted'

Sessions = Mapping[str, WorkerSession]


class Finding(NamedTuple):
    """One task in a state that no event ends.

    :param worker_id: where a run of it may exist; empty if nowhere.
    """

    kind: str
    key: TaskKey
    attempt: int
    worker_id: str


Finder = Callable[[ActiveJob, Sessions], Iterator[Finding]]

finders: Registry[Finder] = Registry(concern='inconsistency')


@finders.register(RUN_UNTRACKED)
def find_untracked_runs(
    job: ActiveJob, sessions: Sessions
) -> Iterator[Finding]:
    """Yield runs that no session tracks, so that no report can end them."""
    for key, run in job.runs.items():
        session = sessions.get(run.worker_id)
        tracked = session is not None and session.runs.get(run.name) is run
        if not tracked:
            yield Finding(RUN_UNTRACKED, key, run.attempt, run.worker_id)


@finders.register(ASSIGNMENT_WITHOUT_RUN)
def find_assignments_without_run(
    job: ActiveJob, sessions: Sessions
) -> Iterator[Finding]:
    """Yield tasks that are assigned to a worker and have no run."""
    for name, task in job.progress.tasks.items():
        if not task.worker or task.done:
            continue
        key = _key_of(job, name)
        if key not in job.runs:
            yield Finding(
                ASSIGNMENT_WITHOUT_RUN, key, task.attempt, task.worker
            )


@finders.register(GANG_INCOMPLETE)
def find_incomplete_gangs(
    job: ActiveJob,
    sessions: Sessions,
) -> Iterator[Finding]:
    """Yield runs of gangs in which another member has no run and no end."""
    for key, run in job.runs.items():
        if run.stop_wanted or not job.step_of(key).gang:
            continue
        members = job.members_of(key)
        if all(one in job.runs for one in members):
            continue
        if not any(_is_done(job, one) for one in members):
            yield Finding(GANG_INCOMPLETE, key, run.attempt, run.worker_id)


@finders.register(GANG_PARTLY_DONE)
def find_partly_done_gangs(
    job: ActiveJob,
    sessions: Sessions,
) -> Iterator[Finding]:
    """Yield gang members that are done while another member is not."""
    if not any(step.gang for step in job.spec.steps):
        return
    for name, task in list(job.progress.tasks.items()):
        if not task.done:
            continue
        key = _key_of(job, name)
        if not job.step_of(key).gang:
            continue
        if not job.step_done(key.occurrence, key.step):
            yield Finding(GANG_PARTLY_DONE, key, task.attempt, '')
        return


@finders.register(END_NOT_RECORDED)
def find_unrecorded_end(
    job: ActiveJob, sessions: Sessions
) -> Iterator[Finding]:
    """Yield a job that has not ended although all its tasks are done."""
    if job.perpetual or job.runs or not job.begun:
        return
    job.occurrences.unsettle_some()
    if job.all_done:
        key = TaskKey(job.spec.job_id, 0, 0, 0)
        yield Finding(END_NOT_RECORDED, key, 0, '')


class ConsistencyCheck:
    """Checks all jobs periodically.

    :param recover: recovers the run of a task's stored assignment.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        term: TermState,
        writer: ProgressWriter,
        recover: Callable[[ActiveJob, TaskKey], None],
    ) -> None:
        """Initialize the check without findings."""
        self._clock = clock
        self._term = term
        self._writer = writer
        self._recover = recover
        self._found: set[Finding] = set()
        self._logged: set[Finding] = set()
        self._repairs: Mapping[str, Callable[[ActiveJob, Finding], None]] = {
            RUN_UNTRACKED: self._recover_assignment,
            ASSIGNMENT_WITHOUT_RUN: self._recover_assignment,
            GANG_INCOMPLETE: self._stop,
            GANG_PARTLY_DONE: self._finish_gang,
            END_NOT_RECORDED: self._complete,
        }

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            if self._term.may_order():
                self.check()

    def check(self) -> None:
        """Log and repair what the previous check found as well."""
        before = self._found
        self._found = set(self._findings())
        self._logged &= self._found
        for finding in self._found & before:
            self._log(finding)
            job = self._term.jobs.get(finding.key.job_id)
            if job is not None:
                self._repairs[finding.kind](job, finding)

    def _findings(self) -> Iterator[Finding]:
        sessions = self._term.sessions
        for job in self._term.jobs.values():
            # A job that has ended is tracked until its runs have ended.
            kinds = (RUN_UNTRACKED,) if job.ended else finders
            if not job.set_aside:
                for kind in kinds:
                    yield from finders.get(kind)(job, sessions)

    def _log(self, finding: Finding) -> None:
        if finding in self._logged:
            return
        self._logged.add(finding)
        metrics.job_inconsistencies.add(1, {'kind': finding.kind})
        events.log(
            'job_inconsistent',
            found=finding.kind,
            job=finding.key.job_id,
            task=str(finding.key),
            attempt=finding.attempt,
            worker=finding.worker_id,
        )

    def _recover_assignment(self, job: ActiveJob, finding: Finding) -> None:
        """Have the worker report whether the run exists."""
        job.runs.pop(finding.key, None)
        if _is_done(job, finding.key):
            return
        job.progress.task(finding.key).worker = finding.worker_id
        self._writer.record(job)
        self._recover(job, finding.key)
        session = self._term.sessions[finding.worker_id]
        # Its start may have been ordered in this term, under the newest token.
        job.runs[finding.key].ordered_token = session.token
        session.increment_token()

    def _stop(self, job: ActiveJob, finding: Finding) -> None:
        run = job.runs.get(finding.key)
        if run is not None:
            self._term.stop_run(run)

    def _finish_gang(self, job: ActiveJob, finding: Finding) -> None:
        """Apply one member's end to the whole gang; stop remaining runs."""
        self._term.finish_task(job, finding.key)

    def _complete(self, job: ActiveJob, finding: Finding) -> None:
        self._term.check_completion(job)


def _is_done(job: ActiveJob, key: TaskKey) -> bool:
    task = job.progress.find_task(key)
    return task is not None and task.done


def _key_of(job: ActiveJob, name: str) -> TaskKey:
    return TaskKey.parse(f'{job.spec.job_id}.{name}')


__all__ = ('CHECK_INTERVAL_S', 'ConsistencyCheck', 'Finding')
