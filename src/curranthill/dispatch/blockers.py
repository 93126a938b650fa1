"""Finds what keeps a job from being ready while none of its runs is active.

Distinguishes a job that can't start from one that lacks free capacity: its
tasks have a run or a stored assignment, or nothing of it is due yet.
"""

from collections.abc import Mapping
from itertools import islice
from typing import Final, Literal, NamedTuple, TypedDict

from curranthill.clock import Clock
from curranthill.dispatch.inherited_leases import InheritedLeases
from curranthill.dispatch.session import WorkerSession
from curranthill.placement import (
    RUNNING,
    ActiveJob,
    Run,
    RunState,
    StepId,
)
from curranthill.tasks import TaskKey

#: Why a job is not ready, as logged for operators.
BlockReason = Literal[
    'a run that is not at work',
    'a stored worker without a run',
    'a gang of which a part is done',
    'its due time',
    'nothing, all its steps are done',
]

RUN: Final = 'a run that is not at work'
STORED: Final = 'a stored worker without a run'
PARTLY_DONE: Final = 'a gang of which a part is done'
DUE: Final = 'its due time'
ALL_DONE: Final = 'nothing, all its steps are done'

#: What blocks a task. ``stored``: it has a stored assignment and no known run;
#: ``done``: it is done and the rest of its gang is not.
BlockingState = RunState | Literal['stored', 'done']

_STORED_TASK: Final = 'stored'
_DONE_TASK: Final = 'done'


#: The most runs of a job whose steps are considered.
MAX_CONSIDERED_RUNS: Final = 256


class BlockingTask(TypedDict):
    """A task that a run or an assignment blocks, and its worker's state.

    :param held_s: for how long its run has been known; 0 without a run.
    :param stop_wanted: whether its run is to end.
    :param tracked: whether the worker's session tracks the run.
    :param lease_remaining_s: for how long the run may still exist, so that its
        task can't start elsewhere unless the worker responds.
    :param inherited: whether that is due to what earlier leaders may have
        granted, as the worker has not answered this one.
    """

    task: str
    attempt: int
    worker: str
    state: BlockingState
    held_s: float
    stop_wanted: bool
    tracked: bool
    listed: bool
    reachable: bool
    synced: bool
    gone: bool
    lease_remaining_s: float
    inherited: bool


class Blocker(NamedTuple):
    """What blocks a job.

    :param step: the first step that is blocked, or the next one that is due.
    :param tasks: the blocking tasks; those whose run only waits for its gang
        come last.
    :param later_steps: how many steps of the occurrence wait for others.
    :param due_in_s: the time until it is due; 0 unless that is the reason.
    """

    reason: BlockReason
    occurrence: int = 0
    step: int = 0
    tasks: tuple[BlockingTask, ...] = ()
    later_steps: int = 0
    due_in_s: float = 0.0


class BlockerFinder:
    """Finds what blocks a job.

    :param sessions: the worker sessions by worker id.
    :param inherited: the leases that earlier leaders may have granted.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
        inherited: InheritedLeases,
    ) -> None:
        """Initialize the finder with the sessions that it reads."""
        self._clock = clock
        self._sessions = sessions
        self._inherited = inherited

    def find(self, job: ActiveJob) -> Blocker | None:
        """Return what blocks a job; None if it is ready, ended or running."""
        if job.ended or self._is_running(job):
            return None
        ready = False
        for occurrence, number in self._startable_steps(job):
            found = (
                self._blocking_task(job, key)
                for key in job.keys_of(occurrence, number)
            )
            tasks = tuple(sorted(filter(None, found), key=_waits_only_for_gang))
            if tasks:
                return Blocker(
                    _reason_of(tasks),
                    occurrence,
                    number,
                    tasks=tasks,
                    later_steps=_later_steps(job, occurrence),
                )
            ready = True
        return None if ready else self._idle_blocker(job)

    def _is_running(self, job: ActiveJob) -> bool:
        """Return whether a run is active; of a gang, whether all are."""
        return any(
            all(
                self._is_run_active(job.runs.get(one))
                for one in job.members_of(key)
            )
            for key, run in job.runs.items()
            if self._is_run_active(run)
        )

    def _is_run_active(self, run: Run | None) -> bool:
        if run is None or run.state != RUNNING or run.stop_wanted:
            return False
        session = self._sessions.get(run.worker_id)
        return session is not None and session.reachable

    def _startable_steps(self, job: ActiveJob) -> list[StepId]:
        """Return steps that are due, not done and wait for no other step."""
        step_ids = {
            (key.occurrence, key.step)
            for key in islice(job.runs, MAX_CONSIDERED_RUNS)
        }
        step_ids.update(job.occurrences.startable(self._clock.wall_s()))
        return sorted(one for one in step_ids if not job.step_done(*one))

    def _blocking_task(
        self, job: ActiveJob, key: TaskKey
    ) -> BlockingTask | None:
        run = job.runs.get(key)
        if run is not None:
            return self._blocking_run(run)
        task = job.progress.find_task(key)
        if task is None:
            return None
        if task.worker:
            return self._describe(key, task.attempt, task.worker, _STORED_TASK)
        if task.done and job.step_of(key).gang:
            return self._describe(key, task.attempt, '', _DONE_TASK)
        return None

    def _blocking_run(self, run: Run) -> BlockingTask:
        blocking = self._describe(
            run.key, run.attempt, run.worker_id, run.state
        )
        blocking['held_s'] = round(self._clock.monotonic_s() - run.started_s, 1)
        blocking['stop_wanted'] = run.stop_wanted
        session = self._sessions.get(run.worker_id)
        if session is not None:
            blocking['tracked'] = session.runs.get(run.name) is run
        return blocking

    def _describe(
        self,
        key: TaskKey,
        attempt: int,
        worker_id: str,
        state: BlockingState,
    ) -> BlockingTask:
        session = self._sessions.get(worker_id)
        return BlockingTask(
            task=str(key),
            attempt=attempt,
            worker=worker_id,
            state=state,
            held_s=0.0,
            stop_wanted=False,
            tracked=False,
            listed=session is not None and session.listed,
            reachable=session is not None and session.reachable,
            synced=session is not None and session.synced,
            gone=session is not None and session.removed,
            lease_remaining_s=_lease_remaining_s(session),
            inherited=self._inherited.is_awaited(worker_id),
        )

    def _idle_blocker(self, job: ActiveJob) -> Blocker:
        """Return what blocks a job whose due steps are all done."""
        now_s = self._clock.wall_s()
        occurrence = job.occurrences.due_count(now_s)
        if occurrence == job.spec.occurrences:
            return Blocker(ALL_DONE)
        due_in_s = job.spec.due_s(occurrence) - now_s
        return Blocker(DUE, occurrence, due_in_s=round(due_in_s, 1))


def _waits_only_for_gang(blocking: BlockingTask) -> bool:
    """Return whether a run is blocked only by other members of its gang.

    Such runs are listed after the tasks that block the whole gang.
    """
    known = blocking['reachable'] and blocking['tracked']
    return (
        blocking['state'] == RUNNING and known and not blocking['stop_wanted']
    )


def _lease_remaining_s(session: WorkerSession | None) -> float:
    if session is None or session.removed:
        return 0.0
    return round(session.lease_remaining_s, 1)


def _reason_of(tasks: tuple[BlockingTask, ...]) -> BlockReason:
    states = {task['state'] for task in tasks}
    if states - {_STORED_TASK, _DONE_TASK}:
        return RUN
    return STORED if _STORED_TASK in states else PARTLY_DONE


def _later_steps(job: ActiveJob, occurrence: int) -> int:
    """Return how many steps of an occurrence wait for other steps."""
    return sum(
        1
        for number in _undone_steps(job, occurrence)
        if _awaits_step(job, occurrence, number)
    )


def _undone_steps(job: ActiveJob, occurrence: int) -> list[int]:
    return [
        number
        for number, _ in enumerate(job.spec.steps)
        if not job.step_done(occurrence, number)
    ]


def _awaits_step(job: ActiveJob, occurrence: int, number: int) -> bool:
    """Return whether a step waits for an earlier one."""
    after = job.spec.steps[number].after
    return not all(job.step_done(occurrence, one) for one in after)


__all__ = (
    'ALL_DONE',
    'DUE',
    'PARTLY_DONE',
    'RUN',
    'STORED',
    'Blocker',
    'BlockerFinder',
    'BlockingTask',
)
