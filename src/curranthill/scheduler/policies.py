"""The interface and the registry of placement policies."""

from collections.abc import Callable
from typing import Protocol

from curranthill.registry import Registry
from curranthill.scheduler.state import Decision, SchedulerState


class Policy(Protocol):
    """Decides which waiting jobs are placed, and on which workers."""

    def decide(self, state: SchedulerState, now_s: float) -> list[Decision]:
        """Place jobs with ``state.place`` and return the decisions.

        :param now_s: monotonic time, in seconds.
        """

    def explain(
        self,
        state: SchedulerState,
        job_id: str,
        now_s: float,
    ) -> list[str]:
        """Return plain sentences on why a job waits."""


#: Factories of policies by the name in the settings: factory(preemptions).
policies: Registry[Callable[[int], Policy]] = Registry(
    concern='placement policy',
)

__all__ = ('Policy', 'policies')
