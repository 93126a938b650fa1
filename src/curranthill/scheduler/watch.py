"""The polling task of each worker: it renews leases and collects states."""

from collections.abc import Callable
from typing import Final, NamedTuple

from loguru import logger

from curranthill.errors import (
    FencedError,
    UnknownPollError,
    WorkerError,
)
from curranthill.scheduler.context import Context
from curranthill.workers import (
    ENDED_STATES,
    AttemptId,
    LeaseReport,
    WorkerReport,
)

#: The state of a member whose worker is unresponsive or lacks its lease.
LOST: Final = 'lost'

#: The delay between polls of an unresponsive or draining worker, in seconds.
_RETRY_S: Final = 0.5


class MemberUpdate(NamedTuple):
    """The state of one gang member as learned by a watch."""

    worker: str
    attempt_id: AttemptId
    state: str
    reason: str = ''
    used_slots: float = 0.0


class WatchListener(NamedTuple):
    """Callbacks of a watch.

    :param on_member: called with a member's state; returns whether a gang of
        this scheduler has the member.
    :param on_orphan: called with a worker and a lease that no gang of this
        scheduler has.
    :param on_contact: called with a worker, whether it responds and whether it
        is draining.
    """

    on_member: Callable[[MemberUpdate], bool]
    on_orphan: Callable[[str, LeaseReport], None]
    on_contact: Callable[[str, bool, bool], None]


class WorkerWatch:
    """Polls one worker for as long as this process leads.

    :param name: the worker's name.
    :param address: the address of its API.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        context: Context,
        listener: WatchListener,
    ) -> None:
        """Initialize without leases to renew."""
        self.name = name
        self._client = context.worker_at(address)
        self._context = context
        self._listener = listener
        self._live: set[AttemptId] = set()
        self._ended: set[AttemptId] = set()
        self._last_renewed: frozenset[AttemptId] | None = None
        self._closed = False
        self._last_contact_s = context.clock.monotonic_s()

    def add(self, attempt_id: AttemptId) -> None:
        """Start renewing an attempt's lease."""
        self._live.add(attempt_id)

    def discard(self, attempt_id: AttemptId) -> None:
        """Stop renewing an attempt's lease."""
        self._live.discard(attempt_id)
        self._ended.discard(attempt_id)

    def close(self) -> None:
        """Stop polling: the worker has been removed."""
        self._closed = True

    async def run(self) -> None:
        """Poll until fenced, closed or cancelled."""
        while not self._closed:
            renewed = frozenset(self._live)
            try:
                report = await self._poll(renewed)
            except UnknownPollError:
                self._last_renewed = None
                continue
            except FencedError as error:
                self._context.election.step_down(error.message)
                return
            except WorkerError as error:
                self._on_no_response(error)
                await self._context.clock.sleep(_RETRY_S)
                continue
            self._last_contact_s = self._context.clock.monotonic_s()
            self._listener.on_contact(self.name, True, report.leaving)
            self._last_renewed = renewed
            self._process(report)
            if report.leaving:
                # A draining worker responds at once: avoid a busy loop.
                await self._context.clock.sleep(_RETRY_S)

    async def _poll(self, renewed: frozenset[AttemptId]) -> WorkerReport:
        """Poll; list the attempts only if they changed since the last poll."""
        leases = self._context.leases
        return await self._client.poll(
            self._context.election.token,
            leases.member_term_s,
            leases.poll_wait_s,
            None if renewed == self._last_renewed else tuple(renewed),
            tuple(self._ended),
        )

    def _process(self, report: WorkerReport) -> None:
        reported = {lease.attempt_id: lease for lease in report.leases}
        for attempt_id in report.unknown:
            if attempt_id in self._live:
                self._report(
                    attempt_id,
                    LOST,
                    'The worker does not have its lease.',
                )
        for attempt_id, lease in reported.items():
            update = MemberUpdate(
                worker=self.name,
                attempt_id=attempt_id,
                state=lease.state,
                reason=lease.reason,
                used_slots=lease.used_slots,
            )
            if lease.state in ENDED_STATES:
                self._live.discard(attempt_id)
                self._ended.add(attempt_id)
            if not self._listener.on_member(update):
                self._listener.on_orphan(self.name, lease)
        self._ended.intersection_update(reported)

    def _on_no_response(self, error: WorkerError) -> None:
        unresponsive_s = (
            self._context.clock.monotonic_s() - self._last_contact_s
        )
        logger.bind(step=error.step, peer=self.name).debug(
            'no response for {:.1f} s: {}',
            unresponsive_s,
            error.message,
        )
        if unresponsive_s < self._context.leases.member_term_s:
            return
        # The worker has stopped its members by now, as their leases expired.
        self._listener.on_contact(self.name, False, False)
        for attempt_id in tuple(self._live):
            self._report(attempt_id, LOST, 'The worker does not respond.')

    def _report(self, attempt_id: AttemptId, state: str, reason: str) -> None:
        self._live.discard(attempt_id)
        self._listener.on_member(
            MemberUpdate(
                worker=self.name,
                attempt_id=attempt_id,
                state=state,
                reason=reason,
            ),
        )


__all__ = ('LOST', 'MemberUpdate', 'WatchListener', 'WorkerWatch')
