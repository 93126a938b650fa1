"""Leadership of a data centre: the election and the terms of the leader."""

import asyncio
from collections.abc import Callable

from loguru import logger

from curranthill.application import Application
from curranthill.configuration import ActiveConfiguration
from curranthill.errors import FencedError, StorageError
from curranthill.membership import Member, View
from curranthill.scheduler.context import Context
from curranthill.scheduler.policies import policies
from curranthill.scheduler.recovery import Recovered, recover
from curranthill.scheduler.term import Term
from curranthill.storage import HostDirectory
from curranthill.telemetry import metrics

#: The interval at which the load is published to neighbours, in seconds.
LOAD_INTERVAL_S = 1.0


class Leader:
    """One scheduler's leadership of its data centre.

    :param view: publishes the epoch, so that peers find the active scheduler.
    :param notify_moved: notifies a data centre's scheduler of a job that was
        moved to it.
    """

    def __init__(  # noqa: WPS211
        self,
        *,
        app: Application,
        context: Context,
        data_centre: str,
        directory: HostDirectory,
        configuration: ActiveConfiguration,
        view: View,
        notify_moved: Callable[[str, str], None],
    ) -> None:
        """Initialize as a standby, listening for changes."""
        self._notify_moved = notify_moved
        self.term: Term | None = None
        self.recovered: Recovered | None = None
        self._app = app
        self._context = context
        self._data_centre = data_centre
        self._directory = directory
        self._configuration = configuration
        self._view = view
        self._takeover: asyncio.Task[None] | None = None
        self._seen_epoch = 0
        directory.add_listener(self._on_workers_changed)
        configuration.add_listener(self._on_configuration)

    async def start(self) -> None:
        """Start the election, the scan of open jobs and the load updates."""
        self._app.spawn(self._run(), name='election')
        self._app.spawn(self._scan(), name='scan of open jobs')
        self._app.spawn(self._publish_load(), name='load')

    async def stop(self) -> None:
        """End the term and release the lease; gang members keep running."""
        await self._end_term()
        await self._context.election.resign()

    async def _run(self) -> None:
        election = self._context.election
        while True:
            await election.advance(self._seen_epoch)
            if election.leading and self._takeover is None:
                self._takeover = self._app.spawn(
                    self._begin_term(),
                    name='takeover',
                )
            elif not election.leading and self._takeover is not None:
                await self._end_term()
            await self._app.clock.sleep(election.interval_s())

    async def _begin_term(self) -> None:
        election = self._context.election
        metrics.takeovers.add(1)
        while election.leading:
            term = self._new_term()
            try:
                self.recovered = await recover(
                    term,
                    self._context,
                    self._directory.workers(self._data_centre),
                    self._data_centre,
                )
            except FencedError as error:
                await term.close()
                self._seen_epoch = max(self._seen_epoch, error.seen_epoch)
                await election.resign()
                return
            except StorageError as error:
                await term.close()
                logger.bind(step=error.step, peer=error.peer).warning(
                    'cannot read the open jobs, retrying: {}',
                    error.message,
                )
                await self._app.clock.sleep(1)
                continue
            self.term = term
            term.begin()
            self._view.update_own(leading_epoch=election.token.epoch)
            return

    async def _end_term(self) -> None:
        if self._takeover is not None:
            self._takeover.cancel()
            self._takeover = None
        if self.term is not None:
            await self.term.close()
            self.term = None
            self._view.update_own(leading_epoch=0)

    def _new_term(self) -> Term:
        placement = self._context.placement
        return Term(
            context=self._context,
            policy=policies.get(placement.policy)(placement.preemptions),
            data_centre=self._data_centre,
            directory=self._directory,
            configuration=self._configuration,
            neighbours=self._neighbours,
            notify_moved=self._notify_moved,
        )

    def _neighbours(self) -> list[Member]:
        """Return the leaders of the region's other data centres."""
        data_centres = self._configuration.document.data_centres
        own = data_centres.get(self._data_centre)
        if own is None:
            return []
        return [
            member
            for member in self._view.alive('scheduler')
            if member.leading_epoch
            and member.data_centre != self._data_centre
            and member.data_centre in data_centres
            and data_centres[member.data_centre].region == own.region
        ]

    async def _publish_load(self) -> None:
        """Publish the load of this data centre at an interval."""
        while True:
            await self._app.clock.sleep(LOAD_INTERVAL_S)
            if self.term is not None:
                self._view.update_own(load=self.term.state.load())

    def _on_workers_changed(self) -> None:
        if self.term is not None:
            self.term.update_workers()

    def _on_configuration(self) -> None:
        if self.term is not None:
            self.term.configure()

    async def _scan(self) -> None:
        """Read jobs whose notification was lost, and delete expired ones."""
        interval_s = self._context.placement.scan_interval_s
        while True:
            await self._app.clock.sleep(interval_s)
            if self.term is None:
                continue
            try:
                await self.term.scan()
                await self._context.store.delete_expired(100)
            except StorageError as error:
                logger.bind(step=error.step).debug(
                    'cannot scan the open jobs, retrying later: {}',
                    error.message,
                )


__all__ = ('Leader',)
