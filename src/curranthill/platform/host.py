"""The process of an entry host.

Each host serves callers and health checks, relays requests of peers to the
store, and may be elected to lead.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import generate_latest

from curranthill.application import Application
from curranthill.dispatch import (
    Election,
    Leader,
    Leadership,
    renew_without_store_s,
)
from curranthill.entry import (
    ClosedDataCentres,
    JobHandler,
    PeerList,
    RevisionFollower,
    SuspensionDetector,
)
from curranthill.errors import SettingsError
from curranthill.ingress import IngressServer, limits_of
from curranthill.placement import NONE_DISABLED
from curranthill.platform.advisor import PlatformAdvisor
from curranthill.platform.caller_api import CallerApi, refusal_response
from curranthill.platform.configuration import (
    TABLE,
    decode_closure,
    decode_revision,
)
from curranthill.platform.http_client import HttpClient
from curranthill.platform.relay import StoreProbe, StoreRelay
from curranthill.platform.settings import Address, PlatformSettings
from curranthill.platform.store import PlatformStore
from curranthill.platform.workers import PlatformConnector, RegisteredWorkers
from curranthill.storage.health import StoreHealth
from curranthill.storage.paths import StorePaths
from curranthill.telemetry import install_metric_reader
from curranthill.telemetry.events import events

#: How long a leader may be unresponsive before its counts are regarded as
#: possibly outdated, in seconds.
MAX_LEADER_SILENCE_S: Final = 1.0

#: The maximum share of the platform's grace period for a planned stop that is
#: used before the exit, so that the exit itself also fits in.
GRACE_SHARE: Final = 0.6

#: How long a stopping host still serves requests on open connections, in
#: seconds. The load balancer stops sending requests after two failed health
#: checks, which are one second apart.
DRAIN_S: Final = 2.5

#: How long a connection of a caller stays open without a request, in seconds.
CALLER_IDLE_S: Final = 300.0

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HostDaemon:
    """The parts of an entry host, started and stopped by one application.

    :param read_settings: reads the settings, at start and at each SIGHUP.
    :param disabled: placement mechanisms that are switched off.
    """

    def __init__(
        self,
        *,
        read_settings: Callable[[], PlatformSettings],
        disabled: frozenset[str] = NONE_DISABLED,
    ) -> None:
        """Read the settings and register start and stop.

        The parts are created at start.
        """
        self._disabled = disabled
        settings = read_settings()
        self._read_settings = read_settings
        self._settings = settings
        self.app = Application(name=settings.host)
        self._leader: Leader | None = None
        self._stopping = False
        self.app.on_start(self._start)
        self.app.on_stop(self._stop)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here.

        A host that cannot reach the store cannot accept jobs, and one whose
        configuration may be outdated refuses requests, so other hosts serve
        callers better. If no host is ready, the load balancer uses all.
        """
        if self._stopping or self._revisions.current is None:
            return False
        return self._health.reachable and self._revisions.is_fresh

    @property
    def callers_address(self) -> str:
        """Return the address for callers, with the port that was bound."""
        return self._callers.address

    @property
    def relay_address(self) -> str:
        """Return the address for peers, with the port that was bound."""
        return _bound_address(self._relay)

    async def _start(self) -> None:
        settings = self._settings
        clock = self.app.clock
        install_metric_reader(PrometheusMetricReader())
        self._client = HttpClient()
        self._paths = StorePaths(
            direct=settings.store_address,
            peers=self._peer_addresses,
        )
        self._store = PlatformStore(
            client=self._client,
            paths=self._paths,
            clock=clock,
        )
        # The relay comes first, because a failed store request looks up peers.
        await self._start_relay()
        self._connector = PlatformConnector(client=self._client)
        self._closed_data_centres = ClosedDataCentres(
            clock=clock,
            decode=decode_closure,
            cease_s=settings.timing.evacuate_s,
        )
        self._revisions = RevisionFollower(
            store=self._store,
            clock=clock,
            table=TABLE,
            decode=decode_revision,
            closed_data_centres=self._closed_data_centres,
            in_force_s=settings.timing.in_force_s,
        )
        self._health = StoreHealth(clock=clock)
        self._store.outage.on_end(self._health.record_reply)
        self._election = Election(
            store=self._store,
            clock=clock,
            holder=settings.host,
            lead=self._lead,
            health=self._health,
            operator_rows=self._closed_data_centres,
            others=lambda: len(self._peers.addresses),
            renews_s=renew_without_store_s(settings.timing.lease_s),
        )
        self._suspension = SuspensionDetector(
            clock=clock,
            on_resume=self._resumed,
        )
        self._caller_api = CallerApi(
            job_handler=JobHandler(
                store=self._store,
                clock=clock,
                health=self._health,
                forecasts=self._election.forecasts,
                row_bytes=settings.row_bytes,
            ),
            revisions=self._revisions,
            clock=clock,
            counts_outdated=self._counts_may_be_outdated,
            suspension=self._suspension,
        )
        self.app.spawn(self._suspension.run(), name='pauses')
        self.app.spawn(self._revisions.run(), name='revisions')
        self._election_task = self.app.spawn(
            self._election.run(),
            name='election',
        )
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP,
            self._reload,
        )
        await self._start_callers()
        self._readiness = await _serve(
            self._handle_readiness,
            settings.readiness,
        )
        self._metrics = await _serve(_handle_metrics, settings.metrics)
        events.log('started', callers=settings.callers)

    async def _start_callers(self) -> None:
        """Start to serve callers within the limits of the machine."""
        settings = self._settings
        self._callers = IngressServer(
            limits=limits_of(settings.machine, idle_s=CALLER_IDLE_S),
            refusal=refusal_response,
        )
        runner = web.ServerRunner(
            web.Server(
                self._handle_caller,
                **self._callers.options,
            ),
            shutdown_timeout=1.0,
        )
        await self._callers.start(runner, *settings.callers)

    async def _handle_caller(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        return await self._callers.respond(request, self._caller_api.handle)

    async def _start_relay(self) -> None:
        """Start to relay peers' requests, and to track available peers."""
        clock = self.app.clock
        relay = StoreRelay(client=self._client, paths=self._paths)
        self._relay = await _serve(relay.handle, self._settings.relay)
        self._peers = PeerList(
            store=self._store,
            clock=clock,
            host=self._settings.host,
            address=_bound_address(self._relay),
        )
        probe = StoreProbe(
            client=self._client,
            paths=self._paths,
            clock=clock,
            outage=self._store.outage,
        )
        self.app.spawn(self._peers.run(), name='peers')
        self.app.spawn(probe.run(), name='probe')

    async def _stop(self) -> None:
        """Drain callers, hand leadership over and finish open requests."""
        events.log('stopping', leading=self._leader is not None)
        self._stopping = True
        self._caller_api.close()
        self._election.resign()
        max_s = self._settings.timing.grace_s * GRACE_SHARE
        await asyncio.gather(
            self.app.clock.sleep(min(DRAIN_S, max_s)),
            self._hand_over(max_s),
        )
        # Concurrently, because each waits for its open requests and they share
        # one grace period.
        await asyncio.gather(
            self._callers.stop(),
            self._readiness.cleanup(),
            self._metrics.cleanup(),
            self._relay.cleanup(),
        )
        await self._client.close()
        events.log('stopped')

    async def _hand_over(self, timeout_s: float) -> None:
        """Step down as leader, retrying through a short outage of the store.

        After a leader that did not step down, its successor has to keep the
        runs on unreachable workers for as long as the previous leader might
        still renew their leases.
        """
        if self._leader is None:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._leader.step_down()
        except TimeoutError:
            events.log('step_down_unanswered', patience_s=timeout_s)

    async def _lead(self, leadership: Leadership) -> None:
        self._leader = Leader(
            store=self._store,
            clock=self.app.clock,
            leadership=leadership,
            connector=self._connector,
            worker_feed=RegisteredWorkers(),
            timing=self._settings.timing,
            revision=self._revisions,
            closed_data_centres=self._closed_data_centres,
            advisor=PlatformAdvisor(
                client=self._client,
                address=self._settings.advisor_address,
            ),
            disabled=self._disabled,
            row_bytes=self._settings.row_bytes,
        )
        try:
            await self._leader.run()
        finally:
            self._leader = None

    def _reload(self) -> None:
        """Reload the settings; addresses only change at the next start."""
        try:
            self._settings = self._read_settings()
        except SettingsError as error:
            events.log('reload_refused', reason=error.message)
        else:
            events.log('reloaded')

    def _resumed(self) -> None:
        """Invalidate what was known before a suspension until it is read again.

        Leases, orders and ages need no handling, because the clock includes
        the time of the suspension.
        """
        self._health.invalidate()
        self._revisions.invalidate()

    def _peer_addresses(self) -> tuple[str, ...]:
        return self._peers.addresses

    def _counts_may_be_outdated(self) -> bool:
        if self._leader is not None:
            return False
        return self._election.leader_silent_s > MAX_LEADER_SILENCE_S

    async def _handle_readiness(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        self._suspension.check()
        return web.Response(status=200 if self.is_ready else 503)


async def _handle_metrics(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=generate_latest(), content_type='text/plain')


async def _serve(
    handler: RequestHandler,
    address: Address,
) -> web.ServerRunner:
    runner = web.ServerRunner(
        web.Server(handler, access_log=None, keepalive_timeout=300),
        shutdown_timeout=1.0,
    )
    await runner.setup()
    site = web.TCPSite(runner, address.ip, address.port, backlog=1024)
    await site.start()
    return runner


def _bound_address(runner: web.ServerRunner) -> str:
    """Return the address that a server is bound to."""
    ip, port = runner.addresses[0][:2]
    return f'{ip}:{port}'


__all__ = ('HostDaemon',)
