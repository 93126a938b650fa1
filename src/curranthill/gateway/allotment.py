"""Reports demand for quick work and applies the scheduler's allotment."""

from typing import Final

from loguru import logger

from curranthill.application import Application
from curranthill.configuration import ActiveConfiguration
from curranthill.errors import PeerError
from curranthill.membership import Member, View
from curranthill.membership.notify import Notifier
from curranthill.protocol import Channels, inner_pb2
from curranthill.protocol.methods import report_method
from curranthill.routing import AllottedWorker, Router, WorkerPool
from curranthill.storage import HostDirectory

#: The interval of reports, in seconds; well within the term of a grant.
REPORT_INTERVAL_S: Final = 1.0
_CALL_TIMEOUT_S: Final = 1.0

#: After this time without an allotment all listed workers are used, in seconds.
_FALLBACK_S: Final = 10.0


class AllotmentLoop:
    """Keeps the worker pool as allotted by the scheduler, or as listed."""

    def __init__(  # noqa: WPS211
        self,
        *,
        app: Application,
        view: View,
        channels: Channels,
        notifier: Notifier,
        directory: HostDirectory,
        configuration: ActiveConfiguration,
        pool: WorkerPool,
        router: Router,
    ) -> None:
        """Initialize to use listed workers until the first allotment."""
        self._app = app
        self._view = view
        self._channels = channels
        self._notifier = notifier
        self._directory = directory
        self._configuration = configuration
        self._pool = pool
        self._router = router
        self._last_allotment_s = app.clock.monotonic_s() - _FALLBACK_S

    async def start(self) -> None:
        """Start reporting in the background."""
        self._app.spawn(self._run(), name='allotment')
        self._directory.add_listener(self._mark_draining)

    async def _run(self) -> None:
        while True:
            peak = self._router.take_peak()
            own = await self._own_allotment(peak)
            spill = await self._spill_allotment(own, peak)
            now_s = self._app.clock.monotonic_s()
            if own is not None:
                self._last_allotment_s = now_s
                self._allot([*own, *spill])
            elif now_s - self._last_allotment_s > _FALLBACK_S:
                self._allot([*self._listed(), *spill])
            self._router.serve()
            await self._app.clock.sleep(REPORT_INTERVAL_S)

    async def _own_allotment(self, peak: int) -> list[AllottedWorker] | None:
        scheduler = self._notifier.active_scheduler(self._view.own.data_centre)
        if scheduler is None:
            return None
        return await self._report(scheduler, peak, spill=False)

    async def _spill_allotment(
        self,
        own: list[AllottedWorker] | None,
        peak: int,
    ) -> list[AllottedWorker]:
        """Request workers of the region's other data centres for overflow.

        They are needed when requests wait or this data centre has no
        allotment.
        """
        waiting = self._router.waiting
        if own and not waiting:
            return []
        demand = waiting if own else peak
        for name in self._data_centres_nearby():
            scheduler = self._notifier.active_scheduler(name)
            if scheduler is None:
                continue
            workers = await self._report(scheduler, demand, spill=True)
            if workers:
                return workers
        return []

    async def _report(
        self,
        scheduler: Member,
        demand: int,
        *,
        spill: bool,
    ) -> list[AllottedWorker] | None:
        """Report demand, apply the grant and return the allotted workers."""
        requested_s = self._app.clock.monotonic_s()
        try:
            allotment = await self._channels.call(
                scheduler.address,
                report_method,
                inner_pb2.DemandReport(
                    gateway=self._view.own.name,
                    most_in_flight=demand,
                    spill=spill,
                ),
                _CALL_TIMEOUT_S,
            )
        except PeerError as error:
            logger.bind(step=error.step, peer=scheduler.name).debug(
                'scheduler sent no allotment: {}',
                error.message,
            )
            return None
        if allotment.workers:
            self._pool.grant(
                allotment.workers[0].connections,
                requested_s,
                allotment.term_s,
                spill=spill,
            )
        return [
            AllottedWorker(worker.name, worker.address, worker.slots, spill)
            for worker in allotment.workers
            if not self._is_draining(worker.name)
        ]

    def _allot(self, workers: list[AllottedWorker]) -> None:
        own = self._view.own.data_centre
        self._pool.allot(workers, len(self._view.alive('gateway', own)))

    def _data_centres_nearby(self) -> list[str]:
        """Return the other data centres of this region, in a fixed order."""
        data_centres = self._configuration.document.data_centres
        own = self._view.own.data_centre
        if own not in data_centres:
            return []
        region = data_centres[own].region
        return [
            name
            for name, data_centre in sorted(data_centres.items())
            if name != own and data_centre.region == region
        ]

    def _listed(self) -> list[AllottedWorker]:
        """Return all listed workers, to be used without a scheduler."""
        return [
            AllottedWorker(entry.host, entry.address, entry.slots)
            for entry in self._directory.workers(self._view.own.data_centre)
            if not entry.leaving
        ]

    def _mark_draining(self) -> None:
        for worker in self._pool:
            if self._is_draining(worker.name):
                worker.draining = True

    def _is_draining(self, name: str) -> bool:
        entry = self._directory.entries.get(name)
        return entry is not None and entry.leaving


__all__ = ('AllotmentLoop',)
