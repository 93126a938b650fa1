"""What stopping a run costs the caller of its job.

The lost work alone would select the same job again and again: a run that was
stopped a moment ago has the least work to lose.
"""

from collections.abc import Iterable
from typing import Final

from curranthill.placement.jobs import ActiveJob
from curranthill.placement.lost_work import LostWork
from curranthill.placement.runs import RESTART_COST_S, Run
from curranthill.placement.timeliness import remaining_chain_s, timeliness

#: Each earlier restart adds this share of the lost work to the cost.
RESTART_COST_SHARE: Final = 0.5

#: A missed objective, or the loss of the credit of a late job, costs this share
#: of the work of the step that is stopped.
MISS_COST_SHARE: Final = 0.25


class StopCosts:
    """The cost of stopping runs, in core-seconds, cached for each run.

    It includes the lost work, how often the task was restarted before, and
    whether the stop makes its job miss its objective. It decides which runs are
    stopped; whether any are depends on the lost work alone.

    :param lost_work: the work lost by stopping runs.
    :param jobs: all jobs that may have runs.
    :param now_s: wall-clock seconds.
    :param lost_work_only: whether only the lost work counts.
    """

    def __init__(
        self,
        *,
        lost_work: LostWork,
        jobs: Iterable[ActiveJob],
        now_s: float,
        lost_work_only: bool = False,
    ) -> None:
        """Initialize with an empty cache."""
        self._lost_work = lost_work
        self._jobs = {job.spec.job_id: job for job in jobs}
        self._now_s = now_s
        self._lost_work_only = lost_work_only
        self._costs: dict[Run, float] = {}
        self._chains_s: dict[str, float] = {}

    def of(self, run: Run) -> float:
        """Return the cost of stopping a run, in core-seconds."""
        cost = self._costs.get(run)
        if cost is None:
            members = self._lost_work.runs_ended_by(run)
            cost = self._cost(run)
            self._costs.update(dict.fromkeys(members, cost))
        return cost

    def restarts_of(self, run: Run) -> int:
        """Return how often a task was restarted, for whatever reason.

        Attempts are stored before they start, so every leader counts the same.
        The preemptions of a job count too if the run belongs to a gang.
        """
        restarts = run.attempt - 1
        job = self._jobs.get(run.key.job_id)
        if job is not None and job.step_of(run.key).gang:
            return max(restarts, job.progress.stops)
        return restarts

    def _cost(self, run: Run) -> float:
        lost_core_s = self._lost_work.of(run)
        if self._lost_work_only:
            return lost_core_s
        cost = lost_core_s * (1 + RESTART_COST_SHARE * self.restarts_of(run))
        job = self._jobs.get(run.key.job_id)
        return cost if job is None else cost + self._cost_of_misses(job, run)

    def _cost_of_misses(self, job: ActiveJob, run: Run) -> float:
        """Return what a job loses if the stop makes it late, or too late."""
        chain_s = self._chains_s.get(job.spec.job_id)
        if chain_s is None:
            chain_s = remaining_chain_s(job)
            self._chains_s[job.spec.job_id] = chain_s
        stopped_s = self._now_s + chain_s + RESTART_COST_S
        if stopped_s <= job.objective_s:
            # The common case, which avoids the cost of the checks below.
            return 0.0
        kept_s = self._now_s + chain_s - run.age_s
        stopped_s -= run.age_s - run.lost_s
        misses = timeliness(job, stopped_s) - timeliness(job, kept_s)
        step = job.step_of(run.key)
        step_core_s = step.width * run.needs.weight_cores * step.run_s
        return max(misses, 0) * MISS_COST_SHARE * step_core_s


__all__ = ('StopCosts',)
