"""Selection of the preemptible work to stop for guaranteed or quick work."""

from collections.abc import Iterable

from curranthill.jobs import Member
from curranthill.scheduler.cluster import WorkerState
from curranthill.scheduler.state import SchedulerState


def choose_victims(
    state: SchedulerState,
    members: Iterable[Member],
    now_s: float,
) -> tuple[str, ...]:
    """Return the jobs to preempt so that ``members`` become free.

    On each worker the jobs whose preemption costs least are chosen until enough
    slots are free; a gang chosen for one worker also frees its slots on the
    next ones.
    """
    victims: list[str] = []
    for member in members:
        worker = state.cluster.workers[member.worker]
        missing = member.slots - worker.free
        missing -= sum(_slots_on(state, job, worker) for job in victims)
        candidates = [
            job_id
            for job_id in _cheapest_first(state, worker, now_s)
            if job_id not in victims
        ]
        while missing > 0 and candidates:
            job_id = candidates.pop(0)
            victims.append(job_id)
            missing -= _slots_on(state, job_id, worker)
    return tuple(victims)


def preemption_cost_on(
    state: SchedulerState,
    worker: WorkerState,
    now_s: float,
) -> float:
    """Return the cost of preempting all preemptible work of a worker.

    A gang counts in full, as all of its members stop, wherever they run.
    """
    placed_here = [state.placed[job_id] for job_id in worker.jobs]
    return sum(
        placed.preemption_cost(now_s)
        for placed in placed_here
        if not placed.non_preemptible
    )


def _cheapest_first(
    state: SchedulerState,
    worker: WorkerState,
    now_s: float,
) -> list[str]:
    preemptible = [
        job_id
        for job_id in worker.jobs
        if not state.placed[job_id].non_preemptible
    ]
    return sorted(
        preemptible,
        key=lambda job_id: (
            state.placed[job_id].preemption_cost(now_s),
            job_id,
        ),
    )


def _slots_on(state: SchedulerState, job_id: str, worker: WorkerState) -> int:
    return sum(
        member.slots
        for member in state.placed[job_id].members
        if member.worker == worker.name
    )


__all__ = ('choose_victims', 'preemption_cost_on')
