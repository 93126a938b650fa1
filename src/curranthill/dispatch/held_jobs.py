"""Logs how many jobs are not ready, of which workspaces and why.

The lines of single jobs name only the oldest ones of each priority.
"""

from collections import Counter
from collections.abc import Iterable
from itertools import chain
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.dispatch.blockers import Blocker, BlockingTask
from curranthill.placement import ActiveJob
from curranthill.telemetry.events import events

#: The shortest interval between two log lines, in seconds.
LOG_INTERVAL_S: Final = 5.0

#: The most workspaces and workers named in one log line: those with the most
#: held jobs.
MAX_NAMED: Final = 5


class HeldJob(NamedTuple):
    """A job that has not been ready for a time."""

    job: ActiveJob
    blocker: Blocker
    held_s: float

    @property
    def leases(self) -> list[BlockingTask]:
        """Return the tasks held by the lease of a silent worker."""
        return [
            task
            for task in self.blocker.tasks
            if task['lease_remaining_s'] and not task['reachable']
        ]


class HeldJobsReporter:
    """Logs all held jobs together while there are any."""

    def __init__(self, *, clock: Clock) -> None:
        """Initialize the reporter without held jobs."""
        self._clock = clock
        self._logged_s = clock.monotonic_s() - LOG_INTERVAL_S
        self._logged_any = False

    def report(self, held: Iterable[HeldJob]) -> None:
        """Log the held jobs in intervals, and once that there are none."""
        held = list(held)
        now_s = self._clock.monotonic_s()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        if held or self._logged_any:
            self._logged_s = now_s
            self._logged_any = bool(held)
            self._log(held)

    def _log(self, held: list[HeldJob]) -> None:
        leases = [one.leases for one in held if one.leases]
        workspaces = Counter(one.job.spec.workspace for one in held)
        workers = Counter(chain.from_iterable(map(_workers_of, leases)))
        remaining_s = (
            task['lease_remaining_s'] for tasks in leases for task in tasks
        )
        events.log(
            'held_jobs',
            jobs=len(held),
            held_by=Counter(one.blocker.reason for one in held),
            longest_s=round(max((one.held_s for one in held), default=0.0), 1),
            workspaces=len(workspaces),
            jobs_by_workspace=dict(workspaces.most_common(MAX_NAMED)),
            by_lease=len(leases),
            by_inherited_lease=sum(map(_is_any_inherited, leases)),
            longest_lease_s=max(remaining_s, default=0.0),
            silent_workers=len(workers),
            jobs_by_worker=dict(workers.most_common(MAX_NAMED)),
        )


def _workers_of(tasks: Iterable[BlockingTask]) -> set[str]:
    return {task['worker'] for task in tasks}


def _is_any_inherited(tasks: Iterable[BlockingTask]) -> bool:
    return any(task['inherited'] for task in tasks)


__all__ = ('HeldJob', 'HeldJobsReporter')
