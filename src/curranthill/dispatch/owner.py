"""The interface between a worker session and the term that owns it."""

from typing import TYPE_CHECKING, Protocol

from curranthill.dispatch.silence import SilentWorkers
from curranthill.dispatch.workers import EndReport
from curranthill.placement import Run
from curranthill.tasks import Resources, TaskKey

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession


class ClosedDataCentreSource(Protocol):
    """Provides the data centres that operators have closed."""

    def allows_starts(self, data_centre: str) -> bool:
        """Return whether a data centre is known to be open."""


class SessionOwner(Protocol):
    """Receives what a session learns, and decides what it may order."""

    def may_renew(self) -> bool:
        """Return whether the leader may still extend leases."""

    @property
    def silent_workers(self) -> SilentWorkers:
        """Return the workers that do not respond, as stored."""

    def may_order(self) -> bool:
        """Return whether the leader may still start and stop tasks."""

    def run_started(self, job_id: str) -> None:
        """Handle that a worker has started a task of a job."""

    def run_reported(self, session: 'WorkerSession', run: Run) -> None:
        """Handle a report of a run's progress."""

    def fenced(self, session: 'WorkerSession') -> None:
        """Handle a sign that another leader sends orders to the worker."""

    def resend_stop(self, session: 'WorkerSession', run: Run) -> None:
        """Order a stop again that has had no effect yet."""

    def run_ended(self, session: 'WorkerSession', end: EndReport) -> None:
        """Handle the end of a run, which uses no capacity any more."""

    def run_absent(
        self,
        session: 'WorkerSession',
        run: Run,
        reason: str,
    ) -> None:
        """Handle a run that does not exist and never will."""

    def losses_resolved(
        self, worker_id: str, *, crashed: bool, incarnation: int = 0
    ) -> None:
        """Handle whether runs with expired leases crashed their worker.

        :param crashed: for runs of which an incarnation is not known.
        :param incarnation: the one that responded; 0 if not known.
        """

    def needs_of(self, key: TaskKey) -> Resources:
        """Return the resources of a task, for runs found at a worker."""

    async def ends_stored(self) -> None:
        """Return once all that was recorded so far is stored.

        That is every end, and which workers are silent, but for the jobs whose
        progress the store rejects.
        """

    def is_stored(self, job_id: str) -> bool:
        """Return whether the store did not reject the progress of a job."""

    def session_changed(self, session: 'WorkerSession') -> None:
        """Request another round of placement."""


__all__ = ('ClosedDataCentreSource', 'SessionOwner')
