"""What the daemons' command lines have in common."""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Final, NoReturn, TypeVar

import typer
import uvloop
from loguru import logger
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import start_http_server

from curranthill import __version__
from curranthill.application import Application
from curranthill.errors import CurranthillError
from curranthill.settings import read_settings
from curranthill.telemetry import LogStyle, configure_logs, provide

#: Exit codes of every command.
DONE: Final = 0
FAILED: Final = 1
WRONG_USE: Final = 2

EPILOG: Final = 'Exit codes: 0 done, 1 failed, 2 wrong use.'

SettingsPath = Annotated[
    Path,
    typer.Option('--settings', help='The settings file, JSON with comments.'),
]
CheckOnly = Annotated[
    bool,
    typer.Option('--check-settings', help='Check the settings and end.'),
]

Settings = TypeVar('Settings')


def show_version(asked: bool) -> None:
    """Print the version and end, if it was asked for."""
    if asked:
        typer.echo(f'curranthill {__version__}')
        raise typer.Exit(DONE)


Version = Annotated[
    bool,
    typer.Option(
        '--version',
        callback=show_version,
        is_eager=True,
        help='Print the version and end.',
    ),
]


def settings_or_exit(record: type[Settings], path: Path) -> Settings:
    """Return checked settings; print every fault and end if there are any."""
    try:
        return read_settings(record, path)
    except CurranthillError as error:
        fail(error.message, WRONG_USE)


def fail(message: str, code: int = FAILED) -> NoReturn:
    """Print a message to standard error and end."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def run_daemon(
    make: Callable[[], Application],
    *,
    name: str,
    style: LogStyle,
    level: str,
    metrics_port: int,
    address: str,
) -> None:
    """Run a daemon until SIGTERM.

    :param metrics_port: where metrics can be pulled; 0 means nowhere.
    """
    configure_logs(style=style, level=level, process=name)
    if metrics_port:
        provide(PrometheusMetricReader())
        start_http_server(metrics_port, addr=address)
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
    'settings_or_exit',
)
