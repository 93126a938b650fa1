"""Notifies the active scheduler of a data centre of changed jobs."""

import asyncio

from loguru import logger

from curranthill.application import Application
from curranthill.errors import PeerError
from curranthill.membership.view import Member, View
from curranthill.protocol import Channels, inner_pb2
from curranthill.protocol.methods import notify_method

CALL_TIMEOUT_S = 2.0
_MAX_ATTEMPTS = 20
_RETRY_S = 0.25

#: Maximum number of jobs in one call.
_MAX_BATCH_JOBS = 200

#: Maximum number of pending jobs per data centre; further ones are dropped.
_MAX_PENDING_JOBS = 10_000


class Notifier:
    """Sends job notifications in batches.

    Lost notifications are harmless, since schedulers also scan for changes.
    """

    def __init__(
        self,
        *,
        app: Application,
        view: View,
        channels: Channels,
    ) -> None:
        """Initialize with no pending notifications."""
        self._app = app
        self._view = view
        self._channels = channels
        self._pending: dict[str, list[str]] = {}

    def notify(self, data_centre: str, job_id: str) -> None:
        """Queue a notification of a job to the scheduler of a data centre."""
        waiting = self._pending.get(data_centre)
        if waiting is not None:
            if len(waiting) < _MAX_PENDING_JOBS:
                waiting.append(job_id)
            return
        self._pending[data_centre] = [job_id]
        self._app.spawn(self._send(data_centre), name='notify')

    def active_scheduler(self, data_centre: str) -> Member | None:
        """Return the active scheduler of a data centre, if one is known.

        Where several members claim to lead, the highest epoch wins.
        """
        leaders = [
            member
            for member in self._view.alive('scheduler', data_centre)
            if member.leading_epoch
        ]
        return max(leaders, key=_epoch, default=None)

    async def _send(self, data_centre: str) -> None:
        # Yield once, so that the notifications of a burst share a call.
        await asyncio.sleep(0)
        attempts = 0
        while self._pending[data_centre] and attempts < _MAX_ATTEMPTS:
            batch = self._pending[data_centre][:_MAX_BATCH_JOBS]
            if await self._send_batch(data_centre, batch):
                # More jobs may have been added meanwhile: drop the sent ones.
                waiting = self._pending[data_centre]
                self._pending[data_centre] = waiting[len(batch) :]
                attempts = 0
            else:
                attempts += 1
                await self._app.clock.sleep(_RETRY_S)
        self._pending.pop(data_centre)

    async def _send_batch(self, data_centre: str, job_ids: list[str]) -> bool:
        scheduler = self.active_scheduler(data_centre)
        if scheduler is None:
            return False
        try:
            await self._channels.call(
                scheduler.address,
                notify_method,
                inner_pb2.NotifyRequest(job_ids=job_ids),
                CALL_TIMEOUT_S,
            )
        except PeerError as error:
            logger.bind(step=error.step, peer=scheduler.name).debug(
                'failed to notify the scheduler: {}',
                error.message,
            )
            return False
        return True


def _epoch(member: Member) -> int:
    return member.leading_epoch


__all__ = ('Notifier',)
