"""Tasks that crash their workers: which losses count, and the limits.

The end of a run is not reported if its worker has crashed. Such a run is
neither done nor failed, so the leader counts the losses that it infers:
otherwise the task would be started again without limit and crash one worker
after another.
"""

from collections.abc import Callable, Iterable, Mapping
from contextlib import AbstractContextManager
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.placement import ASSIGNED, ActiveJob, Run
from curranthill.tasks import (
    FAILED,
    WORKER_DRAINING,
    JobState,
    TaskKey,
    TaskProgress,
    UnconfirmedLoss,
    task_name,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The reasons for dropping a run that may have crashed its worker. ``gone`` and
#: ``restarted``: another incarnation or worker responded. ``lapsed``: there was
#: no response for as long as a lease lasts, so the worker crashed or was cut
#: off.
WORKER_REMOVED: Final = 'worker gone'
WORKER_RESTARTED: Final = 'worker restarted'
LEASE_EXPIRED: Final = 'lease lapsed'

#: The reason for dropping a run whose start was confirmed: its worker lists
#: neither the run nor its end.
UNLISTED: Final = 'not listed'

_LOST: Final = frozenset((WORKER_REMOVED, WORKER_RESTARTED, LEASE_EXPIRED))

#: How many runs of one task may be lost with their workers. The platform allows
#: two more starts of such a task after three workers have crashed under it; a
#: task that did not cause the crashes has all five attempts.
MAX_LOSSES: Final = 5

#: How many runs of one task may be lost to a crash right after their start.
#: Workers also crash for other reasons: on a worker that crashes every 10 s,
#: one start in five is followed by a crash within 2 s, and three in a row
#: happen to one task in 125.
MAX_PROMPT_CRASHES: Final = 3

#: Up to this age a run counts as just started, in seconds: a worker reports
#: its runs at least every 1.5 s, so a run that was reported only once is
#: younger than this.
PROMPT_CRASH_S: Final = 2.0

#: The losses of a perpetual task are cleared after it has run for this long, in
#: seconds: over months every such task loses some workers.
LOSSES_CLEARED_AFTER_S: Final = 600.0


#: How long a task that has reached a limit by an unconfirmed loss is withheld
#: before it is given up, in seconds: callers may see no run of a task for 3 s,
#: and a worker that was cut off responds within a second of its return.
CONFIRMATION_S: Final = 2.5


class LossCounter:
    """Counts lost runs in the stored progress of their tasks.

    A loss is unconfirmed if the lease of the run expired, as its worker may
    have crashed or been cut off. It is stored as such, so that any later leader
    resolves it once the worker responds.

    :param jobs: the jobs of the term.
    :param give_up: ends a job with a final state and a reason.
    :param isolated: returns a context in which an error affects only the job
        with an id.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        jobs: Mapping[str, ActiveJob],
        writer: ProgressWriter,
        give_up: Callable[[ActiveJob, JobState, str], None],
        isolated: Callable[[str], AbstractContextManager[None]],
    ) -> None:
        """Initialize the counter of a term."""
        self._isolated = isolated
        self._clock = clock
        self._jobs = jobs
        self._writer = writer
        self._give_up = give_up
        self._unconfirmed_at: dict[str, set[TaskKey]] = {}
        self._withheld_since_s: dict[TaskKey, float] = {}

    def track(self, job: ActiveJob) -> None:
        """Track the losses of a job as an earlier leader has stored them."""
        for name, losses in job.progress.unconfirmed_losses.items():
            key = TaskKey.parse(f'{job.spec.job_id}.{name}')
            for loss in losses:
                self._unconfirmed_at.setdefault(loss.worker, set()).add(key)
        for name, task in list(job.progress.tasks.items()):
            if task.losses or task.prompt_crashes:
                key = TaskKey.parse(f'{job.spec.job_id}.{name}')
                self._check_limits(job, key)

    def forget(self, job: ActiveJob) -> None:
        """Stop tracking the losses of a job that has ended."""
        for name, losses in job.progress.unconfirmed_losses.items():
            key = TaskKey.parse(f'{job.spec.job_id}.{name}')
            self._withheld_since_s.pop(key, None)
            for loss in losses:
                self._unconfirmed_at.get(loss.worker, set()).discard(key)
        job.progress.unconfirmed_losses.clear()

    def record(self, run: Run, reason: str, *, draining: bool) -> None:
        """Count a dropped run if it was lost with its worker.

        :param draining: whether the worker had announced that it drains.
        """
        if not is_lost(run, reason, draining=draining):
            return
        job = self._jobs.get(run.key.job_id)
        if job is None or job.ended:
            return
        task = job.progress.task(run.key)
        if task.flags & WORKER_DRAINING:
            return
        task.losses += 1
        is_prompt = _has_just_started(run)
        if reason == LEASE_EXPIRED:
            self._add_unconfirmed(job, run, is_prompt=is_prompt)
        elif is_prompt:
            task.prompt_crashes += 1
        metrics.runs_lost_with_worker.add(1)
        events.log(
            'lost_with_worker',
            task=str(run.key),
            attempt=run.attempt,
            worker=run.worker_id,
            reason=reason,
            worked_s=round(run.age_s, 2),
            losses=task.losses,
            prompt_crashes=task.prompt_crashes,
        )
        job.record_losses(run.key)
        self._writer.record(job)
        self._check_limits(job, run.key)

    def record_draining(self, runs: Iterable[Run]) -> None:
        """Store that the worker of some runs has announced that it drains.

        A later leader may find that it has left, when its entry is removed.
        """
        for run in runs:
            job = self._jobs.get(run.key.job_id)
            task = job.progress.find_task(run.key) if job else None
            if job is None or task is None or task.attempt != run.attempt:
                continue
            task.flags |= WORKER_DRAINING
            self._writer.record(job)

    def resolve(
        self, worker_id: str, *, crashed: bool, incarnation: int = 0
    ) -> None:
        """Count the unconfirmed losses at a worker as crashes, or not at all.

        :param crashed: whether the worker has crashed, for losses of which an
            incarnation is not known.
        :param incarnation: the one that responded; 0 if not known.
        """
        for key in self._unconfirmed_at.pop(worker_id, ()):
            job = self._jobs.get(key.job_id)
            if job is None or job.ended:
                continue
            with self._isolated(key.job_id):
                for loss in self._pop_unconfirmed(job, key, worker_id):
                    known = loss.incarnation and incarnation
                    restarted = loss.incarnation != incarnation
                    self._resolve(
                        job, key, loss, restarted if known else crashed
                    )

    def clear_if_perpetual(self, run: Run) -> None:
        """Clear the losses of a perpetual task that has run long enough."""
        if not run.perpetual or run.age_s < LOSSES_CLEARED_AFTER_S:
            return
        job = self._jobs[run.key.job_id]
        task = job.progress.task(run.key)
        if task.losses:
            task.losses = 0
            task.prompt_crashes = 0
            job.progress.unconfirmed_losses.pop(task_name(run.key), None)
            job.record_losses(run.key)
            self._writer.record(job)

    def check_withheld(self) -> None:
        """Give up tasks whose losses were not revoked in time."""
        now_s = self._clock.monotonic_s()
        for key, since_s in list(self._withheld_since_s.items()):
            job = self._jobs.get(key.job_id)
            if job is None or job.ended:
                self._withheld_since_s.pop(key)
            elif now_s - since_s >= CONFIRMATION_S:
                self._withheld_since_s.pop(key)
                with self._isolated(key.job_id):
                    self._end(job, key)

    def _add_unconfirmed(
        self, job: ActiveJob, run: Run, *, is_prompt: bool
    ) -> None:
        loss = UnconfirmedLoss(run.worker_id, run.incarnation, is_prompt)
        losses = job.progress.unconfirmed_losses
        losses.setdefault(task_name(run.key), []).append(loss)
        self._unconfirmed_at.setdefault(run.worker_id, set()).add(run.key)

    def _pop_unconfirmed(
        self, job: ActiveJob, key: TaskKey, worker_id: str
    ) -> list[UnconfirmedLoss]:
        """Remove and return a task's unconfirmed losses at a worker."""
        name = task_name(key)
        losses = job.progress.unconfirmed_losses.pop(name, [])
        kept = [loss for loss in losses if loss.worker != worker_id]
        if kept:
            job.progress.unconfirmed_losses[name] = kept
        return [loss for loss in losses if loss.worker == worker_id]

    def _resolve(
        self,
        job: ActiveJob,
        key: TaskKey,
        loss: UnconfirmedLoss,
        crashed: bool,
    ) -> None:
        """Count one loss that was unconfirmed as a crash, or not at all."""
        task = job.progress.find_task(key)
        if task is None or task.done:
            return
        if not crashed:
            task.losses = max(0, task.losses - 1)
        elif loss.is_prompt:
            task.prompt_crashes += 1
        events.log(
            'loss_confirmed' if crashed else 'loss_revoked',
            task=str(key),
            worker=loss.worker,
            losses=task.losses,
            prompt_crashes=task.prompt_crashes,
        )
        job.record_losses(key)
        self._writer.record(job)
        self._check_limits(job, key)

    def _check_limits(self, job: ActiveJob, key: TaskKey) -> None:
        """Give up a task at a limit; withhold it while a loss is unconfirmed.

        An unconfirmed loss counts in the end: the worker of a task that crashes
        its workers may never respond again.
        """
        if job.ended:
            return
        task = job.progress.task(key)
        unconfirmed = job.progress.unconfirmed_losses.get(task_name(key), ())
        if is_given_up(task, unconfirmed=len(unconfirmed)):
            self._end(job, key)
        elif is_given_up(task, unconfirmed=0):
            job.withheld.add(key)
            self._withheld_since_s.setdefault(key, self._clock.monotonic_s())
        else:
            job.withheld.discard(key)
            self._withheld_since_s.pop(key, None)

    def _end(self, job: ActiveJob, key: TaskKey) -> None:
        task = job.progress.task(key)
        metrics.tasks_given_up.add(1)
        self._give_up(
            job,
            FAILED,
            f'Task {key} was lost with its worker {task.losses} times, '
            f'{task.prompt_crashes} times right after its start: it is taken '
            'to crash the workers that start it.',
        )


def is_lost(run: Run, reason: str, *, draining: bool) -> bool:
    """Return whether a dropped run may have crashed its worker.

    A run whose start was never sent cannot have done so, and a worker that
    announced that it drains was expected to stop.
    """
    return run.state != ASSIGNED and not draining and reason in _LOST


def _has_just_started(run: Run) -> bool:
    """Return whether a lost run had just started.

    The age of a run counts from the takeover if another leader started it.
    """
    return bool(run.ordered_token) and run.age_s < PROMPT_CRASH_S


def is_given_up(task: TaskProgress, *, unconfirmed: int) -> bool:
    """Return whether a task must not be started again.

    :param unconfirmed: how many of its losses do not count yet.
    """
    if task.prompt_crashes >= MAX_PROMPT_CRASHES:
        return True
    return task.losses - unconfirmed >= MAX_LOSSES


__all__ = (
    'CONFIRMATION_S',
    'LEASE_EXPIRED',
    'LOSSES_CLEARED_AFTER_S',
    'MAX_LOSSES',
    'MAX_PROMPT_CRASHES',
    'PROMPT_CRASH_S',
    'UNLISTED',
    'WORKER_REMOVED',
    'WORKER_RESTARTED',
    'LossCounter',
    'is_given_up',
    'is_lost',
)
