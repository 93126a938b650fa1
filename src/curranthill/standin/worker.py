"""A simulated worker with leases on slots and fencing; its tasks only sleep.

The body of a task is JSON: ``run_s`` is how long it runs in seconds, ``fail``
whether it then fails, ``use_slots`` how many slots it is measured to use, and
``result_bytes`` how many bytes its result is padded by.
"""

import asyncio
import json
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from curranthill.clock import Clock
from curranthill.errors import (
    FencedError,
    TaskFailedError,
    UnknownPollError,
    WorkerBusyError,
    WorkerError,
)
from curranthill.standin.faults import Faults
from curranthill.workers.records import (
    ENDED_STATES,
    FINISHED,
    RESERVED,
    RUNNING,
    STOPPED,
    TASK_FAILED,
    AttemptId,
    FencingToken,
    LeaseReport,
    LeaseRequest,
    LeaseState,
    QuickReply,
    QuickRequest,
    Task,
    WorkerReport,
)

#: How long an ended attempt is remembered, in seconds: longer than any call
#: can be in transit, so that a late start finds it ended.
ENDED_RETENTION_S = 900.0

#: How long after a start the measured usage is first reported, in seconds.
USAGE_DELAY_S = 1.0

#: How often a queued quick request checks for a free slot, in seconds.
_SLOT_POLL_S = 0.002


@dataclass(kw_only=True)
class ObservedStart:
    """One start as the worker observed it, for audits.

    :param members: the size of the gang according to the start call.
    :param ended_s: when the task ended at this worker; 0 while it runs.
    """

    job: str
    attempt: int
    members: int
    started_s: float
    ended_s: float = 0.0


@dataclass(kw_only=True)
class _Lease:
    attempt_id: AttemptId
    slots: int
    token: FencingToken
    expires_s: float
    state: LeaseState = RESERVED
    reason: str = ''
    used_slots: float = 0.0
    share: float = 1.0
    progress_s: float = 0.0
    result: bytes = b''
    observed: ObservedStart | None = None


class WorkerModel:
    """One worker with its slots, leases and tasks.

    :param name: the worker's name.
    :param slots: how many slots it has.
    :param connections: how many calls it handles at the same time.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        slots: int,
        connections: int,
    ) -> None:
        """Initialize a worker whose slots are all free."""
        self.name = name
        self.slots = slots
        self.connections = connections
        self.draining = False
        self.faults = Faults(clock=clock)
        self.starts: list[ObservedStart] = []
        self.quick_runs: dict[str, int] = {}
        self.connections_in_use = 0
        self.peak_connections = 0
        self._clock = clock
        self._closed = False
        self._highest_token = FencingToken(epoch=0, holder='')
        self._previous_poll: (
            tuple[FencingToken, frozenset[AttemptId]] | None
        ) = None
        self._leases: dict[AttemptId, _Lease] = {}
        self._started: set[AttemptId] = set()
        self._tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self._ended_at_s: dict[AttemptId, float] = {}
        self.quick_running = 0
        self._quick_waiting: deque[str] = deque()
        self._changed = asyncio.Event()

    def free_slots(self) -> int:
        """Return the number of slots that no lease or quick request holds."""
        self._expire_leases()
        return self.slots - self._leased_slots() - self.quick_running

    def running(self) -> list[AttemptId]:
        """Return the attempts that are running."""
        self._expire_leases()
        return [
            lease.attempt_id
            for lease in self._leases.values()
            if lease.state == RUNNING
        ]

    def close(self) -> None:
        """End all tasks and polls, as if the machine were shut down."""
        self._closed = True
        self._notify()
        for lease in self._leases.values():
            if lease.state not in ENDED_STATES:
                self._end(lease, STOPPED, 'the worker went')

    def crash(self) -> None:
        """Lose all leases and restart without them."""
        for lease in list(self._leases.values()):
            if lease.state not in ENDED_STATES:
                self._end(lease, STOPPED, 'the worker crashed')
        self._leases.clear()
        self._ended_at_s.clear()
        self._started.clear()
        self._previous_poll = None
        self._notify()

    def fence(self, token: FencingToken) -> tuple[LeaseReport, ...]:
        """Record the fencing token and return all leases."""
        self._check_token(token)
        return self._reports()

    def reserve(self, token: FencingToken, request: LeaseRequest) -> None:
        """Reserve slots for an attempt; a repeated call changes nothing."""
        self._check_token(token)
        if self.draining:
            raise self._error(WorkerBusyError, 'leaving', 'reserve')
        if request.attempt_id in self._ended_at_s:
            raise self._error(WorkerError, 'attempt ended', 'reserve')
        if request.attempt_id in self._leases:
            return
        if request.slots > self.free_slots():
            raise self._error(WorkerBusyError, 'slots taken', 'reserve')
        self._leases[request.attempt_id] = _Lease(
            attempt_id=request.attempt_id,
            slots=request.slots,
            token=token,
            expires_s=self._clock.monotonic_s() + request.term_s,
        )

    def start(
        self, token: FencingToken, attempt_id: AttemptId, task: Task
    ) -> None:
        """Start a reserved attempt; a repeated call changes nothing."""
        self._check_token(token)
        lease = self._find_lease(attempt_id, 'start')
        if lease.state != RESERVED:
            return
        lease.state = RUNNING
        self._started.add(attempt_id)
        observed = ObservedStart(
            job=attempt_id.job,
            attempt=attempt_id.attempt,
            members=task.members,
            started_s=self._clock.monotonic_s(),
        )
        self.starts.append(observed)
        lease.observed = observed
        self._tasks[attempt_id] = asyncio.create_task(self._run(lease, task))

    async def poll(
        self,
        token: FencingToken,
        term_s: float,
        wait_s: float,
        attempts: Sequence[AttemptId] | None,
        known_ended: Sequence[AttemptId],
    ) -> WorkerReport:
        """Renew leases; respond once another has ended or after ``wait_s``.

        It responds early while the worker is draining or closed, and when a
        newer token arrives.

        :param term_s: how long the renewed leases last, in seconds.
        :param attempts: the attempts to renew; ``None`` repeats those of the
            previous poll.
        :param known_ended: ended attempts that the caller knows of.
        """
        self._check_token(token)
        polled = self._polled_attempts(token, attempts)
        self._renew(term_s, polled)
        deadline_s = self._clock.monotonic_s() + wait_s
        known = frozenset(known_ended)
        while not self._has_new_end(known) and not self.draining:
            left_s = deadline_s - self._clock.monotonic_s()
            if left_s <= 0 or self._closed or self._highest_token != token:
                break
            await self._wait_for_change(left_s)
        reports = [
            lease for lease in self._reports() if _must_report(lease, polled)
        ]
        return WorkerReport(
            leases=tuple(reports),
            unknown=tuple(
                attempt_id
                for attempt_id in polled
                if attempt_id not in self._leases
            ),
            free_slots=self.free_slots(),
            leaving=self.draining,
        )

    async def stop(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        grace_s: float,
    ) -> str:
        """Checkpoint and stop an attempt; a repeated call changes nothing."""
        self._check_token(token)
        lease = self._find_lease(attempt_id, 'stop')
        if lease.state in ENDED_STATES:
            return ''
        checkpoint = f'progress-{lease.progress_s:.3f}'
        self._end(lease, STOPPED, 'stopped')
        return checkpoint

    def release(self, token: FencingToken, attempt_id: AttemptId) -> bool:
        """Release an attempt's slots; return whether it had ever started."""
        self._check_token(token)
        lease = self._leases.get(attempt_id)
        if lease is not None and lease.state not in ENDED_STATES:
            self._end(lease, STOPPED, 'released')
        # An unknown attempt is recorded as ended too: a late reserve must fail.
        self._leases.pop(attempt_id, None)
        self._ended_at_s.pop(attempt_id, None)
        self._ended_at_s[attempt_id] = self._clock.monotonic_s()
        return attempt_id in self._started

    def throttle(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        share: float,
    ) -> None:
        """Limit the task to a share of its slots."""
        self._check_token(token)
        self._find_lease(attempt_id, 'throttle').share = share

    def fetch_result(self, attempt_id: AttemptId) -> bytes:
        """Return the result of a finished attempt."""
        lease = self._find_lease(attempt_id, 'result')
        if lease.state != FINISHED:
            raise self._error(WorkerError, 'not finished', 'result')
        return lease.result

    async def quick(self, request: QuickRequest) -> QuickReply:
        """Run a quick request as soon as a slot is free."""
        await self._wait_for_slot(request)
        self.quick_running += 1
        runs = self.quick_runs.get(request.request_id, 0)
        self.quick_runs[request.request_id] = runs + 1
        try:
            body = await self._run_quick(request)
        finally:
            self.quick_running -= 1
        return QuickReply(
            body=body,
            content_type='application/json',
            free_slots=max(0, self.free_slots()),
        )

    async def _wait_for_slot(self, request: QuickRequest) -> None:
        if self.draining:
            raise self._error(WorkerBusyError, 'leaving', 'quick')
        if self.free_slots() > 0 and not self._quick_waiting:
            return
        if self._leased_slots() >= self.slots:
            raise self._error(WorkerBusyError, 'no quick slot', 'quick')
        deadline_s = self._clock.monotonic_s() + request.deadline_s
        self._quick_waiting.append(request.request_id)
        try:
            while self._quick_waiting[0] != request.request_id or (
                self.free_slots() <= 0
            ):
                if self._clock.monotonic_s() >= deadline_s:
                    raise self._error(WorkerBusyError, 'too late', 'quick')
                await self._clock.sleep(_SLOT_POLL_S)
        finally:
            self._quick_waiting.remove(request.request_id)

    async def _run_quick(self, request: QuickRequest) -> bytes:
        options = _task_options(request.body)
        await self._clock.sleep(float(options.get('run_s', 0)))
        if self.faults.settings.fails or options.get('fail'):
            raise self._error(TaskFailedError, 'The task failed.', 'quick')
        return json.dumps(
            {'worker': self.name, 'request': request.request_id, 'of': options},
        ).encode()

    async def _run(self, lease: _Lease, task: Task) -> None:
        options = _task_options(task.body.encode())
        lease.used_slots = float(options.get('use_slots', lease.slots))
        run_s = float(options.get('run_s', 0))
        if task.checkpoint.startswith('progress-'):
            lease.progress_s = float(task.checkpoint.removeprefix('progress-'))
        await self._sleep_through(lease, run_s)
        if self.faults.settings.fails or options.get('fail'):
            self._end(lease, TASK_FAILED, 'The task failed.')
            return
        lease.result = json.dumps(
            {
                'job': lease.attempt_id.job,
                'attempt': lease.attempt_id.attempt,
                'members': task.members,
                'worker': self.name,
                'pad': 'x' * int(options.get('result_bytes', 0)),
            },
        ).encode()
        self._end(lease, FINISHED, '')

    async def _sleep_through(self, lease: _Lease, run_s: float) -> None:
        while lease.progress_s < run_s:
            # A checkpoint contains whole steps; a step is a tenth of the run.
            step_s = min(run_s - lease.progress_s, max(run_s / 10, 0.01))
            await self._clock.sleep(step_s / lease.share)
            lease.progress_s += step_s

    def _check_token(self, token: FencingToken) -> None:
        seen = self._highest_token
        if token.epoch < seen.epoch or (
            token.epoch == seen.epoch and token.holder != seen.holder
        ):
            raise FencedError(
                f'Epoch {token.epoch} lost to {seen.epoch} of {seen.holder}.',
                step='fence',
                peer=self.name,
                seen_epoch=seen.epoch,
            )
        if token.epoch > seen.epoch:
            self._highest_token = token
            self._notify()
        self._expire_leases()

    def _polled_attempts(
        self,
        token: FencingToken,
        attempts: Sequence[AttemptId] | None,
    ) -> frozenset[AttemptId]:
        """Return the attempts of this poll, or else those of the previous one.

        :raises UnknownPollError: if there is none of this token.
        """
        if attempts is not None:
            self._previous_poll = (token, frozenset(attempts))
        if self._previous_poll is None or self._previous_poll[0] != token:
            raise self._error(UnknownPollError, 'no last poll', 'poll')
        return self._previous_poll[1]

    def _renew(self, term_s: float, attempts: Iterable[AttemptId]) -> None:
        expires_s = self._clock.monotonic_s() + term_s
        for attempt_id in attempts:
            lease = self._leases.get(attempt_id)
            if lease is not None and lease.state not in ENDED_STATES:
                lease.expires_s = expires_s
                lease.token = self._highest_token

    def _has_new_end(self, known: frozenset[AttemptId]) -> bool:
        self._expire_leases()
        return any(
            lease.state in ENDED_STATES and attempt_id not in known
            for attempt_id, lease in self._leases.items()
        )

    async def _wait_for_change(self, left_s: float) -> None:
        waiter = asyncio.ensure_future(self._changed.wait())
        timer = asyncio.ensure_future(self._clock.sleep(left_s))
        try:
            await asyncio.wait(
                (waiter, timer),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            waiter.cancel()
            timer.cancel()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self) -> None:
        now_s = self._clock.monotonic_s()
        for lease in self._leases.values():
            if lease.state not in ENDED_STATES and lease.expires_s <= now_s:
                self._end(lease, STOPPED, 'lease lapsed')
        while self._ended_at_s:
            # The entries are in the order in which the attempts ended.
            oldest, ended_s = next(iter(self._ended_at_s.items()))
            if now_s - ended_s <= ENDED_RETENTION_S:
                break
            self._ended_at_s.pop(oldest)
            self._leases.pop(oldest, None)
            self._started.discard(oldest)

    def _end(self, lease: _Lease, state: LeaseState, reason: str) -> None:
        lease.state = state
        lease.reason = reason
        self._ended_at_s.pop(lease.attempt_id, None)
        self._ended_at_s[lease.attempt_id] = self._clock.monotonic_s()
        if lease.observed is not None:
            lease.observed.ended_s = self._clock.monotonic_s()
        task = self._tasks.pop(lease.attempt_id, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        self._notify()

    def _leased_slots(self) -> int:
        return sum(
            lease.slots
            for lease in self._leases.values()
            if lease.state not in ENDED_STATES
        )

    def _reports(self) -> tuple[LeaseReport, ...]:
        self._expire_leases()
        return tuple(
            LeaseReport(
                job=lease.attempt_id.job,
                attempt=lease.attempt_id.attempt,
                slots=lease.slots,
                state=lease.state,
                epoch=lease.token.epoch,
                holder=lease.token.holder,
                reason=lease.reason,
                used_slots=_measured_usage(lease, self._clock.monotonic_s()),
            )
            for lease in self._leases.values()
        )

    def _find_lease(self, attempt_id: AttemptId, step: str) -> _Lease:
        lease = self._leases.get(attempt_id)
        if lease is None:
            raise self._error(WorkerError, 'no such lease', step)
        return lease

    def _error(
        self,
        kind: type[WorkerError],
        message: str,
        step: str,
    ) -> WorkerError:
        return kind(message, step=step, peer=self.name)


def _must_report(lease: LeaseReport, polled: frozenset[AttemptId]) -> bool:
    """Return whether the caller of a poll cannot know a lease's state."""
    return (
        lease.attempt_id not in polled
        or lease.state in ENDED_STATES
        or lease.used_slots > lease.slots
    )


def _measured_usage(lease: _Lease, now_s: float) -> float:
    """Return the measured usage in slots, which is 0 for some time at first."""
    if lease.observed is None:
        return 0.0
    age_s = now_s - lease.observed.started_s
    return lease.used_slots if age_s >= USAGE_DELAY_S else 0.0


def _task_options(body: bytes) -> dict[str, Any]:
    try:
        options = json.loads(body or b'{}')
    except ValueError:
        return {}
    return options if isinstance(options, dict) else {}


__all__ = ('ENDED_RETENTION_S', 'ObservedStart', 'WorkerModel')
