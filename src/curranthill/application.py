"""The application object, which manages the lifecycle of a process."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from loguru import logger

from curranthill.clock import Clock, SystemClock

#: The interval in which one error of the event loop is logged, in seconds.
LOOP_ERROR_INTERVAL_S: Final = 1.0

Hook = Callable[[], Awaitable[None]]


class Application:
    """Starts and stops the components of a process, and owns its tasks.

    Hooks added by :meth:`on_stop` run in reverse order, so that a component
    stops before those that it depends on.

    :param name: the name of the process in logs.
    :param clock: the clock of all components; by default the system's.
    """

    def __init__(self, *, name: str, clock: Clock | None = None) -> None:
        """Initialize without hooks and tasks."""
        self.name = name
        self.clock: Clock = clock or SystemClock()
        self._start_hooks: list[Hook] = []
        self._stop_hooks: list[Hook] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = asyncio.Event()
        self._next_loop_error_s = 0.0

    def on_start(self, hook: Hook) -> None:
        """Add a coroutine function to call at start, in order of addition."""
        self._start_hooks.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Add a coroutine function to call at stop, the last added first."""
        self._stop_hooks.append(hook)

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, None],
        *,
        name: str,
    ) -> asyncio.Task[None]:
        """Run a coroutine as a task; the application cancels it at stop."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def start(self) -> None:
        """Run the start hooks."""
        for hook in self._start_hooks:
            await hook()
        logger.bind(step='start').info('{} started', self.name)

    async def stop(self) -> None:
        """Run the stop hooks, then cancel the remaining tasks."""
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
        loop.set_exception_handler(self._on_loop_error)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    def _on_loop_error(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Log an error that no caller handles, one a second without a trace.

        Clients can cause errors in the HTTP library on each connection.
        """
        now_s = self.clock.monotonic_s()
        if now_s < self._next_loop_error_s:
            return
        self._next_loop_error_s = now_s + LOOP_ERROR_INTERVAL_S
        logger.bind(step='event loop').error(
            '{}: {!r}', context.get('message'), context.get('exception')
        )

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logger.bind(step=task.get_name()).opt(exception=error).error(
                'task {} failed',
                task.get_name(),
            )


__all__ = ('Application', 'Hook')
