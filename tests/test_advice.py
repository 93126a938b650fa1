"""Steps that wait for tickets share an advisor that handles one request."""

import asyncio
import unittest
from collections.abc import Iterator

from curranthill.dispatch import Advice, AdvisorError
from curranthill.dispatch.advice import (
    FIRST_REQUESTS_PER_REPEAT,
    RETRY_S,
    WORKERS_PER_REQUEST,
    TicketCache,
    TicketRequest,
)
from curranthill.placement import ReadyStep
from curranthill.tasks import Step, TaskKey
from tests.domain import ONE_GPU, Domain, FixedAdvisor, in_domain, make_spec
from tests.support import ManualClock, run

#: How long a step may wait for tickets while others request some, in seconds.
MAX_WAIT_S = 30.0

#: How long tickets are valid, in seconds.
VALIDITY_S = 3.0


class SelectiveAdvisor(FixedAdvisor):
    """Responds for all steps but those of one job."""

    def __init__(self, domain: Domain, bad_job: str) -> None:
        """Initialize an advisor with the job whose requests fail."""
        super().__init__(clock=domain.clock)
        self.good = set(domain.workers)
        self._bad_job = bad_job

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Respond after a short delay, unless the step is of that job."""
        advice = await super().ask(step_name, workers)
        if step_name.startswith(self._bad_job):
            raise AdvisorError('status 400', step='advise')
        return advice


class SlowAdvisor(FixedAdvisor):
    """Allows one worker, and takes half a second longer for each request."""

    def __init__(self, domain: Domain) -> None:
        """Initialize an advisor that allows the first worker."""
        super().__init__(clock=domain.clock)
        self.good = {'w0'}
        self._domain = domain

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Respond after half a second."""
        await self._domain.clock.sleep(0.5)
        return await super().ask(step_name, workers)


class LoggingAdvisor:
    """Allows all workers for all steps but some, and records the requests.

    :param failing: names of steps whose requests fail.
    """

    def __init__(self) -> None:
        """Initialize an advisor without requests."""
        self.asked: list[str] = []
        self.failing: set[str] = set()

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Respond at once."""
        self.asked.append(step_name)
        if step_name in self.failing:
            raise AdvisorError('status 400', step='advise')
        tickets = dict.fromkeys(workers, 'ticket')
        return Advice(tickets, validity_s=VALIDITY_S)


async def starts_in_time(domain: Domain, job_id: str) -> bool:
    """Return whether a job's first task starts in time."""
    until_s = domain.clock.monotonic_s() + MAX_WAIT_S
    while domain.clock.monotonic_s() < until_s:
        await domain.clock.advance(0.5)
        if domain.starts(TaskKey(job_id, 0, 0, 0)):
            return True
    return False


class SharedAdvisorTest(unittest.TestCase):
    """The requests of one step do not block those of others."""

    def test_a_step_without_a_response_does_not_block_others(self) -> None:
        """It comes first in each round, and its requests fail."""

        async def case(domain: Domain) -> None:
            domain.advisor = SelectiveAdvisor(domain, 'a1')
            host = domain.start_host('h1')
            await domain.leader()
            for job_id in ('a1', 'a2'):
                await host.accept(make_spec(job_id, advisor=True))
            self.assertTrue(await starts_in_time(domain, 'a2'))

        in_domain(case, workers=2)

    def test_wide_steps_of_few_workers_do_not_block_others(self) -> None:
        """Their tickets expire unused and are requested again in rotation."""

        async def case(domain: Domain) -> None:
            domain.advisor = SlowAdvisor(domain)
            host = domain.start_host('h1')
            await domain.leader()
            wide = Step(9, ONE_GPU, gang=True, estimate_s=1.0)
            for number in range(6):
                spec = make_spec(f'b{number}', wide, advisor=True)
                await host.accept(spec)
            await domain.clock.advance(6.0)
            await host.accept(make_spec('z1', advisor=True))
            self.assertTrue(await starts_in_time(domain, 'z1'))

        in_domain(case, workers=2)


class Requester:
    """Sends the requests that the cache chooses; tickets expire in between."""

    def __init__(self, *, workers: int = 2) -> None:
        """Initialize a requester without steps."""
        self.advisor = LoggingAdvisor()
        self.jobs: list[str] = []
        self._workers = {f'w{number}': 1 for number in range(workers)}
        self._clock = ManualClock()
        self._tickets = TicketCache(advisor=self.advisor, clock=self._clock)

    async def request(self) -> str:
        """Send one request; return the job that it is for."""
        request = self._tickets.choose(list(self._requests()))
        assert request is not None
        sending = asyncio.ensure_future(self._tickets.request(request))
        await self._clock.advance(VALIDITY_S + RETRY_S)
        await sending
        return request.ready.tasks[0].job_id

    async def requested(self, times: int) -> list[str]:
        """Send some requests; return the jobs that they are for."""
        return [await self.request() for _ in range(times)]

    def _requests(self) -> Iterator[TicketRequest]:
        for job_id in self.jobs:
            key = TaskKey(job_id, 0, 0, 0)
            ready = ReadyStep(0, 0, Step(1, ONE_GPU), (key,))
            request = self._tickets.next_request(ready, self._workers)
            if request is not None:
                yield request


class RequestOrderTest(unittest.TestCase):
    """The order in which several requests are sent."""

    def test_repeated_requests_are_sent_in_rotation(self) -> None:
        """The tickets of all three steps keep expiring."""

        async def case() -> None:
            requester = Requester()
            requester.jobs = ['a1', 'a2', 'a3']
            self.assertEqual(await requester.requested(9), requester.jobs * 3)

        run(case())

    def test_failed_requests_rotate_with_repeated_ones(self) -> None:
        """A failed request is not sent again at once."""

        async def case() -> None:
            requester = Requester()
            requester.jobs = ['a1', 'a2', 'a3']
            requester.advisor.failing = {'a1.0.0'}
            self.assertEqual(await requester.requested(9), requester.jobs * 3)

        run(case())

    def test_a_first_request_goes_before_repeated_ones(self) -> None:
        """Its step is the last in the order of the steps."""

        async def case() -> None:
            requester = Requester()
            requester.jobs = ['a1', 'a2']
            await requester.requested(5)
            requester.jobs.append('z1')
            self.assertEqual(await requester.request(), 'z1')

        run(case())

    def test_repeated_requests_wait_for_a_few_first_ones_only(self) -> None:
        """A new step appears with each request."""

        async def case() -> None:
            requester = Requester()
            requester.jobs = ['a1']
            await requester.request()
            asked = []
            for number in range(2 * FIRST_REQUESTS_PER_REPEAT):
                requester.jobs.insert(0, f'b{number}')
                asked.append(await requester.request())
            self.assertIn('a1', asked)

        run(case())

    def test_a_step_requests_tickets_for_all_workers_first(self) -> None:
        """Three requests name all of them; the next step follows."""

        async def case() -> None:
            requester = Requester(workers=2 * WORKERS_PER_REQUEST + 1)
            requester.jobs = ['a1', 'a2']
            self.assertEqual(
                await requester.requested(4), ['a1', 'a1', 'a1', 'a2']
            )

        run(case())


if __name__ == '__main__':
    unittest.main()
