"""One task for each worker: it renews leases and takes in what ended."""

from collections.abc import Callable
from typing import Final, NamedTuple

from loguru import logger

from curranthill.errors import (
    FencedError,
    LastPollForgottenError,
    WorkerError,
)
from curranthill.scheduler.context import Context
from curranthill.workers import (
    ENDED_STATES,
    AttemptId,
    LeaseReport,
    WorkerReport,
)

#: The state of a member whose worker is gone or knows nothing of it.
LOST: Final = 'lost'

#: Waits between polls of a worker that does not answer, in seconds.
_RETRY_S: Final = 0.5


class MemberUpdate(NamedTuple):
    """What a watch learnt of one member."""

    worker: str
    attempt_id: AttemptId
    state: str
    reason: str = ''
    used_slots: float = 0.0


class WatchListener(NamedTuple):
    """Who is told of what a watch learns.

    :param on_member: a member's state; True if somebody wants to know.
    :param on_orphan: a lease that no gang of this scheduler has.
    :param on_contact: whether the worker answers, and whether it leaves.
    """

    on_member: Callable[[MemberUpdate], bool]
    on_orphan: Callable[[str, LeaseReport], None]
    on_contact: Callable[[str, bool, bool], None]


class WorkerWatch:
    """Poll one worker, straight down, for as long as this process leads.

    :param name: the worker's name.
    :param address: where it answers.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        context: Context,
        listener: WatchListener,
    ) -> None:
        """Start with no attempt to renew."""
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
        """Renew an attempt's lease from now on."""
        self._live.add(attempt_id)

    def discard(self, attempt_id: AttemptId) -> None:
        """Renew an attempt's lease no longer."""
        self._live.discard(attempt_id)
        self._ended.discard(attempt_id)

    def close(self) -> None:
        """Stop polling: the worker is gone for good."""
        self._closed = True

    async def run(self) -> None:
        """Poll until fenced, closed or cancelled."""
        while not self._closed:
            renewed = frozenset(self._live)
            try:
                report = await self._poll(renewed)
            except LastPollForgottenError:
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
                # A leaving worker answers at once; do not spin.
                await self._context.clock.sleep(_RETRY_S)

    async def _poll(self, renewed: frozenset[AttemptId]) -> WorkerReport:
        """Poll, naming the attempts only if they are not those of last time."""
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
                self._report(attempt_id, LOST, 'The worker forgot its lease.')
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
        silent_s = self._context.clock.monotonic_s() - self._last_contact_s
        logger.bind(step=error.step, peer=self.name).debug(
            'no answer for {:.1f} s: {}',
            silent_s,
            error.message,
        )
        if silent_s < self._context.leases.member_term_s:
            return
        # By now the worker has stopped what it held: the leases lapsed.
        self._listener.on_contact(self.name, False, False)
        for attempt_id in tuple(self._live):
            self._report(attempt_id, LOST, 'The worker does not answer.')

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
