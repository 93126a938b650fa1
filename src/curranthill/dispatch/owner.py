"""What a session asks of the term that it belongs to, and tells it."""

from typing import TYPE_CHECKING, Protocol

from curranthill.dispatch.workers import EndReport
from curranthill.placement import Run
from curranthill.tasks import Resources, TaskKey

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession


class ClosureSource(Protocol):
    """Knows the data centres that operators have closed."""

    def allows_starts(self, data_centre: str) -> bool:
        """Return whether a data centre is known to be open."""


class SessionOwner(Protocol):
    """Who is told of what a session learns."""

    def may_renew(self) -> bool:
        """Return whether the leader may still extend leases."""

    def may_order(self) -> bool:
        """Return whether the leader may still start and stop tasks."""

    def run_reported(self, session: 'WorkerSession', run: Run) -> None:
        """Take note of a run's progress."""

    def fenced(self, session: 'WorkerSession') -> None:
        """Take note that another leader orders the worker."""

    def resend_stop(self, session: 'WorkerSession', run: Run) -> None:
        """Order a stop once more that has had no effect yet."""

    def run_ended(self, session: 'WorkerSession', end: EndReport) -> None:
        """Take note of an end; the run takes no more room."""

    def run_absent(
        self,
        session: 'WorkerSession',
        run: Run,
        reason: str,
    ) -> None:
        """Take note that a run does not exist and never will."""

    def loss_resolved(self, run: Run, *, crashed: bool) -> None:
        """Take note whether a run whose lease lapsed crashed its worker."""

    def needs_of(self, key: TaskKey) -> Resources:
        """Return the room a task takes, for runs found at a worker."""

    async def ends_stored(self) -> None:
        """Return once every end noted so far is stored."""

    def session_changed(self, session: 'WorkerSession') -> None:
        """Look at placements again."""


__all__ = ('ClosureSource', 'SessionOwner')
