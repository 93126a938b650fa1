"""Hosts of unlike strength: who comes first for the leader's row."""

import unittest

from curranthill.dispatch.leadership import LeaderRow
from curranthill.tasks import decode, tables
from tests.domain import Domain, in_domain

STRONG_CORES = 2.15
WEAK_CORES = 0.5


def strength_in_row(domain: Domain) -> float:
    """Return the strength that the leader's row tells of."""
    row = domain.rows.rows[(tables.LEADER, tables.LEADER_KEY)]
    return decode(row.content, LeaderRow).strength_cores


def start_hosts(domain: Domain, *, strong: int, weak: int) -> None:
    """Start strong hosts s0, s1 and so on, and weak ones w0, w1 and so on."""
    for number in range(weak):
        domain.start_host(f'w{number}', strength_cores=WEAK_CORES)
    for number in range(strong):
        domain.start_host(f's{number}', strength_cores=STRONG_CORES)


async def someone_leads(domain: Domain, within_s: float) -> None:
    """Move time on until some host leads."""
    await domain.clock.until(lambda: bool(domain.leading()), within_s=within_s)


class StrengthTest(unittest.TestCase):
    """A strong host leads while one lives; then any other."""

    def test_a_strong_host_leads_from_the_start(self) -> None:
        """One among eight."""

        async def case(domain: Domain) -> None:
            start_hosts(domain, strong=1, weak=7)
            self.assertEqual((await domain.leader()).name, 's0')

        in_domain(case)

    def test_a_strong_host_follows_a_strong_leader_that_died(self) -> None:
        """It takes no longer than among equals."""

        async def case(domain: Domain) -> None:
            start_hosts(domain, strong=2, weak=6)
            await (await domain.leader()).kill()
            await someone_leads(domain, within_s=2.5)
            self.assertEqual(domain.leading()[0].name[0], 's')

        in_domain(case)

    def test_a_strong_host_follows_one_that_steps_down(self) -> None:
        """A planned change finds a leader within half a second."""

        async def case(domain: Domain) -> None:
            start_hosts(domain, strong=2, weak=6)
            first = await domain.leader()
            assert first.leader is not None
            first.election.resign()
            await first.during(first.leader.step_down())
            await domain.clock.until(
                lambda: any(one is not first for one in domain.leading()),
                within_s=0.6,
            )
            self.assertEqual(domain.leading()[0].name[0], 's')

        in_domain(case)

    def test_a_weak_host_leads_if_no_strong_one_lives(self) -> None:
        """It waits for one reading of the others longer, once."""

        async def case(domain: Domain) -> None:
            start_hosts(domain, strong=1, weak=3)
            await (await domain.leader()).kill()
            await someone_leads(domain, within_s=3.2)
            self.assertEqual(domain.leading()[0].name[0], 'w')
            self.assertEqual(strength_in_row(domain), WEAK_CORES)
            await domain.leading()[0].kill()
            await someone_leads(domain, within_s=2.5)

        in_domain(case)

    def test_a_strong_host_without_the_store_keeps_nobody_waiting(
        self,
    ) -> None:
        """It lives and cannot take over."""

        async def case(domain: Domain) -> None:
            start_hosts(domain, strong=2, weak=3)
            first = await domain.leader()
            other = 's1' if first.name == 's0' else 's0'
            domain.rows.down.add(other)
            await first.kill()
            await someone_leads(domain, within_s=3.2)
            self.assertEqual(domain.leading()[0].name[0], 'w')

        in_domain(case)

    def test_equal_hosts_take_over_as_soon_as_ever(self) -> None:
        """Also if all of them are weak, once one of them has led."""

        async def case(domain: Domain) -> None:
            start_hosts(domain, strong=0, weak=4)
            for _ in range(2):
                await (await domain.leader()).kill()
                await someone_leads(domain, within_s=2.5)

        in_domain(case)
