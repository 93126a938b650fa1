"""Measures what tasks that crash their workers cost the other jobs.

    python -m bench.crashes [--seed N] [--seeds N] [--no-limit]

Random jobs of one task each run on 24 workers of eight accelerators, with the
real leader, the stand-in's workers and a manual clock. Some of the tasks crash
each worker that starts them. For 1, 3 and 10 such tasks among 200 other jobs it
prints the workers that each of them crashed, the seconds of the other jobs'
runs that were lost, how many of the other jobs were given up, and how many were
completed by their objective.
"""

import argparse
import random
from typing import Final, NamedTuple
from unittest.mock import patch

from curranthill.dispatch import crashes
from curranthill.tasks import Resources, Step, TaskKey
from tests.domain import Domain, in_domain, make_spec

WORKERS: Final = 24
OTHER_JOBS: Final = 200

#: How long jobs arrive, in seconds: this fills about half of the cluster.
ARRIVALS_S: Final = 30.0

#: The run time of each task, in seconds.
RUN_S: Final = 4.0

#: How long the simulation continues after the last arrival, in seconds.
TAIL_S: Final = 60.0

#: More losses than can occur, to measure without a limit.
NO_LIMIT: Final = 1_000_000

#: What a task's number of accelerators is drawn from.
GPU_COUNTS: Final = (1, 1, 2, 4, 8)


class Scenario(NamedTuple):
    """The crashes of one simulation.

    :param crashing: how many tasks crash each worker that starts them.
    :param same_id: whether crashed workers restart under their old id.
    :param after_s: the time from a task's start to the crash, in seconds.
    """

    crashing: int
    same_id: bool
    after_s: float


class CrashCost(NamedTuple):
    """The cost of the crashes.

    :param crashed: the crashes of workers per crashing task.
    :param lost_s: the lost run time of the other jobs, in seconds.
    :param given_up: how many of the other jobs failed.
    :param on_time: how many of the other jobs completed by their objective.
    """

    crashed: float
    lost_s: float
    given_up: int
    on_time: int


def measure(scenario: Scenario, seed: int) -> CrashCost:
    """Simulate one scenario."""
    costs: list[CrashCost] = []

    async def run(domain: Domain) -> None:
        costs.append(await _run_jobs(domain, scenario, random.Random(seed)))

    in_domain(run, workers=WORKERS, run_s=RUN_S)
    return costs[0]


async def _run_jobs(
    domain: Domain, scenario: Scenario, rng: random.Random
) -> CrashCost:
    host = domain.start_host('h1')
    await domain.leader()
    domain.same_id = scenario.same_id
    for worker in domain.workers.values():
        worker.crash_after_s = scenario.after_s
    names = [f'bad{number}' for number in range(scenario.crashing)]
    domain.crashing.update(TaskKey(name, 0, 0, 0) for name in names)
    names += [f'job{number}' for number in range(OTHER_JOBS)]
    rng.shuffle(names)
    objectives_s = {}
    for name in names:
        needs = Resources(4000, 1024, rng.choice(GPU_COUNTS))
        spec = make_spec(
            name,
            Step(width=1, needs=needs, estimate_s=RUN_S),
            priority=rng.choice((0, 1, 2)),
            accepted_at_s=domain.clock.wall_s(),
        )
        objectives_s[name] = spec.objective_s
        await host.accept(spec)
        await domain.clock.advance(ARRIVALS_S / len(names))
    await domain.clock.advance(TAIL_S)
    return _crash_cost(domain, scenario, objectives_s)


def _crash_cost(
    domain: Domain,
    scenario: Scenario,
    objectives_s: dict[str, float],
) -> CrashCost:
    others = [name for name in objectives_s if name.startswith('job')]
    crashed = sum(len(one.crashes) for one in domain.workers.values())
    progress = {name: domain.progress(name) for name in others}
    return CrashCost(
        crashed=crashed / scenario.crashing,
        lost_s=sum(one.lost_run_time_s for one in domain.workers.values()),
        given_up=sum(one.state == 'failed' for one in progress.values()),
        on_time=sum(
            one.state == 'completed' and one.ended_at_s <= objectives_s[name]
            for name, one in progress.items()
        ),
    )


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--no-limit', action='store_true')
    options = parser.parse_args()
    max_losses = NO_LIMIT if options.no_limit else crashes.MAX_LOSSES
    max_prompt_crashes = (
        NO_LIMIT if options.no_limit else crashes.MAX_PROMPT_CRASHES
    )
    print('crashing  id     after_s  crashed_each  lost_s  given_up  on_time')
    with (
        patch.object(crashes, 'MAX_LOSSES', max_losses),
        patch.object(crashes, 'MAX_PROMPT_CRASHES', max_prompt_crashes),
    ):
        for crashing in (1, 3, 10):
            for same_id in (True, False):
                for after_s in (0.01, 1.0, RUN_S - 0.1):
                    scenario = Scenario(crashing, same_id, after_s)
                    _print_mean(scenario, options.seed, options.seeds)


def _print_mean(scenario: Scenario, seed: int, seeds: int) -> None:
    costs = [measure(scenario, seed + number) for number in range(seeds)]
    mean = [sum(parts) / seeds for parts in zip(*costs, strict=True)]
    id_kind = 'same' if scenario.same_id else 'other'
    print(
        f'{scenario.crashing:8}  {id_kind:5}  {scenario.after_s:7.2f}'
        f'  {mean[0]:12.2f}  {mean[1]:6.1f}  {mean[2]:8.2f}  {mean[3]:7.1f}',
    )


if __name__ == '__main__':
    _main()
