"""What tasks that crash their workers cost everybody else.

    python -m bench.crashes [--seed N] [--no-limit]

Drawn jobs of one task each on 24 workers of eight accelerators, some of them
crashing each worker that starts them, over the real leader and the stand-in's
workers, under a clock that is moved by hand. Prints, for 1, 3 and 10 such
tasks among 200 others: workers crashed for each, seconds of others' work that
were lost, others given up, and others that were completed in time.
"""

import argparse
import random
from typing import Final, NamedTuple
from unittest.mock import patch

from curranthill.dispatch import crashes
from curranthill.tasks import Resources, Step, TaskKey
from tests.domain import Domain, in_domain, make_spec

WORKERS: Final = 24
OTHERS: Final = 200

#: Jobs come over so long, in seconds: the cluster is then some half full.
ARRIVALS_S: Final = 30.0

#: What tasks take, in seconds.
RUN_S: Final = 4.0

#: How long is looked on after the last arrival, in seconds.
AFTER_S: Final = 60.0

#: More losses than any day has, for figures without a limit.
NO_LIMIT: Final = 1_000_000

#: Accelerators of a task, as drawn.
SIZES: Final = (1, 1, 2, 4, 8)


class Case(NamedTuple):
    """One load.

    :param crashing: tasks that crash each worker that starts them.
    :param same_id: whether workers come back under their ids.
    :param after_s: how long after the start.
    """

    crashing: int
    same_id: bool
    after_s: float


class Cost(NamedTuple):
    """What it cost.

    :param crashed: workers crashed, for each crashing task.
    :param lost_s: seconds of others' runs that were lost.
    :param given_up: others that were shown as failed.
    :param on_time: others that were completed by their objective.
    """

    crashed: float
    lost_s: float
    given_up: int
    on_time: int


def measure(case: Case, seed: int) -> Cost:
    """Play one load."""
    found: list[Cost] = []

    async def play(domain: Domain) -> None:
        found.append(await _play(domain, case, random.Random(seed)))

    in_domain(play, workers=WORKERS, run_s=RUN_S)
    return found[0]


async def _play(domain: Domain, case: Case, drawn: random.Random) -> Cost:
    host = domain.start_host('h1')
    await domain.leader()
    domain.same_id = case.same_id
    for worker in domain.workers.values():
        worker.crash_after_s = case.after_s
    names = [f'bad{number}' for number in range(case.crashing)]
    domain.crashing.update(TaskKey(name, 0, 0, 0) for name in names)
    names += [f'job{number}' for number in range(OTHERS)]
    drawn.shuffle(names)
    objectives_s = {}
    for name in names:
        needs = Resources(4000, 1024, drawn.choice(SIZES))
        spec = make_spec(
            name,
            Step(width=1, needs=needs, estimate_s=RUN_S),
            priority=drawn.choice((0, 1, 2)),
            accepted_at_s=domain.clock.wall_s(),
        )
        objectives_s[name] = spec.objective_s
        await host.accept(spec)
        await domain.clock.advance(ARRIVALS_S / len(names))
    await domain.clock.advance(AFTER_S)
    return _cost(domain, case, objectives_s)


def _cost(
    domain: Domain,
    case: Case,
    objectives_s: dict[str, float],
) -> Cost:
    others = [name for name in objectives_s if name.startswith('job')]
    crashed = sum(len(one.crashes) for one in domain.workers.values())
    ended = {name: domain.progress(name) for name in others}
    return Cost(
        crashed=crashed / case.crashing,
        lost_s=sum(one.lost_run_time_s for one in domain.workers.values()),
        given_up=sum(one.state == 'failed' for one in ended.values()),
        on_time=sum(
            one.state == 'completed' and one.ended_at_s <= objectives_s[name]
            for name, one in ended.items()
        ),
    )


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--no-limit', action='store_true')
    options = parser.parse_args()
    most = NO_LIMIT if options.no_limit else crashes.MAX_LOSSES
    prompt = NO_LIMIT if options.no_limit else crashes.MAX_PROMPT_CRASHES
    print('crashing  id     after_s  crashed_each  lost_s  given_up  on_time')
    with (
        patch.object(crashes, 'MAX_LOSSES', most),
        patch.object(crashes, 'MAX_PROMPT_CRASHES', prompt),
    ):
        for crashing in (1, 3, 10):
            for same_id in (True, False):
                for after_s in (0.01, 1.0, RUN_S - 0.1):
                    case = Case(crashing, same_id, after_s)
                    _show(case, options.seed, options.seeds)


def _show(case: Case, seed: int, seeds: int) -> None:
    costs = [measure(case, seed + number) for number in range(seeds)]
    mean = [sum(parts) / seeds for parts in zip(*costs, strict=True)]
    kind = 'same' if case.same_id else 'other'
    print(
        f'{case.crashing:8}  {kind:5}  {case.after_s:7.2f}  {mean[0]:12.2f}'
        f'  {mean[1]:6.1f}  {mean[2]:8.2f}  {mean[3]:7.1f}',
    )


if __name__ == '__main__':
    _main()
