"""What the steps of a job have used of their rights to preempt others."""

from typing import TYPE_CHECKING, Final

from curranthill.placement.occurrences import StepId

if TYPE_CHECKING:
    from curranthill.placement.jobs import ReadyStep

#: The longest time for which a step waits for runs that should end at once, in
#: seconds: reports may be late and progress may slow down.
MAX_AWAITED_S: Final = 1.0


class Preemptions:
    """The preemptions and awaited ends of the steps of one job."""

    def __init__(self) -> None:
        """Initialize without preemptions."""
        self._awaiting_ends_since_s: dict[StepId, float] = {}
        self._claimed: set[StepId] = set()

    def claim(self, ready: 'ReadyStep') -> bool:
        """Use up a step's one preemption for speed; return whether it had one.

        Without this limit a gang would preempt others again in each round.
        """
        step_id = (ready.occurrence, ready.number)
        if step_id in self._claimed:
            return False
        self._claimed.add(step_id)
        return True

    def may_await_ends(self, ready: 'ReadyStep', now_s: float) -> bool:
        """Return whether a step may wait for runs that should end at once.

        :param now_s: wall-clock seconds.
        """
        since_s = self._awaiting_ends_since_s.get(
            (ready.occurrence, ready.number), now_s
        )
        return 0 <= now_s - since_s < MAX_AWAITED_S

    def record_awaited_ends(self, ready: 'ReadyStep', now_s: float) -> None:
        """Record that a step waits for runs that should end at once."""
        self._awaiting_ends_since_s.setdefault(
            (ready.occurrence, ready.number), now_s
        )

    def end_wait(self, step_id: StepId) -> None:
        """Record that a task of a step has started."""
        self._awaiting_ends_since_s.pop(step_id, None)

    def forget(self, step_id: StepId) -> None:
        """Forget a step that is done."""
        self.end_wait(step_id)
        self._claimed.discard(step_id)


__all__ = ('Preemptions',)
