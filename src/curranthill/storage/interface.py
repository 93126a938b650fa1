"""Interfaces of the platform's services.

The real services may differ from the stand-ins. A client for another protocol
is a class with these methods that is added to the registry of its concern.
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
        """Return up to ``limit`` rows under ``prefix``, after key ``after``.

        :raises NotSentError: if the table cannot be reached.
        """

    async def transact(self, transaction: Transaction) -> dict[str, int]:
        """Apply all writes or none and return the new versions by key.

        :raises ConflictError: if a version differs; nothing was written.
        :raises NotSentError: if nothing was written, for another reason.
        :raises ReplyLostError: if the effect is unknown.
        """


class ObjectStore(Protocol):
    """The store of immutable objects."""

    async def put(self, name: str, body: bytes) -> None:
        """Store ``body`` under ``name``; repeating it is no error.

        :raises ConflictError: if the name already holds another body.
        :raises NotSentError: if the store cannot be reached.
        """

    async def get(self, name: str) -> bytes | None:
        """Return an object, its digest verified, or nothing if it is absent.

        :raises NotSentError: if the store cannot be reached.
        """


class HostEntry(NamedTuple):
    """One entry of the platform's host list.

    :param role: ``worker`` for endpoints, ``entry`` for this system's hosts.
    :param address: the IP address and port; of an entry host the IP address.
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
    """The platform's list of live and draining hosts; it may be outdated."""

    async def hosts(self, data_centre: str = '') -> tuple[HostEntry, ...]:
        """Return the current list of one data centre, or of all if empty.

        :raises NotSentError: if the platform cannot be reached.
        """


class Platform(NamedTuple):
    """One process's clients of the platform's services."""

    table: Table
    objects: ObjectStore
    host_list: HostList
    close: Callable[[], Awaitable[None]]


#: Platform clients by the name in the settings: name -> factory(url).
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
