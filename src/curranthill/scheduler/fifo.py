"""Baseline policies: first come, first served, with first-fit placement."""

from curranthill.scheduler.policies import Policy, policies
from curranthill.scheduler.search import first_fit
from curranthill.scheduler.state import Decision, SchedulerState, WaitingJob


class FifoFirstFit:
    """First-fit placement in order of arrival, without preemption.

    :param skipping: whether later jobs may pass one that does not fit.
    """

    def __init__(self, *, skipping: bool = False) -> None:
        """Initialize; by default the head of the queue blocks the rest."""
        self._skipping = skipping

    def decide(self, state: SchedulerState, now_s: float) -> list[Decision]:
        """Place jobs in order of arrival."""
        decisions: list[Decision] = []
        failed: set[tuple[int, str]] = set()
        for waiting in sorted(state.queue, key=_arrival):
            job = waiting.job
            if (job.slots, job.adjacent) in failed:
                continue
            members = first_fit(state.cluster, job.slots, job.adjacent)
            if members is None:
                if not self._skipping:
                    break
                failed.add((job.slots, job.adjacent))
                continue
            decisions.append(
                state.place(
                    waiting,
                    members,
                    non_preemptible=True,
                    now_s=now_s,
                    reason='first fit',
                ),
            )
        return decisions

    def explain(
        self,
        state: SchedulerState,
        job_id: str,
        now_s: float,
    ) -> list[str]:
        """Return a sentence on how many jobs arrived before this one."""
        order = sorted(state.queue, key=_arrival)
        ahead = 0
        for waiting in order:
            if waiting.job.job_id == job_id:
                return [f'{ahead} jobs arrived before it.']
            ahead += 1
        return []


@policies.register('fifo_first_fit')
def fifo_first_fit(preemptions: int) -> Policy:
    """Return the baseline in which the head of the queue blocks the rest."""
    return FifoFirstFit()


@policies.register('fifo_skipping')
def fifo_skipping(preemptions: int) -> Policy:
    """Return the baseline in which later jobs may pass."""
    return FifoFirstFit(skipping=True)


def _arrival(waiting: WaitingJob) -> float:
    return waiting.since_s


__all__ = ('FifoFirstFit', 'fifo_first_fit', 'fifo_skipping')
