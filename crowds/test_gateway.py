"""A gateway holds no more than its machine has, whatever its clients send."""

import asyncio
import tempfile
import time
import unittest
from pathlib import Path
from typing import Final
from urllib.parse import urlsplit

from bench.processes import ROOT, Processes, post_json
from crowds.bed import PATIENCE_S, play
from crowds.measure import MEGABYTE

#: The memory of a gateway without other settings, in megabytes.
MEMORY_MB: Final = 256

CONNECTIONS: Final = 250

_FOLDER: Final = ROOT / 'examples' / 'tenggara' / 'configuration'


class GatewayBed:
    """One gateway of a deployment on loopback."""

    target = 'gateway'

    def __init__(self, *, processes: Processes) -> None:
        """Take the first gateway of the deployment."""
        self._url = processes.gateways[0]
        self.process = processes.running[processes.process_names('gateway')[0]]

    @property
    def pid(self) -> int:
        """Return the process."""
        return self.process.pid

    @property
    def port(self) -> int:
        """Return the port that serves callers."""
        return urlsplit(self._url).port or 0

    async def is_request_served(self) -> bool:
        """Submit one ordinary job, trying again as callers do."""
        return await asyncio.to_thread(self._submit)

    def _submit(self) -> bool:
        path = 'v1/workspaces/gearbox/kinds/fatigue-sweep/requests'
        until_s = time.monotonic() + PATIENCE_S
        while time.monotonic() < until_s:
            try:
                post_json(
                    f'{self._url}/{path}',
                    {'run_s': 0.1},
                    token='demo-gearbox',  # noqa: S106
                )
            except OSError:
                time.sleep(0.2)
            else:
                return True
        return False


class GatewayCrowdTest(unittest.TestCase):
    """The process lives, stays within its bounds and serves a request."""

    def setUp(self) -> None:
        """Start a deployment."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.processes = Processes(
            folder=_FOLDER,
            work_folder=Path(folder.name) / 'run',
        )
        self.addCleanup(self.processes.stop)
        self.processes.start()

    def play(self, name: str) -> None:
        """Play a crowd and check the gateway."""
        bed = GatewayBed(processes=self.processes)
        sent, held, is_served = asyncio.run(play(name, CONNECTIONS, bed))
        print(  # noqa: WPS421
            f'{name}: {held.memory_bytes // MEGABYTE} MB, {held.sockets}'
            f' sockets; {sent}',
        )
        self.assertIsNone(bed.process.poll(), 'the process ended')
        self.assertLess(
            held.memory_bytes, MEMORY_MB * MEGABYTE, 'memory in bytes'
        )
        self.assertTrue(is_served, 'no ordinary request was served')

    def test_large_heads(self) -> None:
        """110 header fields of 8,000 characters each."""
        self.play('large_heads')

    def test_short_bodies(self) -> None:
        """Large bodies that stop just short of their end."""
        self.play('short_bodies')

    def test_short_chunked_bodies(self) -> None:
        """Large chunks that stop just short of their end."""
        self.play('short_chunked_bodies')

    def test_pipelined_bodies(self) -> None:
        """Large bodies on the same connections, answers unread."""
        self.play('pipelined_bodies')
