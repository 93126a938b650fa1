"""The command line of ``curranthill-scheduler``."""

import typer

from curranthill.commands.daemons import (
    EPILOG,
    CheckOnly,
    SettingsPath,
    Version,
    run_from_file,
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
    run_from_file(
        settings,
        SchedulerSettings,
        lambda validated: SchedulerDaemon(settings=validated).app,
        role='scheduler',
        check_only=check_settings,
    )


def main() -> None:
    """Run the command line from the process arguments."""
    app()


__all__ = ('app', 'main')
