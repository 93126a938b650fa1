"""The central object of each process: it owns all else and cleans it up."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from curranthill.clock import Clock, SystemClock

Hook = Callable[[], Awaitable[None]]


class Application:
    """Start, own and stop the parts of one process.

    Hooks given to :meth:`on_stop` run in the reverse order of their adding,
    so that a part stops before what it rests on.

    :param name: the process's name in logs.
    :param clock: the clock of every part; the machine's own by default.
    """

    def __init__(self, *, name: str, clock: Clock | None = None) -> None:
        """Make an application with no parts."""
        self.name = name
        self.clock: Clock = clock or SystemClock()
        self._start_hooks: list[Hook] = []
        self._stop_hooks: list[Hook] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = asyncio.Event()

    def on_start(self, hook: Hook) -> None:
        """Add a coroutine function to run at start, in order of adding."""
        self._start_hooks.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Add a coroutine function to run at stop, last added first."""
        self._stop_hooks.append(hook)

    def spawn(
        self,
        work: Coroutine[Any, Any, None],
        *,
        name: str,
    ) -> asyncio.Task[None]:
        """Run a task that this application cancels when it stops."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    async def start(self) -> None:
        """Run the start hooks."""
        for hook in self._start_hooks:
            await hook()
        logger.bind(step='start').info('{} started', self.name)

    async def stop(self) -> None:
        """Run the stop hooks, then cancel the tasks that are left."""
        for hook in reversed(self._stop_hooks):
            await hook()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        logger.bind(step='stop').info('{} stopped', self.name)

    async def run(self) -> None:
        """Start, wait for SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logger.bind(step=task.get_name()).opt(exception=error).error(
                'task {} ended by an error',
                task.get_name(),
            )


__all__ = ('Application', 'Hook')
