"""What the leader learns of workers and of work from the runs' progress."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from curranthill.placement import (
    ActiveJob,
    DurationEstimator,
    Observation,
    Run,
    Speed,
    SpeedEstimator,
    speed_level,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession


#: How often what was noted is worked out, in seconds: reports come every 1.5 s
#: when nothing ends.
REFRESH_INTERVAL_S: Final = 0.5


class Learning:
    """Keeps what is learnt in a term.

    :param durations: how long the work of each queue takes.
    :param speeds: how fast each worker is.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self.durations = DurationEstimator()
        self.speeds = SpeedEstimator(durations=self.durations)
        self._refreshed_s = 0.0
        self._told: dict[str, int] = {}

    def note(self, session: 'WorkerSession', job: ActiveJob, run: Run) -> None:
        """Learn from a run's pace, if its report tells of one."""
        if not run.progress_rate or run.incarnation != session.incarnation:
            return
        self.speeds.record(
            Observation(
                worker_id=session.worker_id,
                incarnation=session.incarnation,
                queue=job.spec.queue.name,
                task=run.key,
                progress_rate=run.progress_rate,
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
        present = [session for session in sessions if not session.gone]
        self.speeds.forget_except(one.worker_id for one in present)
        self._tell_unlike(present)

    def ratio_of(self, queue: str) -> float:
        """Return run time over estimate in a queue."""
        return self.durations.ratio_of(queue).factor

    def speed_of(self, session: 'WorkerSession') -> Speed:
        """Return the speed of the present life of a worker."""
        return self.speeds.speed_of(session.worker_id, session.incarnation)

    def _tell_unlike(self, sessions: Iterable['WorkerSession']) -> None:
        """Tell of each worker that is found to differ, or no more."""
        unlike: dict[str, int] = {}
        for session in sessions:
            speed = self.speed_of(session)
            level = speed_level(speed.factor)
            if level:
                unlike[session.worker_id] = level
            if level != self._told.get(session.worker_id, 0):
                events.log(
                    'worker_speed',
                    worker=session.worker_id,
                    factor=round(speed.factor, 2),
                    spread=round(speed.spread, 2),
                    steps=speed.steps,
                )
        self._told = unlike
        slow = sum(1 for level in unlike.values() if level < 0)
        metrics.workers_slow.set(slow)
        metrics.workers_fast.set(len(unlike) - slow)


__all__ = ('Learning',)
