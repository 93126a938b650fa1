"""Removes intake rows of jobs whose end is stored."""

import asyncio
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.errors import StorageError
from curranthill.storage.rows import RowRemoval, RowStore, StoreRejectedError
from curranthill.tasks import tables
from curranthill.telemetry.events import events

#: The interval at which rows are removed, in seconds; the rows that gather
#: meanwhile are removed in one commit per partition.
CLEANUP_INTERVAL_S: Final = 2.0

#: The most rows in one commit; the platform accepts 100 entries a call.
ROWS_PER_COMMIT: Final = 64


class IntakeCleanup:
    """Removes the rows of accepted jobs whose end is stored, and of cancels.

    The rows lie outside the leader's partition, so their removal can't be
    conditional on leadership. It is correct whoever leads and however late it
    takes effect, because the end of the job is stored before the removal.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        writer: ProgressWriter,
    ) -> None:
        """Initialize the cleanup without rows to remove."""
        self._store = store
        self._clock = clock
        self._writer = writer
        self._keys: set[str] = set()

    def add(self, key: str) -> None:
        """Queue a row for removal once all current changes are stored."""
        self._keys.add(key)

    def is_pending(self, job_id: str) -> bool:
        """Return whether a job's intake row may still exist."""
        return job_id in self._keys

    async def run(self) -> None:
        """Remove rows until cancelled."""
        while True:
            await self._clock.sleep(CLEANUP_INTERVAL_S)
            if not self._keys:
                continue
            keys = tuple(self._keys)
            await self._writer.stored()
            by_partition: dict[str, list[str]] = {}
            for key in keys:
                # The job's end may have been rejected.
                if self._writer.is_stored(
                    key.removesuffix(tables.CANCEL_SUFFIX)
                ):
                    partition = tables.partition_of(tables.INTAKE, key)
                    by_partition.setdefault(partition, []).append(key)
            await asyncio.gather(
                *(
                    self._remove(some[:ROWS_PER_COMMIT])
                    for some in by_partition.values()
                ),
            )

    async def _remove(self, keys: list[str]) -> None:
        """Remove rows of one partition; on an error they stay queued.

        Rows that the store rejects are removed one by one, and left if they
        are rejected again.
        """
        removals = [RowRemoval(tables.INTAKE, key) for key in keys]
        try:
            await self._store.commit(removals=removals)
        except StoreRejectedError as rejected:
            if len(keys) > 1:
                for key in keys:
                    await self._remove([key])
                return
            events.log('cleanup_rejected', key=keys[0], error=str(rejected))
            self._keys.difference_update(keys)
        except StorageError as error:
            events.log('cleanup_put_off', rows=len(keys), error=str(error))
        else:
            self._keys.difference_update(keys)


__all__ = ('IntakeCleanup',)
