"""Runs a workload against gateways and samples the stand-in's workers."""

import asyncio
import json
import time
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import aiohttp

from curranthill.load.measures import fragmentation
from curranthill.load.workload import Arrival, Workload, generate_arrivals

_POLL_WAIT_S: Final = 20
_SAMPLE_INTERVAL_S: Final = 0.25
_OK: Final = 200
_ACCEPTED: Final = 202


class Outcome(NamedTuple):
    """The outcome of one request.

    :param run_s: the run time that was requested, in seconds.
    :param completion_s: the time from the request to its end, in seconds, by
        the job's row or, for a quick request, by the caller's clock.
    """

    workspace: str
    kind: str
    lane: str
    state: str
    run_s: float
    completion_s: float
    preemptions: int = 0


class Sample(NamedTuple):
    """The workers' free slots at one time.

    :param at_s: seconds since the start of the workload.
    :param fragmentation: the share of free slots that gangs cannot use, by
        gang size.
    """

    at_s: float
    free: int
    fragmentation: dict[int, float]


class LoadResult(NamedTuple):
    """The outcomes and samples of one run of a workload.

    :param took_s: how long the run took, in seconds.
    """

    outcomes: tuple[Outcome, ...]
    samples: tuple[Sample, ...]
    took_s: float


class LoadRunner:
    """Runs a workload against gateways.

    :param gateways: base URLs of the gateways, used round robin.
    :param standin: base URL of the stand-in whose workers are sampled.
    :param tokens: the bearer token of each workspace.
    """

    def __init__(
        self,
        *,
        gateways: Sequence[str],
        standin: str,
        tokens: dict[str, str],
    ) -> None:
        """Initialize a runner, without connecting yet."""
        self._gateways = tuple(gateways)
        self._standin = standin
        self._tokens = tokens
        self._started_s = 0.0

    async def run(self, workload: Workload, seed: int) -> LoadResult:
        """Send each request at its time of arrival and wait for all ends.

        :param seed: the seed of the arrivals.
        """
        arrivals = generate_arrivals(workload, seed)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._started_s = time.monotonic()
            samples: list[Sample] = []
            sampling = asyncio.create_task(
                self._sample_free_slots(session, samples, workload.duration_s),
            )
            outcomes = await asyncio.gather(
                *(
                    self._send(session, number, arrival, workload)
                    for number, arrival in enumerate(arrivals)
                ),
            )
            sampling.cancel()
        return LoadResult(
            outcomes=tuple(outcomes),
            samples=tuple(samples),
            took_s=time.monotonic() - self._started_s,
        )

    async def _send(
        self,
        session: aiohttp.ClientSession,
        number: int,
        arrival: Arrival,
        workload: Workload,
    ) -> Outcome:
        await asyncio.sleep(self._seconds_until(arrival.at_s))
        url = self._gateways[number % len(self._gateways)]
        sent_s = time.monotonic()
        headers = {
            'Authorization': f'Bearer {self._tokens[arrival.workspace]}',
        }
        request_url = (
            f'{url}/v1/workspaces/{arrival.workspace}'
            f'/kinds/{arrival.kind}/requests'
        )
        options = {'run_s': arrival.run_s, 'fail': arrival.fails}
        try:
            async with session.post(
                request_url, headers=headers, json=options
            ) as response:
                body = json.loads(await response.read())
                status = response.status
        except aiohttp.ClientError:
            return _make_outcome(arrival, 'quick', 'unreached', 0)
        took_s = time.monotonic() - sent_s
        if status == _ACCEPTED:
            job = await self._wait_for_end(
                session,
                f'{url}/v1/jobs/{body["id"]}',
                headers,
                arrival,
                workload,
            )
            return _job_outcome(arrival, job)
        state = 'answered' if status == _OK else body.get('outcome', '?')
        return _make_outcome(arrival, 'quick', state, took_s)

    async def _wait_for_end(
        self,
        session: aiohttp.ClientSession,
        job_url: str,
        headers: dict[str, str],
        arrival: Arrival,
        workload: Workload,
    ) -> dict[str, Any]:
        """Wait for a job's end, and cancel the job if its caller does."""
        if arrival.cancelled:
            cancel_s = (
                workload.cancel_wave_s or arrival.at_s + arrival.run_s / 2
            )
            await asyncio.sleep(self._seconds_until(cancel_s))
            response = await session.delete(job_url, headers=headers)
            response.release()
        end_s = workload.duration_s + workload.drain_s
        job: dict[str, Any] = {}
        while self._seconds_until(end_s) > 0:
            async with session.get(
                f'{job_url}?wait_s={_POLL_WAIT_S}',
                headers=headers,
            ) as response:
                job = json.loads(await response.read())
            if job.get('ended_at_s'):
                break
        return job

    async def _sample_free_slots(
        self,
        session: aiohttp.ClientSession,
        samples: list[Sample],
        duration_s: float,
    ) -> None:
        while self._seconds_until(duration_s) > 0:
            async with session.get(f'{self._standin}/free') as response:
                racks = json.loads(await response.read())
            samples.append(
                Sample(
                    at_s=time.monotonic() - self._started_s,
                    free=sum(sum(workers) for workers in racks.values()),
                    fragmentation=fragmentation(racks),
                ),
            )
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _seconds_until(self, at_s: float) -> float:
        return max(0.0, at_s - (time.monotonic() - self._started_s))


def _make_outcome(
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
