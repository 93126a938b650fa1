"""The configuration of a soak, and hosts that decide by an outdated one."""

import asyncio
import json
import random
from collections.abc import Sequence
from typing import Any, Final

import aiohttp

from curranthill.clock import Clock
from curranthill.standin.rows import RowStoreModel
from curranthill.storage.rows import RowPut

#: How soon a change must be in force on every host that decides, in seconds.
IN_FORCE_S: Final = 3.0

#: How often some host is asked by which version it decides, in seconds.
ASK_INTERVAL_S: Final = 0.1

#: How long an answer is waited for, in seconds.
PATIENCE_S: Final = 2.0

_OK: Final = 200
_NOT_FOUND: Final = 404

#: What each queue has beside its name and path.
QUEUE: Final = {
    'host': 'jobs.example',
    'service': 'calc',
    'slack_factor': 2.0,
    'target_completion_ms': 500,
    'public': True,
}


class SoakRevisions:
    """Writes configurations, each with one queue that no other has.

    :param outdated: answers by a version that was replaced too long ago.
    :param padding: how many queues that nobody uses each one has besides.
    """

    def __init__(
        self,
        *,
        rows: RowStoreModel,
        clock: Clock,
        addresses: Sequence[str],
        queues: Sequence[dict[str, Any]],
        drawn: random.Random,
    ) -> None:
        """Start with nothing written."""
        self.outdated: list[str] = []
        self.padding = 0
        self._rows = rows
        self._clock = clock
        self._addresses = addresses
        self._queues = queues
        self._drawn = drawn
        self._version = 0
        self._written_s = 0.0

    def write(self) -> None:
        """Put the next version in force."""
        self._version += 1
        self._written_s = self._clock.monotonic_s()
        names = [f'only-{self._version}']
        names.extend(f'unused-{number}' for number in range(self.padding))
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
        """Ask hosts by which version they decide, until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(ASK_INTERVAL_S)
                host = self._drawn.choice(self._addresses)
                await self._ask(session, host, self._version, _NOT_FOUND)
                await self._ask(session, host, self._version - 1, _OK)

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        host: str,
        version: int,
        wrong: int,
    ) -> None:
        """Ask for the queue of a version; keep an answer that is wrong."""
        newest = self._version
        due = self._clock.monotonic_s() - self._written_s > IN_FORCE_S
        try:
            async with session.get(
                f'{host}/only-{version}/',
                headers={'Host': 'jobs.example'},
            ) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        if due and status == wrong and newest == self._version:
            self.outdated.append(
                f'{host} answers {status} for version {version}, and version '
                f'{newest} was written more than {IN_FORCE_S} s before',
            )


__all__ = ('IN_FORCE_S', 'QUEUE', 'SoakRevisions')
