"""Routes quick requests from a gateway directly to a worker."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple

from loguru import logger

from curranthill.clock import Clock
from curranthill.errors import (
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Outcome,
    RefusedError,
    TaskFailedError,
    WorkerBusyError,
    WorkerError,
    WorkerUnreachableError,
)
from curranthill.routing.choice import Choice
from curranthill.routing.ejection import OutlierEjector
from curranthill.routing.pool import PooledWorker, WorkerPool
from curranthill.routing.queue import FairQueue, QueueFullError
from curranthill.routing.retries import RetryBudget
from curranthill.telemetry import metrics
from curranthill.workers import QuickReply, QuickRequest, Worker

#: Weight of a new sample in the moving average of the run time of a kind.
_SMOOTHING: Final = 0.1

#: Run time assumed for a kind without samples, in seconds.
_DEFAULT_RUN_S: Final = 0.01

#: Delay before a retry after a worker had no free slot, in seconds.
_BUSY_WAIT_S: Final = 0.01

#: Workers that may be lost while they run one request. A request that loses
#: its workers may be what crashes them, but one whose first worker was lost by
#: coincidence deserves a second attempt.
MAX_LOSSES: Final = 2

_TOO_MANY: Final = 429
_UNAVAILABLE: Final = 503
_BAD_GATEWAY: Final = 502
_GATEWAY_TIMEOUT: Final = 504


class QuickWork(NamedTuple):
    """A quick request.

    :param deadline_s: for how many seconds its caller still waits.
    """

    request_id: str
    workspace: str
    service: str
    kind: str
    idempotent: bool
    body: bytes
    deadline_s: float


class Router:
    """Chooses a worker for each quick request; retries only where it is safe.

    :param worker_at: returns the client of a worker by its address.
    :param queue_bound: the maximum number of waiting requests per workspace.
    """

    def __init__(  # noqa: WPS211
        self,
        *,
        clock: Clock,
        pool: WorkerPool,
        choice: Choice,
        ejector: OutlierEjector,
        retries: RetryBudget,
        worker_at: Callable[[str], Worker],
        queue_bound: int,
    ) -> None:
        """Initialize with no request in flight."""
        self.max_in_flight = 0
        self.in_flight = 0
        self._clock = clock
        self._pool = pool
        self._choice = choice
        self._ejector = ejector
        self._retries = retries
        self._worker_at = worker_at
        self._queue = FairQueue(bound=queue_bound, take=self._take)
        self._run_s: dict[str, float] = {}

    async def run(self, work: QuickWork) -> QuickReply:
        """Run a request on a worker and return its whole response.

        :raises RefusedError: with the known outcome of the request.
        """
        until_s = self._clock.monotonic_s() + work.deadline_s
        self._admit(work)
        self._retries.count_request()
        excluded: frozenset[str] = frozenset()
        losses = 0
        while True:
            worker = await self._acquire(work, excluded, until_s)
            try:
                return await self._send(work, worker, until_s)
            except WorkerError as error:
                self._record_failure(work, worker, error)
                if not isinstance(error, WorkerBusyError):
                    excluded |= {worker.name}
                losses += _outcome(error) == UNKNOWN
                await self._allow_retry(work, error, until_s, excluded, losses)
            finally:
                worker.in_flight -= 1
                self.in_flight -= 1
                self._queue.serve()

    def take_peak(self) -> int:
        """Return and reset the peak of requests in flight or waiting."""
        peak = max(self.max_in_flight, self.in_flight + len(self._queue))
        self.max_in_flight = self.in_flight
        return peak

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a worker."""
        return len(self._queue)

    def serve(self) -> None:
        """Assign free slots to waiting requests after the pool has changed."""
        self._queue.serve()

    def _admit(self, work: QuickWork) -> None:
        """Refuse a request at once if it cannot meet its deadline."""
        run_s = self._run_s.get(work.kind, _DEFAULT_RUN_S)
        ahead = self._queue.count_ahead(work.workspace)
        capacity = self._pool.capacity
        if capacity == 0:
            return
        wait_s = (ahead / capacity) * run_s
        if ahead and wait_s + run_s > work.deadline_s:
            raise self._refusal(
                work,
                'The deadline cannot be met: too many requests are queued.',
                status=_TOO_MANY,
                retry_after_s=wait_s,
            )

    async def _acquire(
        self,
        work: QuickWork,
        excluded: frozenset[str],
        until_s: float,
    ) -> PooledWorker:
        remaining_s = until_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0, remaining_s)):
                return await self._queue.acquire(work.workspace, excluded)
        except QueueFullError:
            raise self._refusal(
                work,
                'The request queue of this workspace is full.',
                status=_TOO_MANY,
                retry_after_s=self._run_s.get(work.kind, _DEFAULT_RUN_S),
            ) from None
        except TimeoutError:
            raise self._refusal(
                work,
                'No worker had a free slot before the deadline.',
                status=_UNAVAILABLE,
                retry_after_s=1,
            ) from None

    def _take(self, excluded: frozenset[str]) -> PooledWorker | None:
        """Take a slot on one of the candidates, if there are any."""
        candidates = [
            worker
            for worker in self._pool.candidates(excluded)
            if not self._ejector.is_ejected(worker.name)
            and worker.in_flight < self._in_flight_limit(worker)
        ]
        if not candidates:
            return None
        worker = self._choice(candidates)
        worker.in_flight += 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        return worker

    def _in_flight_limit(self, worker: PooledWorker) -> int:
        share = self._ejector.limit_share(worker.name)
        return max(1, int(worker.limit * share)) if share else 0

    async def _send(
        self,
        work: QuickWork,
        worker: PooledWorker,
        until_s: float,
    ) -> QuickReply:
        begun_s = self._clock.monotonic_s()
        logger.bind(
            request=work.request_id,
            workspace=work.workspace,
            step='route',
            peer=worker.name,
        ).debug(
            '{} is sent to {}: {} of {} in flight, {} free slots',
            work.kind,
            worker.name,
            worker.in_flight,
            worker.limit,
            worker.free_slots,
        )
        reply = await self._worker_at(worker.address).quick(
            QuickRequest(
                request_id=work.request_id,
                service=work.service,
                kind=work.kind,
                body=work.body,
                deadline_s=max(0.001, until_s - begun_s),
            ),
        )
        self._record_reply(work, worker, reply, begun_s)
        return reply

    def _record_reply(
        self,
        work: QuickWork,
        worker: PooledWorker,
        reply: QuickReply,
        begun_s: float,
    ) -> None:
        took_s = self._clock.monotonic_s() - begun_s
        worker.free_slots = reply.free_slots
        mean_s = self._run_s.get(work.kind, took_s)
        self._run_s[work.kind] = mean_s + _SMOOTHING * (took_s - mean_s)
        self._ejector.record(worker.name, work.kind, failed=False)
        metrics.quick_latency_s.record(took_s)

    def _record_failure(
        self,
        work: QuickWork,
        worker: PooledWorker,
        error: WorkerError,
    ) -> None:
        if isinstance(error, WorkerBusyError):
            worker.free_slots = 0
            return
        if self._ejector.record(worker.name, work.kind, failed=True):
            logger.bind(step='health', peer=worker.name).warning(
                '{} is ejected: it fails requests that its peers complete',
                worker.name,
            )

    async def _allow_retry(
        self,
        work: QuickWork,
        error: WorkerError,
        until_s: float,
        excluded: frozenset[str],
        losses: int,
    ) -> None:
        """Return if the request may be sent to another worker, else refuse it.

        Once every worker has been tried it is refused at once.

        :param losses: workers that were lost while they ran this request.
        """
        outcome = _outcome(error)
        before_deadline = self._clock.monotonic_s() < until_s
        if isinstance(error, WorkerBusyError) and before_deadline:
            await self._clock.sleep(_BUSY_WAIT_S)
            return
        safe = outcome == NOT_RUN or (work.idempotent and outcome == UNKNOWN)
        safe = safe and before_deadline and losses < MAX_LOSSES
        safe = safe and self._pool.has_others(excluded)
        if safe and self._retries.take():
            metrics.retries.add(1)
            return
        status = _GATEWAY_TIMEOUT if outcome == UNKNOWN else _BAD_GATEWAY
        raise self._refusal(
            work,
            error.message,
            status=_UNAVAILABLE if outcome == NOT_RUN else status,
            peer=error.peer,
            outcome=outcome,
            retry_after_s=1 if outcome == NOT_RUN else None,
        ) from error

    def _refusal(  # noqa: WPS211
        self,
        work: QuickWork,
        message: str,
        *,
        status: int,
        peer: str = '',
        outcome: Outcome = NOT_RUN,
        retry_after_s: float | None = None,
    ) -> RefusedError:
        metrics.refusals.add(1)
        logger.bind(
            request=work.request_id,
            workspace=work.workspace,
            step='route',
            peer=peer,
        ).info('{} is refused as {}: {}', work.kind, outcome, message)
        return RefusedError(
            message,
            step='route',
            peer=peer,
            status=status,
            outcome=outcome,
            retry_after_s=retry_after_s,
        )


def _outcome(error: WorkerError) -> Outcome:
    if isinstance(error, TaskFailedError):
        return FAILED
    if isinstance(error, (WorkerBusyError, WorkerUnreachableError)):
        return NOT_RUN
    return UNKNOWN


__all__ = ('QuickWork', 'Router')
