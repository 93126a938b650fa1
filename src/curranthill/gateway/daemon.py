"""Assembly and life cycle of the gateway process."""

from curranthill.application import Application
from curranthill.clock import Clock
from curranthill.gateway.allotment import AllotmentLoop
from curranthill.gateway.idempotency import IdempotentRunner
from curranthill.gateway.jobs import JobHandler
from curranthill.gateway.server import CallerServer
from curranthill.jobs import JobStore
from curranthill.membership import Node, NodeSettings
from curranthill.membership.notify import Notifier
from curranthill.routing import (
    OutlierEjector,
    RetryBudget,
    Router,
    WorkerPool,
    choices,
)
from curranthill.settings import GatewaySettings
from curranthill.storage import WriteRateLimiter
from curranthill.workers import WorkerClients, worker_clients

#: The number of connections that a worker accepts without other configuration.
_WORKER_CONNECTIONS = 64


class GatewayDaemon:
    """The parts of a gateway, started and stopped by one application.

    :param settings: the settings of the process.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        clock: Clock | None = None,
    ) -> None:
        """Create the node and register start and stop with the application."""
        host = settings.host
        self.app = Application(name=f'{host.name}/gateway', clock=clock)
        self.node = Node(
            app=self.app,
            settings=NodeSettings(
                host=host,
                platform=settings.platform,
                membership=settings.membership,
            ),
            role='gateway',
        )
        self.server: CallerServer | None = None
        self._settings = settings
        self._clients: WorkerClients | None = None
        self.app.on_start(self._start)
        self.app.on_stop(self._stop)

    async def _start(self) -> None:
        clients = worker_clients.get('http')()
        self._clients = clients
        notifier = self.node.notifier
        pool = WorkerPool(
            clock=self.app.clock,
            fixed_connections=(
                _WORKER_CONNECTIONS // 2 // self._settings.quick.gateways
            ),
        )
        router = self._router(pool, clients)
        self.server = self._server(router, notifier)
        allotment = AllotmentLoop(
            app=self.app,
            view=self.node.view,
            channels=self.node.channels,
            notifier=notifier,
            directory=self.node.directory,
            configuration=self.node.configuration,
            pool=pool,
            router=router,
        )
        await self.node.serve([])
        await self.node.join()
        await allotment.start()
        await self.server.start(self._settings.host.address)

    async def _stop(self) -> None:
        if self.server is not None:
            await self.server.drain()
        await self.node.leave()
        if self._clients is not None:
            await self._clients.close()
        await self.node.close()

    def _router(self, pool: WorkerPool, clients: WorkerClients) -> Router:
        quick = self._settings.quick
        clock = self.app.clock
        return Router(
            clock=clock,
            pool=pool,
            choice=choices.get(quick.choice)(None),
            ejector=OutlierEjector(
                clock=clock,
                healthy_share=quick.healthy_share,
            ),
            retries=RetryBudget(clock=clock, share=quick.retry_share),
            worker_at=clients.at,
            queue_bound=quick.queue_per_workspace,
        )

    def _server(self, router: Router, notifier: Notifier) -> CallerServer:
        table = self.node.platform.table
        clock = self.app.clock
        job_handler = JobHandler(
            clock=clock,
            store=JobStore(
                table=table,
                clock=clock,
                retention_s=self._settings.callers.key_retention_s,
                rate_limiter=WriteRateLimiter(
                    clock=clock,
                    per_s=self._settings.platform.writes_per_s,
                ),
            ),
            objects=self.node.platform.objects,
            notifier=notifier,
            configuration=self.node.configuration,
            data_centre=self._settings.host.data_centre,
        )
        return CallerServer(
            clock=clock,
            settings=self._settings.callers,
            machine=self._settings.machine,
            configuration=self.node.configuration,
            router=router,
            idempotent_runner=IdempotentRunner(
                clock=clock,
                table=table,
                router=router,
            ),
            job_handler=job_handler,
        )


__all__ = ('GatewayDaemon',)
