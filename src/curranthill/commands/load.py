"""The command line of ``curranthill-load``."""

import asyncio
import json
from pathlib import Path
from typing import Annotated

import typer

from curranthill.commands.daemons import (
    EPILOG,
    EXIT_USAGE_ERROR,
    Version,
    fail,
    read_settings_or_exit,
)
from curranthill.load.report import plot, summarize, write_report
from curranthill.load.runner import LoadRunner
from curranthill.load.workload import Workload

app = typer.Typer(add_completion=True, rich_markup_mode=None)


@app.command(epilog=EPILOG)
def run(  # noqa: WPS211
    workload: Annotated[
        Path,
        typer.Argument(help='The workload file, in JSON5.'),
    ],
    *,
    gateway: Annotated[
        list[str],
        typer.Option(help='Base URL of a gateway; may be repeated.'),
    ],
    standin: Annotated[str, typer.Option(help='Base URL of the stand-in.')],
    gangs: Annotated[
        str,
        typer.Option(help='Kinds that count as gangs, separated by commas.'),
    ] = '',
    seed: Annotated[int, typer.Option(help='Seed of the random arrivals.')] = 1,
    token_prefix: Annotated[
        str,
        typer.Option(help='Prefix of each token; its workspace follows.'),
    ] = 'demo-',
    out: Annotated[Path, typer.Option(help='Folder of the report.')] = Path(
        'load-report',
    ),
    draw: Annotated[bool, typer.Option(help='Also draw a plot.')] = False,
    version: Version = False,
) -> None:
    """Run a workload against gateways; report completion and fragmentation."""
    definition = read_settings_or_exit(Workload, workload)
    if not definition.streams:
        fail('The workload has no streams.', EXIT_USAGE_ERROR)
    runner = LoadRunner(
        gateways=gateway,
        standin=standin,
        tokens={
            stream.workspace: f'{token_prefix}{stream.workspace}'
            for stream in definition.streams
        },
    )
    result = asyncio.run(runner.run(definition, seed))
    measures = summarize(result, frozenset(gangs.split(',')))
    write_report(out, f'{workload.stem}, seed {seed}', measures)
    if draw:
        plot(out, result)
    typer.echo(json.dumps(measures['states']))


def main() -> None:
    """Run the command line from the process arguments."""
    app()


__all__ = ('app', 'main')
