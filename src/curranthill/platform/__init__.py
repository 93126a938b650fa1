"""Adapter between the users' platform and the scheduler, without policy."""

from curranthill.platform.host import HostDaemon
from curranthill.platform.settings import (
    PATH_VARIABLE,
    PlatformSettings,
    read_platform_settings,
)

__all__ = (
    'PATH_VARIABLE',
    'HostDaemon',
    'PlatformSettings',
    'read_platform_settings',
)
