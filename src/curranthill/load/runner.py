"""Drive a workload against real gateways and watch the stand-in's workers."""

import asyncio
import json
import time
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import aiohttp

from curranthill.load.measures import fragmentation
from curranthill.load.workload import Arrival, Workload, arrivals_of

_WAIT_S: Final = 20
_SAMPLE_S: Final = 0.25
_OK: Final = 200
_ACCEPTED: Final = 202


class Outcome(NamedTuple):
    """What became of one request.

    :param completion_s: from the request to its end, as its job's row or
        its caller saw it.
    :param started: whether it was accepted as a job.
    """

    workspace: str
    kind: str
    lane: str
    state: str
    run_s: float
    completion_s: float
    preemptions: int = 0


class Sample(NamedTuple):
    """One look at the workers' free slots."""

    at_s: float
    free: int
    fragmentation: dict[int, float]


class LoadResult(NamedTuple):
    """All that one run of a workload saw."""

    outcomes: tuple[Outcome, ...]
    samples: tuple[Sample, ...]
    took_s: float


class LoadRunner:
    """Run one workload once.

    :param gateways: base URLs, used in turns.
    :param standin: base URL of the stand-in whose workers are watched.
    :param tokens: bearer token of each workspace.
    """

    def __init__(
        self,
        *,
        gateways: Sequence[str],
        standin: str,
        tokens: dict[str, str],
    ) -> None:
        """Keep the addresses."""
        self._gateways = tuple(gateways)
        self._standin = standin
        self._tokens = tokens
        self._begun_s = 0.0

    async def run(self, workload: Workload, seed: int) -> LoadResult:
        """Send every request at its time and wait for the ends."""
        arrivals = arrivals_of(workload, seed)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._begun_s = time.monotonic()
            samples: list[Sample] = []
            watch = asyncio.create_task(
                self._watch(session, samples, workload.duration_s),
            )
            outcomes = await asyncio.gather(
                *(
                    self._one(session, number, arrival, workload)
                    for number, arrival in enumerate(arrivals)
                ),
            )
            watch.cancel()
        return LoadResult(
            outcomes=tuple(outcomes),
            samples=tuple(samples),
            took_s=time.monotonic() - self._begun_s,
        )

    async def _one(
        self,
        session: aiohttp.ClientSession,
        number: int,
        arrival: Arrival,
        workload: Workload,
    ) -> Outcome:
        await asyncio.sleep(self._until(arrival.at_s))
        url = self._gateways[number % len(self._gateways)]
        sent_s = time.monotonic()
        headers = {
            'Authorization': f'Bearer {self._tokens[arrival.workspace]}',
        }
        path = (
            f'{url}/v1/workspaces/{arrival.workspace}'
            f'/kinds/{arrival.kind}/requests'
        )
        body = {'run_s': arrival.run_s, 'fail': arrival.fails}
        try:
            async with session.post(path, headers=headers, json=body) as reply:
                answer = json.loads(await reply.read())
                status = reply.status
        except aiohttp.ClientError:
            return _outcome(arrival, 'quick', 'unreached', 0)
        took_s = time.monotonic() - sent_s
        if status == _ACCEPTED:
            job = await self._follow(
                session,
                f'{url}/v1/jobs/{answer["id"]}',
                headers,
                arrival,
                workload,
            )
            return _job_outcome(arrival, job)
        state = 'answered' if status == _OK else answer.get('outcome', '?')
        return _outcome(arrival, 'quick', state, took_s)

    async def _follow(
        self,
        session: aiohttp.ClientSession,
        path: str,
        headers: dict[str, str],
        arrival: Arrival,
        workload: Workload,
    ) -> dict[str, Any]:
        """Wait for a job's end, giving it up if its caller does."""
        if arrival.cancelled:
            at_s = workload.cancel_wave_s or arrival.at_s + arrival.run_s / 2
            await asyncio.sleep(self._until(at_s))
            reply = await session.delete(path, headers=headers)
            reply.release()
        end_s = workload.duration_s + workload.drain_s
        job: dict[str, Any] = {}
        while self._until(end_s) > 0:
            async with session.get(
                f'{path}?wait_s={_WAIT_S}',
                headers=headers,
            ) as reply:
                job = json.loads(await reply.read())
            if job.get('ended_at_s'):
                break
        return job

    async def _watch(
        self,
        session: aiohttp.ClientSession,
        samples: list[Sample],
        duration_s: float,
    ) -> None:
        while self._until(duration_s) > 0:
            async with session.get(f'{self._standin}/free') as reply:
                racks = json.loads(await reply.read())
            samples.append(
                Sample(
                    at_s=time.monotonic() - self._begun_s,
                    free=sum(sum(workers) for workers in racks.values()),
                    fragmentation=fragmentation(racks),
                ),
            )
            await asyncio.sleep(_SAMPLE_S)

    def _until(self, at_s: float) -> float:
        return max(0.0, at_s - (time.monotonic() - self._begun_s))


def _outcome(
    arrival: Arrival,
    lane: str,
    state: str,
    completion_s: float,
) -> Outcome:
    return Outcome(
        workspace=arrival.workspace,
        kind=arrival.kind,
        lane=lane,
        state=state,
        run_s=arrival.run_s,
        completion_s=completion_s,
    )


def _job_outcome(arrival: Arrival, job: dict[str, Any]) -> Outcome:
    ended_at_s = job.get('ended_at_s') or time.time()
    accepted_at_s = job.get('accepted_at_s') or ended_at_s
    return Outcome(
        workspace=arrival.workspace,
        kind=arrival.kind,
        lane='long',
        state=str(job.get('state', 'unreached')),
        run_s=arrival.run_s,
        completion_s=ended_at_s - accepted_at_s,
        preemptions=int(job.get('preemptions', 0)),
    )


__all__ = ('LoadResult', 'LoadRunner', 'Outcome', 'Sample')
