"""How long no orders flow after a leader is lost, over many losses.

Under a clock that is moved by hand, against the stand-ins: from the loss to the
first start of a job that was handed in right after it.
"""

import asyncio
import json
import random
import statistics
from collections.abc import Awaitable, Callable

from curranthill.tasks import TaskKey
from tests.domain import Domain, TestHost, make_spec
from tests.support import run

LOSSES = 20
STANDBYS = 11

Loss = Callable[[Domain, TestHost], Awaitable[None]]


async def kill(domain: Domain, leader: TestHost) -> None:
    """End the leader's process."""
    await leader.kill()


async def step_down(domain: Domain, leader: TestHost) -> None:
    """Stop the leader as planned."""
    assert leader.leader is not None
    task = asyncio.ensure_future(leader.leader.step_down())
    await domain.clock.advance(0.02)
    await task
    await leader.kill()


async def cut_store(domain: Domain, leader: TestHost) -> None:
    """Take the store away from the leader only."""
    domain.rows.unresponsive_hosts.add(leader.name)


async def outage_s(loss: Loss, seed: int) -> float:
    """Return the seconds from one loss to the next order."""
    random.seed(seed)
    domain = Domain(workers=4)
    domain.others = STANDBYS
    for number in range(STANDBYS + 1):
        domain.start_host(f'h{number}')
    leader = await domain.leader()
    # Losses fall at any moment between two readings of the standbys.
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
    """Print the median and the worst of each kind of loss."""
    for loss in (kill, step_down, cut_store):
        times_s = [run(outage_s(loss, seed)) for seed in range(LOSSES)]
        print(
            json.dumps(
                {
                    'loss': loss.__name__,
                    'losses': LOSSES,
                    'median_s': round(statistics.median(times_s), 2),
                    'worst_s': round(max(times_s), 2),
                },
            ),
        )


if __name__ == '__main__':
    main()
