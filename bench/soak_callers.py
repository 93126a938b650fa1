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

    :param jobs: all jobs that were handed in, by their ids.
    :param accepted: jobs that a host accepted.
    :param refused: jobs of which every answer said that they had not run.
    :param stopped: set once no new job is to be handed in.
    """

    def __init__(self, *, addresses: list[str], drawn: random.Random) -> None:
        """Start with no job handed in."""
        self.jobs: dict[str, dict[str, Any]] = {}
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

    async def state(self, job_id: str) -> str:
        """Return a job's state as some host tells it, or nothing."""
        async with open_session() as session:
            for host in self._addresses:
                state = await _get_state(session, host, job_id)
                if state:
                    return state
        return ''

    async def _call_anywhere(self) -> None:
        """Hand in jobs over shared connections, some at several hosts."""
        async with open_session() as session, asyncio.TaskGroup() as callers:
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
            async with open_session(connections=1) as session:
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
            job = self._new_job(job_id)
            answer = await self._post(session, host, job_id, job)
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
        job = self._new_job(job_id)
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
        try:
            async with session.post(
                _path(host, job_id),
                json=job,
            ) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    def _new_job(self, job_id: str) -> dict[str, Any]:
        """Draw a job and keep it."""
        step = {
            'count': self._drawn.randint(1, 3),
            'cpu': 500,
            'mem_mb': 64,
            'gpu': self._drawn.choice((1, 2, 4)),
            'estimate_ms': 500,
            'gang': self._drawn.choice((True, False, False)),
        }
        self.jobs[job_id] = {'spec': 'text', 'steps': [step]}
        return self.jobs[job_id]


def _path(host: str, job_id: str) -> str:
    """Return where a host takes a job in and tells its state."""
    return f'{host}/q{int(job_id, 16) % 3}/{job_id}'


async def _get_state(
    session: aiohttp.ClientSession,
    host: str,
    job_id: str,
) -> str:
    """Return a job's state as one host tells it, or nothing."""
    try:
        async with session.get(_path(host, job_id)) as response:
            fields = await response.json()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return ''
    return str(fields.get('state', ''))


def open_session(connections: int = 100) -> aiohttp.ClientSession:
    """Return a session of a caller with so many connections at most."""
    return aiohttp.ClientSession(
        headers={'Host': 'jobs.example'},
        timeout=aiohttp.ClientTimeout(total=PATIENCE_S),
        connector=aiohttp.TCPConnector(limit=connections),
    )


__all__ = ('FAITHFUL_CALLERS', 'SoakCallers', 'open_session')
