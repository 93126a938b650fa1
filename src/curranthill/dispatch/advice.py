"""Tickets for queues whose policy lets only some workers run a step.

Only an advisor outside of the product knows the policy. It is asked for many
workers at once and one call after the other, since it takes one at a time.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, Protocol

from curranthill.clock import Clock
from curranthill.errors import CurranthillError
from curranthill.placement import ReadyStep
from curranthill.telemetry.events import events

#: Workers named in one question: the advisor takes longer for each.
WORKERS_PER_QUESTION: Final = 30

#: The pause after a question that was not answered, in seconds.
RETRY_S: Final = 0.3

#: A ticket is not used in its last part, in seconds: a start may be under way
#: for so long.
TICKET_MARGIN_S: Final = 0.7


class Advice(NamedTuple):
    """An advisor's answer.

    :param tickets: by the ids of the workers that may run the step.
    :param validity_s: how long the tickets are good for, in seconds.
    """

    tickets: dict[str, str]
    validity_s: float


class AdvisorError(CurranthillError):
    """The advisor did not answer, or has too many questions waiting."""


class Advisor(Protocol):
    """Who knows the policy."""

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Return tickets for those of the workers that may run a step.

        :raises AdvisorError: if there was no answer.
        """


class Ticket(NamedTuple):
    """A worker's permission to run a step.

    :param until_s: on the leader's monotonic clock.
    :param incarnation: that of the worker; no other one takes the ticket.
    """

    text: str
    until_s: float
    incarnation: int


class TicketOffice:
    """Asks for tickets and keeps them while they are good."""

    def __init__(self, *, advisor: Advisor, clock: Clock) -> None:
        """Start without tickets."""
        self._advisor = advisor
        self._clock = clock
        self._tickets: dict[str, dict[str, Ticket]] = {}
        self._asked: dict[str, set[tuple[str, int]]] = {}

    def good(
        self,
        ready: ReadyStep,
        incarnations: Mapping[str, int],
    ) -> dict[str, str]:
        """Return the good tickets of a step by worker.

        :param incarnations: of the workers that may be used now, by their ids.
        """
        now_s = self._clock.monotonic_s() + TICKET_MARGIN_S
        kept = self._tickets.get(ready.name, {})
        usable = incarnations.items()
        return {
            worker_id: ticket.text
            for worker_id, ticket in kept.items()
            if ticket.until_s > now_s
            and (worker_id, ticket.incarnation) in usable
        }

    def unasked(
        self,
        ready: ReadyStep,
        workers: Mapping[str, int],
    ) -> tuple[str, ...]:
        """Return the workers to ask for next.

        Each incarnation of a worker is asked for once; when all have been and
        no ticket is good any more, those that had tickets are asked again.
        """
        asked = self._asked.setdefault(ready.name, set())
        fresh = [
            name for name, one in workers.items() if (name, one) not in asked
        ]
        if not fresh:
            had = self._tickets.get(ready.name, {})
            fresh = [one for one in workers if one in had]
        return tuple(fresh[:WORKERS_PER_QUESTION])

    async def ask(self, ready: ReadyStep, workers: Mapping[str, int]) -> None:
        """Ask for some workers; the answer is kept.

        :param workers: the incarnations of the workers by their ids.
        """
        try:
            advice = await self._advisor.ask(ready.name, tuple(workers))
        except AdvisorError as error:
            events.log('advice_failed', step=ready.name, error=str(error))
            await self._clock.sleep(RETRY_S)
            return
        until_s = self._clock.monotonic_s() + advice.validity_s
        events.log(
            'advised',
            step=ready.name,
            asked=len(workers),
            good=len(advice.tickets),
            validity_s=advice.validity_s,
        )
        self._asked.setdefault(ready.name, set()).update(workers.items())
        kept = self._tickets.setdefault(ready.name, {})
        for worker_id, incarnation in workers.items():
            text = advice.tickets.get(worker_id)
            if text is not None:
                kept[worker_id] = Ticket(text, until_s, incarnation)

    def forget_except(self, job_ids: set[str]) -> None:
        """Drop what is kept of jobs that are over."""
        for kept in (self._tickets, self._asked):
            for name in list(kept):
                if name.split('.', 1)[0] not in job_ids:
                    kept.pop(name)


__all__ = ('Advice', 'Advisor', 'AdvisorError', 'TicketOffice')
