"""The command line of ``curranthill``, for operators."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from curranthill.commands import configuration, inspect
from curranthill.commands.daemons import EPILOG, EXIT_FAILURE, Version
from curranthill.commands.demo import DemoReport, run_demo
from curranthill.commands.losses import losses
from curranthill.commands.tables import print_table
from curranthill.commands.trace import trace
from curranthill.load.measures import GANG_SIZES
from curranthill.telemetry import configure_logs

app = typer.Typer(
    help='Operate curranthill: configuration, status, jobs, workers.',
    epilog=EPILOG,
    no_args_is_help=True,
    rich_markup_mode=None,
)
app.add_typer(configuration.app, name='config')
inspect.register(app)
app.command(epilog=EPILOG)(trace)
app.command(epilog=EPILOG)(losses)

AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]


@app.callback()
def common(*, version: Version = False) -> None:
    """Operate curranthill: configuration, status, jobs, workers."""


@app.command(epilog=EPILOG)
def demo(
    folders: Annotated[
        list[Path] | None,
        typer.Argument(help='Configuration folders; default: both examples.'),
    ] = None,
    *,
    as_json: AsJson = False,
) -> None:
    """Run example deployments in one process, with simulated workers."""
    configure_logs(style='readable', level='ERROR', process='demo')
    selected = folders or [
        Path('examples') / name / 'configuration'
        for name in ('tenggara', 'kalvola')
    ]
    reports = asyncio.run(run_demo(selected))
    failed = [_print_report(report, as_json=as_json) for report in reports]
    if any(failed):
        raise typer.Exit(EXIT_FAILURE)


def main() -> None:
    """Run the command line from the process arguments."""
    app()


def _print_report(report: DemoReport, *, as_json: bool) -> int:
    """Print the report of a deployment; return how many requests failed."""
    if not as_json:
        typer.echo(f'\n{report.deployment}')
    print_table(
        (
            'workspace',
            'kind',
            'accelerators',
            'where',
            'state',
            'completion_s',
        ),
        report.rows,
        as_json=as_json,
    )
    if not as_json:
        shares = ', '.join(
            f'{size}: {report.fragmentation[size]:.2f}' for size in GANG_SIZES
        )
        typer.echo(f'Fragmentation during the run, by gang size: {shares}')
    return sum(row.state not in {'finished', 'answered'} for row in report.rows)


__all__ = ('app', 'main')
