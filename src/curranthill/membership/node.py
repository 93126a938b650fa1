"""Components that all daemons share: platform, peers and configuration."""

import secrets
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

from curranthill.application import Application
from curranthill.configuration import ActiveConfiguration, RevisionStore
from curranthill.membership.notify import Notifier
from curranthill.membership.operations import OperationsService
from curranthill.membership.prober import PeerService, Prober
from curranthill.membership.replication import ConfigurationReplicator
from curranthill.membership.view import Member, View
from curranthill.protocol import Channels, InnerServer
from curranthill.settings import (
    HostSettings,
    MembershipSettings,
    PlatformSettings,
    read_shared_key,
)
from curranthill.storage import HostDirectory, Platform, platforms


class NodeSettings(NamedTuple):
    """The settings that all daemons share."""

    host: HostSettings
    platform: PlatformSettings
    membership: MembershipSettings


class Node:
    """The components that a gateway and a scheduler share.

    :param app: owns the tasks and hooks of the components.
    :param role: ``gateway`` or ``scheduler``.
    """

    def __init__(
        self,
        *,
        app: Application,
        settings: NodeSettings,
        role: str,
    ) -> None:
        """Initialize the components without starting them."""
        self.app = app
        self.settings = settings
        host = settings.host
        key = read_shared_key(settings.membership.key_file)
        self.platform: Platform = platforms.get(settings.platform.client)(
            settings.platform.url,
        )
        self.configuration = ActiveConfiguration()
        self.channels = Channels(key=key)
        self.view = View(
            own=Member(
                name=f'{host.name}/{role}',
                role=role,
                data_centre=host.data_centre,
                address='',
                # The wall clock gives a restarted process a higher number.
                incarnation=int(time.time()) * 1000 + secrets.randbelow(1000),
            ),
            clock=app.clock,
        )
        self.notifier = Notifier(
            app=app,
            view=self.view,
            channels=self.channels,
        )
        self.directory = HostDirectory(
            app=app,
            host_list=self.platform.host_list,
            interval_s=settings.platform.list_interval_s,
            data_centre=host.data_centre,
        )
        self.prober = Prober(
            app=app,
            view=self.view,
            channels=self.channels,
            settings=settings.membership,
        )
        self.replicator = ConfigurationReplicator(
            app=app,
            configuration=self.configuration,
            revisions=RevisionStore(platform=self.platform, clock=app.clock),
            view=self.view,
            channels=self.channels,
            interval_s=settings.platform.revision_interval_s,
        )
        self._key = key
        self._server: InnerServer | None = None

    @property
    def address(self) -> str:
        """Return the address at which peers reach this process."""
        return self.view.own.address

    async def serve(self, handlers: Sequence[Any]) -> None:
        """Serve the inner protocol, with additional handlers of the daemon."""
        peers = PeerService(prober=self.prober, content=self.replicator.content)
        operations = OperationsService(
            view=self.view,
            configuration=self.configuration,
        )
        self._server = InnerServer(
            key=self._key,
            handlers=[peers, operations, *handlers],
        )
        host = self.settings.host
        await self._server.start(host.address, self.settings.membership.port)
        self.view.own = self.view.own._replace(
            address=f'{host.address}:{self._server.port}',
        )

    async def join(self) -> None:
        """Read the host list, join the peers and follow the configuration."""
        await self.directory.start()
        await self.prober.start()
        await self.replicator.start()

    async def leave(self) -> None:
        """Announce to peers that this process leaves."""
        await self.prober.leave()

    async def close(self) -> None:
        """Stop serving and close all connections."""
        if self._server is not None:
            await self._server.stop()
        await self.channels.close()
        await self.platform.close()


__all__ = ('Node', 'NodeSettings')
