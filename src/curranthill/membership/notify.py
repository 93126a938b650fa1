"""Tell the active scheduler of a data centre which jobs have changed."""

import asyncio

from loguru import logger

from curranthill.application import Application
from curranthill.errors import PeerError
from curranthill.membership.view import Member, View
from curranthill.protocol import Channels, inner_pb2
from curranthill.protocol.calls import call_notify

CALL_TIMEOUT_S = 2.0
_TRIES = 20
_RETRY_S = 0.25

#: Jobs told of in one call, and jobs that may wait to be told of.
_BATCH = 200
_BOUND = 10_000


class Notifier:
    """Send news of jobs in batches; what is lost a scan makes good."""

    def __init__(
        self,
        *,
        app: Application,
        view: View,
        channels: Channels,
    ) -> None:
        """Start with no news."""
        self._app = app
        self._view = view
        self._channels = channels
        self._pending: dict[str, list[str]] = {}

    def notify(self, data_centre: str, job_id: str) -> None:
        """Tell the scheduler of a data centre of a job, soon."""
        waiting = self._pending.get(data_centre)
        if waiting is not None:
            if len(waiting) < _BOUND:
                waiting.append(job_id)
            return
        self._pending[data_centre] = [job_id]
        self._app.spawn(self._send(data_centre), name='notify')

    def active_scheduler(self, data_centre: str) -> Member | None:
        """Return the active scheduler of a data centre, as peers tell."""
        leaders = [
            member
            for member in self._view.alive('scheduler', data_centre)
            if member.leading_epoch
        ]
        return max(leaders, key=_epoch, default=None)

    async def _send(self, data_centre: str) -> None:
        # A moment lets arrivals of one burst share a call.
        await asyncio.sleep(0)
        tries = 0
        while self._pending[data_centre] and tries < _TRIES:
            batch = self._pending[data_centre][:_BATCH]
            if await self._tell(data_centre, batch):
                # More may have come meanwhile; only what was told goes.
                news = self._pending[data_centre]
                self._pending[data_centre] = news[len(batch) :]
                tries = 0
            else:
                tries += 1
                await self._app.clock.sleep(_RETRY_S)
        self._pending.pop(data_centre)

    async def _tell(self, data_centre: str, job_ids: list[str]) -> bool:
        scheduler = self.active_scheduler(data_centre)
        if scheduler is None:
            return False
        try:
            await self._channels.call(
                scheduler.address,
                call_notify,
                inner_pb2.NotifyRequest(job_ids=job_ids),
                CALL_TIMEOUT_S,
            )
        except PeerError as error:
            logger.bind(step=error.step, peer=scheduler.name).debug(
                'the scheduler was not told: {}',
                error.message,
            )
            return False
        return True


def _epoch(member: Member) -> int:
    return member.leading_epoch


__all__ = ('Notifier',)
