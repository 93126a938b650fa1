"""The command line of ``curranthill-host``."""

from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from curranthill.commands.options import EPILOG, WRONG_USE, Version, fail
from curranthill.errors import SettingsError
from curranthill.placement import mechanisms, validate_mechanisms
from curranthill.platform import PATH_VARIABLE, read_platform_settings
from curranthill.platform.program import run_host, settings_path

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
    read = partial(read_platform_settings, settings or settings_path())
    try:
        read()
        switched_off = validate_mechanisms(without or ())
    except SettingsError as error:
        fail(error.message, WRONG_USE)
    if check_settings:
        return
    run_host(read, disabled=switched_off)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()

__all__ = ('app', 'main')
