"""``curranthill trace``: the events of one job, from saved logs."""

import json
from collections.abc import Iterable, Iterator
from itertools import chain
from pathlib import Path
from typing import Annotated, Final

import typer

from curranthill.commands.lease_holds import (
    TERM_EVENT_TEXTS,
    describe_lease_holds,
    find_lease_holds,
)
from curranthill.commands.options import EXIT_FAILURE, fail
from curranthill.commands.term_formatters import LogLine, event_formatters

LogPaths = Annotated[
    list[Path],
    typer.Argument(help='Saved log files, or folders of such files.'),
]

#: Events of a job that waits for capacity or is not ready.
WAIT_EVENTS: Final = frozenset(('waiting', 'not_ready'))

#: The event that names the workers on which nothing can be placed.
UNUSED_WORKERS_EVENT: Final = 'workers_unused'


def trace(
    job_id: Annotated[str, typer.Argument(help="The job's id.")],
    logs: LogPaths,
    *,
    as_json: Annotated[
        bool,
        typer.Option('--json', help='Print the log lines as JSON.'),
    ] = False,
) -> None:
    """Print the events of a job on all hosts, in chronological order."""
    lines = sorted(read_events(logs, job_id), key=_logged_at_s)
    if not lines:
        fail(f'These logs contain no event of {job_id}.', EXIT_FAILURE)
    holds = find_lease_holds(lines, _term_events(logs))
    lines.extend(_unused_worker_events(logs, lines, job_id))
    lines.sort(key=_logged_at_s)
    first_s = lines[0]['t_s']
    for line in lines:
        if as_json:
            typer.echo(json.dumps(line))
        else:
            typer.echo(describe_event(line, first_s))
    if not as_json:
        for sentence in describe_lease_holds(holds, first_s):
            typer.echo(sentence)


def describe_event(line: LogLine, first_s: float) -> str:
    """Return an event's time, host and sentence.

    A kind without a formatter is shown with all its fields, as JSON.

    :param first_s: the time of the first event; times are relative to it.
    """
    kind = line['event']
    sentence = kind
    if kind in set(event_formatters):
        sentence = event_formatters.get(kind)(line)
    else:
        fields = {
            name: value
            for name, value in line.items()
            if name not in {'t_s', 'event', 'host', 'data_centre'}
        }
        sentence = f'{kind} {json.dumps(fields)}'
    return f'{line["t_s"] - first_s:9.3f} s  {line["host"]}  {sentence}'


def _term_events(logs: Iterable[Path]) -> list[LogLine]:
    """Return the events of workers and leaders that explain holds."""
    events = chain.from_iterable(
        read_events(logs, text) for text in TERM_EVENT_TEXTS
    )
    return sorted(events, key=_logged_at_s)


def _unused_worker_events(
    logs: Iterable[Path],
    lines: Iterable[LogLine],
    job_id: str,
) -> list[LogLine]:
    """Return the events of unused workers that apply while a job waits.

    They are logged on changes only, so the newest one from before the first
    wait holds at its beginning.
    """
    wait_times_s = [
        line['t_s']
        for line in lines
        if line['event'] in WAIT_EVENTS and line.get('job') == job_id
    ]
    if not wait_times_s:
        return []
    unused = sorted(
        (
            line
            for line in read_events(logs, UNUSED_WORKERS_EVENT)
            if line['event'] == UNUSED_WORKERS_EVENT
            and line['t_s'] <= max(wait_times_s)
        ),
        key=_logged_at_s,
    )
    before = [line for line in unused if line['t_s'] < min(wait_times_s)]
    return unused[max(len(before) - 1, 0) :]


def _logged_at_s(line: LogLine) -> float:
    return float(line['t_s'])


def read_events(paths: Iterable[Path], substring: str) -> Iterator[LogLine]:
    """Yield the events of saved logs, file by file.

    :param substring: what a line must contain, such as a job's id; empty to
        yield all events.
    """
    for path in paths:
        for file in sorted(path.iterdir()) if path.is_dir() else [path]:
            texts = file.read_text('utf-8', 'replace').splitlines()
            for text in texts:
                if substring in text:
                    yield from _parse_event(text)


def _parse_event(text: str) -> Iterator[LogLine]:
    """Yield the event of a line, unless the line is truncated or other text.

    Text before the first brace is skipped.
    """
    start = max(text.find('{'), 0)
    try:
        line = json.loads(text[start:])
    except ValueError:
        return
    if isinstance(line, dict) and {'t_s', 'event', 'host'} <= line.keys():
        yield line


__all__ = ('describe_event', 'event_formatters', 'read_events', 'trace')
