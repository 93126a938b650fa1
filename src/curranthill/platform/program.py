"""The host program without a command-line parser, as deployed.

Imported libraries stay in memory for the lifetime of the process, so this
module imports none that only the command line needs.
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

#: The exit code of a usage error, as in the command-line programs.
_USAGE_ERROR: Final = 2


def run_host(
    read_settings: Callable[[], PlatformSettings],
    *,
    disabled: frozenset[str] = NONE_DISABLED,
) -> None:
    """Run an entry host until SIGTERM, then shut down gracefully.

    :param disabled: placement mechanisms that are switched off.
    :raises SettingsError: if the settings cannot be used.
    """
    settings = read_settings()
    events.open(host=settings.host, data_centre=settings.data_centre)
    daemon = HostDaemon(read_settings=read_settings, disabled=disabled)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(daemon.app.run())


def settings_path() -> Path:
    """Return the settings file that the environment variable names."""
    return Path(os.environ.get(PATH_VARIABLE, ''))


def main() -> None:
    """Run a host with the settings file that the platform names."""
    try:
        run_host(partial(read_platform_settings, settings_path()))
    except SettingsError as error:
        sys.stderr.write(f'{error.message}\n')
        sys.exit(_USAGE_ERROR)


__all__ = ('main', 'run_host', 'settings_path')
