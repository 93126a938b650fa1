"""The callers of a soak: they hand in jobs and keep what they were told."""

import asyncio
import random
from typing import Any, Final

import aiohttp

#: Callers that keep to one connection for as long as it stays open.
FAITHFUL_CALLERS: Final = 3

#: How long a caller waits for an answer, in seconds.
PATIENCE_S: Final = 3.0

TRIES: Final = 5

_OK: Final = 200
_REFUSED: Final = 503


class SoakCallers:
    """Hands in jobs until it is told to stop.

    :param accepted: jobs that a host accepted.
    :param refused: jobs of which every answer said that they had not run.
    :param stopped: set once no new job is to be handed in.
    """

    def __init__(self, *, addresses: list[str], drawn: random.Random) -> None:
        """Start with no job handed in."""
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.stopped = asyncio.Event()
        self._addresses = addresses
        self._drawn = drawn

    async def run(self) -> None:
        """Call until stopped; return once each caller has its answer."""
        async with asyncio.TaskGroup() as callers:
            callers.create_task(self._call_anywhere())
            for number in range(FAITHFUL_CALLERS):
                callers.create_task(self._call_faithfully(number + 1))

    async def _call_anywhere(self) -> None:
        """Hand in jobs over shared connections, some at several hosts."""
        async with _session() as session, asyncio.TaskGroup() as callers:
            number = 0
            while not self.stopped.is_set():
                number += 1
                job_id = f'{number:016x}'
                callers.create_task(self._hand_in(session, job_id))
                await asyncio.sleep(self._drawn.uniform(0.05, 0.3))

    async def _call_faithfully(self, caller: int) -> None:
        """Use one connection to a host until the host ends it, and again."""
        number = 0
        while not self.stopped.is_set():
            async with _session(connections=1) as session:
                number = await self._use(session, caller, number)
            await asyncio.sleep(0.2)

    async def _use(
        self,
        session: aiohttp.ClientSession,
        caller: int,
        number: int,
    ) -> int:
        """Hand in jobs at one host; return the number of the last."""
        host = self._drawn.choice(self._addresses)
        answer = _OK
        while answer and not self.stopped.is_set():
            number += 1
            job_id = f'{caller:04x}{number:012x}'
            answer = await self._post(session, host, job_id, self._job())
            if answer == _OK:
                self.accepted.add(job_id)
            elif answer == _REFUSED:
                self.refused.add(job_id)
            await asyncio.sleep(self._drawn.uniform(0.1, 0.6))
        return number

    async def _hand_in(
        self,
        session: aiohttp.ClientSession,
        job_id: str,
    ) -> None:
        job = self._job()
        answers = set()
        for _ in range(TRIES):
            host = self._drawn.choice(self._addresses)
            answers.add(await self._post(session, host, job_id, job))
            if _OK in answers:
                self.accepted.add(job_id)
                return
            await asyncio.sleep(0.2)
        if answers == {_REFUSED}:
            self.refused.add(job_id)

    async def _post(
        self,
        session: aiohttp.ClientSession,
        host: str,
        job_id: str,
        job: dict[str, Any],
    ) -> int:
        """Hand a job in once; return the status, or 0 without an answer."""
        queue = int(job_id, 16) % 3
        path = f'{host}/q{queue}/{job_id}'
        try:
            async with session.post(path, json=job) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    def _job(self) -> dict[str, Any]:
        step = {
            'count': self._drawn.randint(1, 3),
            'cpu': 500,
            'mem_mb': 64,
            'gpu': self._drawn.choice((1, 2, 4)),
            'estimate_ms': 500,
            'gang': self._drawn.choice((True, False, False)),
        }
        return {'spec': 'text', 'steps': [step]}


def _session(connections: int = 100) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        headers={'Host': 'jobs.example'},
        timeout=aiohttp.ClientTimeout(total=PATIENCE_S),
        connector=aiohttp.TCPConnector(limit=connections),
    )


__all__ = ('SoakCallers',)
