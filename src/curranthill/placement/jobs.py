"""The leader's records of jobs: which steps are ready, run, or are done."""

import math
from collections.abc import Iterator
from typing import Final, NamedTuple

from curranthill.placement.occurrences import (
    MAX_LISTED_OCCURRENCES,
    Occurrences,
    StepId,
)
from curranthill.placement.preemptions import Preemptions
from curranthill.placement.run_table import RunTable
from curranthill.placement.runs import RUNNING, Run
from curranthill.placement.suspects import (
    EXCLUSIVE_MAX_WAIT_S,
    PERPETUAL_MAX_WAIT_S,
    SUSPECT_TRIAL_S,
    is_suspect,
)
from curranthill.tasks import (
    COMPLETED,
    ENDED,
    JobProgress,
    JobSpec,
    Step,
    TaskKey,
    TaskProgress,
)

#: The keys of tasks that are cached at most, besides those of one step.
MAX_CACHED_KEYS: Final = 8192

#: How long nothing of a job starts after an error in its placement, in seconds.
ERROR_PAUSE_S: Final = 5.0


class ReadyStep(NamedTuple):
    """Tasks of one step that may start now and of which no run can exist.

    :param tickets: by worker, for queues whose advisor allows only some.
    :param exclusive: whether nothing else may run on their workers.
    :param suspect: whether one of the tasks is suspected of crashing workers.
    :param starving: whether their job has waited for a long time while most
        capacity is free, so that they may use reserved capacity.
    """

    occurrence: int
    number: int
    step: Step
    tasks: tuple[TaskKey, ...]
    tickets: dict[str, str] | None = None
    exclusive: bool = False
    suspect: bool = False
    starving: bool = False

    @property
    def name(self) -> str:
        """Return the name under which an advisor knows the step."""
        key = self.tasks[0]
        return f'{key.job_id}.{key.occurrence}.{key.step}'


class ActiveJob:
    """An accepted job that has not ended, or whose runs have not.

    Values that depend only on the specification are computed once, since each
    round uses them for every job.

    :param runs: the newest run of each task that may exist.
    :param preemptions: what its steps have used of their rights to preempt.
    :param perpetual: whether some of its tasks run until it is cancelled.
    :param occurrences: which of its steps are done, at work, or may start.
    :param objective_s: when its first occurrence that is not done should be, in
        wall-clock seconds.
    :param first_due_s: from when the time of that objective counts, in
        wall-clock seconds.
    :param is_recurring: whether it has several occurrences.
    :param critical_path_s: the estimated time of its longest chain of steps,
        in seconds.
    :param gpus: the accelerators that all its tasks use together.
    :param suspects: tasks that are suspected of crashing their workers.
    :param unstored: whether the store rejects its progress, so that nothing may
        start.
    :param set_aside: whether its state is in doubt after an error, so that
        nothing may start before the next term.
    :param withheld: tasks that are not started until their losses are resolved.
    """

    def __init__(self, *, spec: JobSpec, progress: JobProgress) -> None:
        """Initialize a job from its stored specification and progress."""
        self.spec = spec
        self.progress = progress
        self.occurrences = Occurrences(spec=spec, progress=progress)
        self._run_table = RunTable(occurrences=self.occurrences)
        self.runs: dict[TaskKey, Run] = self._run_table
        self.perpetual = any(step.perpetual for step in spec.steps)
        self._allowed_s = spec.objective_s - max(
            spec.accepted_at_s, spec.due_s(0)
        )
        self.first_due_s = 0.0
        self.objective_s = 0.0
        self._update_objective()
        self.is_recurring = spec.times > 1
        self.critical_path_s = spec.critical_path_s
        self.gpus = spec.gpus
        self.suspects: set[TaskKey] = set()
        self.unstored = False
        self.set_aside = False
        self._paused_until_s = 0.0
        self.withheld: set[TaskKey] = set()
        self._waiting_since_s: dict[TaskKey, float] = {}
        self._on_trial_since_s: dict[tuple[TaskKey, int], float] = {}
        self._idle_since_s: float | None = None
        self.preemptions = Preemptions()
        # The rank of the first task of a step that may not be done yet: all
        # tasks before it are done and stay done.
        self._unfinished_ranks: dict[tuple[int, int], int] = {}
        self._cached_keys = 0
        self._keys: dict[tuple[int, int], tuple[TaskKey, ...]] = {}
        for name, task in progress.tasks.items():
            key = TaskKey.parse(f'{spec.job_id}.{name}')
            if is_suspect(task):
                self.suspects.add(key)
            self.occurrences.open(key.occurrence, key.step)
        for step_id in self.occurrences.open_steps():
            self.step_done(*step_id)

    @property
    def ended(self) -> bool:
        """Return whether the job's state is final."""
        return self.progress.state in ENDED

    @property
    def begun(self) -> bool:
        """Return whether a worker has said that it started a task."""
        return self.progress.begun

    @property
    def _may_start(self) -> bool:
        return not (self.ended or self.unstored or self.set_aside)

    def ready_steps(self, now_s: float) -> Iterator[ReadyStep]:
        """Yield the steps that may start at a wall-clock time in seconds."""
        # A longer pause means that the clock was set back.
        is_paused = 0 < self._paused_until_s - now_s <= ERROR_PAUSE_S
        if is_paused or not self._may_start:
            return
        for occurrence, number in self.occurrences.startable(now_s):
            ready = self._ready_step(occurrence, number)
            if ready is None:
                continue
            if self.suspects:
                yield from self._isolate_suspects(ready, now_s)
            else:
                yield ready

    def pause(self, now_s: float) -> None:
        """Start nothing for some time, after an error in its placement.

        :param now_s: wall-clock seconds.
        """
        self._paused_until_s = now_s + ERROR_PAUSE_S

    def keys_of(self, occurrence: int, number: int) -> tuple[TaskKey, ...]:
        """Return the keys of one step's tasks."""
        step_id = (occurrence, number)
        keys = self._keys.get(step_id)
        if keys is None:
            keys = tuple(
                TaskKey(self.spec.job_id, occurrence, number, rank)
                for rank in range(self.spec.steps[number].width)
            )
            self._cached_keys += len(keys)
            if self._cached_keys > MAX_CACHED_KEYS:
                self._keys.clear()
                self._cached_keys = len(keys)
            self._keys[step_id] = keys
        return keys

    def step_of(self, key: TaskKey) -> Step:
        """Return the step of a task."""
        return self.spec.steps[key.step]

    def members_of(self, key: TaskKey) -> tuple[TaskKey, ...]:
        """Return the tasks that run and end together with this one."""
        if self.step_of(key).gang:
            return self.keys_of(key.occurrence, key.step)
        return (key,)

    def next_attempt(self, tasks: tuple[TaskKey, ...]) -> int:
        """Return an attempt number above all those of the tasks."""
        known = (self.progress.find_task(key) for key in tasks)
        return 1 + max((task.attempt for task in known if task), default=0)

    def step_done(self, occurrence: int, number: int) -> bool:
        """Return whether all tasks of a step are done."""
        if self.occurrences.is_done(occurrence, number):
            return True
        step_id = (occurrence, number)
        keys = self.keys_of(occurrence, number)
        rank = self._unfinished_ranks.get(step_id, 0)
        while rank < len(keys) and self._is_done(keys[rank]):
            rank += 1
        if rank < len(keys):
            if rank:
                self._unfinished_ranks[step_id] = rank
            return False
        self.occurrences.record_done(occurrence, number)
        self._forget_step(step_id, keys)
        self._update_objective()
        return True

    @property
    def is_ahead(self) -> bool:
        """Return whether a later occurrence runs than its current one.

        It is not starving then, so nothing is stopped for it, and others that
        have nothing running come first.
        """
        if not self.is_recurring:
            return False
        return self._run_table.any_beside(self.occurrences.current)

    @property
    def all_done(self) -> bool:
        """Return whether all its tasks are done."""
        if self.spec.occurrences > MAX_LISTED_OCCURRENCES:
            return self.occurrences.all_done
        return all(
            self.step_done(occurrence, number)
            for occurrence in range(self.spec.occurrences)
            for number, _ in enumerate(self.spec.steps)
        )

    def check_completed(self, now_s: float) -> bool:
        """Set the job's state once every task is done."""
        if self.ended or self.perpetual:
            return False
        if not self.all_done:
            return False
        self.progress.state = COMPLETED
        self.progress.ended_at_s = now_s
        return True

    def record_losses(self, key: TaskKey) -> None:
        """Update whether a task is a suspect, by its recorded losses."""
        if is_suspect(self.progress.task(key)):
            self.suspects.add(key)
        else:
            self.suspects.discard(key)

    def gang_running_since_s(self, key: TaskKey) -> float:
        """Return since when a task and all members of its gang run.

        A gang makes progress only from then on. Infinite if one doesn't run.
        """
        since_s = 0.0
        for member in self.members_of(key):
            run = self.runs.get(member)
            if run is None or run.state != RUNNING:
                return math.inf
            since_s = max(since_s, run.confirmed_s)
        return since_s

    def is_exclusive(self, key: TaskKey) -> bool:
        """Return whether a task's run must have its worker exclusively."""
        if not self.suspects:
            return False
        return any(one in self.suspects for one in self.members_of(key))

    def idle_s(self, now_s: float) -> float:
        """Return how long it has had a ready step and nothing running.

        Counted from the first call; reset by each start, and if the clock was
        set back.

        :param now_s: wall-clock seconds.
        """
        since_s = self._idle_since_s
        if self.runs or since_s is None or now_s < since_s:
            since_s = now_s
        self._idle_since_s = since_s
        return now_s - since_s

    def _isolate_suspects(
        self, ready: ReadyStep, now_s: float
    ) -> Iterator[ReadyStep]:
        """Yield a step's suspects apart from its other tasks, one at a time.

        If the tasks of a step all crash their workers, starting them together
        would crash as many workers at once. A gang starts as a whole.
        """
        suspects = [key for key in ready.tasks if key in self.suspects]
        if not suspects:
            yield ready
            return
        if ready.step.gang:
            exclusive = self._awaits_exclusive(suspects[0], now_s)
            yield ready._replace(exclusive=exclusive, suspect=True)
            return
        others = tuple(key for key in ready.tasks if key not in self.suspects)
        if others:
            yield ready._replace(tasks=others)
        if self._is_on_trial(now_s) and not ready.step.perpetual:
            return
        exclusive = self._awaits_exclusive(suspects[0], now_s)
        first = (suspects[0],)
        yield ready._replace(tasks=first, exclusive=exclusive, suspect=True)

    def _is_on_trial(self, now_s: float) -> bool:
        """Return whether a suspect is running that is still on trial.

        A run on a worker that does not respond gets no older, so its trial
        also ends some time after it was first noticed.
        """
        since_s = self._on_trial_since_s
        return any(
            0 <= now_s - since_s.setdefault(run.name, now_s) < SUSPECT_TRIAL_S
            for key, run in self.runs.items()
            if key in self.suspects and run.age_s < SUSPECT_TRIAL_S
        )

    def reset_wait(self, key: TaskKey) -> None:
        """Reset the waiting time of a job and of a suspect of it."""
        self.preemptions.end_wait((key.occurrence, key.step))
        self._waiting_since_s.pop(key, None)
        self._idle_since_s = None

    def _awaits_exclusive(self, key: TaskKey, now_s: float) -> bool:
        """Return whether a suspect still waits for an empty worker."""
        max_wait_s = EXCLUSIVE_MAX_WAIT_S
        if self.step_of(key).perpetual:
            max_wait_s = PERPETUAL_MAX_WAIT_S
        since_s = self._waiting_since_s.setdefault(key, now_s)
        if now_s < since_s:
            # The clock was set back by an unknown amount.
            self._waiting_since_s[key] = now_s
            return True
        return now_s - since_s < max_wait_s

    def _forget_step(self, step_id: StepId, keys: tuple[TaskKey, ...]) -> None:
        """Forget what is known of a step besides that it is done."""
        self._unfinished_ranks.pop(step_id, None)
        self._cached_keys -= len(self._keys.pop(step_id, ()))
        self.preemptions.forget(step_id)
        for by_key in (self.suspects, self.withheld):
            by_key.difference_update(keys if by_key else ())
        for key in keys if self._waiting_since_s else ():
            self._waiting_since_s.pop(key, None)
        for name in list(self._on_trial_since_s):
            if (name[0].occurrence, name[0].step) == step_id:
                self._on_trial_since_s.pop(name)

    def _update_objective(self) -> None:
        """Set the times of the current occurrence."""
        due_s = self.spec.due_s(self.occurrences.current)
        self.first_due_s = max(self.spec.accepted_at_s, due_s)
        self.objective_s = self.first_due_s + self._allowed_s

    def _is_done(self, key: TaskKey) -> bool:
        task = self.progress.find_task(key)
        return task is not None and task.done

    def _is_waiting(self, key: TaskKey) -> bool:
        if key in self.runs or key in self.withheld:
            return False
        task = self.progress.find_task(key)
        return task is None or not (task.done or task.worker)

    def _ready_step(self, occurrence: int, number: int) -> ReadyStep | None:
        """Return the waiting tasks of a step that may start, if it has any."""
        if self.step_done(occurrence, number):
            return None
        step = self.spec.steps[number]
        keys = self.keys_of(occurrence, number)
        if step.gang and any(key in self.runs for key in keys):
            self._settle_if_running(occurrence, number, keys)
            return None
        unfinished = keys[self._unfinished_ranks.get((occurrence, number), 0) :]
        waiting = tuple(key for key in unfinished if self._is_waiting(key))
        if not waiting:
            self._settle_if_running(occurrence, number, unfinished)
            return None
        if step.gang and len(waiting) < len(keys):
            return None
        return ReadyStep(occurrence, number, step, waiting)

    def _settle_if_running(
        self, occurrence: int, number: int, keys: tuple[TaskKey, ...]
    ) -> None:
        """Leave a step out of the next rounds while all its tasks run."""
        if self.is_recurring and all(
            key in self.runs or self._is_done(key) for key in keys
        ):
            self.occurrences.settle(occurrence, number)


def newest_checkpoint(tasks: list[TaskProgress]) -> str:
    """Return the newest checkpoint of the tasks, empty if none has one."""
    return max((task.checkpoint for task in tasks), default='')


__all__ = ('ActiveJob', 'ReadyStep', 'newest_checkpoint')
