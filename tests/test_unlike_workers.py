"""What a leader makes of workers of unlike speed."""

import unittest

from curranthill.dispatch.session import WorkerSession
from curranthill.placement import Speed
from curranthill.tasks import Step
from tests.domain import ONE_GPU, Domain, in_domain, make_spec

#: How long a task takes, in seconds, on a usual worker and on a slow one.
USUAL_S = 2.0
SLOW_S = 4.5

#: Steps that tell enough of a worker.
STEPS = 12


async def busy(domain: Domain) -> None:
    """Have all workers run tasks of several jobs, one after the other."""
    host = domain.start_host('h1')
    await domain.leader()
    step = Step(width=24, needs=ONE_GPU, estimate_s=USUAL_S, max_per_worker=3)
    for number in range(STEPS):
        await host.accept(make_spec(f'a{number}', step))
        await domain.ended(f'a{number}')


def speed_of(domain: Domain, name: str) -> Speed:
    """Return what the leader knows of a worker."""
    leader = domain.leading()[0].leader
    assert leader is not None
    session: WorkerSession = domain.session(name)
    return leader.work.learning.speed_of(session)


class LearningTest(unittest.TestCase):
    """A leader learns from the reports alone."""

    def test_a_slow_worker_is_known_after_some_steps(self) -> None:
        """One of eight takes over twice as long."""

        async def case(domain: Domain) -> None:
            domain.workers['w3'].run_s = SLOW_S
            await busy(domain)
            known = speed_of(domain, 'w3').factor
            self.assertAlmostEqual(known, USUAL_S / SLOW_S, delta=0.1)
            for name in ('w0', 'w1', 'w7'):
                self.assertEqual(speed_of(domain, name).factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)

    def test_delayed_reports_make_no_worker_slow(self) -> None:
        """Each answer of all workers is half a second on its way."""

        async def case(domain: Domain) -> None:
            domain.renewal_delay_s = 0.5
            domain.workers['w3'].run_s = SLOW_S
            await busy(domain)
            known = speed_of(domain, 'w3').factor
            self.assertAlmostEqual(known, USUAL_S / SLOW_S, delta=0.1)
            self.assertEqual(speed_of(domain, 'w0').factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)

    def test_a_worker_that_started_again_is_not_known(self) -> None:
        """Another machine may answer under its id."""

        async def case(domain: Domain) -> None:
            domain.workers['w3'].run_s = SLOW_S
            await busy(domain)
            self.assertLess(speed_of(domain, 'w3').factor, 0.6)
            domain.restart_worker('w3')
            await domain.clock.advance(3)
            self.assertEqual(speed_of(domain, 'w3').factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)
