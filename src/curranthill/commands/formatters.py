"""How each kind of event is told in a sentence."""

from collections.abc import Callable
from typing import Any

from curranthill.commands.wait_details import held_task, workers_of
from curranthill.registry import Registry

Line = dict[str, Any]

#: How a kind of event is told: kind -> sentence of a line.
sentences: Registry[Callable[[Line], str]] = Registry(concern='event')


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
    named = ', '.join(line.get('kept_for', ()))
    kept_for = f' ({named})' if named else ''
    return (
        f'{line["job"]} step {line["step"]} ({line["tasks"]} tasks) '
        f'waits for {line["waits_for"]}{kept_for}'
        f'{workers_of(line)}; accepted {line["waited_s"]} s ago'
    )


@sentences.register('not_ready')
def _not_ready(line: Line) -> str:
    tasks = '; '.join(map(held_task, line['held']))
    unnamed = line['held_tasks'] - len(line['held'])
    later = line['later_steps']
    parts = [
        f'{line["job"]} step {line["step"]} is not ready for ',
        f'{line["held_s"]} s: held by {line["held_by"]}',
        f' ({tasks})' if tasks else '',
        f' and {unnamed} more' if unnamed else '',
        f'; {later} later steps wait for it' if later else '',
        f', due in {line["due_in_s"]} s' if line['due_in_s'] else '',
    ]
    return f'{"".join(parts)}; accepted {line["waited_s"]} s ago'


@sentences.register('workers_unused')
def _workers_unused(line: Line) -> str:
    workers = '; '.join(
        f'{reason} ({", ".join(names)})'
        for reason, names in line['workers'].items()
    )
    told = f'{line["unused"]} of {line["listed"]} listed workers are unused'
    return f'{told}: {workers}' if workers else told


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


__all__ = ('Line', 'sentences')
