"""What the system asks of the platform's services, one small interface each.

The real services may differ from the stand-ins: a client for another
protocol is a class with these methods, filed in the registry of its concern.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from curranthill.registry import Registry
from curranthill.storage.records import Page, Row, Transaction


class Table(Protocol):
    """The transactional table."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or nothing if there is none.

        :raises NotSentError: if the table cannot be reached.
        """

    async def scan(self, prefix: str, after: str, limit: int) -> Page:
        """Return up to ``limit`` rows under ``prefix``, past ``after``.

        :raises NotSentError: if the table cannot be reached.
        """

    async def transact(self, transaction: Transaction) -> dict[str, int]:
        """Apply all writes or none and return the new versions by key.

        :raises ConflictError: if a version differs; nothing was written.
        :raises NotSentError: if nothing was written, for another reason.
        :raises ReplyLostError: if the effect is not known.
        """


class ObjectStore(Protocol):
    """The store of immutable objects."""

    async def put(self, name: str, body: bytes) -> None:
        """Keep ``body`` under ``name``; the same body twice is no error.

        :raises ConflictError: if the name holds another body.
        :raises NotSentError: if the store cannot be reached.
        """

    async def get(self, name: str) -> bytes | None:
        """Return the whole object, its digest checked, or nothing.

        :raises NotSentError: if the store cannot be reached.
        """


class HostEntry(NamedTuple):
    """One line of the platform's lagging list.

    :param role: ``worker`` for endpoints, ``entry`` for hosts of ours.
    :param address: the IP number and port, or for an entry host the IP.
    """

    host: str
    role: str
    data_centre: str
    address: str
    rack: str = ''
    slots: int = 0
    connections: int = 0
    leaving: bool = False


class HostList(Protocol):
    """The platform's list of live and leaving hosts; it lags."""

    async def hosts(self, data_centre: str = '') -> tuple[HostEntry, ...]:
        """Return the list of one data centre, or all, as it is now.

        :raises NotSentError: if the platform cannot be reached.
        """


class Platform(NamedTuple):
    """The platform's services as one process holds them."""

    table: Table
    objects: ObjectStore
    host_list: HostList
    close: Callable[[], Awaitable[None]]


#: Ways to reach the platform: settings name -> factory(url).
platforms: Registry[Callable[[str], Platform]] = Registry(
    concern='platform client',
)

__all__ = (
    'HostEntry',
    'HostList',
    'ObjectStore',
    'Platform',
    'Table',
    'platforms',
)
