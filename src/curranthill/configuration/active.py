"""The configuration in force in a process; its revision only increases."""

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
    """The revision in force; listeners are notified when it changes.

    A request uses the document that it began with to its end: a new revision
    replaces the document and never modifies one.
    """

    def __init__(self) -> None:
        """Initialize with revision 0, an empty document."""
        self.document = ConfigurationDocument()
        self.manifest = Manifest(revision=0, files={}, merged='')
        self.merged: Json = {}
        self._workspaces_by_token: dict[str, str] = {}
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        """Return the number of the revision in force."""
        return self.manifest.revision

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` after each change of the revision."""
        self._listeners.append(listener)

    def activate(self, manifest: Manifest, merged: Json) -> bool:
        """Put a newer revision in force; return whether it was accepted.

        A revision that is not newer is ignored. One whose content does not
        match its manifest's digest or is invalid is refused and logged. In
        both cases the present revision stays in force.
        """
        if manifest.revision <= self.revision:
            return False
        try:
            document = self._validate(manifest, merged)
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
        """Return the name and workspace of a bearer token, if it is known."""
        name = self._workspaces_by_token.get(sha256_hex(token.encode()))
        if name is None:
            return None
        return name, self.document.workspaces[name]

    def kind(self, name: str) -> Kind | None:
        """Return the kind of work with a name, or None if there is none."""
        return self.document.kinds.get(name)

    def _validate(
        self,
        manifest: Manifest,
        merged: Json,
    ) -> ConfigurationDocument:
        if sha256_hex(canonical_json(merged)) != manifest.merged:
            raise ConfigurationError(
                "The content does not match the manifest's digest.",
                step='configuration',
            )
        return validate_document(merged, f'revision {manifest.revision}')


__all__ = ('ActiveConfiguration',)
