"""The registry of placement policies and what a policy is."""

from collections.abc import Callable
from typing import Protocol

from curranthill.registry import Registry
from curranthill.scheduler.state import Decision, SchedulerState


class Policy(Protocol):
    """Decide which waiting jobs get which places."""

    def decide(self, state: SchedulerState, now_s: float) -> list[Decision]:
        """Place what can be placed now, by ``state.place``, and return it.

        :param now_s: monotonic seconds.
        """

    def explain(
        self,
        state: SchedulerState,
        job_id: str,
        now_s: float,
    ) -> list[str]:
        """Say in plain sentences why a job waits."""


#: Policies by the name that settings give: factory(preemptions).
policies: Registry[Callable[[int], Policy]] = Registry(
    concern='placement policy',
)

__all__ = ('Policy', 'policies')
