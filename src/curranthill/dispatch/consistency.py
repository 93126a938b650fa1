"""Finds tasks that wait for an event which can't come any more.

Each task of a job that has not ended is done, has a run that its worker's
session holds, or may start once its turn comes. Anything else is a fault of
the program or of a stored record: it is told, and put back into one of these
states, never beside a run that may exist.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.dispatch.journal import Journal
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.work import Work
from curranthill.placement import ActiveJob
from curranthill.registry import Registry
from curranthill.tasks import TaskKey
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How often all jobs are looked at, in seconds. What two looks in a row find
#: is no passing state.
CHECK_INTERVAL_S: Final = 1.0

RUN_UNHELD: Final = 'run_unheld'
MARK_WITHOUT_RUN: Final = 'mark_without_run'
GANG_INCOMPLETE: Final = 'gang_incomplete'
GANG_PARTLY_DONE: Final = 'gang_partly_done'
END_NOT_NOTED: Final = 'end_not_noted'

Sessions = Mapping[str, WorkerSession]


class Finding(NamedTuple):
    """One task in a state that nothing ends.

    :param worker_id: where a run of it may exist, or empty.
    """

    kind: str
    key: TaskKey
    attempt: int
    worker_id: str


Finder = Callable[[ActiveJob, Sessions], Iterator[Finding]]

finders: Registry[Finder] = Registry(concern='inconsistency')


@finders.register(RUN_UNHELD)
def find_unheld_runs(job: ActiveJob, sessions: Sessions) -> Iterator[Finding]:
    """Yield runs that no session would ever tell of."""
    for key, run in job.runs.items():
        session = sessions.get(run.worker_id)
        held = session is not None and session.runs.get(run.name) is run
        if not held:
            yield Finding(RUN_UNHELD, key, run.attempt, run.worker_id)


@finders.register(MARK_WITHOUT_RUN)
def find_unheld_marks(job: ActiveJob, sessions: Sessions) -> Iterator[Finding]:
    """Yield tasks that are marked at a worker and have no run."""
    for name, task in job.progress.tasks.items():
        if not task.worker or task.done:
            continue
        key = _key_of(job, name)
        if key not in job.runs:
            yield Finding(MARK_WITHOUT_RUN, key, task.attempt, task.worker)


@finders.register(GANG_INCOMPLETE)
def find_incomplete_gangs(
    job: ActiveJob,
    sessions: Sessions,
) -> Iterator[Finding]:
    """Yield runs whose fellows neither run nor will, nor are done."""
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
    """Yield members that are done while a fellow is not."""
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


@finders.register(END_NOT_NOTED)
def find_unnoted_end(job: ActiveJob, sessions: Sessions) -> Iterator[Finding]:
    """Yield a job all of whose tasks are done."""
    if job.perpetual or job.runs or not job.begun:
        return
    steps = len(job.spec.steps)
    for occurrence in range(job.spec.occurrences):
        if not all(job.step_done(occurrence, one) for one in range(steps)):
            return
    yield Finding(END_NOT_NOTED, TaskKey(job.spec.job_id, 0, 0, 0), 0, '')


class ConsistencyCheck:
    """Looks at all jobs every now and then.

    :param recover: takes a task's stored mark as a run that may exist.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        work: Work,
        journal: Journal,
        recover: Callable[[ActiveJob, TaskKey], None],
    ) -> None:
        """Start with nothing found."""
        self._clock = clock
        self._work = work
        self._journal = journal
        self._recover = recover
        self._found: set[Finding] = set()
        self._told: set[Finding] = set()
        self._repairs: Mapping[str, Callable[[ActiveJob, Finding], None]] = {
            RUN_UNHELD: self._recover_mark,
            MARK_WITHOUT_RUN: self._recover_mark,
            GANG_INCOMPLETE: self._stop,
            GANG_PARTLY_DONE: self._finish_gang,
            END_NOT_NOTED: self._complete,
        }

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            if self._work.may_order():
                self.look()

    def look(self) -> None:
        """Tell of what was found at the look before too, and mend it."""
        before = self._found
        self._found = set(self._findings())
        self._told &= self._found
        for finding in self._found & before:
            self._tell(finding)
            job = self._work.jobs.get(finding.key.job_id)
            if job is not None:
                self._repairs[finding.kind](job, finding)

    def _findings(self) -> Iterator[Finding]:
        sessions = self._work.sessions
        for job in self._work.jobs.values():
            # A job that has ended is kept until its runs have.
            kinds = (RUN_UNHELD,) if job.ended else finders
            for kind in kinds:
                yield from finders.get(kind)(job, sessions)

    def _tell(self, finding: Finding) -> None:
        if finding in self._told:
            return
        self._told.add(finding)
        metrics.inconsistencies.add(1, {'kind': finding.kind})
        events.log(
            'job_inconsistent',
            found=finding.kind,
            job=finding.key.job_id,
            task=str(finding.key),
            attempt=finding.attempt,
            worker=finding.worker_id,
        )

    def _recover_mark(self, job: ActiveJob, finding: Finding) -> None:
        """Have the worker tell whether the run exists."""
        job.runs.pop(finding.key, None)
        if _is_done(job, finding.key):
            return
        job.progress.task(finding.key).worker = finding.worker_id
        self._journal.note(job)
        self._recover(job, finding.key)
        session = self._work.sessions[finding.worker_id]
        # Its start may have been ordered in this term, by the newest token.
        job.runs[finding.key].ordered_token = session.token
        session.raise_token()

    def _stop(self, job: ActiveJob, finding: Finding) -> None:
        run = job.runs.get(finding.key)
        if run is not None:
            self._work.stop_run(run)

    def _finish_gang(self, job: ActiveJob, finding: Finding) -> None:
        """Take one member's end for all of them, and stop what still runs."""
        self._work.finish(job, finding.key)

    def _complete(self, job: ActiveJob, finding: Finding) -> None:
        self._work.complete(job)


def _is_done(job: ActiveJob, key: TaskKey) -> bool:
    task = job.progress.peek(key)
    return task is not None and task.done


def _key_of(job: ActiveJob, name: str) -> TaskKey:
    return TaskKey.parse(f'{job.spec.job_id}.{name}')


__all__ = ('CHECK_INTERVAL_S', 'ConsistencyCheck', 'Finding')
