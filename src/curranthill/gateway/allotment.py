"""Report quick demand to the scheduler and obey what it allots."""

from typing import Final

from loguru import logger

from curranthill.application import Application
from curranthill.errors import PeerError
from curranthill.gateway.notify import Notifier
from curranthill.membership import View
from curranthill.protocol import Channels, inner_pb2
from curranthill.protocol.calls import call_report
from curranthill.routing import AllottedWorker, Router, WorkerPool
from curranthill.storage import HostDirectory

#: How often a gateway reports; well inside the term of a grant.
REPORT_INTERVAL_S: Final = 1.0
_CALL_TIMEOUT_S: Final = 1.0

#: Without an allotment for so long, any worker of the list is tried.
_FALLBACK_S: Final = 10.0


class AllotmentLoop:
    """Keep the pool as the scheduler says, or as the host list says."""

    def __init__(  # noqa: WPS211
        self,
        *,
        app: Application,
        view: View,
        channels: Channels,
        notifier: Notifier,
        directory: HostDirectory,
        pool: WorkerPool,
        router: Router,
    ) -> None:
        """Keep the parts."""
        self._app = app
        self._view = view
        self._channels = channels
        self._notifier = notifier
        self._directory = directory
        self._pool = pool
        self._router = router
        self._last_allotment_s = app.clock.monotonic_s() - _FALLBACK_S

    async def start(self) -> None:
        """Report from now on."""
        self._app.spawn(self._run(), name='allotment')
        self._directory.listen(self._drop_leaving)

    async def _run(self) -> None:
        while True:
            if not await self._report():
                self._fall_back()
            self._router.serve()
            await self._app.clock.sleep(REPORT_INTERVAL_S)

    async def _report(self) -> bool:
        own = self._view.own
        scheduler = self._notifier.active(own.data_centre)
        if scheduler is None:
            return False
        asked_s = self._app.clock.monotonic_s()
        try:
            allotment = await self._channels.call(
                scheduler.address,
                call_report,
                inner_pb2.DemandReport(
                    gateway=own.name,
                    most_in_flight=self._router.take_peak(),
                ),
                _CALL_TIMEOUT_S,
            )
        except PeerError as error:
            logger.bind(step=error.step, peer=scheduler.name).debug(
                'no allotment: {}',
                error.message,
            )
            return False
        self._obey(allotment, asked_s)
        return True

    def _obey(self, allotment: inner_pb2.Allotment, asked_s: float) -> None:
        self._last_allotment_s = asked_s
        gateways = self._view.alive('gateway', self._view.own.data_centre)
        self._pool.allot(
            [
                AllottedWorker(worker.name, worker.address, worker.slots)
                for worker in allotment.workers
                if not self._leaving(worker.name)
            ],
            len(gateways),
        )
        if allotment.workers:
            self._pool.grant(
                allotment.workers[0].connections,
                asked_s,
                allotment.term_s,
            )

    def _fall_back(self) -> None:
        """Serve quick work without a scheduler: try every listed worker."""
        now_s = self._app.clock.monotonic_s()
        if now_s - self._last_allotment_s < _FALLBACK_S:
            return
        own = self._view.own.data_centre
        self._pool.allot(
            [
                AllottedWorker(entry.host, entry.address, entry.slots)
                for entry in self._directory.workers(own)
                if not entry.leaving
            ],
            len(self._view.alive('gateway', own)),
        )

    def _drop_leaving(self) -> None:
        for worker in self._pool:
            if self._leaving(worker.name):
                worker.leaving = True

    def _leaving(self, name: str) -> bool:
        entry = self._directory.entries.get(name)
        return entry is not None and entry.leaving


__all__ = ('AllotmentLoop',)
