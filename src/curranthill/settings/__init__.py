"""The settings of a process, read from one file of JSON with comments."""

from curranthill.settings.reader import check, parse_json5, read_settings
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
from curranthill.settings.secrets import KEY_VARIABLE, shared_key

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
    'check',
    'parse_json5',
    'read_settings',
    'shared_key',
)
