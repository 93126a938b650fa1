"""Reads of the rows of jobs that are reported as changed."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Final

from loguru import logger

from curranthill.errors import StorageError
from curranthill.jobs import JobStore, StoredJob

#: The number of rows that are read concurrently.
MAX_PARALLEL_READS: Final = 16


class RowLoader:
    """Accepts notifications at once and reads the rows concurrently.

    The notifying call does not wait for the reads: a burst of rows can take
    longer than its timeout.

    :param spawn: starts a task that ends with the term.
    :param on_row: called with each row that was read.
    """

    def __init__(
        self,
        *,
        store: JobStore,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_row: Callable[[StoredJob], None],
    ) -> None:
        """Initialize without pending reads."""
        self._store = store
        self._spawn = spawn
        self._on_row = on_row
        self._pending: dict[str, None] = {}

    def notify(self, job_ids: Iterable[str]) -> None:
        """Schedule reads of jobs' rows; a job listed twice is read once."""
        loading = bool(self._pending)
        self._pending.update(dict.fromkeys(job_ids))
        if not loading and self._pending:
            self._spawn(self._load_all())

    async def _load_all(self) -> None:
        while self._pending:
            batch = list(self._pending)[:MAX_PARALLEL_READS]
            await asyncio.gather(*(self._load(job_id) for job_id in batch))
            for job_id in batch:
                self._pending.pop(job_id)

    async def _load(self, job_id: str) -> None:
        try:
            stored = await self._store.load(job_id)
        except StorageError as error:
            logger.bind(job=job_id, step=error.step).debug(
                'cannot read the row of a job: {}',
                error.message,
            )
            return
        if stored is not None:
            self._on_row(stored)


__all__ = ('MAX_PARALLEL_READS', 'RowLoader')
