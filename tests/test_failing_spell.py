"""A load under which some workers fail what they start for a few seconds."""

import random
import unittest

from curranthill.tasks import JobSpec, Resources, Step
from tests.domain import ONE_GPU, Domain, in_domain, make_spec

LOADS = 4
WORKERS = 24
JOBS = 40
INTERVAL_S = 0.25
SPELL_FROM_S = 5.0
SPELL_S = 7.0
WHOLE = Resources(cpu_millis=8000, memory_mb=1024, gpus=8)


def drawn_job(draw: random.Random, number: int) -> JobSpec:
    """Return a gang of whole workers, or many small tasks."""
    if draw.getrandbits(1):
        step = Step(
            width=draw.randint(2, 6),
            needs=WHOLE,
            estimate_s=2.0,
            gang=True,
        )
    else:
        step = Step(width=draw.randint(4, 24), needs=ONE_GPU, estimate_s=2.0)
    return make_spec(f'j{number}', step, accepted_at_s=1_700_000_000.0)


async def play(domain: Domain, *, seed: int, bad: int, share: float) -> int:
    """Hand jobs in while a spell lasts; return how many ended as failed.

    :param bad: how many workers fail.
    :param share: of the tasks that they start meanwhile.
    """
    draw = random.Random(seed)  # noqa: S311
    host = domain.start_host('h1')
    await domain.leader()
    began_s = domain.clock.monotonic_s()

    def fails() -> bool:
        since_s = domain.clock.monotonic_s() - began_s - SPELL_FROM_S
        return 0 <= since_s < SPELL_S and draw.random() < share

    for name in draw.sample(sorted(domain.workers), bad):
        domain.workers[name].fails_start = fails
    for number in range(JOBS):
        await host.accept(drawn_job(draw, number))
        await domain.clock.advance(INTERVAL_S)
    ends = [await domain.ended(f'j{one}') for one in range(JOBS)]
    return ends.count('failed')


class SpellTest(unittest.TestCase):
    """Jobs of two attempts, a full cluster, and some of it that fails."""

    def failed(self, *, bad: int, share: float) -> list[int]:
        """Return the failed jobs of each drawn load."""
        counts: list[int] = []

        async def case(domain: Domain) -> None:
            seed = len(counts)
            counts.append(await play(domain, seed=seed, bad=bad, share=share))

        while len(counts) < LOADS:
            in_domain(case, workers=WORKERS, run_s=2.0)
        return counts

    def test_a_sixth_that_fails_all_fails_hardly_a_job(self) -> None:
        """One of the 160 jobs at most."""
        self.assertLessEqual(sum(self.failed(bad=4, share=1.0)), 1)

    def test_a_sixth_that_fails_half_fails_hardly_a_job(self) -> None:
        """One of the 160 jobs at most."""
        self.assertLessEqual(sum(self.failed(bad=4, share=0.45)), 1)

    def test_a_third_that_fails_nearly_all_fails_hardly_a_job(self) -> None:
        """One of the 160 jobs at most."""
        self.assertLessEqual(sum(self.failed(bad=8, share=0.8)), 1)
