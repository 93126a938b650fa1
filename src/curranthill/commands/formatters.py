"""Formats log events as sentences, one formatter for each kind."""

from collections.abc import Callable
from typing import Any

from curranthill.commands.wait_details import (
    format_blocking_task,
    format_worker_counts,
)
from curranthill.registry import Registry

#: An event: a JSON object of one log line.
LogLine = dict[str, Any]

#: Functions that format an event as a sentence, by the event's kind.
event_formatters: Registry[Callable[[LogLine], str]] = Registry(
    concern='event',
)


@event_formatters.register('accepted')
def _format_acceptance(line: LogLine) -> str:
    return (
        f'accepted for queue {line["queue"]} of workspace '
        f'{line["workspace"] or "-"} in {line["took_s"]} s; '
        f'objective {line["objective_s"]} s'
    )


@event_formatters.register('accepted_before')
def _format_resubmission(line: LogLine) -> str:
    return 'submitted again; it had been accepted before'


@event_formatters.register('refused')
def _format_refusal(line: LogLine) -> str:
    return (
        f'{line["method"]} refused with {line["status"]} '
        f'({line["outcome"]}, step {line["step"]}): {line["reason"]}'
    )


@event_formatters.register('unrouted_refusals')
def _format_unrouted_refusals(line: LogLine) -> str:
    counts = line['paths']
    paths = ', '.join(f'{path} {counts[path]}' for path in counts)
    others = line['other_paths']
    unnamed = f', other paths {others}' if others else ''
    return (
        f'{line["refused"]} more requests to paths without a queue '
        f'({paths}{unnamed})'
    )


@event_formatters.register('turned_away')
def _format_load_shedding(line: LogLine) -> str:
    return (
        f'refused by load shedding: {line["reason"]}; expected wait '
        f'{line["expected_wait_s"]} s, by a forecast that is '
        f'{line["outlook_age_s"]} s old'
    )


@event_formatters.register('waiting')
def _format_waiting(line: LogLine) -> str:
    other_jobs = ', '.join(line.get('kept_for', ()))
    reserved_for = f' ({other_jobs})' if other_jobs else ''
    return (
        f'{line["job"]} step {line["step"]} ({line["tasks"]} tasks) '
        f'waits for {line["waits_for"]}{reserved_for}'
        f'{format_worker_counts(line)}; accepted {line["waited_s"]} s ago'
    )


@event_formatters.register('not_ready')
def _format_not_ready(line: LogLine) -> str:
    tasks = '; '.join(map(format_blocking_task, line['held']))
    unnamed = line['held_tasks'] - len(line['held'])
    later = line['later_steps']
    parts = [
        f'{line["job"]} step {line["step"]} has not been ready for ',
        f'{line["held_s"]} s: blocked by {line["held_by"]}',
        f' ({tasks})' if tasks else '',
        f' and {unnamed} more' if unnamed else '',
        f'; {later} later steps wait for it' if later else '',
        f', due in {line["due_in_s"]} s' if line['due_in_s'] else '',
    ]
    return f'{"".join(parts)}; accepted {line["waited_s"]} s ago'


@event_formatters.register('workers_unused')
def _format_unused_workers(line: LogLine) -> str:
    workers = '; '.join(
        f'{reason} ({", ".join(names)})'
        for reason, names in line['workers'].items()
    )
    summary = f'{line["unused"]} of {line["listed"]} listed workers are unused'
    return f'{summary}: {workers}' if workers else summary


@event_formatters.register('placed')
def _format_placement(line: LogLine) -> str:
    return (
        f'step {line["step"]} placed as attempt {line["attempt"]}: '
        f'{", ".join(line["tasks"])}'
    )


@event_formatters.register('run_ended')
def _format_run_end(line: LogLine) -> str:
    return (
        f'{line["task"]} attempt {line["attempt"]} ended on '
        f'{line["worker"]}: {line["how"]}'
    )


@event_formatters.register('run_vanished')
def _format_absent_run(line: LogLine) -> str:
    return (
        f'{line["task"]} attempt {line["attempt"]} confirmed absent from '
        f'{line["worker"]}: {line["reason"]}'
    )


@event_formatters.register('preempted')
def _format_preemption(line: LogLine) -> str:
    guarantee = ', beyond its guarantee' if line.get('beyond_guarantee') else ''
    by = f' ({line["for_job"]}{guarantee})' if 'for_job' in line else ''
    count = f'; stop {line["stops"]} of its job' if 'stops' in line else ''
    return (
        f'{line["task"]} preempted by more urgent work{by} '
        f'at {line["done_percent"]}%{count}'
    )


@event_formatters.register('moved_stalled')
def _format_stalled_move(line: LogLine) -> str:
    return (
        f'{line["task"]} stopped at {line["done_percent"]}%, to be moved: '
        f'no progress for {line["stalled_s"]} s on {line["worker"]}'
    )


@event_formatters.register('moved_slow')
def _format_slow_move(line: LogLine) -> str:
    return (
        f'{line["task"]} stopped at {line["done_percent"]}%, to be moved: '
        f'{line["here_s"]} s left on {line["worker"]}, which is slow, '
        f'{line["elsewhere_s"]} s elsewhere'
    )


@event_formatters.register('job_completed')
def _format_completion(line: LogLine) -> str:
    late_s = line['late_s']
    lateness = f'{late_s} s late' if late_s > 0 else 'in time'
    return f'completed after {line["took_s"]} s, {lateness}'


@event_formatters.register('job_ended')
def _format_job_end(line: LogLine) -> str:
    reason = line.get('reason', '')
    return f'ended as {line["state"]}. {reason}'.rstrip()


@event_formatters.register('lost_with_worker')
def _format_loss(line: LogLine) -> str:
    return (
        f'{line["task"]} attempt {line["attempt"]} lost with {line["worker"]} '
        f'({line["reason"]}) after {line["worked_s"]} s of work: '
        f'{line["losses"]} losses, {line["prompt_crashes"]} right after a start'
    )


__all__ = ('LogLine', 'event_formatters')
