"""Detects stalled runs and runs on slow workers, and moves them."""

from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.term_state import TermState
from curranthill.placement import (
    NONE_DISABLED,
    SLOW,
    SLOW_MOVES,
    STALLED,
    STALLED_MOVES,
    ActiveJob,
    Move,
    MoveReason,
    Run,
    move_of,
)
from curranthill.tasks import MOVED_SLOW, MOVED_STALLED
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The interval at which runs are checked, in seconds: workers report progress
#: every 1.5 s while no run ends, and each check visits all runs.
CHECK_INTERVAL_S: Final = 0.25

#: The most runs on slow workers that one check moves: a move rests on an
#: estimate, and the next check sees its result.
MAX_SLOW_MOVES: Final = 1

#: The flag that a task's progress stores for a move with each reason.
_MOVE_FLAGS: Final[dict[MoveReason, int]] = {
    STALLED: MOVED_STALLED,
    SLOW: MOVED_SLOW,
}

#: The mechanism that makes moves with each reason.
_MECHANISMS: Final[dict[MoveReason, str]] = {
    STALLED: STALLED_MOVES,
    SLOW: SLOW_MOVES,
}


class _Candidate(NamedTuple):
    """A run whose move is estimated to pay off."""

    session: WorkerSession
    run: Run
    move: Move


class RunMigrator:
    """Checks all runs periodically and moves some of them.

    :param disabled: mechanisms that are switched off.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        term: TermState,
        writer: ProgressWriter,
        disabled: frozenset[str] = NONE_DISABLED,
    ) -> None:
        """Initialize the migrator before its first check."""
        self._clock = clock
        self._term = term
        self._writer = writer
        self._disabled = disabled
        self._checked_s = 0.0

    def check(self, *, idle: bool) -> None:
        """Count stalled runs; move runs that would end sooner elsewhere.

        :param idle: whether nothing waits. Only then are runs on slow workers
            moved: waiting tasks have precedence for free capacity.
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        slow_moves = MAX_SLOW_MOVES if idle else 0
        for found in self._candidates():
            if found.move.reason == SLOW:
                if not slow_moves or not self._fits_on_faster_worker(found):
                    continue
                slow_moves -= 1
            self._move(found)

    def _candidates(self) -> list[_Candidate]:
        found = []
        for session in self._term.sessions.values():
            speed = self._term.estimates.speed_of(session).factor
            stalled = 0
            for run in session.runs.values():
                stalled += bool(run.stalled_s)
                move = move_of(run, speed, self._left_s(run))
                if move is not None and self._may_move(run, move.reason):
                    found.append(_Candidate(session, run, move))
            if STALLED_MOVES not in self._disabled:
                session.stalled_runs = stalled
        return found

    def _left_s(self, run: Run) -> float:
        """Return the time left until the objective of a run's job."""
        job = self._term.jobs.get(run.key.job_id)
        if job is None:
            return 0.0
        return job.objective_s - self._clock.wall_s()

    def _may_move(self, run: Run, reason: MoveReason) -> bool:
        """Return whether a task was not moved before for the same reason.

        A task that stalls on every worker is not stalled by its workers.
        """
        if _MECHANISMS[reason] in self._disabled:
            return False
        job = self._term.jobs.get(run.key.job_id)
        if job is None or job.runs.get(run.key) is not run:
            return False
        if reason == STALLED and not _stalled_as_whole_gang(job, run):
            return False
        task = job.progress.find_task(run.key)
        return task is None or not task.flags & _MOVE_FLAGS[reason]

    def _fits_on_faster_worker(self, found: _Candidate) -> bool:
        """Return whether a run fits on a worker not known to be slow."""
        step = self._term.jobs[found.run.key.job_id].step_of(found.run.key)
        for session in self._term.sessions.values():
            labels = session.entry.labels
            if step.label and step.label not in labels:
                continue
            if self._term.estimates.speed_of(session).factor < 1:
                continue
            if session.accepts_work and _fits(session, found.run):
                return True
        return False

    def _move(self, found: _Candidate) -> None:
        run = found.run
        job = self._term.jobs[run.key.job_id]
        job.progress.task(run.key).flags |= _MOVE_FLAGS[found.move.reason]
        self._writer.record(job)
        if found.move.reason == STALLED:
            found.session.failure_times_s.append(self._clock.monotonic_s())
        metrics.moves.add(1, {'reason': found.move.reason})
        events.log(
            f'moved_{found.move.reason}',
            task=str(run.key),
            attempt=run.attempt,
            worker=found.session.worker_id,
            stalled_s=round(run.stalled_s, 2),
            done_percent=run.done_percent,
            here_s=round(found.move.here_s, 2),
            elsewhere_s=round(found.move.elsewhere_s, 2),
        )
        self._term.stop_run(run)


def _stalled_as_whole_gang(job: ActiveJob, run: Run) -> bool:
    """Return whether the whole gang of a run has run long enough to stall.

    Until then members wait for each other, so a stall says nothing about a
    worker.
    """
    gang_running_s = run.reported_s - job.gang_running_since_s(run.key)
    return gang_running_s >= run.min_stall_s


def _fits(session: WorkerSession, run: Run) -> bool:
    """Return whether one more run like this fits on a worker."""
    taken = run.needs
    for one in session.runs.values():
        taken = taken.plus(one.needs)
    return session.entry.capacity.covers(taken)


__all__ = ('RunMigrator',)
