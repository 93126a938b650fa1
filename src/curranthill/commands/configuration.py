"""``curranthill config``: validates, compares and applies folders."""

import asyncio
import getpass
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer

from curranthill.clock import SystemClock
from curranthill.commands.daemons import (
    EPILOG,
    EXIT_FAILURE,
    fail,
    read_settings_or_exit,
)
from curranthill.commands.tables import print_table
from curranthill.configuration import (
    Json,
    RevisionStore,
    canonical_json,
    merge,
    read_folder,
    sha256_hex,
    validate_document,
)
from curranthill.errors import CurranthillError
from curranthill.settings import OperatorSettings
from curranthill.storage import platforms

app = typer.Typer(
    help='Validate, merge, compare and apply configuration folders.',
    epilog=EPILOG,
    no_args_is_help=True,
    rich_markup_mode=None,
)

FolderPath = Annotated[Path, typer.Argument(help='The configuration folder.')]
OperatorPath = Annotated[
    Path,
    typer.Option('--settings', help="The operator's settings file."),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]

Result = TypeVar('Result')


@app.command(epilog=EPILOG)
def check(folder: FolderPath) -> None:
    """Validate a folder: each file, the merge and all checks across files."""
    merged = _merge_or_exit(folder)
    try:
        validate_document(merged)
    except CurranthillError as error:
        fail(error.message)
    typer.echo('The folder is valid.')


@app.command('merge', epilog=EPILOG)
def merge_folder(
    folder: FolderPath,
    *,
    digest: Annotated[
        bool,
        typer.Option('--digest', help="Print the document's SHA-256 instead."),
    ] = False,
) -> None:
    """Print the merged document as canonical JSON."""
    content = canonical_json(_merge_or_exit(folder))
    typer.echo(sha256_hex(content) if digest else content.decode())


@app.command(epilog=EPILOG)
def diff(
    folder: FolderPath,
    settings: OperatorPath,
    *,
    as_json: AsJson = False,
) -> None:
    """Show how a folder differs from the revision in force."""
    merged = _merge_or_exit(folder)

    async def read_in_force(store: RevisionStore) -> Json:  # noqa: WPS430
        manifest = await store.read_manifest()
        return await store.read_document(manifest) if manifest.revision else {}

    before = _run_with_store(settings, read_in_force)
    rows = _differences(before, merged, '')
    print_table(('path', 'in_force', 'folder'), rows, as_json=as_json)


@app.command(epilog=EPILOG)
def add(
    file: Annotated[Path, typer.Argument(help='The file to add or replace.')],
    settings: OperatorPath,
) -> None:
    """Add or replace one file, under its own name, and put it in force."""
    _apply_change(settings, {file.name: _read_file_or_exit(file)})


@app.command(epilog=EPILOG)
def remove(
    name: Annotated[str, typer.Argument(help='The name of the file.')],
    settings: OperatorPath,
) -> None:
    """Remove one file from the configuration in force."""
    _apply_change(settings, {name: None})


@app.command(epilog=EPILOG)
def apply(folder: FolderPath, settings: OperatorPath) -> None:
    """Put a folder in force as a whole; files that it lacks are removed."""
    contents = _read_or_exit(folder)

    async def replace(store: RevisionStore) -> int:  # noqa: WPS430
        manifest = await store.read_manifest()
        change: dict[str, bytes | None] = dict.fromkeys(manifest.files)
        change.update(contents)
        applied = await store.apply_change(change, getpass.getuser())
        return applied.revision

    typer.echo(f'Revision {_run_with_store(settings, replace)} is in force.')


@app.command(epilog=EPILOG)
def history(settings: OperatorPath, *, as_json: AsJson = False) -> None:
    """List all revisions with their time, author and digest."""

    async def read_rows(store: RevisionStore) -> list[Any]:  # noqa: WPS430
        return [
            (
                manifest.revision,
                time.strftime(
                    '%Y-%m-%d %H:%M:%S',
                    time.gmtime(manifest.applied_at_s),
                ),
                manifest.author,
                len(manifest.files),
                manifest.merged[:12],
            )
            for manifest in await store.read_history()
        ]

    print_table(
        ('revision', 'applied_utc', 'author', 'files', 'digest'),
        _run_with_store(settings, read_rows),
        as_json=as_json,
    )


def _apply_change(settings: Path, change: dict[str, bytes | None]) -> None:
    async def apply_change(store: RevisionStore) -> int:  # noqa: WPS430
        applied = await store.apply_change(change, getpass.getuser())
        return applied.revision

    typer.echo(
        f'Revision {_run_with_store(settings, apply_change)} is in force.'
    )


def _run_with_store(
    path: Path,
    operation: Callable[[RevisionStore], Awaitable[Result]],
) -> Result:
    settings = read_settings_or_exit(OperatorSettings, path)

    async def run() -> Result:  # noqa: WPS430
        platform = platforms.get(settings.platform.client)(
            settings.platform.url,
        )
        try:
            return await operation(
                RevisionStore(platform=platform, clock=SystemClock()),
            )
        finally:
            await platform.close()

    try:
        return asyncio.run(run())
    except CurranthillError as error:
        fail(str(error))


def _read_or_exit(folder: Path) -> dict[str, bytes]:
    try:
        read = read_folder(folder)
    except CurranthillError as error:
        fail(error.message)
    for line in read.ignored:
        typer.echo(line, err=True)
    return read.contents


def _merge_or_exit(folder: Path) -> Json:
    contents = _read_or_exit(folder)
    try:
        return merge(contents)
    except CurranthillError as error:
        fail(error.message)


def _read_file_or_exit(path: Path) -> bytes:
    folder = path.resolve().parent
    try:
        read = read_folder(folder)
    except CurranthillError as error:
        fail(error.message)
    if path.name not in read.contents:
        fail(
            f'{path.name} is not a file that configuration folders accept.',
            EXIT_FAILURE,
        )
    return read.contents[path.name]


def _differences(before: Any, after: Any, path: str) -> list[tuple[str, ...]]:
    if isinstance(before, dict) and isinstance(after, dict):
        rows: list[tuple[str, ...]] = []
        for key in sorted({*before, *after}):
            rows.extend(
                _differences(
                    before.get(key),
                    after.get(key),
                    f'{path}.{key}'.lstrip('.'),
                ),
            )
        return rows
    if before == after:
        return []
    return [(path, _format_value(before), _format_value(after))]


def _format_value(value: Any) -> str:
    return '-' if value is None else canonical_json(value).decode()


__all__ = ('app',)
