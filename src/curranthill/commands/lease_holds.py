"""Finds for how long a job was held by the leases of silent workers."""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

from curranthill.dispatch.crashes import LEASE_EXPIRED

#: The most holds described for one job, the longest first.
MAX_DESCRIBED: Final = 5

#: Texts of which each line of an event about workers or leaders contains one.
TERM_EVENT_TEXTS: Final = (
    '"worker_unreachable"',
    '"worker_reachable"',
    '"leading"',
)


class LeaseHold(NamedTuple):
    """The time for which tasks of a job awaited the lease of a silent worker.

    :param start_s: when the worker fell silent, in wall-clock time.
    :param end_s: when its runs were given up, or the last time at which the
        job is known to be held.
    :param expired: whether the hold ended as the lease expired.
    :param whole_job: whether nothing of the job is known to have run meanwhile.
    :param leaders: the hosts that began to lead meanwhile, in order.
    """

    worker: str
    start_s: float
    end_s: float
    expired: bool
    whole_job: bool
    leaders: tuple[str, ...]

    @property
    def duration_s(self) -> float:
        """Return for how long the job was held."""
        return self.end_s - self.start_s


class Silences:
    """Tells since when a worker has been silent, from the events of all hosts.

    :param term_events: those of workers and leaders, in chronological order.
    """

    def __init__(self, *, term_events: Iterable[dict[str, Any]]) -> None:
        """Sort the events by worker."""
        self._events: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self._assumed_s: dict[str, float] = {}
        for event in term_events:
            self._events[event.get('worker', '')].append(event)

    def start_s(self, worker: str, at_s: float, held_s: float) -> float:
        """Return when the silence of a worker at a time began.

        A new leader logs it only for workers that have answered it, so it may
        be known only from what the worker holds.

        :param held_s: for how long at least it has lasted.
        """
        answered_s = -math.inf
        silent_s: float | None = None
        for event in self._events.get(worker, ()):
            if event['t_s'] > at_s:
                break
            if event['event'] == 'worker_reachable':
                answered_s = event['t_s']
                silent_s = None
            elif silent_s is None:
                silent_s = event['t_s']
        if silent_s is not None:
            return silent_s
        assumed_s = self._assumed_s.get(worker, -math.inf)
        if assumed_s < answered_s or math.isinf(assumed_s):
            assumed_s = at_s - held_s
            self._assumed_s[worker] = assumed_s
        return assumed_s

    def leaders(self, start_s: float, end_s: float) -> tuple[str, ...]:
        """Return the hosts that began to lead between two times."""
        return tuple(
            event['host']
            for event in self._events.get('', ())
            if event['event'] == 'leading' and start_s < event['t_s'] <= end_s
        )


def find_lease_holds(
    job_events: Iterable[dict[str, Any]],
    term_events: Iterable[dict[str, Any]],
) -> list[LeaseHold]:
    """Return the holds of a job, the longest first.

    :param job_events: the events of the job, in chronological order.
    :param term_events: those of workers and leaders, in chronological order.
    """
    silences = Silences(term_events=term_events)
    # Several tasks of the job may be held by one worker in one silence.
    holds: dict[tuple[str, float], LeaseHold] = {}
    for event in job_events:
        at_s = event['t_s']
        for worker in _silent_workers(event):
            start_s = silences.start_s(worker, at_s, event.get('held_s', 0.0))
            not_ready = event['event'] == 'not_ready'
            earlier = holds.get((worker, start_s))
            stood = earlier is not None and earlier.whole_job
            holds[worker, start_s] = LeaseHold(
                worker=worker,
                start_s=start_s,
                end_s=at_s,
                expired=not not_ready,
                whole_job=not_ready or stood,
                leaders=silences.leaders(start_s, at_s),
            )
    return sorted(holds.values(), key=_duration_s, reverse=True)


def describe_lease_holds(
    holds: list[LeaseHold], first_s: float
) -> Iterator[str]:
    """Yield sentences about the longest holds.

    :param first_s: the time that others are relative to, in wall-clock time.
    """
    for hold in holds[:MAX_DESCRIBED]:
        end = 'until it expired'
        if not hold.expired:
            end = 'until its last line at least'
        what = '' if hold.whole_job else 'a task '
        yield (
            f'{what}held for {hold.duration_s:.1f} s by the lease of silent '
            f'worker {hold.worker}, from {hold.start_s - first_s:.3f} s '
            f'{end} at {hold.end_s - first_s:.3f} s{_format_changes(hold)}'
        )
    if len(holds) > MAX_DESCRIBED:
        yield f'held by leases of {len(holds) - MAX_DESCRIBED} more workers'


def _format_changes(hold: LeaseHold) -> str:
    if not hold.leaders:
        return ''
    count = len(hold.leaders)
    changes = 'a change' if count == 1 else f'{count} changes'
    return f', through {changes} of the leader (to {", ".join(hold.leaders)})'


def _silent_workers(event: dict[str, Any]) -> list[str]:
    """Return the workers whose leases hold the job at an event, or did."""
    if event['event'] == 'not_ready':
        return [task['worker'] for task in event['held'] if _awaits_lease(task)]
    if event['event'] == 'run_vanished' and event['reason'] == LEASE_EXPIRED:
        return [event['worker']]
    return []


def _awaits_lease(task: dict[str, Any]) -> bool:
    """Return whether a task can start once its worker's lease has expired."""
    silent = task['worker'] and not task['reachable']
    return bool(silent and task['tracked'] and not task['gone'])


def _duration_s(hold: LeaseHold) -> float:
    return hold.duration_s


__all__ = (
    'TERM_EVENT_TEXTS',
    'LeaseHold',
    'describe_lease_holds',
    'find_lease_holds',
)
