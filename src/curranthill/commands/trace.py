"""Tells the story of one job from the saved log lines of all hosts."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated

import typer

from curranthill.commands.options import FAILED, fail
from curranthill.commands.sentences import Line, sentences

LogPaths = Annotated[
    list[Path],
    typer.Argument(help='Saved log files, or folders of them.'),
]


def trace(
    job_id: Annotated[str, typer.Argument(help="The job's id.")],
    logs: LogPaths,
    *,
    as_json: Annotated[
        bool,
        typer.Option('--json', help='Print the lines themselves.'),
    ] = False,
) -> None:
    """Tell what happened to one job, in order, over all hosts."""
    lines = sorted(events_of(logs, job_id), key=lambda line: line['t_s'])
    if not lines:
        fail(f'No line of these logs names {job_id}.', FAILED)
    began_s = lines[0]['t_s']
    for line in lines:
        if as_json:
            typer.echo(json.dumps(line))
        else:
            typer.echo(told(line, began_s))


def told(line: Line, began_s: float) -> str:
    """Return a line's sentence, with the time since the first line."""
    kind = line['event']
    sentence = kind
    if kind in set(sentences):
        sentence = sentences.get(kind)(line)
    else:
        rest = {
            name: field
            for name, field in line.items()
            if name not in {'t_s', 'event', 'host', 'data_centre'}
        }
        sentence = f'{kind} {json.dumps(rest)}'
    return f'{line["t_s"] - began_s:9.3f} s  {line["host"]}  {sentence}'


def events_of(paths: Iterable[Path], named: str) -> Iterator[Line]:
    """Yield the events of saved logs.

    :param named: what a line must hold, such as a job's id; empty for all.
    """
    for path in paths:
        for one in sorted(path.iterdir()) if path.is_dir() else [path]:
            texts = one.read_text('utf-8', 'replace').splitlines()
            for text in texts:
                if named in text:
                    yield from _event(text)


def _event(text: str) -> Iterator[Line]:
    """Yield the event, if the text is one; a cut-off line is not."""
    start = max(text.find('{'), 0)
    try:
        line = json.loads(text[start:])
    except ValueError:
        return
    if isinstance(line, dict) and {'t_s', 'event', 'host'} <= line.keys():
        yield line


__all__ = ('events_of', 'sentences', 'told', 'trace')
