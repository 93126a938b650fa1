"""Options, exit codes and refusals that all command lines share."""

from typing import Annotated, Final, NoReturn

import typer

from curranthill import __version__

#: Exit codes of every command.
DONE: Final = 0
FAILED: Final = 1
WRONG_USE: Final = 2

EPILOG: Final = 'Exit codes: 0 done, 1 failed, 2 wrong use.'

CheckOnly = Annotated[
    bool,
    typer.Option('--check-settings', help='Check the settings and end.'),
]


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


def fail(message: str, code: int = FAILED) -> NoReturn:
    """Print a message to standard error and end."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


__all__ = (
    'DONE',
    'EPILOG',
    'FAILED',
    'WRONG_USE',
    'CheckOnly',
    'Version',
    'fail',
)
