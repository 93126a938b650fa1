"""Tasks that crash their workers: which losses count, and when is enough.

Nobody reports the end of a run whose worker has crashed, so the leader counts
what it concludes itself: such a run is neither done nor failed, and without a
count its task would crash one worker after another.
"""

from collections.abc import Callable, Mapping
from typing import Final

from curranthill.dispatch.journal import Journal
from curranthill.dispatch.owner import SessionOwner
from curranthill.placement import ASSIGNED, ActiveJob, Run
from curranthill.tasks import FAILED, JobState, TaskProgress
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Why a run was given up that may have crashed its worker. ``gone`` and
#: ``restarted``: another life of the worker answered. ``lapsed``: none did for
#: as long as a lease lasts, so it crashed or was cut off.
WORKER_GONE: Final = 'worker gone'
WORKER_RESTARTED: Final = 'worker restarted'
LEASE_LAPSED: Final = 'lease lapsed'

_LOST: Final = frozenset((WORKER_GONE, WORKER_RESTARTED, LEASE_LAPSED))

#: Runs of one task that may be lost with their worker. The platform allows two
#: starts of such a task after three workers have crashed under it; whoever
#: has nothing to do with the crashes has all five tries.
MOST_LOSSES: Final = 5

#: Runs of one task whose worker crashed right after their start. Workers crash
#: by themselves at any moment: on one that does so every 10 s, one start in
#: five is followed by a crash within 2 s, three in a row once in 125 tasks.
MOST_PROMPT_CRASHES: Final = 3

#: Up to this age a run counts as just started, in seconds: a worker lists its
#: runs every 1.5 s at least, so a run that was listed once and no more is
#: younger than this.
PROMPT_S: Final = 2.0

#: A task that lasts starts with a clean record once it was at work for so long,
#: in seconds: over months every one loses some workers.
CLEARED_AFTER_S: Final = 600.0


class DoubtfulLosses:
    """Runs that lapsed at one silent worker; it may have crashed or not."""

    def __init__(self, *, owner: SessionOwner) -> None:
        """Start without doubt."""
        self._runs: list[Run] = []
        self._owner = owner

    def add(self, run: Run) -> None:
        """Keep a run until the worker answers or is known to be gone."""
        self._runs.append(run)

    def take_over(self, former: 'DoubtfulLosses') -> None:
        """Go on with what a former session of the worker left open."""
        self._runs.extend(former.taken())

    def settle(self, *, crashed: bool) -> None:
        """Tell of all runs that the worker crashed, or that it did not."""
        for run in self.taken():
            self._owner.loss_settled(run, crashed=crashed)

    def settle_by(self, incarnation: int) -> None:
        """Tell of all runs, by the incarnation that answers now."""
        for run in self.taken():
            told = run.incarnation and incarnation
            crashed = bool(told) and run.incarnation != incarnation
            self._owner.loss_settled(run, crashed=crashed)

    def taken(self) -> list[Run]:
        """Return all runs and forget them."""
        runs = self._runs
        self._runs = []
        return runs


class LossCounts:
    """Counts lost runs in the stored progress of their tasks.

    :param jobs: the jobs of the term.
    :param give_up: ends a job in a state, for a reason.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[str, ActiveJob],
        journal: Journal,
        give_up: Callable[[ActiveJob, JobState, str], None],
    ) -> None:
        """Keep the parts."""
        self._jobs = jobs
        self._journal = journal
        self._give_up = give_up

    def note(self, run: Run, reason: str, *, leaving: bool) -> None:
        """Count a run that is given up, if it was lost with its worker.

        :param leaving: whether the worker had said that it leaves.
        """
        if not is_lost(run, reason, leaving=leaving):
            return
        job = self._jobs.get(run.key.job_id)
        if job is None or job.ended:
            return
        task = job.progress.task(run.key)
        task.losses += 1
        if reason != LEASE_LAPSED and run.age_s < PROMPT_S:
            task.prompt_crashes += 1
        metrics.runs_lost.add(1)
        job.update_suspect(run.key)
        self._judge(job, run, reason)

    def settle(self, run: Run, *, crashed: bool) -> None:
        """Count a lapsed run as a crash of its worker, or not at all."""
        job = self._jobs.get(run.key.job_id)
        task = None if job is None else job.progress.peek(run.key)
        if job is None or job.ended or task is None or task.done:
            return
        if not crashed:
            task.losses = max(0, task.losses - 1)
            job.update_suspect(run.key)
            self._journal.note(job)
        elif run.age_s < PROMPT_S:
            task.prompt_crashes += 1
            job.update_suspect(run.key)
            self._judge(job, run, 'crashed after all')

    def clear_if_lasting(self, run: Run) -> None:
        """Forget the losses of a task that lasts and has worked for long."""
        if not run.perpetual or run.age_s < CLEARED_AFTER_S:
            return
        job = self._jobs[run.key.job_id]
        task = job.progress.task(run.key)
        if task.losses:
            task.losses = 0
            task.prompt_crashes = 0
            job.update_suspect(run.key)
            self._journal.note(job)

    def _judge(self, job: ActiveJob, run: Run, reason: str) -> None:
        """Tell of a loss, and give the task up if it is one too many."""
        task = job.progress.task(run.key)
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
        self._journal.note(job)
        if not is_given_up(task):
            return
        metrics.tasks_given_up.add(1)
        self._give_up(
            job,
            FAILED,
            f'Task {run.key} was lost with its worker {task.losses} times, '
            f'{task.prompt_crashes} times right after its start: it is taken '
            'to crash the workers that start it.',
        )


def is_lost(run: Run, reason: str, *, leaving: bool) -> bool:
    """Return whether a run that is given up may have crashed its worker.

    One that was never sent has not, and a worker that had said that it leaves
    was expected to go.
    """
    return run.state != ASSIGNED and not leaving and reason in _LOST


def is_given_up(task: TaskProgress) -> bool:
    """Return whether a task must not be started any more."""
    if task.prompt_crashes >= MOST_PROMPT_CRASHES:
        return True
    return task.losses >= MOST_LOSSES


__all__ = (
    'CLEARED_AFTER_S',
    'LEASE_LAPSED',
    'MOST_LOSSES',
    'MOST_PROMPT_CRASHES',
    'PROMPT_S',
    'WORKER_GONE',
    'WORKER_RESTARTED',
    'DoubtfulLosses',
    'LossCounts',
    'is_given_up',
    'is_lost',
)
