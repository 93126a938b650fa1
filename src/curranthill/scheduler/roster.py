"""The workers of a term: which exist and are usable, and their watches."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from curranthill.scheduler.cluster import WorkerState
from curranthill.scheduler.context import Context
from curranthill.scheduler.health import WorkerHealth
from curranthill.scheduler.state import SchedulerState
from curranthill.scheduler.watch import MemberUpdate, WatchListener, WorkerWatch
from curranthill.storage import HostEntry
from curranthill.workers import LeaseReport

#: Starts a task that ends with the term.
Spawn = Callable[[Any], None]


class Roster:
    """Keeps the cluster's workers in line with the host list and the watches.

    :param spawn: starts a watch's task.
    :param on_member: called with each member's state.
    :param on_orphan: called with a lease that no gang has.
    :param on_change: called when workers became usable or unusable.
    """

    def __init__(  # noqa: WPS211
        self,
        *,
        context: Context,
        state: SchedulerState,
        spawn: Spawn,
        on_member: Callable[[MemberUpdate], bool],
        on_orphan: Callable[[str, LeaseReport], None],
        on_change: Callable[[], None],
    ) -> None:
        """Initialize without workers; watches run from :meth:`begin` on."""
        self.watches: dict[str, WorkerWatch] = {}
        self.health = WorkerHealth(
            clock=context.clock,
            settings=context.placement,
        )
        self._context = context
        self._state = state
        self._spawn = spawn
        self._listener = WatchListener(
            on_member=on_member,
            on_orphan=on_orphan,
            on_contact=self._on_contact,
        )
        self._on_change = on_change
        self._polling = False
        self._unresponsive: set[str] = set()
        # Each source is tracked separately: the host list lags behind what a
        # worker reports, and neither revokes the drain by an operator.
        self._listed_draining: set[str] = set()
        self._reported_draining: set[str] = set()
        self._drained: set[str] = set()

    def begin(self) -> None:
        """Start polling all workers."""
        self._polling = True
        for watch in self.watches.values():
            self._spawn(watch.run())

    def update(self, entries: list[HostEntry]) -> None:
        """Apply the host list: new, draining and removed workers."""
        cluster = self._state.cluster
        listed = {entry.host: entry for entry in entries}
        for entry in entries:
            if entry.host not in cluster.workers:
                self._add(entry)
            _set_membership(self._listed_draining, entry.host, entry.leaving)
        for name, worker in list(cluster.workers.items()):
            if name not in listed and not worker.jobs:
                self._remove(name)
        self.refresh_usable()

    def drain(self, name: str) -> bool:
        """Stop placing new work on a worker; return whether it is known."""
        if name not in self._state.cluster.workers:
            return False
        self._drained.add(name)
        self.refresh_usable()
        return True

    def refresh_usable(self) -> None:
        """Update which workers are usable, and repair the guarantee plan."""
        changed = False
        for worker in self._state.cluster.workers.values():
            usable = self._is_usable(worker)
            if usable != worker.usable:
                changed = True
                self._state.cluster.set_usable(worker, usable)
                logger.bind(step='health', peer=worker.name).info(
                    '{} {} work',
                    worker.name,
                    'may take' if usable else 'takes no',
                )
        if changed:
            self._state.plan.repair()
            self._on_change()

    def record_failure(self, worker: str, job_id: str) -> None:
        """Record a task's failure on its worker."""
        if self.health.record_failure(worker, job_id):
            logger.bind(step='health', peer=worker).warning(
                '{} is quarantined: different jobs fail on it',
                worker,
            )
            self.refresh_usable()

    def _is_usable(self, worker: WorkerState) -> bool:
        reasons = (
            self._unresponsive,
            self._listed_draining,
            self._reported_draining,
            self._drained,
        )
        if any(worker.name in names for names in reasons):
            return False
        return not self.health.is_quarantined(worker.name)

    def _add(self, entry: HostEntry) -> None:
        self._state.cluster.add(
            WorkerState(
                name=entry.host,
                address=entry.address,
                rack=entry.rack,
                slots=entry.slots,
            ),
        )
        watch = WorkerWatch(
            name=entry.host,
            address=entry.address,
            context=self._context,
            listener=self._listener,
        )
        self.watches[entry.host] = watch
        if self._polling:
            self._spawn(watch.run())

    def _remove(self, name: str) -> None:
        cluster = self._state.cluster
        cluster.set_usable(cluster.workers[name], usable=False)
        self._state.plan.repair()
        cluster.remove(name)
        watch = self.watches.pop(name, None)
        if watch is not None:
            watch.close()
        self._unresponsive.discard(name)
        self._listed_draining.discard(name)
        self._reported_draining.discard(name)
        self._drained.discard(name)

    def _on_contact(self, worker: str, responds: bool, draining: bool) -> None:
        changed = _set_membership(self._unresponsive, worker, not responds)
        if responds:
            changed |= _set_membership(
                self._reported_draining,
                worker,
                draining,
            )
        if changed:
            self.refresh_usable()


def _set_membership(names: set[str], name: str, included: bool) -> bool:
    """Add or remove a name in a set; return whether the set changed."""
    if (name in names) == included:
        return False
    names.symmetric_difference_update((name,))
    return True


__all__ = ('Roster',)
