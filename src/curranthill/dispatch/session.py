"""The leader's dealings with one worker, straight down.

The session renews the worker's lease while anything may run there, reads
what runs and what ended, and raises the fencing token after every order
whose effect is unknown: once a call under the raised token is answered, no
older order can take effect any more.
"""

import asyncio
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.crashes import (
    LEASE_LAPSED,
    WORKER_GONE,
    DoubtfulLosses,
    is_lost,
)
from curranthill.dispatch.lease import Lease
from curranthill.dispatch.looks import LookTurns
from curranthill.dispatch.owner import ClosureSource, SessionOwner
from curranthill.dispatch.runlist import RunList
from curranthill.dispatch.unused import (
    CLOSED,
    GONE,
    LEAVING,
    NOT_LISTED,
    NOT_SYNCED,
    OTHER_INCARNATION,
    REJECTED,
    UNREACHABLE,
    UNREADABLE,
    UnusedReason,
)
from curranthill.dispatch.workers import (
    FENCE,
    LeaseOrder,
    LeaseReport,
    RejectedError,
    StartOrder,
    TaskWorker,
    WorkerGoneError,
)
from curranthill.errors import WorkerError, WorkerUnreachableError
from curranthill.placement import (
    ASSIGNED,
    ORDERED,
    RUNNING,
    UNKNOWN,
    Run,
    WorkerEntry,
)
from curranthill.tasks import Timing
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Raises of the token that one epoch has room for; far above what one term
#: of one leader makes at one raise a lost reply.
RAISES_PER_EPOCH: Final = 1 << 20

#: How long a renewal waits at the worker for an end, in seconds: three
#: renewals then fall into the shortest lease of six seconds.
RENEWAL_WAIT_S: Final = 1.5

#: The same while an urgent run has shown no progress yet: two reports then
#: tell within a second that it stands still.
FIRST_SIGN_WAIT_S: Final = 0.35

#: The pause after a renewal without an answer, in seconds.
MISSED_DELAY_S: Final = 0.25

#: A worker that rejected a start is given no other for so long, in seconds:
#: the same start would be rejected again some hundred times a second.
REJECTION_PAUSE_S: Final = 0.5


class WorkerSession:
    """One worker under one id, through all its incarnations.

    :param entry: the worker as listed last.
    :param incarnation: the one that answered last, 0 as long as none told.
    :param runs: all runs that may exist there, by task and attempt.
    :param readable: whether the newest entry could be read.
    :param troubles_s: when runs failed or stood still here since the last one
        that was done.
    :param stalled_runs: how many runs stood still when last looked at.
    :param doubtful: runs of which it is not known whether they crashed the
        worker.
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
        former_s: float,
        closures: ClosureSource,
        looks: LookTurns,
    ) -> None:
        """Start with nothing known of the worker.

        :param token: the fencing token of the first order.
        """
        self.entry = entry
        self.incarnation = entry.incarnation
        self._list = RunList(session=self, owner=owner, clock=clock)
        self.runs = self._list.runs
        self.listed = worker is not None
        self.readable = True
        self.gone = False
        self.reachable = False
        self.synced = False
        self.troubles_s: list[float] = []
        self.stalled_runs = 0
        self.doubtful = DoubtfulLosses(owner=owner)
        self.rejected_s = -REJECTION_PAUSE_S
        self._worker = worker
        self._owner = owner
        self._closures = closures
        self._looks = looks
        self._clock = clock
        self._token = token
        self._lease = Lease(
            clock=clock,
            length_s=timing.lease_s,
            clock_s=entry.clock_s,
            former_s=former_s,
        )
        self._urgent = asyncio.Event()
        self._order_turn = asyncio.Lock()
        # Not set from a raise of the token until a renewal under it tells what
        # became of the orders before, or that the worker is silent.
        self._settled = asyncio.Event()
        self._settled.set()

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
        rejected_s = self._clock.monotonic_s() - self.rejected_s
        open_here = self._closures.allows_starts(self.entry.data_centre)
        reasons: dict[UnusedReason, bool] = {
            GONE: self.gone,
            LEAVING: self.entry.leaving,
            UNREADABLE: not self.readable,
            REJECTED: rejected_s < REJECTION_PAUSE_S,
            OTHER_INCARNATION: not _is_current(self),
            CLOSED: not open_here,
            NOT_LISTED: not self.listed,
            UNREACHABLE: not self.reachable,
            NOT_SYNCED: not self.synced,
        }
        if not any(reasons.values()):
            # Asked of every worker in each round: most answers end here.
            return None
        return next(reason for reason, holds in reasons.items() if holds)

    @property
    def token(self) -> int:
        """Return the fencing token of the next order."""
        return self._token

    def connect(self, worker: TaskWorker) -> None:
        """Take a client of the worker at its present address."""
        self._worker = worker
        self.wake()

    def relist(self, entry: WorkerEntry) -> None:
        """Take the worker's newest entry.

        The entry of another incarnation ends nothing by itself, since it may
        be older than what the worker has said: the worker is asked.
        """
        news = entry.incarnation != self.entry.incarnation
        self.entry = entry
        self.listed = True
        self.readable = True
        if news and not _is_current(self):
            self.raise_token()

    def wake(self) -> None:
        """Look at the worker at once."""
        self._urgent.set()

    async def run(self) -> None:
        """Renew the lease while anything may run, until the worker is gone."""
        try:
            while not self.gone:
                await self._run_once()
        finally:
            self._list.ends.close()

    async def _run_once(self) -> None:
        if self._is_idle():
            await self._urgent.wait()
        self._urgent.clear()
        if self.reachable:
            await self._renew()
        else:
            await self._looks.take(self._renew())

    async def start(self, run: Run, payload: str) -> None:
        """Order one start; the run's state tells what became of it."""
        async with self._order_turn:
            await self._settled.wait()
            if run.state != ASSIGNED or self.runs.get(run.name) is not run:
                return
            if run.incarnation != self.incarnation:
                # Placed by the room of a former incarnation.
                self._list.vanish(run, 'placed before a restart')
                return
            if self.entry.leaving or not self.reachable:
                # So since orders without an answer held this one up.
                leaving = self.entry.leaving
                reason = 'worker leaving' if leaving else 'worker unreachable'
                self._list.vanish(run, reason)
                return
            if not self._closures.allows_starts(self.entry.data_centre):
                # It was closed while the start waited for its turn.
                self._list.vanish(run, 'data centre closed')
                return
            if not self._list.fits(run, self.entry.capacity):
                # Its room has shrunk while the start waited for its turn.
                self._list.vanish(run, 'room shrunk')
                return
            if not self._owner.may_order() or self._worker is None:
                self._list.vanish(run, 'not ordered')
                return
            run.state = ORDERED
            run.ordered_token = self._token
            order = StartOrder(
                task=run.key,
                attempt=run.attempt,
                payload=payload,
                deadline_s=self._lease.grant(),
                token=self._token,
                checkpoint=run.checkpoint,
                ticket=run.ticket,
            )
            await self._order_start(run, order)

    async def stop(self, run: Run) -> None:
        """Order one stop; the run takes room until its end is listed."""
        async with self._order_turn:
            await self._settled.wait()
            if self.runs.get(run.name) is not run or self._worker is None:
                return
            if run.state == ASSIGNED:
                self._list.vanish(run, 'stopped before its start')
                return
            run.stop_sent_s = self._clock.monotonic_s()
            if not self._owner.may_order():
                return
            known_clock_s = self._lease.worker_clock_s
            try:
                clock_s = await self._worker.stop(
                    run.key,
                    run.attempt,
                    self._token,
                )
            except WorkerError as error:
                _tell_unanswered('stop', run, error)
                self.raise_token()
            else:
                self._read_clock(clock_s, known_clock_s)
            self._urgent.set()

    async def _order_start(self, run: Run, order: StartOrder) -> None:
        assert self._worker is not None  # noqa: S101
        sent_s = self._clock.monotonic_s()
        known_clock_s = self._lease.worker_clock_s
        try:
            clock_s = await self._worker.start(order)
        except RejectedError as rejected:
            self._start_rejected(run, rejected)
        except (WorkerGoneError, WorkerUnreachableError) as error:
            self._not_started(run, error)
        except WorkerError as error:
            _tell_unanswered('start', run, error)
            if run.state == ORDERED:
                run.state = UNKNOWN
            self.raise_token()
        else:
            self._read_clock(clock_s, known_clock_s)
            run.confirmed_s = self._clock.monotonic_s()
            run.set_start_clock(clock_s)
            self._list.start_answered(run)
            metrics.start_order_s.record(run.confirmed_s - sent_s)
            run.percent_changed_s = run.confirmed_s
            if run.state == ORDERED:
                run.state = RUNNING
            self._urgent.set()

    def _not_started(self, run: Run, error: WorkerError) -> None:
        """Let a task start elsewhere whose start never reached its worker."""
        if isinstance(error, WorkerGoneError):
            self._list.vanish(run, 'another worker answered its start')
            self.end_life(replaced=True)
            return
        self._list.vanish(run, 'not sent')
        self._note_unreachable(error)
        self._urgent.set()

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
            # Settled by the next renewal, which also tells who leads. A worker
            # that started again has forgotten the token and accepts it.
            run.state = UNKNOWN
            self.raise_token()
            return
        self._list.vanish(run, f'rejected: {rejected.reason}')

    def _is_idle(self) -> bool:
        if not self.reachable or not self.synced:
            return False
        ended = not self.runs and self._list.ends.settled
        return ended and not self._urgent.is_set()

    async def _renew(self) -> None:
        """Make one renewal and take in its answer."""
        await self._list.ends.acknowledge()
        if self._worker is None or not self._owner.may_renew():
            await self._clock.sleep(MISSED_DELAY_S)
            self._check_lapse()
            return
        order = LeaseOrder(
            token=self._token,
            acknowledged=self._number_to_acknowledge(),
            # A worker that does not answer is only looked at: were its lease
            # extended by calls that may yet arrive, it would never lapse.
            deadline_s=self._lease.grant() if self.reachable else 0.0,
            wait_s=self._renewal_wait_s(),
        )
        sent_s = self._clock.monotonic_s()
        known_clock_s = self._lease.worker_clock_s
        try:
            report = await self._call(order)
        except RejectedError as rejected:
            self._renewal_rejected(order, rejected)
            await self._clock.sleep(MISSED_DELAY_S)
        except WorkerGoneError:
            self.end_life(replaced=True)
        except WorkerError as error:
            await self._missed(error)
        else:
            if report is not None:
                self._list.ends.tell(order.acknowledged)
                self._check_incarnation(report, known_clock_s)
                self._take(report, order, sent_s)

    async def _call(self, order: LeaseOrder) -> LeaseReport | None:
        """Return the report, or nothing if the token was raised meanwhile."""
        assert self._worker is not None  # noqa: S101
        renewal = asyncio.ensure_future(self._worker.renew(order))
        try:
            while not renewal.done() and order.token == self._token:
                await self._wait_for_news(renewal)
            return renewal.result() if renewal.done() else None
        finally:
            renewal.cancel()

    async def _wait_for_news(
        self, renewal: asyncio.Future[LeaseReport]
    ) -> None:
        self._urgent.clear()
        urgent = asyncio.ensure_future(self._urgent.wait())
        try:
            await asyncio.wait(
                (renewal, urgent),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            urgent.cancel()

    def _renewal_wait_s(self) -> float:
        """Return how long the worker may keep the next renewal for an end.

        One that tells of stored ends waits like any other: told apart, eight
        ends cost sixteen renewals.
        """
        if not self.synced or not self._list.ends.all_stored:
            return 0.0
        if any(run.awaits_progress for run in self.runs.values()):
            return FIRST_SIGN_WAIT_S
        return RENEWAL_WAIT_S if self.runs else 0.0

    def _number_to_acknowledge(self) -> int:
        """Return the number of an end that this incarnation has listed, or 0.

        A start that no list has shown may have reached a new incarnation and
        have ended there under that number: it would be forgotten unread.
        """
        if not self.synced or self._list.any_unproven:
            return 0
        return self._list.ends.acknowledged

    def _renewal_rejected(
        self,
        order: LeaseOrder,
        rejected: RejectedError,
    ) -> None:
        events.log(
            'renewal_rejected',
            worker=self.worker_id,
            reason=rejected.reason,
            token=order.token,
        )
        if rejected.reason != FENCE:
            # Nothing was renewed, so the lease runs out like that of a worker
            # that is silent.
            self._note_unreachable(rejected)
            self._check_lapse()
        elif order.token == self._token:
            # No order of ours had a higher token, so another leader's had.
            self._owner.fenced(self)

    async def _missed(self, error: WorkerError) -> None:
        """A renewal without an answer: its effect is unknown."""
        self._note_unreachable(error)
        self.raise_token()
        await self._clock.sleep(MISSED_DELAY_S)
        self._check_lapse()

    def _note_unreachable(self, error: WorkerError) -> None:
        """Place nothing here until the worker answers."""
        if not self.reachable:
            return
        events.log(
            'worker_unreachable',
            worker=self.worker_id,
            error=str(error),
            runs=len(self.runs),
        )
        self.reachable = False
        self._owner.session_changed(self)

    def _check_lapse(self) -> None:
        """Give up all runs once no lease can reach this far."""
        self._settled.set()
        if not self._lease.lapsed:
            return
        for run in self.runs.values():
            if is_lost(run, LEASE_LAPSED, leaving=self.entry.leaving):
                self.doubtful.add(run)
        self._list.vanish_all(LEASE_LAPSED)
        if not self.listed:
            self.end_life()

    def raise_token(self) -> None:
        """Shut out all orders so far, and have the worker tell what runs."""
        self._token += 1
        self.synced = False
        if not self.gone:
            self._settled.clear()
        self._list.doubt_ordered()
        self._urgent.set()

    def _read_clock(self, clock_s: float, known_s: float) -> None:
        """Take the clock of an answer to an order.

        :param known_s: the clock as it was known when the order was sent. An
            earlier one is that of another incarnation: the worker is asked
            which one it is.
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
        self._list.begin_anew()
        self.raise_token()

    def _check_incarnation(self, report: LeaseReport, known_s: float) -> None:
        """Begin anew with a worker that has started again under its id.

        Renewals are answered in the order in which they are sent, so another
        incarnation than before is a newer one.
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
        # The first word of an incarnation tells nothing of one before.
        known = bool(self.incarnation) or not report.incarnation
        self.incarnation = report.incarnation or self.incarnation
        self.troubles_s.clear()
        self.stalled_runs = 0
        if known:
            self.doubtful.settle(crashed=True)
        self._list.begin_anew(restarted=known)

    def end_life(self, *, replaced: bool = False) -> None:
        """Take the worker as gone for good.

        :param replaced: another one answers at its address.
        """
        if self.gone:
            return
        if replaced:
            self.doubtful.settle(crashed=not self.entry.leaving)
        self.gone = True
        self._settled.set()
        events.log(
            'worker_gone',
            worker=self.worker_id,
            leaving=self.entry.leaving,
            listed=self.listed,
            runs=[str(run.key) for run in self.runs.values()],
        )
        self._list.vanish_all(WORKER_GONE)
        self._urgent.set()
        self._owner.session_changed(self)

    def _take(
        self,
        report: LeaseReport,
        order: LeaseOrder,
        sent_s: float,
    ) -> None:
        accepted_work = self.accepts_work
        self._lease.read_clock(report.clock_s)
        self.doubtful.settle_by(report.incarnation)
        if not self.reachable:
            self.reachable = True
            events.log('worker_reachable', worker=self.worker_id)
        if order.token == self._token:
            self.synced = True
            self._settled.set()
            # Orders of lower tokens are shut out, so no lease is longer.
            self._lease.bound()
        self._list.take(report, order, sent_s)
        if self.accepts_work != accepted_work:
            self._owner.session_changed(self)


def _is_current(session: WorkerSession) -> bool:
    """Return whether the entry is of the incarnation that answered.

    Another one may be of another kind, with other room and labels.
    """
    listed = session.entry.incarnation
    told = listed and session.incarnation
    return not told or listed == session.incarnation


def _tell_unanswered(order: str, run: Run, error: WorkerError) -> None:
    events.log(
        f'{order}_unanswered',
        task=str(run.key),
        attempt=run.attempt,
        worker=run.worker_id,
        error=str(error),
    )
    metrics.orders_unanswered.add(1, {'order': order})


__all__ = ('WorkerSession',)
