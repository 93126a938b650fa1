"""The command line of ``curranthill-gateway``."""

import typer

from curranthill.commands.daemons import (
    EPILOG,
    CheckOnly,
    SettingsPath,
    Version,
    run_daemon,
    settings_or_exit,
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
    record = settings_or_exit(GatewaySettings, settings)
    if check_settings:
        typer.echo('The settings are in order.')
        return
    run_daemon(
        lambda: GatewayDaemon(settings=record).app,
        name=f'{record.host.name}/gateway',
        style=record.logs.style,
        level=record.logs.level,
        metrics_port=record.metrics_port,
        address=record.host.address,
    )


def main() -> None:
    """Run the command line."""
    app()


__all__ = ('app', 'main')
