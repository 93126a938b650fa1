"""Records which jobs have begun, by what workers say."""

from collections.abc import Mapping

from curranthill.clock import Clock
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.placement import ActiveJob
from curranthill.tasks import RUNNING
from curranthill.telemetry import metrics


class FirstStarts:
    """Sets jobs to running once a worker has started a task of them.

    That is stored with the next write, and no later than the queue lengths that
    depend on it, so it never becomes untrue under another leader.

    :param jobs: the jobs of the term.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        jobs: Mapping[str, ActiveJob],
        writer: ProgressWriter,
    ) -> None:
        """Initialize with the jobs that it updates."""
        self._clock = clock
        self._jobs = jobs
        self._writer = writer

    def record(self, job_id: str) -> None:
        """Record that a worker has started a task of a job."""
        job = self._jobs.get(job_id)
        if job is None or job.begun:
            return
        job.progress.state = RUNNING
        waited_s = self._clock.wall_s() - job.spec.accepted_at_s
        metrics.first_start_s.record(
            max(waited_s, 0.0),
            {'priority': job.spec.queue.priority},
        )
        self._writer.record(job, wake=False)


__all__ = ('FirstStarts',)
