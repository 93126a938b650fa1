"""The command line of ``curranthill-load``."""

import asyncio
import json
from pathlib import Path
from typing import Annotated

import typer

from curranthill.commands.daemons import (
    EPILOG,
    WRONG_USE,
    Version,
    fail,
    settings_or_exit,
)
from curranthill.load.report import plot, summary, write_report
from curranthill.load.runner import LoadRunner
from curranthill.load.workload import Workload

app = typer.Typer(add_completion=True, rich_markup_mode=None)


@app.command(epilog=EPILOG)
def run(  # noqa: WPS211
    workload: Annotated[
        Path,
        typer.Argument(help='The workload, JSON with comments.'),
    ],
    *,
    gateway: Annotated[
        list[str],
        typer.Option(help='Base URL of a gateway; give it once for each.'),
    ],
    standin: Annotated[str, typer.Option(help='Base URL of the stand-in.')],
    gangs: Annotated[
        str,
        typer.Option(help='Kinds that count as gangs, by commas.'),
    ] = '',
    seed: Annotated[int, typer.Option(help='Which arrivals to draw.')] = 1,
    token_prefix: Annotated[
        str,
        typer.Option(help='A token is this and the workspace.'),
    ] = 'demo-',
    out: Annotated[Path, typer.Option(help='Folder of the report.')] = Path(
        'load-report',
    ),
    draw: Annotated[bool, typer.Option(help='Draw a plot, too.')] = False,
    version: Version = False,
) -> None:
    """Drive a workload against running gateways and report both measures."""
    record = settings_or_exit(Workload, workload)
    if not record.streams:
        fail('The workload has no streams.', WRONG_USE)
    runner = LoadRunner(
        gateways=gateway,
        standin=standin,
        tokens={
            stream.workspace: f'{token_prefix}{stream.workspace}'
            for stream in record.streams
        },
    )
    result = asyncio.run(runner.run(record, seed))
    measures = summary(result, frozenset(gangs.split(',')))
    write_report(out, f'{workload.stem}, seed {seed}', measures)
    if draw:
        plot(out, result)
    typer.echo(json.dumps(measures['states']))


def main() -> None:
    """Run the command line."""
    app()


__all__ = ('app', 'main')
