"""Writes the configuration of a soak and finds hosts that use an old one."""

import asyncio
import json
import random
from collections.abc import Sequence
from typing import Any, Final

import aiohttp

from curranthill.clock import Clock
from curranthill.standin.rows import RowStoreModel
from curranthill.storage.rows import RowPut

#: How soon a change must be in force on every host that serves requests, in
#: seconds.
MAX_APPLY_S: Final = 3.0

#: The interval between checks of a random host's version, in seconds.
CHECK_INTERVAL_S: Final = 0.1

#: The longest wait for a response, in seconds.
REQUEST_TIMEOUT_S: Final = 2.0

_OK: Final = 200
_NOT_FOUND: Final = 404

#: The fields of each queue besides its name and path.
QUEUE: Final = {
    'host': 'jobs.example',
    'service': 'calc',
    'slack_factor': 2.0,
    'target_completion_ms': 500,
    'public': True,
}


class SoakRevisions:
    """Writes configurations, each with one queue that no other has.

    A host's response for that queue shows which version the host uses.

    :param outdated: one sentence for each response by an outdated version.
    :param unused_queues: how many further queues each configuration has.
    """

    def __init__(
        self,
        *,
        rows: RowStoreModel,
        clock: Clock,
        addresses: Sequence[str],
        queues: Sequence[dict[str, Any]],
        rng: random.Random,
    ) -> None:
        """Initialize without a written configuration."""
        self.outdated: list[str] = []
        self.unused_queues = 0
        self._rows = rows
        self._clock = clock
        self._addresses = addresses
        self._queues = queues
        self._rng = rng
        self._version = 0
        self._written_s = 0.0

    def write(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        self._written_s = self._clock.monotonic_s()
        names = [f'only-{self._version}']
        names.extend(f'unused-{number}' for number in range(self.unused_queues))
        queues = [
            {**QUEUE, 'name': name, 'path_prefix': f'/{name}/'}
            for name in names
        ]
        fields = {
            'version': self._version,
            'routes': [*self._queues, *queues],
        }
        put = RowPut('op', 'config', json.dumps(fields).encode())
        self._rows.apply((), (put,), ())

    async def run(self) -> None:
        """Check which version random hosts use, until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                host = self._rng.choice(self._addresses)
                await self._check_version(
                    session, host, self._version, _NOT_FOUND
                )
                await self._check_version(session, host, self._version - 1, _OK)

    async def _check_version(
        self,
        session: aiohttp.ClientSession,
        host: str,
        version: int,
        outdated_status: int,
    ) -> None:
        """Request the queue of a version; record an outdated response.

        :param outdated_status: the status that only an outdated version gives.
        """
        newest = self._version
        is_due = self._clock.monotonic_s() - self._written_s > MAX_APPLY_S
        try:
            async with session.get(
                f'{host}/only-{version}/',
                headers={'Host': 'jobs.example'},
            ) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        if is_due and status == outdated_status and newest == self._version:
            self.outdated.append(
                f'{host} responds with {status} for version {version}, and '
                f'version {newest} was written more than {MAX_APPLY_S} s '
                'earlier',
            )


__all__ = ('MAX_APPLY_S', 'QUEUE', 'SoakRevisions')
