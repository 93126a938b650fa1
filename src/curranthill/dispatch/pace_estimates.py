"""What the leader learns of workers and of work from the runs' progress."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from curranthill.placement import (
    ActiveJob,
    DurationBook,
    Observation,
    Run,
    Speed,
    SpeedBook,
    level_of,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession


#: How often what was noted is worked out, in seconds: reports come every 1.5 s
#: when nothing ends.
REFRESH_INTERVAL_S: Final = 0.5


class PaceEstimates:
    """Keeps what is learnt in a term.

    :param durations: how long the work of each queue takes.
    :param speeds: how fast each worker is.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self.durations = DurationBook()
        self.speeds = SpeedBook(durations=self.durations)
        self._refreshed_s = 0.0
        self._logged_levels: dict[str, int] = {}

    def record(
        self, session: 'WorkerSession', job: ActiveJob, run: Run
    ) -> None:
        """Learn from a run's pace, if its report tells of one."""
        if not run.pace or run.incarnation != session.incarnation:
            return
        self.speeds.note(
            Observation(
                worker_id=session.worker_id,
                incarnation=session.incarnation,
                queue=job.spec.queue.name,
                task=run.key,
                pace=run.pace,
            ),
        )

    def refresh(
        self,
        sessions: Iterable['WorkerSession'],
        now_s: float,
    ) -> None:
        """Work out what was noted, every now and then."""
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return
        self._refreshed_s = now_s
        self.speeds.refresh()
        present = [session for session in sessions if not session.removed]
        self.speeds.forget_except(one.worker_id for one in present)
        self._log_deviating(present)

    def ratio_of(self, queue: str) -> float:
        """Return run time over estimate in a queue."""
        return self.durations.ratio_of(queue).factor

    def speed_of(self, session: 'WorkerSession') -> Speed:
        """Return the speed of the present life of a worker."""
        return self.speeds.speed_of(session.worker_id, session.incarnation)

    def _log_deviating(self, sessions: Iterable['WorkerSession']) -> None:
        """Tell of each worker that is found to differ, or no more."""
        deviating: dict[str, int] = {}
        for session in sessions:
            speed = self.speed_of(session)
            level = level_of(speed.factor)
            if level:
                deviating[session.worker_id] = level
            if level != self._logged_levels.get(session.worker_id, 0):
                events.log(
                    'worker_speed',
                    worker=session.worker_id,
                    factor=round(speed.factor, 2),
                    spread=round(speed.spread, 2),
                    steps=speed.steps,
                )
        self._logged_levels = deviating
        slow = sum(1 for level in deviating.values() if level < 0)
        metrics.workers_slow.set(slow)
        metrics.workers_fast.set(len(deviating) - slow)


__all__ = ('PaceEstimates',)
