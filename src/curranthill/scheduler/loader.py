"""Read the rows of jobs that somebody says have changed."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Final

from loguru import logger

from curranthill.errors import StorageError
from curranthill.jobs import JobStore, StoredJob

#: Rows read at the same time when many jobs have changed.
PARALLEL_READS: Final = 16


class RowLoader:
    """Take news at once and read the rows side by side.

    Whoever brings the news is not kept waiting: reading a burst of rows can
    take longer than its call may.

    :param spawn: runs a task that ends with the term.
    :param take: told of each row that was read.
    """

    def __init__(
        self,
        *,
        store: JobStore,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        take: Callable[[StoredJob], None],
    ) -> None:
        """Start with no news."""
        self._store = store
        self._spawn = spawn
        self._take = take
        self._waiting: dict[str, None] = {}

    def notify(self, job_ids: Iterable[str]) -> None:
        """Read some jobs' rows, soon; a job named twice is read once."""
        loading = bool(self._waiting)
        self._waiting.update(dict.fromkeys(job_ids))
        if not loading and self._waiting:
            self._spawn(self._load_all())

    async def _load_all(self) -> None:
        while self._waiting:
            batch = list(self._waiting)[:PARALLEL_READS]
            await asyncio.gather(*(self._load(job_id) for job_id in batch))
            for job_id in batch:
                self._waiting.pop(job_id)

    async def _load(self, job_id: str) -> None:
        try:
            stored = await self._store.load(job_id)
        except StorageError as error:
            logger.bind(job=job_id, step=error.step).debug(
                'the row of a job cannot be read: {}',
                error.message,
            )
            return
        if stored is not None:
            self._take(stored)


__all__ = ('PARALLEL_READS', 'RowLoader')
