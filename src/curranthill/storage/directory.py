"""Caches the platform's host list."""

from collections.abc import Callable

from loguru import logger

from curranthill.application import Application
from curranthill.errors import StorageError
from curranthill.storage.interface import HostEntry, HostList

Listener = Callable[[], None]


class HostDirectory:
    """Caches the last host list, also while the platform is unavailable.

    :param interval_s: the time between two reads.
    :param data_centre: the data centre whose hosts are read; all if empty.
    """

    def __init__(
        self,
        *,
        app: Application,
        host_list: HostList,
        interval_s: float,
        data_centre: str = '',
    ) -> None:
        """Initialize with an empty list."""
        self.entries: dict[str, HostEntry] = {}
        self._app = app
        self._host_list = host_list
        self._data_centre = data_centre
        self._interval_s = interval_s
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` whenever the list has changed."""
        self._listeners.append(listener)

    def workers(self, data_centre: str) -> list[HostEntry]:
        """Return the workers of a data centre, including draining ones."""
        return [
            entry
            for entry in self.entries.values()
            if entry.role == 'worker' and entry.data_centre == data_centre
        ]

    async def start(self) -> None:
        """Read the list once, then periodically."""
        await self.refresh()
        self._app.spawn(self._poll(), name='host list')

    async def refresh(self) -> None:
        """Read the list; keep the last one if the platform is unavailable."""
        try:
            entries = await self._host_list.hosts(self._data_centre)
        except StorageError as error:
            logger.bind(step=error.step, peer=error.peer).debug(
                'cannot read the host list: {}',
                error.message,
            )
            return
        fresh = {entry.host: entry for entry in entries}
        if fresh != self.entries:
            self.entries = fresh
            for listener in self._listeners:
                listener()

    async def _poll(self) -> None:
        while True:
            await self._app.clock.sleep(self._interval_s)
            await self.refresh()


__all__ = ('HostDirectory',)
