"""What the daemons' command lines have in common."""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Protocol, TypeVar

import typer
import uvloop
from loguru import logger
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import start_http_server

from curranthill.application import Application
from curranthill.commands.options import (
    DONE,
    EPILOG,
    FAILED,
    WRONG_USE,
    CheckOnly,
    Version,
    fail,
)
from curranthill.errors import CurranthillError
from curranthill.settings import HostSettings, LogSettings, read_settings
from curranthill.telemetry import configure_logs, install_metric_reader

SettingsPath = Annotated[
    Path,
    typer.Option('--settings', help='The settings file, JSON with comments.'),
]
Settings = TypeVar('Settings')


def settings_or_exit(record: type[Settings], path: Path) -> Settings:
    """Return checked settings; print every fault and end if there are any."""
    try:
        return read_settings(record, path)
    except CurranthillError as error:
        fail(error.message, WRONG_USE)


class DaemonSettings(Protocol):
    """What every daemon's settings have in common."""

    @property
    def host(self) -> HostSettings:
        """Return where the daemon runs."""

    @property
    def logs(self) -> LogSettings:
        """Return how its log lines look."""

    @property
    def metrics_port(self) -> int:
        """Return where its metrics can be pulled; 0 means nowhere."""


Daemon = TypeVar('Daemon', bound=DaemonSettings)


def run_from_file(
    path: Path,
    record_type: type[Daemon],
    make: Callable[[Daemon], Application],
    *,
    role: str,
    check_only: bool,
) -> None:
    """Run a daemon by its settings file, or only check the file."""
    settings = settings_or_exit(record_type, path)
    if check_only:
        typer.echo('The settings are in order.')
        return
    if settings.metrics_port:
        install_metric_reader(PrometheusMetricReader())
        start_http_server(settings.metrics_port, addr=settings.host.address)
    run_daemon(
        lambda: make(settings),
        name=f'{settings.host.name}/{role}',
        logs=settings.logs,
    )


def run_daemon(
    make: Callable[[], Application],
    *,
    name: str,
    logs: LogSettings,
) -> None:
    """Run a daemon until SIGTERM."""
    configure_logs(style=logs.style, level=logs.level, process=name)
    try:
        uvloop.run(_run(make))
    except CurranthillError as error:
        logger.bind(step=error.step, peer=error.peer).error(error.message)
        raise typer.Exit(FAILED) from error


async def _run(make: Callable[[], Application]) -> None:
    await make().run()


__all__ = (
    'DONE',
    'EPILOG',
    'FAILED',
    'WRONG_USE',
    'CheckOnly',
    'SettingsPath',
    'Version',
    'fail',
    'run_daemon',
    'run_from_file',
    'settings_or_exit',
)
