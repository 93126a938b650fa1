"""The command line of ``curranthill-scheduler``."""

import typer

from curranthill.commands.daemons import (
    EPILOG,
    CheckOnly,
    SettingsPath,
    Version,
    run_daemon,
    settings_or_exit,
)
from curranthill.scheduler.daemon import SchedulerDaemon
from curranthill.settings import SchedulerSettings

app = typer.Typer(add_completion=True, rich_markup_mode=None)


@app.command(epilog=EPILOG)
def run(
    settings: SettingsPath,
    *,
    check_settings: CheckOnly = False,
    version: Version = False,
) -> None:
    """Run a scheduler until SIGTERM, then stop gracefully."""
    record = settings_or_exit(SchedulerSettings, settings)
    if check_settings:
        typer.echo('The settings are in order.')
        return
    run_daemon(
        lambda: SchedulerDaemon(settings=record).app,
        name=f'{record.host.name}/scheduler',
        style=record.logs.style,
        level=record.logs.level,
        metrics_port=record.metrics_port,
        address=record.host.address,
    )


def main() -> None:
    """Run the command line."""
    app()


__all__ = ('app', 'main')
