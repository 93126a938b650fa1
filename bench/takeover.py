"""Measures how long no orders are sent after the loss of a leader.

This is the time from the loss to the first start of a job that is submitted
right after it, with a manual clock and the stand-ins.
"""

import asyncio
import json
import random
import statistics
from collections.abc import Awaitable, Callable

from curranthill.tasks import TaskKey
from tests.domain import Domain, TestHost, make_spec
from tests.support import run

LOSSES_PER_KIND = 20
STANDBYS = 11

LeaderLoss = Callable[[Domain, TestHost], Awaitable[None]]


async def kill(domain: Domain, leader: TestHost) -> None:
    """Kill the leader's process."""
    await leader.kill()


async def step_down(domain: Domain, leader: TestHost) -> None:
    """Make the leader step down, then stop it."""
    assert leader.leader is not None
    task = asyncio.ensure_future(leader.leader.step_down())
    await domain.clock.advance(0.02)
    await task
    await leader.kill()


async def cut_store(domain: Domain, leader: TestHost) -> None:
    """Make the store unresponsive for the leader only."""
    domain.rows.unresponsive_hosts.add(leader.name)


async def measure_outage_s(loss: LeaderLoss, seed: int) -> float:
    """Return the time from one loss to the next start order, in seconds."""
    random.seed(seed)
    domain = Domain(workers=4)
    domain.others = STANDBYS
    for number in range(STANDBYS + 1):
        domain.start_host(f'h{number}')
    leader = await domain.leader()
    # The loss occurs at any moment between two reads of the standbys.
    await domain.clock.advance(3 + random.random())
    began_s = domain.clock.monotonic_s()
    await loss(domain, leader)
    standby = next(one for one in domain.hosts.values() if one is not leader)
    key = TaskKey('a1', 0, 0, 0)
    accepting = asyncio.ensure_future(standby.handler.accept(make_spec(), 3.0))
    while not domain.starts(key):
        await domain.clock.advance(0.01)
    await accepting
    took_s = domain.clock.monotonic_s() - began_s
    await domain.close()
    return took_s


def main() -> None:
    """Print the median and the longest outage for each kind of loss."""
    for loss in (kill, step_down, cut_store):
        times_s = [
            run(measure_outage_s(loss, seed)) for seed in range(LOSSES_PER_KIND)
        ]
        print(
            json.dumps(
                {
                    'loss': loss.__name__,
                    'losses': LOSSES_PER_KIND,
                    'median_s': round(statistics.median(times_s), 2),
                    'worst_s': round(max(times_s), 2),
                },
            ),
        )


if __name__ == '__main__':
    main()
