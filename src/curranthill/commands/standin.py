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
from curranthill.standin import StandinServer, WorkerSpec

app = typer.Typer(add_completion=True, rich_markup_mode=None)

#: The connection limit of workers if no service sets one.
_DEFAULT_CONNECTIONS = 64


class StandinOptions(NamedTuple):
    """The workers, the address and the rate limits of a stand-in."""

    worker_specs: tuple[WorkerSpec, ...]
    host: str
    port: int
    writes_per_s: float
    reads_per_s: float


def worker_specs(document: ConfigurationDocument) -> tuple[WorkerSpec, ...]:
    """Return the workers of all data centres of a configuration.

    Each allows as many connections as the service with the fewest.
    """
    connections = min(
        (service.connections for service in document.services.values()),
        default=_DEFAULT_CONNECTIONS,
    )
    specs: list[WorkerSpec] = []
    for name, data_centre in document.data_centres.items():
        for rack_name, rack in data_centre.racks.items():
            specs.extend(
                WorkerSpec(
                    name=f'{rack_name}-w{number:02d}',
                    data_centre=name,
                    rack=rack_name,
                    slots=rack.slots,
                    connections=connections,
                )
                for number in range(1, rack.workers + 1)
            )
    return tuple(specs)


@app.command(epilog=EPILOG)
def run(
    folder: Annotated[
        Path,
        typer.Argument(
            help='The configuration folder whose workers to simulate.'
        ),
    ],
    *,
    host: str = '127.0.0.1',
    port: int = 8700,
    writes_per_s: float = 400,
    reads_per_s: float = 2000,
    version: Version = False,
) -> None:
    """Simulate the platform and the workers of a configuration folder.

    For tests, demos and load tests only: all state is lost when it stops.
    """
    document = validate_document(merge(read_folder(folder).contents))
    options = StandinOptions(
        worker_specs=worker_specs(document),
        host=host,
        port=port,
        writes_per_s=writes_per_s,
        reads_per_s=reads_per_s,
    )
    run_daemon(
        lambda: _create_application(options),
        name='standin',
        logs=LogSettings(style='readable'),
    )


def main() -> None:
    """Run the command line from the process arguments."""
    app()


def _create_application(options: StandinOptions) -> Application:
    application = Application(name='standin')
    server = StandinServer(
        clock=SystemClock(),
        worker_specs=options.worker_specs,
        writes_per_s=options.writes_per_s,
        reads_per_s=options.reads_per_s,
    )

    async def start() -> None:  # noqa: WPS430
        await server.start(options.host, options.port)

    application.on_start(start)
    application.on_stop(server.stop)
    return application


__all__ = ('app', 'main', 'worker_specs')
