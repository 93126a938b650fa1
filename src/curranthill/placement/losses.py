"""What a stop throws away: a gang ends as a whole with any of its members."""

from collections.abc import Iterable, Sequence

from curranthill.placement.jobs import ActiveJob
from curranthill.placement.runs import Run

_Gang = tuple[str, int, int]


class Losses:
    """Work that stops throw away, in core-seconds; each gang is summed once.

    A round asks for every run that could be stopped, for every waiting urgent
    task. Summed anew each time, that was nine tenths of a round's time.

    :param jobs: all jobs of which runs may exist.
    """

    def __init__(self, *, jobs: Iterable[ActiveJob]) -> None:
        """Start with nothing summed."""
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
        """Return the core-seconds that stopping a run throws away."""
        gang = self._gang_of(run)
        if gang is None:
            return run.loss_core_s
        loss = self._gang_loss.get(gang)
        if loss is None:
            members = self.ending_with(run)
            loss = sum(one.loss_core_s for one in members)
            self._gang_loss[gang] = loss
        return loss

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
