"""Tells the story of one job from the saved log lines of all hosts."""

import json
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

from curranthill.commands.options import FAILED, fail
from curranthill.registry import Registry

Line = dict[str, Any]

#: How a kind of event is told: kind -> sentence of a line.
sentences: Registry[Callable[[Line], str]] = Registry(concern='event')

LogPaths = Annotated[
    list[Path],
    typer.Argument(help='Saved log files, or folders of them.'),
]


@sentences.register('accepted')
def _accepted(line: Line) -> str:
    return (
        f'accepted for queue {line["queue"]} of workspace '
        f'{line["workspace"] or "-"} in {line["took_s"]} s; '
        f'objective {line["objective_s"]} s'
    )


@sentences.register('accepted_before')
def _accepted_before(line: Line) -> str:
    return 'handed in again; it is one job'


@sentences.register('refused')
def _refused(line: Line) -> str:
    return (
        f'{line["method"]} refused with {line["status"]} '
        f'({line["outcome"]}, step {line["step"]}): {line["reason"]}'
    )


@sentences.register('turned_away')
def _turned_away(line: Line) -> str:
    return (
        f'turned away: {line["reason"]}; expected wait '
        f'{line["expected_wait_s"]} s, known for {line["outlook_age_s"]} s'
    )


@sentences.register('waiting')
def _waiting(line: Line) -> str:
    return (
        f'step {line["step"]} ({line["tasks"]} tasks) waits for '
        f'{line["waits_for"]}; accepted {line["waited_s"]} s ago'
    )


@sentences.register('placed')
def _placed(line: Line) -> str:
    return (
        f'step {line["step"]} placed as attempt {line["attempt"]}: '
        f'{", ".join(line["tasks"])}'
    )


@sentences.register('run_ended')
def _run_ended(line: Line) -> str:
    return (
        f'{line["task"]} attempt {line["attempt"]} ended {line["how"]} '
        f'at {line["worker"]}'
    )


@sentences.register('run_vanished')
def _run_vanished(line: Line) -> str:
    return (
        f'{line["task"]} attempt {line["attempt"]} given up at '
        f'{line["worker"]}: {line["reason"]}'
    )


@sentences.register('preempted')
def _preempted(line: Line) -> str:
    return (
        f'{line["task"]} stopped for more urgent work '
        f'at {line["done_percent"]}%'
    )


@sentences.register('moved_stalled')
def _moved_stalled(line: Line) -> str:
    return (
        f'{line["task"]} stopped at {line["done_percent"]}%: no progress for '
        f'{line["stalled_s"]} s at {line["worker"]}'
    )


@sentences.register('moved_slow')
def _moved_slow(line: Line) -> str:
    return (
        f'{line["task"]} stopped at {line["done_percent"]}%: '
        f'{line["here_s"]} s more at {line["worker"]}, which is slow, '
        f'{line["elsewhere_s"]} s elsewhere'
    )


@sentences.register('job_completed')
def _completed(line: Line) -> str:
    late_s = line['late_s']
    judged = f'{late_s} s late' if late_s > 0 else 'in time'
    return f'completed after {line["took_s"]} s, {judged}'


@sentences.register('job_ended')
def _ended(line: Line) -> str:
    reason = line.get('reason', '')
    return f'ended as {line["state"]}. {reason}'.rstrip()


@sentences.register('lost_with_worker')
def _lost_with_worker(line: Line) -> str:
    return (
        f'{line["task"]} attempt {line["attempt"]} lost with {line["worker"]} '
        f'({line["reason"]}) after {line["worked_s"]} s of work: '
        f'{line["losses"]} losses, {line["prompt_crashes"]} right after a start'
    )


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
