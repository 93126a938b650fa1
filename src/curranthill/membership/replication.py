"""Replicates the configuration from the table and from peers."""

import json

from loguru import logger

from curranthill.application import Application
from curranthill.configuration import (
    ActiveConfiguration,
    Manifest,
    RevisionStore,
    canonical_json,
)
from curranthill.errors import (
    ConfigurationError,
    PeerError,
    StorageError,
)
from curranthill.membership.view import Member, View
from curranthill.protocol import Channels, inner_pb2
from curranthill.protocol.methods import fetch_configuration_method

FETCH_TIMEOUT_S = 3.0


class ConfigurationReplicator:
    """Updates the active configuration from whichever source is first.

    :param interval_s: the interval between two reads of the table's row.
    """

    def __init__(  # noqa: WPS211
        self,
        *,
        app: Application,
        configuration: ActiveConfiguration,
        revisions: RevisionStore,
        view: View,
        channels: Channels,
        interval_s: float,
    ) -> None:
        """Initialize and subscribe to the view and to the configuration."""
        self._app = app
        self._configuration = configuration
        self._revisions = revisions
        self._view = view
        self._channels = channels
        self._interval_s = interval_s
        self._fetching = False
        view.add_listener(self._on_member)
        configuration.add_listener(self._publish_revision)

    async def start(self) -> None:
        """Read the table at once, then periodically."""
        self._app.spawn(self._poll(), name='revision poll')

    def content(self, above_revision: int) -> inner_pb2.ConfigurationContent:
        """Return the configuration in force, or none if it is not newer."""
        configuration = self._configuration
        if configuration.revision <= above_revision:
            return inner_pb2.ConfigurationContent()
        return inner_pb2.ConfigurationContent(
            revision=configuration.revision,
            manifest_json=json.dumps(configuration.manifest._asdict()),
            merged_json=canonical_json(configuration.merged),
        )

    async def _poll(self) -> None:
        while True:
            try:
                await self._read_table()
            except (StorageError, ConfigurationError) as error:
                logger.bind(step=error.step, peer=error.peer).debug(
                    'cannot read the revision row: {}',
                    error.message,
                )
            await self._app.clock.sleep(self._interval_s)

    async def _read_table(self) -> None:
        manifest = await self._revisions.read_manifest()
        if manifest.revision > self._configuration.revision:
            merged = await self._revisions.read_document(manifest)
            self._configuration.activate(manifest, merged)

    def _publish_revision(self) -> None:
        self._view.update_own(revision=self._configuration.revision)

    def _on_member(self, member: Member) -> None:
        behind = member.revision > self._configuration.revision
        if behind and member.is_reachable and not self._fetching:
            self._fetching = True
            self._app.spawn(self._fetch(member), name='configuration fetch')

    async def _fetch(self, member: Member) -> None:
        try:
            content = await self._channels.call(
                member.address,
                fetch_configuration_method,
                inner_pb2.FetchConfigurationRequest(
                    above_revision=self._configuration.revision,
                ),
                FETCH_TIMEOUT_S,
            )
        except PeerError as error:
            logger.bind(step=error.step, peer=error.peer).debug(
                'cannot fetch the configuration from a peer: {}',
                error.message,
            )
            return
        finally:
            self._fetching = False
        if content.revision:
            manifest = Manifest(**json.loads(content.manifest_json))
            self._configuration.activate(
                manifest, json.loads(content.merged_json)
            )


__all__ = ('ConfigurationReplicator',)
