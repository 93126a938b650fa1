"""Parts of the sentences of jobs that wait."""

from typing import Any


def workers_of(line: dict[str, Any]) -> str:
    """Return what the workers are; lines of earlier releases don't tell."""
    if 'workers_usable' not in line:
        return ''
    return (
        f'; of {line["workers_listed"]} workers {line["workers_usable"]} '
        f'usable, {line["workers_empty"]} empty, '
        f'{line["workers_with_suspect"]} with a suspect'
    )


def held_task(held: dict[str, Any]) -> str:
    """Return what holds one task, and what is amiss with its worker."""
    worker = [
        '' if held['tracked'] else 'no such run there',
        '' if held['listed'] else 'not listed',
        '' if held['reachable'] else 'unreachable',
        '' if held['synced'] else 'not synced',
        'gone' if held['gone'] else '',
    ]
    amiss = ', '.join(filter(None, worker))
    known = f' for {held["held_s"]} s' if held['held_s'] else ''
    stop = ', to be stopped' if held['stop_wanted'] else ''
    at_worker = f' at {held["worker"]}' if held['worker'] else ''
    if at_worker and amiss:
        at_worker = f'{at_worker}: {amiss}'
    return (
        f'{held["task"]} attempt {held["attempt"]} '
        f'{held["state"]}{known}{stop}{at_worker}'
    )


__all__ = ('held_task', 'workers_of')
