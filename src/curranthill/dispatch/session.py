"""The leader's session with one worker.

The session renews the worker's lease while anything may run there, reads
which runs exist and which have ended, and increments the fencing token after
every order whose effect is unknown: once a call under the new token gets a
response, no older order can take effect.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.crashes import LEASE_EXPIRED, WORKER_REMOVED
from curranthill.dispatch.ends import UNSTORED_RETRY_S
from curranthill.dispatch.leadership import LeadershipLostError
from curranthill.dispatch.lease import Lease
from curranthill.dispatch.owner import ClosedDataCentreSource, SessionOwner
from curranthill.dispatch.probing import ProbeLimiter
from curranthill.dispatch.run_list import RunList
from curranthill.dispatch.unused import (
    CLOSED,
    DRAINING,
    ERROR,
    NOT_LISTED,
    NOT_SYNCED,
    OTHER_INCARNATION,
    REJECTED,
    REMOVED,
    STORED_AS_SILENT,
    UNREACHABLE,
    UNREADABLE,
    UnusedReason,
)
from curranthill.dispatch.workers import (
    FENCE,
    LeaseOrder,
    LeaseReport,
    MalformedReplyError,
    RejectedError,
    StartOrder,
    TaskWorker,
    WorkerReplacedError,
)
from curranthill.errors import WorkerError, WorkerUnreachableError
from curranthill.placement import (
    ASSIGNED,
    ORDERED,
    UNKNOWN,
    Run,
    WorkerEntry,
)
from curranthill.tasks import Timing
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Fencing tokens reserved for each epoch. Each lost response increments the
#: token once, which in one term of one leader stays far below this.
TOKENS_PER_EPOCH: Final = 1 << 20

#: How long a renewal may wait at the worker for a run to end, in seconds: three
#: renewals then fit into the shortest lease of six seconds.
RENEWAL_WAIT_S: Final = 1.5

#: The same while an urgent run has reported no progress yet, in seconds: two
#: reports within a second then show that it is stalled.
FIRST_PROGRESS_WAIT_S: Final = 0.35

#: The delay after a renewal without a response, in seconds.
LOST_REPLY_DELAY_S: Final = 0.25

#: No start is sent to a worker for this long after it rejected one, in seconds:
#: otherwise it would reject the same start some hundred times a second.
REJECTION_PAUSE_S: Final = 0.5


#: How long no start is sent to a worker after an error that is not foreseen,
#: and the delay before it is called again, in seconds.
ERROR_PAUSE_S: Final = 1.0

#: Longer errors are truncated in the log, in characters.
MAX_ERROR_CHARS: Final = 500


class WorkerSession:
    """The session of one worker id, across all incarnations of the worker.

    :param entry: the worker's newest entry.
    :param incarnation: the one that responded last; 0 until one is known.
    :param runs: all runs that may exist there, by task and attempt.
    :param readable: whether the newest entry could be read.
    :param failure_times_s: when runs failed or stalled here since the last run
        that was done.
    :param stalled_runs: the number of stalled runs at the last check.
    :param token: the fencing token of the next order.
    """

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        worker: TaskWorker | None,
        owner: SessionOwner,
        clock: Clock,
        timing: Timing,
        token: int,
        previous_s: float,
        closed_data_centres: ClosedDataCentreSource,
        probe_limiter: ProbeLimiter,
    ) -> None:
        """Initialize the session of a worker that has not responded yet.

        :param token: the fencing token of the first order.
        """
        self.entry = entry
        self.incarnation = entry.incarnation
        self._run_list = RunList(session=self, owner=owner, clock=clock)
        self.runs = self._run_list.runs
        self.listed = worker is not None
        self.readable = True
        self.removed = False
        self.reachable = False
        self.synced = False
        self.failure_times_s: list[float] = []
        self.stalled_runs = 0
        self.rejected_s = -REJECTION_PAUSE_S
        self.error_s = -ERROR_PAUSE_S
        self._has_failed = False
        self._worker = worker
        self._owner = owner
        self._closed_data_centres = closed_data_centres
        self._probe_limiter = probe_limiter
        self._clock = clock
        self.token = token
        self._lease = Lease(
            clock=clock,
            length_s=timing.lease_s,
            clock_s=entry.clock_s,
            previous_s=previous_s,
            worker_id=entry.worker_id,
            silent_workers=owner.silent_workers,
        )
        self._wake_event = asyncio.Event()
        self._order_lock = asyncio.Lock()
        # Cleared when the token is incremented, and set by the next renewal
        # under the new token: its response, or the lack of one, shows what
        # became of the earlier orders. A start that needs a new reading of the
        # worker's clock waits for it as well. It is also cleared while the
        # acknowledgement of ends is overdue.
        self._orders_resolved = asyncio.Event()
        self._orders_resolved.set()

    @property
    def worker_id(self) -> str:
        """Return the id of the worker."""
        return self.entry.worker_id

    @property
    def accepts_work(self) -> bool:
        """Return whether new tasks may be placed here."""
        return self.unused_reason is None

    @property
    def unused_reason(self) -> UnusedReason | None:
        """Return why no new task may be placed here, if so."""
        now_s = self._clock.monotonic_s()
        rejected_s = now_s - self.rejected_s
        is_open = self._closed_data_centres.allows_starts(
            self.entry.data_centre
        )
        reasons: dict[UnusedReason, bool] = {
            REMOVED: self.removed,
            DRAINING: self.entry.leaving,
            UNREADABLE: not self.readable,
            REJECTED: rejected_s < REJECTION_PAUSE_S,
            ERROR: now_s - self.error_s < ERROR_PAUSE_S,
            OTHER_INCARNATION: not _is_current(self),
            CLOSED: not is_open,
            NOT_LISTED: not self.listed,
            UNREACHABLE: not self.reachable,
            STORED_AS_SILENT: not self._lease.may_grant,
            NOT_SYNCED: not self.synced,
        }
        if not any(reasons.values()):
            # Checked for every worker in each round; usually none applies.
            return None
        return next(reason for reason, applies in reasons.items() if applies)

    @property
    def lease_remaining_s(self) -> float:
        """Return for how long a run may still exist here, in seconds."""
        return self._lease.remaining_s

    def connect(self, worker: TaskWorker) -> None:
        """Use a client of the worker at its current address."""
        self._worker = worker
        self.wake()

    def update_entry(self, entry: WorkerEntry) -> None:
        """Store the worker's newest entry.

        An entry of another incarnation does not end any run: it may be older
        than what the worker has reported, so the worker is asked.
        """
        changed = entry.incarnation != self.entry.incarnation
        self.entry = entry
        self.listed = True
        self.readable = True
        if changed and not _is_current(self):
            self.increment_token()

    def wake(self) -> None:
        """Renew the lease at once."""
        self._wake_event.set()

    async def run(self) -> None:
        """Renew the lease while anything may run, until the id is removed.

        An error that is not foreseen excludes this worker alone; it is called
        again after a pause.
        """
        try:
            while not self.removed:
                done = await self._contained('renew', self._run_once())
                self._has_failed = not done
        finally:
            self._run_list.ends.close()

    async def _contained(
        self, step: str, work: Coroutine[Any, Any, None]
    ) -> bool:
        """Complete work; return whether it raised no unforeseen error.

        Such an error excludes the worker until it responds, and fences off
        earlier orders.
        """
        try:
            await work
        except LeadershipLostError:
            raise
        except Exception as error:
            self.error_s = self._clock.monotonic_s()
            metrics.session_errors.add(1, {'step': step})
            events.log(
                'session_failed',
                worker=self.worker_id,
                step=step,
                error=repr(error)[:MAX_ERROR_CHARS],
            )
            self._set_unreachable(error)
            self.increment_token()
            return False
        return True

    async def _run_once(self) -> None:
        if self._has_failed:
            await self._clock.sleep(ERROR_PAUSE_S)
            self._check_expiry()
        elif self._run_list.pause_s:
            await self._clock.sleep(self._run_list.pause_s)
        self._run_list.pause_s = 0.0
        known = self.reachable and self.synced
        if known and not self.runs and self._run_list.ends.all_confirmed:
            await self._wake_event.wait()
        self._wake_event.clear()
        await self._run_list.ends.delay_if_withheld()
        if self.reachable:
            await self._renew()
        else:
            await self._probe_limiter.run(self._renew())

    async def start(self, run: Run, payload: str) -> None:
        """Order one start; the state of the run then shows its outcome.

        After an unforeseen error the run is absent if its start was not sent,
        and unknown otherwise.
        """
        done = await self._contained('start', self._start(run, payload))
        if not done and run.state == ASSIGNED:
            self._run_list.drop_absent(run, 'not ordered')

    async def stop(self, run: Run) -> None:
        """Order one stop; the run uses capacity until its end is listed.

        After an unforeseen error a report that lists the run has it repeated.
        """
        await self._contained('stop', self._stop(run))

    async def _start(self, run: Run, payload: str) -> None:
        async with self._order_lock:
            await self._orders_resolved.wait()
            if self._lease.is_clock_outdated and not self.removed:
                # A renewal reads the clock, or finds the worker unreachable.
                self._orders_resolved.clear()
                self._wake_event.set()
                await self._orders_resolved.wait()
            if run.state != ASSIGNED or self.runs.get(run.name) is not run:
                return
            if run.incarnation != self.incarnation:
                # Placed on the capacity of a previous incarnation.
                self._run_list.drop_absent(run, 'placed before a restart')
                return
            reachable = self.reachable and self._lease.may_grant
            if self.entry.leaving or not reachable:
                # The worker's state changed while the start was queued behind
                # orders whose responses were lost.
                draining = self.entry.leaving
                reason = 'worker leaving' if draining else 'worker unreachable'
                self._run_list.drop_absent(run, reason)
                return
            if not self._closed_data_centres.allows_starts(
                self.entry.data_centre
            ):
                # The data centre was closed while the start was queued.
                self._run_list.drop_absent(run, 'data centre closed')
                return
            if not self._run_list.fits(run, self.entry.capacity):
                # The capacity shrank while the start was queued.
                self._run_list.drop_absent(run, 'room shrunk')
                return
            if not self._owner.may_order() or self._worker is None:
                self._run_list.drop_absent(run, 'not ordered')
                return
            run.state = ORDERED
            run.ordered_token = self.token
            order = StartOrder(
                task=run.key,
                attempt=run.attempt,
                payload=payload,
                deadline_s=self._lease.grant(),
                token=self.token,
                checkpoint=run.checkpoint,
                ticket=run.ticket,
            )
            await self._order_start(run, order)

    async def _stop(self, run: Run) -> None:
        async with self._order_lock:
            await self._orders_resolved.wait()
            run.is_stop_queued = False
            if self.runs.get(run.name) is not run or self._worker is None:
                return
            if run.state == ASSIGNED:
                self._run_list.drop_absent(run, 'stopped before its start')
                return
            run.stop_sent_s = self._clock.monotonic_s()
            if not self._owner.may_order():
                return
            known_clock_s = self._lease.worker_clock_s
            try:
                clock_s = await self._worker.stop(
                    run.key,
                    run.attempt,
                    self.token,
                )
            except WorkerError as error:
                _log_unanswered('stop', run, error)
                self.increment_token()
            else:
                self._read_clock(clock_s, known_clock_s)
            self._wake_event.set()

    async def _order_start(self, run: Run, order: StartOrder) -> None:
        assert self._worker is not None  # noqa: S101
        sent_s = self._clock.monotonic_s()
        known_clock_s = self._lease.worker_clock_s
        try:
            clock_s = await self._worker.start(order)
        except RejectedError as rejected:
            self._start_rejected(run, rejected)
        except (WorkerReplacedError, WorkerUnreachableError) as error:
            self._not_started(run, error)
        except WorkerError as error:
            _log_unanswered(
                'start',
                run,
                error,
                deadline_s=round(order.deadline_s, 3),
                clock_s=round(self._lease.worker_clock_s, 3),
                clock_age_s=round(self._lease.clock_age_s, 3),
                lease_remaining_s=round(self.lease_remaining_s, 3),
            )
            if run.state == ORDERED:
                run.state = UNKNOWN
            if isinstance(error, MalformedReplyError):
                self.rejected_s = self._clock.monotonic_s()
            self.increment_token()
        else:
            self._read_clock(clock_s, known_clock_s)
            self._run_list.confirm_start(run, clock_s)
            metrics.start_order_s.record(run.confirmed_s - sent_s)
            self._wake_event.set()

    def _not_started(self, run: Run, error: WorkerError) -> None:
        """Release a task whose start did not reach the worker."""
        if isinstance(error, WorkerReplacedError):
            self._run_list.drop_absent(run, 'another worker answered its start')
            self.remove(replaced=True)
            return
        self._run_list.drop_absent(run, 'not sent')
        self._set_unreachable(error)
        self._wake_event.set()

    def _start_rejected(self, run: Run, rejected: RejectedError) -> None:
        events.log(
            'start_rejected',
            task=str(run.key),
            attempt=run.attempt,
            worker=self.worker_id,
            reason=rejected.reason,
        )
        self.rejected_s = self._clock.monotonic_s()
        if rejected.reason == FENCE:
            # The next renewal resolves the run and shows whether another
            # leader exists: a restarted worker has forgotten the token and
            # accepts the renewal.
            run.state = UNKNOWN
            self.increment_token()
            return
        self._run_list.drop_absent(run, f'rejected: {rejected.reason}')

    async def _renew(self) -> None:
        """Make one renewal and apply its response."""
        await self._run_list.ends.acknowledge()
        if self.reachable and not self._lease.may_grant:
            await _await_stored(self._owner, self._clock)
        if self._worker is None:
            # An unlisted worker has no known address.
            self._lease.record_silence(may_run=bool(self.runs))
        if self._worker is None or not self._owner.may_renew():
            await self._clock.sleep(LOST_REPLY_DELAY_S)
            self._check_expiry()
            return
        order = self._next_renewal()
        sent_s = self._clock.monotonic_s()
        known_clock_s = self._lease.worker_clock_s
        try:
            report = await self._call(order)
        except WorkerReplacedError:
            self.remove(replaced=True)
        except WorkerError as error:
            await self._renewal_failed(order, error)
        else:
            if report is not None:
                self._run_list.ends.confirm(order.acknowledged)
                self._check_incarnation(report, known_clock_s)
                self._apply_report(report, order, sent_s)

    def _next_renewal(self) -> LeaseOrder:
        """Return the next renewal; pause starts if ends are overdue.

        Without a pause a start may be under way during each renewal, so that
        none may acknowledge them.
        """
        acknowledged = self._run_list.next_acknowledgement(synced=self.synced)
        if self._run_list.ends.is_overdue:
            self._orders_resolved.clear()
        return LeaseOrder(
            token=self.token,
            acknowledged=acknowledged,
            # An unreachable worker is only probed: if calls that may still
            # arrive extended its lease, the lease would never expire.
            deadline_s=self._lease.grant() if self.reachable else 0.0,
            wait_s=self._renewal_wait_s(),
        )

    async def _call(self, order: LeaseOrder) -> LeaseReport | None:
        """Return the report; None if the token was incremented meanwhile."""
        assert self._worker is not None  # noqa: S101
        # Emptied at the end: an error of the renewal refers to this frame, and
        # would otherwise form a cycle that keeps the response in memory.
        renewals = [asyncio.ensure_future(self._worker.renew(order))]
        try:
            while not renewals[0].done() and order.token == self.token:
                await _wait_for_reply(renewals[0], self._wake_event)
            return renewals[0].result() if renewals[0].done() else None
        finally:
            renewals.pop().cancel()

    def _renewal_wait_s(self) -> float:
        """Return how long the worker may hold the next renewal for an end.

        A renewal that acknowledges ends waits like any other: sent separately,
        the acknowledgements of eight ends took sixteen renewals.
        """
        if not self.synced or not self._run_list.ends.all_stored:
            return 0.0
        if self._run_list.ends.is_overdue:
            # Starts wait for the response.
            return 0.0
        if self._lease.is_clock_outdated:
            return 0.0
        if not self._lease.may_grant:
            # The next renewal may extend the lease, which this one can't.
            return 0.0
        if any(run.awaits_progress for run in self.runs.values()):
            return FIRST_PROGRESS_WAIT_S
        return RENEWAL_WAIT_S if self.runs else 0.0

    async def _renewal_failed(
        self, order: LeaseOrder, error: WorkerError
    ) -> None:
        """Handle a renewal that was rejected, or whose effect is unknown."""
        if isinstance(error, RejectedError):
            _log_rejected(self, order, error)
            if error.reason != FENCE:
                # Nothing was renewed, so the lease expires as it does for a
                # worker that does not respond.
                self._set_unreachable(error)
                self._check_expiry()
            elif order.token == self.token:
                # This leader has used no higher token, so another leader has.
                self._owner.fenced(self)
            await self._clock.sleep(LOST_REPLY_DELAY_S)
            return
        self._set_unreachable(error)
        self.increment_token()
        malformed = isinstance(error, MalformedReplyError)
        pause_s = ERROR_PAUSE_S if malformed else LOST_REPLY_DELAY_S
        await self._clock.sleep(self._lease.probe_pause_s(pause_s))
        self._check_expiry()

    def _set_unreachable(self, error: Exception) -> None:
        """Exclude the worker from placement until it responds.

        The second call without a response in between stores its lease.
        """
        if not self.reachable:
            self._lease.record_silence(may_run=bool(self.runs))
            return
        events.log(
            'worker_unreachable',
            worker=self.worker_id,
            error=str(error)[:MAX_ERROR_CHARS],
            runs=len(self.runs),
        )
        self.reachable = False
        self._owner.session_changed(self)

    def _check_expiry(self) -> None:
        """Drop all runs once every lease that was granted has expired."""
        self._orders_resolved.set()
        if not self._lease.expired:
            return
        self._run_list.drop_all(LEASE_EXPIRED)
        if not self.listed:
            self.remove()

    def increment_token(self) -> None:
        """Fence off all earlier orders and have the worker report its runs."""
        self.token += 1
        self.synced = False
        if not self.removed:
            self._orders_resolved.clear()
        self._run_list.invalidate_ordered()
        self._wake_event.set()

    def _read_clock(self, clock_s: float, known_s: float) -> None:
        """Store the worker's clock from the response to an order.

        :param known_s: the clock as known when the order was sent. A response
            with an earlier clock comes from another incarnation: a renewal
            asks which one.
        """
        self._lease.read_clock(clock_s)
        if clock_s >= known_s:
            return
        events.log(
            'worker_clock_back',
            worker=self.worker_id,
            known_s=known_s,
            clock_s=clock_s,
        )
        self._run_list.reset()
        self.increment_token()

    def _check_incarnation(self, report: LeaseReport, known_s: float) -> None:
        """Reset what is known of a worker that restarted under its id.

        Renewals get a response in the order in which they are sent, so a
        different incarnation is always a newer one.
        """
        restarted = report.incarnation != self.incarnation
        if not report.incarnation:
            restarted = report.clock_s < known_s
        if not restarted:
            return
        events.log(
            'worker_restarted',
            worker=self.worker_id,
            before=self.incarnation,
            now=report.incarnation,
            runs=[str(run.key) for run in self.runs.values()],
        )
        metrics.workers_restarted.add(1)
        # The first report of an incarnation says nothing about a previous one.
        known = bool(self.incarnation) or not report.incarnation
        self.incarnation = report.incarnation or self.incarnation
        self.failure_times_s.clear()
        self.stalled_runs = 0
        if known:
            self._owner.losses_resolved(
                self.worker_id, crashed=True, incarnation=report.incarnation
            )
        self._run_list.reset(restarted=known)

    def remove(self, *, replaced: bool = False) -> None:
        """Mark the worker's id as removed for good.

        :param replaced: whether another worker responded at its address.
        """
        if self.removed:
            return
        if replaced:
            self._owner.losses_resolved(
                self.worker_id, crashed=not self.entry.leaving
            )
        self.removed = True
        self._lease.record_silence(may_run=False)
        self._orders_resolved.set()
        events.log(
            'worker_gone',
            worker=self.worker_id,
            leaving=self.entry.leaving,
            listed=self.listed,
            runs=[str(run.key) for run in self.runs.values()],
        )
        self._run_list.drop_all(WORKER_REMOVED)
        self._wake_event.set()
        self._owner.session_changed(self)

    def _apply_report(
        self,
        report: LeaseReport,
        order: LeaseOrder,
        sent_s: float,
    ) -> None:
        accepted_work = self.accepts_work
        self._lease.read_clock(report.clock_s)
        self._owner.losses_resolved(
            self.worker_id, crashed=False, incarnation=report.incarnation
        )
        if not self.reachable:
            self.reachable = True
            self._lease.forget_silence()
            events.log('worker_reachable', worker=self.worker_id)
        if order.token == self.token:
            self.synced = True
            if not self._run_list.ends.is_overdue:
                self._orders_resolved.set()
            # Orders under older tokens are fenced off, so the lease ends with
            # this leader's own grants at the latest.
            self._lease.exclude_older_grants()
        self._run_list.apply(report, order, sent_s)
        if self.accepts_work != accepted_work:
            self._owner.session_changed(self)


def _is_current(session: WorkerSession) -> bool:
    """Return whether the entry is of the incarnation that responded.

    Another incarnation may be of another kind, with other capacity and labels.
    """
    listed = session.entry.incarnation
    both_known = listed and session.incarnation
    return not both_known or listed == session.incarnation


async def _wait_for_reply(
    renewal: asyncio.Future[LeaseReport], wake_event: asyncio.Event
) -> None:
    """Wait until a renewal has a response or the session is woken."""
    wake_event.clear()
    woken = asyncio.ensure_future(wake_event.wait())
    try:
        await asyncio.wait(
            (renewal, woken),
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        woken.cancel()


async def _await_stored(owner: SessionOwner, clock: Clock) -> None:
    """Wait a bounded time for a write of all that was recorded so far."""
    storing = asyncio.ensure_future(owner.ends_stored())
    try:
        if await wait_at_most(storing, timeout_s=UNSTORED_RETRY_S, clock=clock):
            storing.result()
    finally:
        storing.cancel()


def _log_rejected(
    session: WorkerSession, order: LeaseOrder, rejected: RejectedError
) -> None:
    events.log(
        'renewal_rejected',
        worker=session.worker_id,
        reason=rejected.reason,
        token=order.token,
    )


def _log_unanswered(
    order: str, run: Run, error: WorkerError, **fields: float
) -> None:
    events.log(
        f'{order}_unanswered',
        task=str(run.key),
        attempt=run.attempt,
        worker=run.worker_id,
        error=str(error),
        **fields,
    )
    metrics.orders_unanswered.add(1, {'order': order})


__all__ = ('WorkerSession',)
