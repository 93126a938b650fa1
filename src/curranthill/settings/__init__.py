"""The settings of a process, read from a JSON5 file."""

from curranthill.settings.reader import parse_json5, read_settings, validate
from curranthill.settings.records import (
    CallerSettings,
    GatewaySettings,
    HostSettings,
    LeaseSettings,
    LogSettings,
    MembershipSettings,
    OperatorSettings,
    PlacementSettings,
    PlatformSettings,
    QuickSettings,
    SchedulerSettings,
)
from curranthill.settings.secrets import KEY_VARIABLE, read_shared_key

__all__ = (
    'KEY_VARIABLE',
    'CallerSettings',
    'GatewaySettings',
    'HostSettings',
    'LeaseSettings',
    'LogSettings',
    'MembershipSettings',
    'OperatorSettings',
    'PlacementSettings',
    'PlatformSettings',
    'QuickSettings',
    'SchedulerSettings',
    'parse_json5',
    'read_settings',
    'read_shared_key',
    'validate',
)
