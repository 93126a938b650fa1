"""Reads a host's settings from the file that the platform provides."""

from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from curranthill.errors import SettingsError
from curranthill.ingress import MachineLimits
from curranthill.storage.limits import MAX_ROW_BYTES
from curranthill.tasks import Timing

#: The environment variable that names the settings file.
PATH_VARIABLE: Final = 'CURRANTHILL_BOOT'


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return an address written as ``IP:PORT``."""
        ip, port = text.rsplit(':', 1)
        return cls(ip, int(port))


class PlatformSettings(NamedTuple):
    """The settings of one host.

    :param callers: where the host serves callers.
    :param readiness: where the host serves the load balancer's health checks.
    :param metrics: where the host serves its metrics.
    :param relay: where the host relays other hosts' requests to the store.
    :param store_address: address of the platform's metadata store.
    :param advisor_address: address of the placement advisor, or empty.
    :param row_bytes: the most bytes of a row of that store.
    :param machine: what the machine grants the process.
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
    row_bytes: int = MAX_ROW_BYTES
    machine: MachineLimits = MachineLimits()


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
    addresses = fields['bind_addrs']
    return PlatformSettings(
        host=fields['node_name'],
        data_centre=fields['zone'],
        callers=Address.parse(addresses['front']),
        readiness=Address.parse(addresses['ready']),
        metrics=Address(fields['ip'], fields['port_range'][0]),
        relay=Address(fields['ip'], fields['port_range'][1]),
        store_address=_without_tls(fields['platform']['address']),
        advisor_address=_without_tls(fields.get('placement_advisor') or ''),
        timing=_timing(fields.get('bounds', {})),
        row_bytes=fields['platform'].get('row_bytes', MAX_ROW_BYTES),
        machine=_machine(fields.get('limits') or {}),
    )


def _machine(limits: dict[str, Any]) -> MachineLimits:
    defaults = MachineLimits()
    return MachineLimits(
        memory_mb=limits.get('memory_mb') or defaults.memory_mb,
        max_fds=limits.get('max_fds') or defaults.max_fds,
    )


def _without_tls(address: str) -> str:
    """Return the address of a service that is called without TLS.

    :raises ValueError: if the address is a URL, as one for TLS would be. Hosts
        load no certificates.
    """
    if '://' in address:
        raise ValueError(f'{address}: hosts speak plain HTTP to an IP:PORT')
    return address


def _timing(bounds: dict[str, Any]) -> Timing:
    defaults = Timing()
    return Timing(
        lease_s=bounds.get('max_hold_ms', defaults.lease_s * 1000) / 1000,
        stop_s=bounds.get('stop_ms', defaults.stop_s * 1000) / 1000,
        gang_timeout_s=bounds.get(
            'gang_timeout_ms',
            defaults.gang_timeout_s * 1000,
        )
        / 1000,
        status_s=bounds.get('status_s', defaults.status_s),
        far_factor=bounds.get('far_x', defaults.far_factor),
        restore_s=bounds.get('restore_ms', defaults.restore_s * 1000) / 1000,
        grace_s=bounds.get('grace_s', defaults.grace_s),
        # These bounds apply only if the platform sets them.
        evacuate_s=bounds.get('evacuate_ms', 0.0) / 1000,
        in_force_s=bounds.get('config_apply_ms', 0.0) / 1000,
    )


__all__ = (
    'PATH_VARIABLE',
    'Address',
    'PlatformSettings',
    'read_platform_settings',
)
