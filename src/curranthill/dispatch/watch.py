"""Finds stragglers, stalled runs and runs on slow workers, and moves them."""

from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.dispatch.journal import Journal
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.work import Work
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

#: How often runs are looked at, in seconds: workers report progress every
#: 1.5 s when nothing ends, and each look goes over all runs.
CHECK_INTERVAL_S: Final = 0.25

#: Runs on slow workers that are moved at one look; a move is a guess, and the
#: next look sees what has become of it.
SLOW_MOVES_AT_ONCE: Final = 1

#: What a task's progress keeps of each reason.
_MARKS: Final[dict[MoveReason, int]] = {
    STALLED: MOVED_STALLED,
    SLOW: MOVED_SLOW,
}

#: Which mechanism moves for each reason.
_MECHANISMS: Final[dict[MoveReason, str]] = {
    STALLED: STALLED_MOVES,
    SLOW: SLOW_MOVES,
}


class _Candidate(NamedTuple):
    """A run that a move would pay for."""

    session: WorkerSession
    run: Run
    move: Move


class RunWatch:
    """Looks at all runs every now and then.

    :param disabled: mechanisms that are switched off.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        work: Work,
        journal: Journal,
        disabled: frozenset[str] = NONE_DISABLED,
    ) -> None:
        """Start with no look made."""
        self._clock = clock
        self._work = work
        self._journal = journal
        self._disabled = disabled
        self._looked_s = 0.0

    def look(self, *, idle: bool) -> None:
        """Count runs that stand still; move those better started elsewhere.

        :param idle: whether nothing waits. Room that is free then is what runs
            on slow workers are moved to; others would come before them.
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._looked_s < CHECK_INTERVAL_S:
            return
        self._looked_s = now_s
        slow_moves = SLOW_MOVES_AT_ONCE if idle else 0
        for found in self._candidates():
            if found.move.reason == SLOW:
                if not slow_moves or not self._has_faster_room(found):
                    continue
                slow_moves -= 1
            self._move(found)

    def _candidates(self) -> list[_Candidate]:
        found = []
        for session in self._work.sessions.values():
            speed = self._work.learning.speed_of(session).factor
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
        job = self._work.jobs.get(run.key.job_id)
        if job is None:
            return 0.0
        return job.objective_s - self._clock.wall_s()

    def _may_move(self, run: Run, reason: MoveReason) -> bool:
        """Return whether a task was not moved for the same reason before.

        A task that stands still everywhere is not its worker's doing.
        """
        if _MECHANISMS[reason] in self._disabled:
            return False
        job = self._work.jobs.get(run.key.job_id)
        if job is None or job.runs.get(run.key) is not run:
            return False
        if reason == STALLED and not _stalled_as_whole_gang(job, run):
            return False
        task = job.progress.peek(run.key)
        return task is None or not task.moves & _MARKS[reason]

    def _has_faster_room(self, found: _Candidate) -> bool:
        """Return whether a worker that is not known to be slow has room."""
        step = self._work.jobs[found.run.key.job_id].step_of(found.run.key)
        for session in self._work.sessions.values():
            labels = session.entry.labels
            if step.label and step.label not in labels:
                continue
            if self._work.learning.speed_of(session).factor < 1:
                continue
            if session.accepts_work and _has_room(session, found.run):
                return True
        return False

    def _move(self, found: _Candidate) -> None:
        run = found.run
        job = self._work.jobs[run.key.job_id]
        job.progress.task(run.key).moves |= _MARKS[found.move.reason]
        self._journal.note(job)
        if found.move.reason == STALLED:
            found.session.troubles_s.append(self._clock.monotonic_s())
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
        self._work.stop_run(run)


def _stalled_as_whole_gang(job: ActiveJob, run: Run) -> bool:
    """Return whether all of a run's gang has run for a stall's least time.

    Members wait for each other until then, so a stall tells nothing of a
    worker.
    """
    whole_s = run.reported_s - job.gang_running_since_s(run.key)
    return whole_s >= run.min_stall_s


def _has_room(session: WorkerSession, run: Run) -> bool:
    """Return whether one more run like this fits beside those of a worker."""
    taken = run.needs
    for one in session.runs.values():
        taken = taken.plus(one.needs)
    return session.entry.capacity.covers(taken)


__all__ = ('RunWatch',)
