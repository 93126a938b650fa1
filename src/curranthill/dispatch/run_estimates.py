"""The speed and duration estimates that a leader derives from progress."""

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


#: The interval at which the estimates are updated, in seconds: reports arrive
#: every 1.5 s while no run ends.
REFRESH_INTERVAL_S: Final = 0.5


class RunEstimates:
    """Collects the observations of a term.

    :param durations: estimates how long the work of each queue takes.
    :param speeds: estimates how fast each worker is.
    """

    def __init__(self) -> None:
        """Initialize the estimates without observations."""
        self.durations = DurationEstimator()
        self.speeds = SpeedEstimator(durations=self.durations)
        self._refreshed_s = 0.0
        self._logged_levels: dict[str, int] = {}

    def record(
        self, session: 'WorkerSession', job: ActiveJob, run: Run
    ) -> None:
        """Record a run's progress rate, if its report gives one."""
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
        """Update the estimates, at most once per interval."""
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return
        self._refreshed_s = now_s
        self.speeds.refresh()
        present = [session for session in sessions if not session.removed]
        self.speeds.retain(one.worker_id for one in present)
        self._log_deviating(present)

    def ratio_of(self, queue: str) -> float:
        """Return the ratio of actual to estimated run time in a queue."""
        return self.durations.ratio_of(queue).factor

    def speed_of(self, session: 'WorkerSession') -> Speed:
        """Return the speed of a worker's current incarnation."""
        return self.speeds.speed_of(session.worker_id, session.incarnation)

    def _log_deviating(self, sessions: Iterable['WorkerSession']) -> None:
        """Log each worker that starts or stops deviating in speed."""
        deviating: dict[str, int] = {}
        for session in sessions:
            speed = self.speed_of(session)
            level = speed_level(speed.factor)
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


__all__ = ('RunEstimates',)
