"""A short seeded soak of real host processes."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from bench.soak_hosts import Soak

#: Seeds that are played: the first, and each that ever failed, with its cause.
SEEDS = (1,)


class SoakTest(unittest.TestCase):
    """Kills, pauses, stops, cut links, and workers that come back."""

    def test_promises_hold_under_seeded_faults(self) -> None:
        """From what callers and workers see."""
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                soak = Soak(seed=seed, fault_s=6.0, folder=Path(folder))
                report = asyncio.run(soak.run())
            self.assertEqual(report['faults'], [], f'seed {seed}')
            self.assertGreater(report['accepted'], 10, f'seed {seed}')
