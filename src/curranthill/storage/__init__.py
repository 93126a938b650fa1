"""Clients of the platform's table, object store and host list."""

from curranthill.storage.commit import Committer
from curranthill.storage.directory import HostDirectory
from curranthill.storage.http import content_digest, http_platform
from curranthill.storage.interface import (
    HostEntry,
    HostList,
    ObjectStore,
    Platform,
    Table,
    platforms,
)
from curranthill.storage.rate_limit import WriteRateLimiter
from curranthill.storage.records import (
    ABSENT,
    Check,
    Document,
    Page,
    Row,
    Transaction,
    Write,
)

__all__ = (
    'ABSENT',
    'Check',
    'Committer',
    'Document',
    'HostDirectory',
    'HostEntry',
    'HostList',
    'ObjectStore',
    'Page',
    'Platform',
    'Row',
    'Table',
    'Transaction',
    'Write',
    'WriteRateLimiter',
    'content_digest',
    'http_platform',
    'platforms',
)
