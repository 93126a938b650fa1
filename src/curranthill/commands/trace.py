"""Tells the story of one job from the saved log lines of all hosts."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Final

import typer

from curranthill.commands.formatters import Line, sentences
from curranthill.commands.options import FAILED, fail

LogPaths = Annotated[
    list[Path],
    typer.Argument(help='Saved log files, or folders of them.'),
]

#: Kinds of lines of a job that is not at work.
WAITS: Final = frozenset(('waiting', 'not_ready'))

#: The kind of line that tells which workers accept no work.
UNUSED: Final = 'workers_unused'


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
    lines = sorted(events_of(logs, job_id), key=_written_s)
    if not lines:
        fail(f'No line of these logs names {job_id}.', FAILED)
    lines.extend(_unused_workers(logs, lines, job_id))
    lines.sort(key=_written_s)
    began_s = lines[0]['t_s']
    for line in lines:
        if as_json:
            typer.echo(json.dumps(line))
        else:
            typer.echo(describe_event(line, began_s))


def describe_event(line: Line, began_s: float) -> str:
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


def _unused_workers(
    logs: Iterable[Path],
    lines: Iterable[Line],
    job_id: str,
) -> list[Line]:
    """Return what is told of unused workers while a job waits.

    It is told when it changes, so what holds at the beginning of the wait is
    the newest line before.
    """
    waits_s = [
        line['t_s']
        for line in lines
        if line['event'] in WAITS and line.get('job') == job_id
    ]
    if not waits_s:
        return []
    found = sorted(
        (
            line
            for line in events_of(logs, UNUSED)
            if line['event'] == UNUSED and line['t_s'] <= max(waits_s)
        ),
        key=_written_s,
    )
    before = [line for line in found if line['t_s'] < min(waits_s)]
    return found[max(len(before) - 1, 0) :]


def _written_s(line: Line) -> float:
    return float(line['t_s'])


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


__all__ = ('describe_event', 'events_of', 'sentences', 'trace')
