"""Assembly of the scheduler process."""

from curranthill.application import Application
from curranthill.clock import Clock
from curranthill.jobs import JobStore
from curranthill.membership import Node, NodeSettings
from curranthill.scheduler.context import Context
from curranthill.scheduler.election import Election
from curranthill.scheduler.leader import Leader
from curranthill.scheduler.service import SchedulerService
from curranthill.settings import SchedulerSettings
from curranthill.storage import WriteRateLimiter
from curranthill.workers import WorkerClients, worker_clients


class SchedulerDaemon:
    """A scheduler and its dependencies, run by one application.

    :param settings: the process's settings.
    :param clock: replaces the system clock in tests.
    """

    def __init__(
        self,
        *,
        settings: SchedulerSettings,
        clock: Clock | None = None,
    ) -> None:
        """Create the node and register the start and stop functions."""
        host = settings.host
        self.app = Application(name=f'{host.name}/scheduler', clock=clock)
        self.node = Node(
            app=self.app,
            settings=NodeSettings(
                host=host,
                platform=settings.platform,
                membership=settings.membership,
            ),
            role='scheduler',
        )
        self._settings = settings
        self._clients: WorkerClients | None = None
        self.leader: Leader | None = None
        self.app.on_start(self._start)
        self.app.on_stop(self._stop)

    async def _start(self) -> None:
        clients = worker_clients.get('http')()
        self._clients = clients
        context = self._context(clients)
        self.leader = Leader(
            app=self.app,
            context=context,
            data_centre=self._settings.host.data_centre,
            directory=self.node.directory,
            configuration=self.node.configuration,
            view=self.node.view,
            notify_moved=self.node.notifier.notify,
        )
        service = SchedulerService(
            leader=self.leader,
            context=context,
            configuration=self.node.configuration,
            view=self.node.view,
            gateways=self._settings.gateways,
        )
        await self.node.serve([service])
        await self.node.join()
        await self.leader.start()

    async def _stop(self) -> None:
        if self.leader is not None:
            await self.leader.stop()
        await self.node.leave()
        if self._clients is not None:
            await self._clients.close()
        await self.node.close()

    def _context(self, clients: WorkerClients) -> Context:
        host = self._settings.host
        table = self.node.platform.table
        return Context(
            clock=self.app.clock,
            store=JobStore(
                table=table,
                clock=self.app.clock,
                rate_limiter=WriteRateLimiter(
                    clock=self.app.clock,
                    per_s=self._settings.platform.writes_per_s,
                ),
            ),
            objects=self.node.platform.objects,
            election=Election(
                table=table,
                clock=self.app.clock,
                settings=self._settings.leases,
                holder=self.node.view.own.name,
                data_centre=host.data_centre,
            ),
            worker_at=clients.at,
            leases=self._settings.leases,
            placement=self._settings.placement,
        )


__all__ = ('SchedulerDaemon',)
