"""The price of a stop: a gang ends as a whole with any of its members."""

from collections.abc import Iterable, Sequence

from curranthill.placement.jobs import ActiveJob
from curranthill.placement.runs import Run
from curranthill.placement.stopping import ends_soon

_Gang = tuple[str, int, int]


class Losses:
    """Work that stops throw away, in core-seconds; each gang is summed once.

    A round asks for every run that could be stopped, for every waiting urgent
    task. Summed anew each time, that was nine tenths of a round's time.

    :param jobs: all jobs of which runs may exist.
    :param waits: whether runs that end soon are waited for; it costs nothing.
    """

    def __init__(
        self,
        *,
        jobs: Iterable[ActiveJob],
        waits: bool = False,
    ) -> None:
        """Start with nothing summed."""
        self._waits = waits
        self._jobs = {job.spec.job_id: job for job in jobs}
        self._members: dict[_Gang, Sequence[Run]] = {}
        self._gang_loss: dict[_Gang, float] = {}

    def ending_with(self, run: Run) -> Sequence[Run]:
        """Return the runs that end when a run is stopped, itself included."""
        gang = self._gang_of(run)
        if gang is None:
            return (run,)
        members = self._members.get(gang)
        if members is None:
            job = self._jobs[run.key.job_id]
            keys = job.members_of(run.key)
            members = [job.runs[key] for key in keys if key in job.runs]
            self._members[gang] = members
        return members

    def of(self, run: Run) -> float:
        """Return the core-seconds that are thrown away for a run's room."""
        gang = self._gang_of(run)
        if gang is None:
            return self._sum((run,))
        loss = self._gang_loss.get(gang)
        if loss is None:
            loss = self._sum(self.ending_with(run))
            self._gang_loss[gang] = loss
        return loss

    def waits_for(self, run: Run) -> bool:
        """Return whether a run is not stopped, as it ends by itself."""
        return self._all_end_soon(self.ending_with(run))

    def _all_end_soon(self, runs: Sequence[Run]) -> bool:
        return self._waits and all(ends_soon(one) for one in runs)

    def _sum(self, runs: Sequence[Run]) -> float:
        if self._all_end_soon(runs):
            return 0.0
        return sum(one.loss_core_s for one in runs)

    def _gang_of(self, run: Run) -> _Gang | None:
        """Return the gang that a run is part of; older runs of it are not."""
        key = run.key
        job = self._jobs.get(key.job_id)
        if job is None or not job.step_of(key).gang:
            return None
        if job.runs.get(key) is not run:
            return None
        return (key.job_id, key.occurrence, key.step)


__all__ = ('Losses',)
