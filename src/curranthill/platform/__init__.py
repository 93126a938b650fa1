"""Translates between the users' platform and the product; decides nothing."""

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
