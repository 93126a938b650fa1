"""What keeps a job from being ready while none of its runs is at work.

Tells a job that cannot start from one that finds no room: a run or a mark in
the store holds its tasks, or nothing of it is due yet.
"""

from collections.abc import Iterator, Mapping
from typing import Final, Literal, NamedTuple, TypedDict

from curranthill.clock import Clock
from curranthill.dispatch.session import WorkerSession
from curranthill.placement import RUNNING, ActiveJob, Run, RunState
from curranthill.tasks import TaskKey

#: Why a job is not ready, in an operator's words.
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

#: What holds a task. ``stored``: its progress names a worker and no run is
#: known; ``done``: it is done and the rest of its gang is not.
BlockingState = RunState | Literal['stored', 'done']

_STORED_TASK: Final = 'stored'
_DONE_TASK: Final = 'done'


class BlockingTask(TypedDict):
    """One task that a run or a mark holds, and what is known of its worker.

    :param held_s: for how long its run has been known, 0 without one.
    :param stop_wanted: its run is to end.
    :param tracked: the worker's session knows the run.
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


class Blocker(NamedTuple):
    """What holds a job.

    :param step: the first one that is held, or the next one that is due.
    :param tasks: those whose run goes on and waits for its fellows come last.
    :param later_steps: how many of the occurrence wait for earlier ones.
    :param due_in_s: 0 unless it waits for its due time.
    """

    reason: BlockReason
    occurrence: int = 0
    step: int = 0
    tasks: tuple[BlockingTask, ...] = ()
    later_steps: int = 0
    due_in_s: float = 0.0


class BlockerFinder:
    """Finds out what holds a job.

    :param sessions: by worker.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
    ) -> None:
        """Keep where to look."""
        self._clock = clock
        self._sessions = sessions

    def find(self, job: ActiveJob) -> Blocker | None:
        """Return what holds a job; nothing if it is ready, ended or at work."""
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
        """Return whether a run goes on; a gang's does with all its fellows."""
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

    def _startable_steps(self, job: ActiveJob) -> Iterator[tuple[int, int]]:
        """Yield the steps that are due, undone and wait for no other step."""
        now_s = self._clock.wall_s()
        for occurrence in range(job.spec.occurrences):
            if job.spec.due_s(occurrence) > now_s:
                return
            for number in _undone_steps(job, occurrence):
                if not _awaits_step(job, occurrence, number):
                    yield (occurrence, number)

    def _blocking_task(
        self, job: ActiveJob, key: TaskKey
    ) -> BlockingTask | None:
        run = job.runs.get(key)
        if run is not None:
            return self._blocking_run(run)
        task = job.progress.peek(key)
        if task is None:
            return None
        if task.worker:
            return self._describe(key, task.attempt, task.worker, _STORED_TASK)
        if task.done and job.step_of(key).gang:
            return self._describe(key, task.attempt, '', _DONE_TASK)
        return None

    def _blocking_run(self, run: Run) -> BlockingTask:
        held = self._describe(run.key, run.attempt, run.worker_id, run.state)
        held['held_s'] = round(self._clock.monotonic_s() - run.started_s, 1)
        held['stop_wanted'] = run.stop_wanted
        session = self._sessions.get(run.worker_id)
        if session is not None:
            held['tracked'] = session.runs.get(run.name) is run
        return held

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
        )

    def _idle_blocker(self, job: ActiveJob) -> Blocker:
        """Return what holds a job of which no step that is due is undone."""
        now_s = self._clock.wall_s()
        for occurrence in range(job.spec.occurrences):
            due_s = job.spec.due_s(occurrence)
            if due_s > now_s:
                return Blocker(
                    DUE,
                    occurrence,
                    due_in_s=round(due_s - now_s, 1),
                )
        return Blocker(ALL_DONE)


def _waits_only_for_gang(held: BlockingTask) -> bool:
    """Return whether only its fellows keep a task's run from being at work.

    What holds all of a gang is named first.
    """
    answers = held['reachable'] and held['tracked']
    return held['state'] == RUNNING and answers and not held['stop_wanted']


def _reason_of(tasks: tuple[BlockingTask, ...]) -> BlockReason:
    states = {task['state'] for task in tasks}
    if states - {_STORED_TASK, _DONE_TASK}:
        return RUN
    return STORED if _STORED_TASK in states else PARTLY_DONE


def _later_steps(job: ActiveJob, occurrence: int) -> int:
    """Return how many steps of an occurrence wait for others."""
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
