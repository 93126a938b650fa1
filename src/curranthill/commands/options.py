"""Options, exit codes and error output that all command lines share."""

from typing import Annotated, Final, NoReturn

import typer

from curranthill import __version__

#: Exit codes of every command.
EXIT_SUCCESS: Final = 0
EXIT_FAILURE: Final = 1
EXIT_USAGE_ERROR: Final = 2

EPILOG: Final = 'Exit codes: 0 success, 1 failure, 2 usage error.'

CheckOnly = Annotated[
    bool,
    typer.Option('--check-settings', help='Validate the settings and exit.'),
]


def print_version(requested: bool) -> None:
    """Print the version and exit, if the option is set."""
    if requested:
        typer.echo(f'curranthill {__version__}')
        raise typer.Exit(EXIT_SUCCESS)


Version = Annotated[
    bool,
    typer.Option(
        '--version',
        callback=print_version,
        is_eager=True,
        help='Print the version and exit.',
    ),
]


def fail(message: str, code: int = EXIT_FAILURE) -> NoReturn:
    """Print a message to standard error and exit.

    :param code: the exit code.
    """
    typer.echo(message, err=True)
    raise typer.Exit(code)


__all__ = (
    'EPILOG',
    'EXIT_FAILURE',
    'EXIT_SUCCESS',
    'EXIT_USAGE_ERROR',
    'CheckOnly',
    'Version',
    'fail',
)
