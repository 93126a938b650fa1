"""Tables for people, or JSON for programs."""

import json
from collections.abc import Sequence
from typing import Any

import typer


def show_table(
    columns: Sequence[str],
    rows: Sequence[Sequence[Any]],
    *,
    as_json: bool,
) -> None:
    """Print rows under their columns, or as a JSON array of objects."""
    if as_json:
        records = [dict(zip(columns, row, strict=True)) for row in rows]
        typer.echo(json.dumps(records, indent=2))
        return
    texts = [[_text(value) for value in row] for row in rows]
    widths = [
        max(len(column), *(len(row[index]) for row in texts), 0)
        if texts
        else len(column)
        for index, column in enumerate(columns)
    ]
    for line in (columns, *texts):
        padded = (
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        typer.echo('  '.join(padded).rstrip())


def _text(value: Any) -> str:
    return f'{value:.3f}' if isinstance(value, float) else str(value)


__all__ = ('show_table',)
