"""Shared parts of the daemons' command lines."""

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
    EPILOG,
    EXIT_FAILURE,
    EXIT_SUCCESS,
    EXIT_USAGE_ERROR,
    CheckOnly,
    Version,
    fail,
)
from curranthill.errors import CurranthillError
from curranthill.settings import HostSettings, LogSettings, read_settings
from curranthill.telemetry import configure_logs, install_metric_reader

SettingsPath = Annotated[
    Path,
    typer.Option('--settings', help='The settings file, in JSON5.'),
]
Settings = TypeVar('Settings')


def read_settings_or_exit(
    settings_type: type[Settings], path: Path
) -> Settings:
    """Return validated settings, or print all validation errors and exit."""
    try:
        return read_settings(settings_type, path)
    except CurranthillError as error:
        fail(error.message, EXIT_USAGE_ERROR)


class DaemonSettings(Protocol):
    """The settings that all daemons have."""

    @property
    def host(self) -> HostSettings:
        """Return the host on which the daemon runs."""

    @property
    def logs(self) -> LogSettings:
        """Return the style and the level of its log."""

    @property
    def metrics_port(self) -> int:
        """Return the port that serves its metrics; 0 disables it."""


DaemonRecord = TypeVar('DaemonRecord', bound=DaemonSettings)


def run_from_file(
    path: Path,
    settings_type: type[DaemonRecord],
    create_application: Callable[[DaemonRecord], Application],
    *,
    role: str,
    check_only: bool,
) -> None:
    """Run a daemon with a settings file, or only validate the file.

    :param create_application: creates the daemon from its settings.
    :param role: the role of the process, for its name in the log.
    """
    settings = read_settings_or_exit(settings_type, path)
    if check_only:
        typer.echo('The settings are valid.')
        return
    if settings.metrics_port:
        install_metric_reader(PrometheusMetricReader())
        start_http_server(settings.metrics_port, addr=settings.host.address)
    run_daemon(
        lambda: create_application(settings),
        name=f'{settings.host.name}/{role}',
        logs=settings.logs,
    )


def run_daemon(
    create_application: Callable[[], Application],
    *,
    name: str,
    logs: LogSettings,
) -> None:
    """Run a daemon until SIGTERM.

    :param create_application: is called in the event loop.
    :param name: the name of the process in the log.
    """
    configure_logs(style=logs.style, level=logs.level, process=name)
    try:
        uvloop.run(_run_application(create_application))
    except CurranthillError as error:
        logger.bind(step=error.step, peer=error.peer).error(error.message)
        raise typer.Exit(EXIT_FAILURE) from error


async def _run_application(
    create_application: Callable[[], Application],
) -> None:
    await create_application().run()


__all__ = (
    'EPILOG',
    'EXIT_FAILURE',
    'EXIT_SUCCESS',
    'EXIT_USAGE_ERROR',
    'CheckOnly',
    'SettingsPath',
    'Version',
    'fail',
    'read_settings_or_exit',
    'run_daemon',
    'run_from_file',
)
