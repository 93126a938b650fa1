"""The command line of ``curranthill-host``."""

import asyncio
import os
from functools import partial
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from curranthill.commands.options import EPILOG, WRONG_USE, Version, fail
from curranthill.errors import SettingsError
from curranthill.placement import checked, mechanisms
from curranthill.platform import (
    PATH_VARIABLE,
    HostDaemon,
    read_platform_settings,
)
from curranthill.telemetry.events import events

app = typer.Typer(add_completion=True, rich_markup_mode=None)


@app.command(epilog=EPILOG)
def run(
    settings: Annotated[
        Path | None,
        typer.Option(help=f"The platform's settings; else {PATH_VARIABLE}."),
    ] = None,
    *,
    check_settings: Annotated[
        bool,
        typer.Option('--check-settings', help='Check the settings and end.'),
    ] = False,
    without: Annotated[
        list[str] | None,
        typer.Option(
            help=f'Switch a mechanism off: {", ".join(mechanisms)}.',
        ),
    ] = None,
    version: Version = False,
) -> None:
    """Run an entry host until SIGTERM, then stop gracefully."""
    path = settings or Path(os.environ.get(PATH_VARIABLE, ''))
    read = partial(read_platform_settings, path)
    try:
        record = read()
        switched_off = checked(without or ())
    except SettingsError as error:
        fail(error.message, WRONG_USE)
    if check_settings:
        return
    events.open(host=record.host, data_centre=record.data_centre)
    daemon = HostDaemon(read_settings=read, without=switched_off)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(daemon.app.run())


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()

__all__ = ('app', 'main')
