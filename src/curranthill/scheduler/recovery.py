"""What a new leader does first: fence, ask, read, adopt, release."""

import asyncio
from typing import NamedTuple

from loguru import logger

from curranthill.errors import FencedError, WorkerError
from curranthill.jobs import ACCEPTED, StoredJob
from curranthill.scheduler.context import Context
from curranthill.scheduler.term import Term
from curranthill.storage import HostEntry
from curranthill.workers import RUNNING, AttemptId, LeaseReport

#: Workers asked at the same time.
PARALLEL_CALLS = 32


class Held(NamedTuple):
    """What the workers hold.

    :param leases: worker name -> its leases by attempt.
    :param silent: workers that did not answer; they are told nothing yet.
    """

    leases: dict[str, dict[AttemptId, LeaseReport]]
    silent: frozenset[str]


class Recovered(NamedTuple):
    """What a takeover found, for its log line and its measurement."""

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
    """Fill a new term's board from the workers and the table.

    The workers are fenced before the rows are read, so that whatever an
    older leader marks later it can no longer start.

    :raises FencedError: if a worker has seen a higher epoch.
    :raises StorageError: if the table cannot be read.
    """
    begun_s = context.clock.monotonic_s()
    term.update_workers()
    held = await ask_and_fence(context, workers)
    stored_jobs = await context.store.scan_open(data_centre)
    resumed = _adopt(term, stored_jobs, held)
    orphans = _release_orphans(term, resumed, held)
    recovered = Recovered(
        waiting=len(stored_jobs) - len(resumed),
        resumed=len(resumed),
        orphans=orphans,
        took_s=context.clock.monotonic_s() - begun_s,
    )
    logger.bind(step='recover').info('took over: {}', recovered)
    return recovered


async def ask_and_fence(context: Context, workers: list[HostEntry]) -> Held:
    """Raise the epoch on each worker and learn its leases in one call."""
    bound = asyncio.Semaphore(PARALLEL_CALLS)
    answers = await asyncio.gather(
        *(_fence(context, entry, bound) for entry in workers),
    )
    leases: dict[str, dict[AttemptId, LeaseReport]] = {}
    silent: set[str] = set()
    for entry, answer in zip(workers, answers, strict=True):
        if answer is None:
            silent.add(entry.host)
        else:
            leases[entry.host] = {lease.attempt_id: lease for lease in answer}
    return Held(leases=leases, silent=frozenset(silent))


def member_states(stored: StoredJob, held: Held) -> dict[str, str]:
    """Return the state of each member as far as its worker said.

    A member on a silent worker counts as running: its watch finds out, and
    the worker is fenced as soon as it answers.
    """
    states: dict[str, str] = {}
    for member in stored.job.members:
        if member.worker in held.silent:
            states[member.worker] = RUNNING
            continue
        leases = held.leases.get(member.worker, {})
        lease = leases.get(stored.job.attempt_id)
        if lease is not None:
            states[member.worker] = lease.state
    return states


def _adopt(
    term: Term,
    stored_jobs: list[StoredJob],
    held: Held,
) -> set[AttemptId]:
    """Queue what waits and go on with what was marked; return the latter."""
    resumed: set[AttemptId] = set()
    for stored in stored_jobs:
        if stored.job.state == ACCEPTED:
            term.submit(stored)
        else:
            term.resume(stored, member_states(stored, held))
            resumed.add(stored.job.attempt_id)
    return resumed


def _release_orphans(term: Term, resumed: set[AttemptId], held: Held) -> int:
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
    bound: asyncio.Semaphore,
) -> tuple[LeaseReport, ...] | None:
    async with bound:
        client = context.worker_at(entry.address)
        try:
            return await client.fence(context.election.token)
        except FencedError:
            raise
        except WorkerError:
            return None


__all__ = ('Held', 'Recovered', 'ask_and_fence', 'member_states', 'recover')
