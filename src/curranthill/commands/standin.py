"""The command line of ``curranthill-standin``."""

from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from curranthill.application import Application
from curranthill.clock import SystemClock
from curranthill.commands.daemons import EPILOG, Version, run_daemon
from curranthill.configuration import merge, read_folder, validate_document
from curranthill.configuration.records import ConfigurationDocument
from curranthill.settings import LogSettings
from curranthill.standin import SiteEntry, StandinServer

app = typer.Typer(add_completion=True, rich_markup_mode=None)

#: Connections of a worker of which no service says otherwise.
_CONNECTIONS = 64


class StandinOptions(NamedTuple):
    """What the stand-in stands in for and where it listens."""

    sites: tuple[SiteEntry, ...]
    host: str
    port: int
    writes_per_s: float
    reads_per_s: float


def sites_of(document: ConfigurationDocument) -> tuple[SiteEntry, ...]:
    """Return the workers that a configuration's data centres have."""
    connections = min(
        (service.connections for service in document.services.values()),
        default=_CONNECTIONS,
    )
    sites: list[SiteEntry] = []
    for name, data_centre in document.data_centres.items():
        for rack_name, rack in data_centre.racks.items():
            sites.extend(
                SiteEntry(
                    name=f'{rack_name}-w{number:02d}',
                    data_centre=name,
                    rack=rack_name,
                    slots=rack.slots,
                    connections=connections,
                )
                for number in range(1, rack.workers + 1)
            )
    return tuple(sites)


@app.command(epilog=EPILOG)
def run(
    folder: Annotated[
        Path,
        typer.Argument(
            help='The configuration folder whose site to stand for.'
        ),
    ],
    *,
    host: str = '127.0.0.1',
    port: int = 8700,
    writes_per_s: float = 400,
    reads_per_s: float = 2000,
    version: Version = False,
) -> None:
    """Stand in for the platform and the workers of a configuration folder.

    For tests, demos and load only: nothing is kept.
    """
    document = validate_document(merge(read_folder(folder).contents))
    options = StandinOptions(
        sites=sites_of(document),
        host=host,
        port=port,
        writes_per_s=writes_per_s,
        reads_per_s=reads_per_s,
    )
    run_daemon(
        lambda: _application(options),
        name='standin',
        logs=LogSettings(style='readable'),
    )


def main() -> None:
    """Run the command line."""
    app()


def _application(options: StandinOptions) -> Application:
    application = Application(name='standin')
    server = StandinServer(
        clock=SystemClock(),
        sites=options.sites,
        writes_per_s=options.writes_per_s,
        reads_per_s=options.reads_per_s,
    )

    async def start() -> None:  # noqa: WPS430
        await server.start(options.host, options.port)

    application.on_start(start)
    application.on_stop(server.stop)
    return application


__all__ = ('app', 'main', 'sites_of')
