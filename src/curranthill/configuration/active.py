"""The configuration that a process has in force; it only moves upwards."""

from collections.abc import Callable

from loguru import logger

from curranthill.configuration.folder import canonical_json, sha256_hex
from curranthill.configuration.records import (
    ConfigurationDocument,
    Json,
    Kind,
    Manifest,
    Workspace,
)
from curranthill.configuration.validation import validate_document
from curranthill.errors import ConfigurationError
from curranthill.telemetry import metrics

Listener = Callable[[], None]


class ActiveConfiguration:
    """Hold the revision in force and tell those who listen of a new one.

    A request keeps the document that it began with; the holder replaces its
    own reference and never changes a document.
    """

    def __init__(self) -> None:
        """Start with revision 0, an empty document."""
        self.document = ConfigurationDocument()
        self.manifest = Manifest(revision=0, files={}, merged='')
        self.merged: Json = {}
        self._workspaces_by_token: dict[str, str] = {}
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        """Return the number of the revision in force."""
        return self.manifest.revision

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` after each move."""
        self._listeners.append(listener)

    def activate(self, manifest: Manifest, merged: Json) -> bool:
        """Put a higher revision in force; return whether it was taken.

        A lower or equal one changes nothing. One whose content is not what
        its manifest names, or cannot be applied, leaves the old in force.
        """
        if manifest.revision <= self.revision:
            return False
        try:
            document = self._accept(manifest, merged)
        except ConfigurationError as error:
            metrics.revisions_refused.add(1)
            logger.bind(step='configuration').error(
                'revision {} cannot be applied, {} stays in force: {}',
                manifest.revision,
                self.revision,
                error.message,
            )
            return False
        self.document = document
        self.manifest = manifest
        self.merged = merged
        self._workspaces_by_token = {
            token: name
            for name, workspace in document.workspaces.items()
            for token in workspace.token_digests
        }
        metrics.revision_in_force.set(manifest.revision)
        logger.bind(step='configuration').info(
            'revision {} is in force',
            manifest.revision,
        )
        for listener in self._listeners:
            listener()
        return True

    def workspace_of(self, token: str) -> tuple[str, Workspace] | None:
        """Return the workspace that a bearer token belongs to."""
        name = self._workspaces_by_token.get(sha256_hex(token.encode()))
        if name is None:
            return None
        return name, self.document.workspaces[name]

    def kind(self, name: str) -> Kind | None:
        """Return a kind of work by its name."""
        return self.document.kinds.get(name)

    def _accept(
        self,
        manifest: Manifest,
        merged: Json,
    ) -> ConfigurationDocument:
        if sha256_hex(canonical_json(merged)) != manifest.merged:
            raise ConfigurationError(
                'The content is not what the manifest names.',
                step='configuration',
            )
        return validate_document(merged, f'revision {manifest.revision}')


__all__ = ('ActiveConfiguration',)
