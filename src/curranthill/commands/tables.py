"""Prints rows as a table, or as JSON for other programs."""

import json
from collections.abc import Sequence
from typing import Any

import typer


def print_table(
    columns: Sequence[str],
    rows: Sequence[Sequence[Any]],
    *,
    as_json: bool,
) -> None:
    """Print rows as a table with a header, or as a JSON array of objects."""
    if as_json:
        records = [dict(zip(columns, row, strict=True)) for row in rows]
        typer.echo(json.dumps(records, indent=2))
        return
    texts = [[_format_value(value) for value in row] for row in rows]
    widths = [
        max(len(column), *(len(row[index]) for row in texts), 0)
        if texts
        else len(column)
        for index, column in enumerate(columns)
    ]
    for cells in (columns, *texts):
        padded = (
            text.ljust(width) for text, width in zip(cells, widths, strict=True)
        )
        typer.echo('  '.join(padded).rstrip())


def _format_value(value: Any) -> str:
    return f'{value:.3f}' if isinstance(value, float) else str(value)


__all__ = ('print_table',)
