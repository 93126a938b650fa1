"""Background tasks that are cancelled together when a term ends."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from curranthill.dispatch.leadership import LeadershipLostError
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events


class Spawner:
    """Runs background tasks; the failure of a task that all need ends the term.

    :param over: set once the term is over.
    """

    def __init__(self) -> None:
        """Initialize the spawner without tasks."""
        self.over = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task until it ends or the term does."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def spawn_isolated(
        self, work: Coroutine[Any, Any, None], *, name: str
    ) -> None:
        """Run a task of one worker or job, whose failure affects no other.

        :param name: what the task does, for the log.
        """
        self.spawn(_isolated(work, name))

    async def end(self) -> None:
        """Cancel the remaining tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        if not isinstance(error, LeadershipLostError):
            events.log('task_failed', error=repr(error))
        self.over.set()


async def _isolated(work: Coroutine[Any, Any, None], name: str) -> None:
    try:
        await work
    except LeadershipLostError:
        raise
    except Exception as error:
        metrics.background_errors.add(1, {'task': name})
        events.log('background_error', task=name, error=repr(error))


__all__ = ('Spawner',)
