"""Removes rows of the intake that nobody needs any more."""

import asyncio
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.errors import StorageError
from curranthill.storage.rows import RowRemoval, RowStore
from curranthill.tasks import tables
from curranthill.telemetry.events import events

#: How often rows are removed, in seconds: what came together goes in one
#: commit a partition.
CLEANUP_INTERVAL_S: Final = 2.0

#: Most rows in one commit; the platform takes 100 entries a call.
ROWS_PER_COMMIT: Final = 64


class IntakeCleanup:
    """Removes accepted jobs whose end is stored, and their cancellations.

    The rows lie outside the leader's partition, so their removal cannot be
    conditional on leadership; as the job's end is stored before, it is right
    whoever leads by then, and however late it takes effect.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        writer: ProgressWriter,
    ) -> None:
        """Start with nothing to remove."""
        self._store = store
        self._clock = clock
        self._writer = writer
        self._keys: set[str] = set()

    def add(self, key: str) -> None:
        """Have a row removed, once what is noted by now is stored."""
        self._keys.add(key)

    def is_pending(self, job_id: str) -> bool:
        """Return whether a job's row may still be there."""
        return job_id in self._keys

    async def run(self) -> None:
        """Remove rows until cancelled."""
        while True:
            await self._clock.sleep(CLEANUP_INTERVAL_S)
            if not self._keys:
                continue
            by_partition: dict[str, list[str]] = {}
            for key in self._keys:
                partition = tables.partition_of(tables.INTAKE, key)
                by_partition.setdefault(partition, []).append(key)
            await self._writer.stored()
            await asyncio.gather(
                *(
                    self._remove(keys[:ROWS_PER_COMMIT])
                    for keys in by_partition.values()
                ),
            )

    async def _remove(self, keys: list[str]) -> None:
        """Remove rows of one partition; keep them for the next turn if not."""
        removals = [RowRemoval(tables.INTAKE, key) for key in keys]
        try:
            await self._store.commit(removals=removals)
        except StorageError as error:
            events.log('cleanup_put_off', rows=len(keys), error=str(error))
        else:
            self._keys.difference_update(keys)


__all__ = ('IntakeCleanup',)
