"""A short seeded soak of real host processes."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any

from bench.soak_faults import kill
from bench.soak_hosts import Soak

#: The faults that there were when a seed failed: with more of them it would
#: draw others.
FORMER_FAULTS = (
    'bad_entry',
    'configuration',
    'kill',
    'pause',
    'reload_settings',
    'stop',
    'store_away',
    'store_history',
    'store_link',
    'worker_fails',
    'worker_link',
    'worker_replaced',
    'worker_restarts',
    'worker_restarts_behind_a_cut',
)

#: The same, with the faults that came after them.
LATER_FAULTS = tuple(
    sorted(
        (
            *FORMER_FAULTS,
            'configuration_unread',
            'data_centre_closes',
            'large_configuration',
            'task_crashes_workers',
            'worker_shrinks',
        ),
    ),
)

#: Seeds that are played, with seconds of faults: the first ones, and each that
#: ever failed, with the faults of its time. 3002: more work than the workers do
#: in the 45 s that the soak waited after the last fault; 36 to 40 of 40
#: accelerators were in use all the time, so it now waits as long as jobs go on
#: ending. 7305: hosts that had read nothing started tasks in a closed data
#: centre, since the soak did not tell them the bound that it checks.
SEEDS = (
    (1, 6.0, ()),
    (2, 6.0, ()),
    (3002, 10.0, FORMER_FAULTS),
    (7305, 10.0, LATER_FAULTS),
)


#: Seeds that are played with gangs and failed, with seconds of faults and how
#: many gangs are wider than all workers. 7940: everything waited behind those.
#: 7931: small jobs waited beside suspects and behind gangs of whole workers.
GANG_SEEDS = (
    (7940, 6.0, 3),
    (7931, 20.0, 0),
)


class EndedDuringRestarts(Soak):
    """A soak that ends while every host is being started again."""

    async def _start_host(self, number: int) -> asyncio.subprocess.Process:
        process = await super()._start_host(number)
        await asyncio.sleep(0.3)
        return process

    async def _inject(self) -> None:
        for _ in range(8):
            self._spawn(kill(self))
        await asyncio.sleep(0.15)

    async def _heal(self) -> None:
        self._callers.stopped.set()

    async def _await_ends(self) -> None:
        await asyncio.sleep(0.1)


async def played_with_gangs(folder: Path) -> list[dict[str, Any]]:
    """Play the seeds with gangs side by side; return their reports."""
    soaks = []
    for seed, fault_s, impossible in GANG_SEEDS:
        own = folder / str(seed)
        own.mkdir()
        soaks.append(
            Soak(
                seed=seed,
                fault_s=fault_s,
                folder=own,
                gangs=True,
                most_impossible=impossible,
            ),
        )
    return await asyncio.gather(*(soak.run() for soak in soaks))


class SoakTest(unittest.TestCase):
    """Kills, pauses, stops, cut links, and workers that come back."""

    def test_promises_hold_under_seeded_faults(self) -> None:
        """From what callers and workers see."""
        for seed, fault_s, faults in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                soak = Soak(
                    seed=seed,
                    fault_s=fault_s,
                    folder=Path(folder),
                    faults=faults,
                )
                report = asyncio.run(soak.run())
            self.assertEqual(report['faults'], [], f'seed {seed}')
            self.assertGreater(report['accepted'], 10, f'seed {seed}')

    def test_no_job_waits_beside_free_room(self) -> None:
        """Behind wide gangs, and beside suspects."""
        with tempfile.TemporaryDirectory() as folder:
            reports = asyncio.run(played_with_gangs(Path(folder)))
        for (seed, _, _), report in zip(GANG_SEEDS, reports, strict=True):
            self.assertEqual(report['faults'], [], f'seed {seed}')
            self.assertGreater(report['accepted'], 10, f'seed {seed}')

    def test_every_process_that_was_started_is_ended(self) -> None:
        """Also one whose start is under way when the soak ends."""
        with tempfile.TemporaryDirectory() as folder:
            soak = EndedDuringRestarts(
                seed=1,
                fault_s=0.0,
                folder=Path(folder),
            )
            asyncio.run(soak.run())
        left = [one.pid for one in soak.started if one.returncode is None]
        for one in soak.started:
            if one.returncode is None:
                one.kill()
        self.assertGreater(len(soak.started), 4)
        self.assertEqual(left, [])
