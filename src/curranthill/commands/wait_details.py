"""Formats details of the events of waiting and blocked jobs."""

from typing import Any


def format_worker_counts(line: dict[str, Any]) -> str:
    """Format the worker counts of a line, which older releases omit."""
    if 'workers_usable' not in line:
        return ''
    return (
        f'; of {line["workers_listed"]} workers {line["workers_usable"]} '
        f'usable, {line["workers_empty"]} empty, '
        f'{line["workers_with_suspect"]} with a suspect'
    )


def format_blocking_task(task: dict[str, Any]) -> str:
    """Format a task that blocks its job, with the problems of its worker."""
    problems = [
        '' if task['tracked'] else 'run not tracked',
        '' if task['listed'] else 'not listed',
        '' if task['reachable'] else 'unreachable',
        '' if task['synced'] else 'not synced',
        'removed' if task['gone'] else '',
    ]
    worker_state = ', '.join(filter(None, problems))
    duration = f' for {task["held_s"]} s' if task['held_s'] else ''
    lease = _format_lease(task)
    stop = ', to be stopped' if task['stop_wanted'] else ''
    on_worker = f' on {task["worker"]}' if task['worker'] else ''
    if on_worker and worker_state:
        on_worker = f'{on_worker}: {worker_state}'
    return (
        f'{task["task"]} attempt {task["attempt"]} '
        f'{task["state"]}{duration}{stop}{on_worker}{lease}'
    )


def _format_lease(task: dict[str, Any]) -> str:
    """Format the lease of a silent worker, which older releases omit."""
    remaining_s = task.get('lease_remaining_s', 0.0)
    if task['reachable'] or not remaining_s:
        return ''
    whose = (
        'a lease of an earlier leader' if task.get('inherited') else 'its lease'
    )
    return f', until {whose} expires in at most {remaining_s} s'


__all__ = ('format_blocking_task', 'format_worker_counts')
