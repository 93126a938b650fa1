"""Revisions of the configuration in the platform's table and object store.

One row of the table holds the manifest of the revision in force and is
replaced by compare-and-set. The contents of files are immutable objects in
the object store, named by their digests.
"""

import json
from collections.abc import Mapping
from typing import Any

from curranthill.clock import Clock
from curranthill.configuration.folder import (
    canonical_json,
    merge,
    sha256_hex,
)
from curranthill.configuration.records import Json, Manifest
from curranthill.configuration.validation import validate_document
from curranthill.errors import ConfigurationError, ConflictError
from curranthill.storage import ABSENT, Committer, Platform, Row, Write

REVISION_KEY = 'configuration/revision'
HISTORY_PREFIX = 'configuration/history/'

#: How often a change is rebased onto concurrent changes before it fails.
REBASE_ATTEMPTS = 20

#: File name -> new content, or None to remove the file.
Change = Mapping[str, bytes | None]


class RevisionStore:
    """Reads the revision in force and replaces it.

    :param platform: the table and the object store.
    :param clock: for retry delays and for the time that a revision is applied.
    """

    def __init__(self, *, platform: Platform, clock: Clock) -> None:
        """Initialize; nothing is read yet."""
        self._platform = platform
        self._clock = clock
        self._committer = Committer(table=platform.table, clock=clock)

    async def read_manifest(self) -> Manifest:
        """Return the manifest in force; revision 0 if there is none yet."""
        return _manifest_from_row(await self._platform.table.read(REVISION_KEY))

    async def read_document(self, manifest: Manifest) -> Json:
        """Return the merged document of a manifest.

        :raises ConfigurationError: if its object is missing or damaged.
        """
        content = await self._read_object(manifest.merged)
        document: Json = json.loads(content)
        return document

    async def read_contents(self, manifest: Manifest) -> dict[str, bytes]:
        """Return the content of each file of a manifest."""
        return {
            name: await self._read_object(digest)
            for name, digest in manifest.files.items()
        }

    async def read_history(self) -> list[Manifest]:
        """Return all revisions, oldest first."""
        manifests: list[Manifest] = []
        after = ''
        while True:
            page = await self._platform.table.scan(HISTORY_PREFIX, after, 100)
            manifests.extend(_manifest_from_row(row) for row in page.rows)
            after = page.after
            if not after:
                return manifests

    async def apply_change(self, change: Change, author: str) -> Manifest:
        """Put a change of some files in force and return the new manifest.

        A change is rebased onto concurrent changes of other files. Of two
        concurrent changes of one file the later is refused.

        :raises ConfigurationError: if the merged document would be invalid, or
            another operator changed one of the files first.
        """
        row = await self._platform.table.read(REVISION_KEY)
        original = _manifest_from_row(row)
        for _ in range(REBASE_ATTEMPTS):
            base = _manifest_from_row(row)
            _refuse_conflicts(change, original, base)
            manifest = await self._prepare(change, base, author)
            if manifest.files == base.files:
                return base
            try:
                return await self._commit(manifest, row)
            except ConflictError:
                row = await self._platform.table.read(REVISION_KEY)
        raise ConfigurationError(
            'Concurrent changes kept preventing this one; nothing was applied.',
            step='change',
        )

    async def _prepare(
        self,
        change: Change,
        base: Manifest,
        author: str,
    ) -> Manifest:
        """Store the changed files and their merge; return the new manifest."""
        contents = await self.read_contents(base)
        for name, content in change.items():
            if content is None:
                contents.pop(name, None)
            else:
                contents[name] = content
        merged = merge(contents)
        validate_document(merged)
        merged_json = canonical_json(merged)
        await self._store_object(merged_json)
        files: dict[str, str] = {}
        for name in sorted(contents, key=str.encode):
            files[name] = await self._store_object(contents[name])
        return Manifest(
            revision=base.revision + 1,
            files=files,
            merged=sha256_hex(merged_json),
            author=author,
            applied_at_s=self._clock.wall_s(),
        )

    async def _commit(self, manifest: Manifest, row: Row | None) -> Manifest:
        document: dict[str, Any] = manifest._asdict()
        version = row.version if row else ABSENT
        history_key = f'{HISTORY_PREFIX}{manifest.revision:08d}'
        await self._committer.commit(
            (
                Write(history_key, ABSENT, document),
                Write(REVISION_KEY, version, document),
            ),
        )
        return manifest

    async def _store_object(self, content: bytes) -> str:
        digest = sha256_hex(content)
        await self._platform.objects.put(f'configuration/{digest}', content)
        return digest

    async def _read_object(self, digest: str) -> bytes:
        name = f'configuration/{digest}'
        content = await self._platform.objects.get(name)
        if content is None or sha256_hex(content) != digest:
            raise ConfigurationError(
                'An object of the revision is missing or damaged.',
                step='read content',
                peer=name,
            )
        return content


def _manifest_from_row(row: Row | None) -> Manifest:
    if row is None:
        return Manifest(revision=0, files={}, merged='')
    known = {
        name: row.document[name]
        for name in Manifest._fields
        if name in row.document
    }
    return Manifest(**known)


def _refuse_conflicts(
    change: Change,
    original: Manifest,
    base: Manifest,
) -> None:
    """Refuse a change of files that differ between two manifests.

    :param original: the manifest in force when the change began.
    :param base: the manifest in force now.
    :raises ConfigurationError: if a file of the change was changed meanwhile.
    """
    for name in change:
        if original.files.get(name) != base.files.get(name):
            raise ConfigurationError(
                f'{name}: revision {base.revision} by {base.author} changed'
                ' this file first; nothing was applied.',
                step='change',
            )


__all__ = (
    'HISTORY_PREFIX',
    'REVISION_KEY',
    'Change',
    'RevisionStore',
)
