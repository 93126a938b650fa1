"""Tickets for queues whose policy allows only some workers to run a step.

Only an external advisor knows the policy. It handles one call at a time, so
the calls are sequential and name many workers each, and the steps that wait
for tickets share it: first requests go before repeated ones, and repeated
requests are sent in rotation.
"""

from collections.abc import Mapping, Sequence
from itertools import count
from typing import Any, Final, NamedTuple, Protocol

from curranthill.clock import Clock
from curranthill.errors import CurranthillError
from curranthill.placement import ReadyStep
from curranthill.telemetry.events import events

#: Workers named in one request: the advisor takes longer for each of them.
WORKERS_PER_REQUEST: Final = 30

#: How many first requests may be sent while a repeated one waits.
FIRST_REQUESTS_PER_REPEAT: Final = 4

#: The most steps whose tickets are cached: a job may have many occurrences.
MAX_CACHED_STEPS: Final = 4096

#: The delay after a request without a response, in seconds.
RETRY_S: Final = 0.3

#: A ticket is not used for the last part of its validity, in seconds: a start
#: may be under way for this long.
TICKET_MARGIN_S: Final = 0.7


class Advice(NamedTuple):
    """The response of an advisor.

    :param tickets: by the ids of the workers that may run the step.
    :param validity_s: how long the tickets are valid, in seconds.
    """

    tickets: dict[str, str]
    validity_s: float


class AdvisorError(CurranthillError):
    """The advisor did not respond, or has too many requests queued."""


class Advisor(Protocol):
    """The interface to the service that knows the policy."""

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Request tickets for those of the workers that may run a step.

        :raises AdvisorError: if there was no response.
        """


class Ticket(NamedTuple):
    """A worker's permission to run a step.

    :param until_s: the end of its validity on the leader's monotonic clock.
    :param incarnation: the worker's incarnation; no other accepts the ticket.
    """

    text: str
    until_s: float
    incarnation: int


class TicketRequest(NamedTuple):
    """A request for tickets that may be sent next for a step.

    :param workers: the incarnations of the workers by their ids.
    :param repeated: whether tickets for the workers were requested before, or
        the step's last request failed.
    """

    ready: ReadyStep
    workers: dict[str, int]
    repeated: bool


class TicketCache:
    """Requests tickets and caches them while they are valid."""

    def __init__(self, *, advisor: Advisor, clock: Clock) -> None:
        """Initialize an empty cache."""
        self._advisor = advisor
        self._clock = clock
        self._tickets: dict[str, dict[str, Ticket]] = {}
        self._requested: dict[str, set[tuple[str, int]]] = {}
        self._failed: dict[str, bool] = {}
        self._next_numbers = count(1)
        self._request_numbers: dict[str, int] = {}
        self._first_requests = 0

    def valid_tickets(
        self,
        ready: ReadyStep,
        incarnations: Mapping[str, int],
    ) -> dict[str, str]:
        """Return the valid tickets of a step by worker.

        :param incarnations: of the workers that may be used now, by their ids.
        """
        now_s = self._clock.monotonic_s() + TICKET_MARGIN_S
        cached = self._tickets.get(ready.name, {})
        usable = incarnations.items()
        return {
            worker_id: ticket.text
            for worker_id, ticket in cached.items()
            if ticket.until_s > now_s
            and (worker_id, ticket.incarnation) in usable
        }

    def next_request(
        self,
        ready: ReadyStep,
        workers: Mapping[str, int],
    ) -> TicketRequest | None:
        """Return the next request for a step, or None if there is none.

        Tickets are requested once for each incarnation of a worker. When that
        is done and no ticket is valid any more, they are requested again for
        the workers that had one.

        :param workers: the incarnations of the workers by their ids.
        """
        requested = self._requested.get(ready.name, set())
        chosen = [one for one in workers.items() if one not in requested]
        repeated = not chosen or self._failed.get(ready.name, False)
        if not chosen:
            cached = self._tickets.get(ready.name, {})
            chosen = [one for one in workers.items() if one[0] in cached]
        if not chosen:
            return None
        return TicketRequest(
            ready, dict(chosen[:WORKERS_PER_REQUEST]), repeated
        )

    def choose(self, requests: Sequence[TicketRequest]) -> TicketRequest | None:
        """Return the request to send now.

        :param requests: at most one of each step, in the order of the steps.
        """
        first = next((one for one in requests if not one.repeated), None)
        repeats = [one for one in requests if one.repeated]
        due = self._first_requests >= FIRST_REQUESTS_PER_REPEAT
        if first is not None and not (due and repeats):
            return first
        return min(repeats, key=self._last_request_number, default=None)

    async def request(self, request: TicketRequest) -> None:
        """Request tickets for some workers and cache those in the response."""
        self._drop_oldest()
        self._record_request(request)
        name, workers = request.ready.name, request.workers
        try:
            advice = await self._advisor.ask(name, tuple(workers))
        except AdvisorError as error:
            self._failed[name] = True
            events.log('advice_failed', step=name, error=str(error))
            await self._clock.sleep(RETRY_S)
            return
        self._failed[name] = False
        until_s = self._clock.monotonic_s() + advice.validity_s
        events.log(
            'advised',
            step=name,
            asked=len(workers),
            good=len(advice.tickets),
            validity_s=advice.validity_s,
        )
        self._requested.setdefault(name, set()).update(workers.items())
        cached = self._tickets.setdefault(name, {})
        for worker_id, incarnation in workers.items():
            text = advice.tickets.get(worker_id)
            if text is not None:
                cached[worker_id] = Ticket(text, until_s, incarnation)

    def retain_jobs(self, job_ids: set[str]) -> None:
        """Remove everything cached for jobs other than the given ones."""
        caches: tuple[dict[str, Any], ...] = (
            self._tickets,
            self._requested,
            self._failed,
            self._request_numbers,
        )
        for cache in caches:
            for name in list(cache):
                if name.split('.', 1)[0] not in job_ids:
                    cache.pop(name)

    def _drop_oldest(self) -> None:
        """Bound the steps with cached tickets; others are asked for again."""
        caches: tuple[dict[str, Any], ...] = (
            self._tickets,
            self._requested,
            self._failed,
            self._request_numbers,
        )
        for cache in caches:
            while len(cache) > MAX_CACHED_STEPS:
                cache.pop(next(iter(cache)))

    def _record_request(self, request: TicketRequest) -> None:
        """Record a request for the order of the following ones."""
        self._request_numbers[request.ready.name] = next(self._next_numbers)
        if request.repeated:
            self._first_requests = 0
        else:
            self._first_requests += 1

    def _last_request_number(self, request: TicketRequest) -> int:
        """Return the number of a step's last request, 0 if there was none."""
        return self._request_numbers.get(request.ready.name, 0)


__all__ = ('Advice', 'Advisor', 'AdvisorError', 'TicketCache', 'TicketRequest')
