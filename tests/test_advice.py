"""Steps that wait for tickets share the advisor, which takes one question."""

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

#: How long a step may wait for tickets that others ask for, too, in seconds.
MOST_WAIT_S = 30.0

#: How long tickets are good for, in seconds.
VALIDITY_S = 3.0


class ChoosyAdvisor(FixedAdvisor):
    """Answers for all steps but those of one job."""

    def __init__(self, domain: Domain, bad_job: str) -> None:
        """Keep whose questions fail."""
        super().__init__(clock=domain.clock)
        self.good = set(domain.workers)
        self._bad_job = bad_job

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Answer after a while, unless the step is of that job."""
        advice = await super().ask(step_name, workers)
        if step_name.startswith(self._bad_job):
            raise AdvisorError('status 400', step='advise')
        return advice


class SlowAdvisor(FixedAdvisor):
    """Allows one worker, and takes half a second more for each question."""

    def __init__(self, domain: Domain) -> None:
        """Allow the first worker."""
        super().__init__(clock=domain.clock)
        self.good = {'w0'}
        self._domain = domain

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Answer after half a second."""
        await self._domain.clock.sleep(0.5)
        return await super().ask(step_name, workers)


class LoggingAdvisor:
    """Allows all workers but to some steps, and knows who was asked for.

    :param failing: names of steps whose questions fail.
    """

    def __init__(self) -> None:
        """Start with no question."""
        self.asked: list[str] = []
        self.failing: set[str] = set()

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Answer at once."""
        self.asked.append(step_name)
        if step_name in self.failing:
            raise AdvisorError('status 400', step='advise')
        tickets = dict.fromkeys(workers, 'ticket')
        return Advice(tickets, validity_s=VALIDITY_S)


async def starts_in_time(domain: Domain, job_id: str) -> bool:
    """Return whether a job's first task starts in time."""
    until_s = domain.clock.monotonic_s() + MOST_WAIT_S
    while domain.clock.monotonic_s() < until_s:
        await domain.clock.advance(0.5)
        if domain.starts(TaskKey(job_id, 0, 0, 0)):
            return True
    return False


class SharedAdvisorTest(unittest.TestCase):
    """What others ask for holds nobody up."""

    def test_a_step_without_an_answer_does_not_hold_up_others(self) -> None:
        """It comes first in each round, and its questions fail."""

        async def case(domain: Domain) -> None:
            domain.advisor = ChoosyAdvisor(domain, 'a1')
            host = domain.start_host('h1')
            await domain.leader()
            for job_id in ('a1', 'a2'):
                await host.accept(make_spec(job_id, advisor=True))
            self.assertTrue(await starts_in_time(domain, 'a2'))

        in_domain(case, workers=2)

    def test_wide_steps_of_few_workers_do_not_hold_up_others(self) -> None:
        """Their tickets lapse unused and are asked for again in turn."""

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


class Asker:
    """Asks what the office chooses; all tickets lapse in between."""

    def __init__(self, *, workers: int = 2) -> None:
        """Start with no step."""
        self.advisor = LoggingAdvisor()
        self.jobs: list[str] = []
        self._workers = {f'w{number}': 1 for number in range(workers)}
        self._clock = ManualClock()
        self._tickets = TicketCache(advisor=self.advisor, clock=self._clock)

    async def ask(self) -> str:
        """Ask one question; return the job that it is for."""
        question = self._tickets.choose(list(self._questions()))
        assert question is not None
        asking = asyncio.ensure_future(self._tickets.request(question))
        await self._clock.advance(VALIDITY_S + RETRY_S)
        await asking
        return question.ready.tasks[0].job_id

    async def asked(self, times: int) -> list[str]:
        """Ask so many questions; return the jobs that they are for."""
        return [await self.ask() for _ in range(times)]

    def _questions(self) -> Iterator[TicketRequest]:
        for job_id in self.jobs:
            key = TaskKey(job_id, 0, 0, 0)
            ready = ReadyStep(0, 0, Step(1, ONE_GPU), (key,))
            question = self._tickets.next_request(ready, self._workers)
            if question is not None:
                yield question


class QuestionOrderTest(unittest.TestCase):
    """Which of several questions is asked."""

    def test_repeated_questions_take_turns(self) -> None:
        """Tickets of all three lapse over and over."""

        async def case() -> None:
            asker = Asker()
            asker.jobs = ['a1', 'a2', 'a3']
            self.assertEqual(await asker.asked(9), asker.jobs * 3)

        run(case())

    def test_failed_questions_take_turns_with_repeated_ones(self) -> None:
        """One that fails is not asked again at once."""

        async def case() -> None:
            asker = Asker()
            asker.jobs = ['a1', 'a2', 'a3']
            asker.advisor.failing = {'a1.0.0'}
            self.assertEqual(await asker.asked(9), asker.jobs * 3)

        run(case())

    def test_a_first_question_goes_before_repeated_ones(self) -> None:
        """It comes last in the steps' order."""

        async def case() -> None:
            asker = Asker()
            asker.jobs = ['a1', 'a2']
            await asker.asked(5)
            asker.jobs.append('z1')
            self.assertEqual(await asker.ask(), 'z1')

        run(case())

    def test_repeated_questions_wait_for_a_few_first_ones_only(self) -> None:
        """A new step comes with each question."""

        async def case() -> None:
            asker = Asker()
            asker.jobs = ['a1']
            await asker.ask()
            asked = []
            for number in range(2 * FIRST_REQUESTS_PER_REPEAT):
                asker.jobs.insert(0, f'b{number}')
                asked.append(await asker.ask())
            self.assertIn('a1', asked)

        run(case())

    def test_a_step_is_asked_for_all_workers_first(self) -> None:
        """Three questions name them all; then the next step's turn comes."""

        async def case() -> None:
            asker = Asker(workers=2 * WORKERS_PER_REQUEST + 1)
            asker.jobs = ['a1', 'a2']
            self.assertEqual(await asker.asked(4), ['a1', 'a1', 'a1', 'a2'])

        run(case())


if __name__ == '__main__':
    unittest.main()
