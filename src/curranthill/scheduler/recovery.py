"""Takeover by a new leader: fence workers, read rows, adopt attempts."""

import asyncio
from typing import NamedTuple

from loguru import logger

from curranthill.errors import FencedError, WorkerError
from curranthill.jobs import ACCEPTED, StoredJob
from curranthill.scheduler.context import Context
from curranthill.scheduler.term import Term
from curranthill.storage import HostEntry
from curranthill.workers import RUNNING, AttemptId, LeaseReport

#: The number of workers that are fenced concurrently.
MAX_PARALLEL_CALLS = 32


class WorkerLeases(NamedTuple):
    """The leases that workers hold.

    :param leases: worker name -> its leases by attempt.
    :param unresponsive: workers that did not respond and are not fenced yet.
    """

    leases: dict[str, dict[AttemptId, LeaseReport]]
    unresponsive: frozenset[str]


class Recovered(NamedTuple):
    """The result of a takeover, as logged and measured."""

    waiting: int
    resumed: int
    orphans: int
    took_s: float


async def recover(
    term: Term,
    context: Context,
    workers: list[HostEntry],
    data_centre: str,
) -> Recovered:
    """Fill a new term's state from the workers and the table.

    The workers are fenced before the rows are read, so that a previous leader
    cannot start what it records later.

    :raises FencedError: if a worker has seen a higher epoch.
    :raises StorageError: if the table cannot be read.
    """
    begun_s = context.clock.monotonic_s()
    term.update_workers()
    held = await fence_workers(context, workers)
    stored_jobs = await context.store.scan_open(data_centre)
    resumed = _restore_jobs(term, stored_jobs, held)
    orphans = _release_orphans(term, resumed, held)
    recovered = Recovered(
        waiting=len(stored_jobs) - len(resumed),
        resumed=len(resumed),
        orphans=orphans,
        took_s=context.clock.monotonic_s() - begun_s,
    )
    logger.bind(step='recover').info('took over: {}', recovered)
    return recovered


async def fence_workers(
    context: Context,
    workers: list[HostEntry],
) -> WorkerLeases:
    """Fence each worker by a call that also returns its leases."""
    semaphore = asyncio.Semaphore(MAX_PARALLEL_CALLS)
    replies = await asyncio.gather(
        *(_fence(context, entry, semaphore) for entry in workers),
    )
    leases: dict[str, dict[AttemptId, LeaseReport]] = {}
    unresponsive: set[str] = set()
    for entry, reply in zip(workers, replies, strict=True):
        if reply is None:
            unresponsive.add(entry.host)
        else:
            leases[entry.host] = {lease.attempt_id: lease for lease in reply}
    return WorkerLeases(leases=leases, unresponsive=frozenset(unresponsive))


def member_states(stored: StoredJob, held: WorkerLeases) -> dict[str, str]:
    """Return the state of each member as far as its worker reported it.

    A member on an unresponsive worker counts as running: the watch determines
    its state, and the worker is fenced as soon as it responds.
    """
    states: dict[str, str] = {}
    for member in stored.job.members:
        if member.worker in held.unresponsive:
            states[member.worker] = RUNNING
            continue
        leases = held.leases.get(member.worker, {})
        lease = leases.get(stored.job.attempt_id)
        if lease is not None:
            states[member.worker] = lease.state
    return states


def _restore_jobs(
    term: Term,
    stored_jobs: list[StoredJob],
    held: WorkerLeases,
) -> set[AttemptId]:
    """Queue accepted jobs and resume started attempts; return the latter."""
    resumed: set[AttemptId] = set()
    for stored in stored_jobs:
        if stored.job.state == ACCEPTED:
            term.submit(stored)
        else:
            term.resume(stored, member_states(stored, held))
            resumed.add(stored.job.attempt_id)
    return resumed


def _release_orphans(
    term: Term,
    resumed: set[AttemptId],
    held: WorkerLeases,
) -> int:
    orphans = [
        (worker, lease)
        for worker, leases in held.leases.items()
        for lease in leases.values()
        if lease.attempt_id not in resumed
    ]
    for worker, lease in orphans:
        term.release_orphan(worker, lease)
    return len(orphans)


async def _fence(
    context: Context,
    entry: HostEntry,
    semaphore: asyncio.Semaphore,
) -> tuple[LeaseReport, ...] | None:
    async with semaphore:
        client = context.worker_at(entry.address)
        try:
            return await client.fence(context.election.token)
        except FencedError:
            raise
        except WorkerError:
            return None


__all__ = (
    'Recovered',
    'WorkerLeases',
    'fence_workers',
    'member_states',
    'recover',
)
