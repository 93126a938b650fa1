"""The platform's settings file, decoded."""

from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from curranthill.errors import SettingsError
from curranthill.tasks import Timing

#: The environment variable that names the settings file.
PATH_VARIABLE: Final = 'CURRANTHILL_BOOT'


class Address(NamedTuple):
    """An IP number and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return an address written as ``IP:PORT``."""
        ip, port = text.rsplit(':', 1)
        return cls(ip, int(port))


class PlatformSettings(NamedTuple):
    """One host's settings.

    :param callers: where callers' requests arrive.
    :param readiness: where the balancer asks whether this host is ready.
    :param metrics: where this process shows its metrics.
    :param relay: where other hosts' calls are passed on to the store.
    :param store_address: the platform's metadata store.
    :param advisor_address: who knows which workers may run a step; or empty.
    """

    host: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics: Address
    relay: Address
    store_address: str
    advisor_address: str
    timing: Timing


def read_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    :raises SettingsError: if the file cannot be read or lacks a field.
    """
    try:
        fields = msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
        return _settings(fields)
    except (OSError, KeyError, ValueError) as error:
        raise SettingsError(
            f'The settings file {path} cannot be used: {error!r}.',
            step='settings',
        ) from error


def _settings(fields: dict[str, Any]) -> PlatformSettings:
    listen = fields['bind_addrs']
    return PlatformSettings(
        host=fields['node_name'],
        data_centre=fields['zone'],
        callers=Address.parse(listen['front']),
        readiness=Address.parse(listen['ready']),
        metrics=Address(fields['ip'], fields['port_range'][0]),
        relay=Address(fields['ip'], fields['port_range'][1]),
        store_address=_plain(fields['platform']['address']),
        advisor_address=_plain(fields.get('placement_advisor') or ''),
        timing=_timing(fields.get('bounds', {})),
    )


def _plain(address: str) -> str:
    """Return the address of a service that is called without TLS.

    :raises ValueError: if TLS is asked for: hosts load no certificates.
    """
    if '://' in address:
        raise ValueError(f'{address}: hosts speak plain HTTP to an IP:PORT')
    return address


def _timing(bounds: dict[str, Any]) -> Timing:
    plain = Timing()
    return Timing(
        lease_s=bounds.get('max_hold_ms', plain.lease_s * 1000) / 1000,
        stop_s=bounds.get('stop_ms', plain.stop_s * 1000) / 1000,
        gang_timeout_s=bounds.get(
            'gang_timeout_ms',
            plain.gang_timeout_s * 1000,
        )
        / 1000,
        status_s=bounds.get('status_s', plain.status_s),
        far_factor=bounds.get('far_x', plain.far_factor),
        restore_s=bounds.get('restore_ms', plain.restore_s * 1000) / 1000,
        grace_s=bounds.get('grace_s', plain.grace_s),
        # Only bounds that the platform names are in force.
        evacuate_s=bounds.get('evacuate_ms', 0.0) / 1000,
        in_force_s=bounds.get('config_apply_ms', 0.0) / 1000,
    )


__all__ = (
    'PATH_VARIABLE',
    'Address',
    'PlatformSettings',
    'read_platform_settings',
)
