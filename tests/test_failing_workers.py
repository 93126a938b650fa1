"""Workers that fail what they start while their health is good."""

import unittest

from curranthill.tasks import Resources, Step, TaskKey
from tests.domain import ONE_GPU, Domain, in_domain, make_spec

FIRST = TaskKey('a1', 0, 0, 0)
EIGHT_GPUS = Resources(cpu_millis=8000, memory_mb=1024, gpus=8)
TWO_TASKS = Step(width=2, needs=ONE_GPU, estimate_s=1.0)
WHOLE = Step(width=1, needs=EIGHT_GPUS, estimate_s=1.5)


async def meet_failing_worker(domain: Domain) -> None:
    """Fill the sound worker, then add one that fails all it starts."""
    host = domain.start_host('h1')
    await domain.leader()
    await host.accept(make_spec('b1', WHOLE))
    await domain.clock.until(lambda: bool(domain.workers['w0'].runs))
    domain.add_worker('w9').failing = True
    await domain.clock.advance(0.1)


class LastAttemptTest(unittest.TestCase):
    """The only worker with room has just failed a run of the task."""

    def test_the_last_attempt_waits_for_a_sound_worker(self) -> None:
        """The other worker is free in just over a second."""

        async def case(domain: Domain) -> None:
            await meet_failing_worker(domain)
            await domain.leading()[0].accept(make_spec())
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(sorted(domain.starts(FIRST)), [1, 2])

        in_domain(case, workers=1, run_s=1.5)

    def test_a_task_that_fails_everywhere_ends(self) -> None:
        """No other worker comes, and the last attempt is made all the same."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.workers['w0'].failing = True
            await host.accept(make_spec())
            self.assertEqual(await domain.ended('a1', within_s=4), 'failed')
            self.assertEqual(domain.starts(FIRST), [1, 2])

        in_domain(case, workers=1)


class TrialTest(unittest.TestCase):
    """A worker that failed all it was given."""

    def test_no_member_of_a_gang_goes_to_it(self) -> None:
        """The gang waits for the sound worker, and starts once."""

        async def case(domain: Domain) -> None:
            await meet_failing_worker(domain)
            host = domain.leading()[0]
            await host.accept(make_spec('c1', TWO_TASKS, attempts=1))
            self.assertEqual(await domain.ended('c1'), 'failed')
            domain.add_worker('w8')
            await domain.clock.advance(0.1)
            gang = Step(width=2, needs=EIGHT_GPUS, estimate_s=1.0, gang=True)
            await host.accept(make_spec('a1', gang))
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(FIRST), [1])

        in_domain(case, workers=1, run_s=1.5)

    def test_it_is_given_one_task_at_a_time(self) -> None:
        """Eight would fit; those that it fails go elsewhere."""

        async def case(domain: Domain) -> None:
            await meet_failing_worker(domain)
            host = domain.leading()[0]
            await host.accept(make_spec('c1', TWO_TASKS, attempts=1))
            self.assertEqual(await domain.ended('c1'), 'failed')
            failing = domain.workers['w9']
            failing.failing = False
            failing.run_s = 0.5
            failing.most_runs = 0
            needs = Resources(cpu_millis=100, memory_mb=10, gpus=1)
            wide = Step(width=4, needs=needs, estimate_s=1.0)
            await host.accept(make_spec('a1', wide))
            await domain.clock.advance(0.4)
            self.assertEqual(failing.most_runs, 1)
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, workers=1, run_s=1.5)
