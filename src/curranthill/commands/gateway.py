"""The command line of ``curranthill-gateway``."""

import typer

from curranthill.commands.daemons import (
    EPILOG,
    CheckOnly,
    SettingsPath,
    Version,
    run_from_file,
)
from curranthill.gateway.daemon import GatewayDaemon
from curranthill.settings import GatewaySettings

app = typer.Typer(add_completion=True, rich_markup_mode=None)


@app.command(epilog=EPILOG)
def run(
    settings: SettingsPath,
    *,
    check_settings: CheckOnly = False,
    version: Version = False,
) -> None:
    """Run a gateway until SIGTERM, then stop gracefully."""
    run_from_file(
        settings,
        GatewaySettings,
        lambda validated: GatewayDaemon(settings=validated).app,
        role='gateway',
        check_only=check_settings,
    )


def main() -> None:
    """Run the command line from the process arguments."""
    app()


__all__ = ('app', 'main')
