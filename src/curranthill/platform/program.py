"""The host's program without a command line, as every machine runs it.

Its libraries stay loaded for as long as the program runs, so this loads none
that only the command line needs.
"""

import asyncio
import os
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Final

import uvloop

from curranthill.errors import SettingsError
from curranthill.placement import NONE_DISABLED
from curranthill.platform.host import HostDaemon
from curranthill.platform.settings import (
    PATH_VARIABLE,
    PlatformSettings,
    read_platform_settings,
)
from curranthill.telemetry.events import events

#: The exit code of wrong use, that of the command lines.
_WRONG_USE: Final = 2


def run_host(
    read_settings: Callable[[], PlatformSettings],
    *,
    disabled: frozenset[str] = NONE_DISABLED,
) -> None:
    """Run an entry host until SIGTERM, then stop gracefully.

    :param disabled: mechanisms of placement that are switched off.
    :raises SettingsError: if the settings cannot be used.
    """
    record = read_settings()
    events.open(host=record.host, data_centre=record.data_centre)
    daemon = HostDaemon(read_settings=read_settings, disabled=disabled)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(daemon.app.run())


def settings_path() -> Path:
    """Return where the platform puts the settings."""
    return Path(os.environ.get(PATH_VARIABLE, ''))


def main() -> None:
    """Run a host with the platform's settings."""
    try:
        run_host(partial(read_platform_settings, settings_path()))
    except SettingsError as error:
        sys.stderr.write(f'{error.message}\n')
        sys.exit(_WRONG_USE)


__all__ = ('main', 'run_host', 'settings_path')
