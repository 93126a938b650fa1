"""The command line of ``curranthill-host``."""

from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from curranthill.commands.options import EPILOG, EXIT_USAGE_ERROR, Version, fail
from curranthill.errors import SettingsError
from curranthill.placement import mechanisms, validate_mechanisms
from curranthill.platform import PATH_VARIABLE, read_platform_settings
from curranthill.platform.program import run_host, settings_path

app = typer.Typer(add_completion=True, rich_markup_mode=None)


@app.command(epilog=EPILOG)
def run(
    settings: Annotated[
        Path | None,
        typer.Option(
            help=f"The platform's settings file; default: ${PATH_VARIABLE}.",
        ),
    ] = None,
    *,
    check_settings: Annotated[
        bool,
        typer.Option(
            '--check-settings', help='Validate the settings and exit.'
        ),
    ] = False,
    without: Annotated[
        list[str] | None,
        typer.Option(
            help=f'Disable a mechanism: {", ".join(mechanisms)}.',
        ),
    ] = None,
    version: Version = False,
) -> None:
    """Run an entry host until SIGTERM, then stop gracefully."""
    read_settings = partial(read_platform_settings, settings or settings_path())
    try:
        read_settings()
        disabled = validate_mechanisms(without or ())
    except SettingsError as error:
        fail(error.message, EXIT_USAGE_ERROR)
    if check_settings:
        return
    run_host(read_settings, disabled=disabled)


def main() -> None:
    """Run the command line from the process arguments."""
    app()


if __name__ == '__main__':
    main()

__all__ = ('app', 'main')
