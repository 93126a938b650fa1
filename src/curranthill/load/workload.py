"""Workloads: arrival rates, bursts, run times, failures and cancellations."""

import math
import random
from typing import NamedTuple


class Stream(NamedTuple):
    """The requests of one kind in one workspace.

    A workload may be compressed in time, for example an hour into a second; all
    times and rates are then those of the compressed time.

    :param rate_per_s: the mean arrivals per second.
    :param run_s: the median run time, in seconds.
    :param spread: the sigma of the log-normal distribution of run times; the
        run time that a kind declares is off by as much.
    :param burst_every_s: the mean time between bursts, in seconds; 0 for none.
    :param burst_size: the number of arrivals in a burst.
    :param fail_share: the share of requests that fail on every worker.
    :param cancel_share: the share of requests that their callers cancel.
    """

    workspace: str
    kind: str
    rate_per_s: float
    run_s: float
    spread: float = 0.5
    burst_every_s: float = 0.0
    burst_size: int = 0
    fail_share: float = 0.0
    cancel_share: float = 0.0


class Workload(NamedTuple):
    """All streams of requests and their duration.

    :param duration_s: how long requests arrive, in seconds.
    :param drain_s: how long to wait for their ends afterwards, in seconds.
    :param cancel_wave_s: when all callers that cancel do so at once, in seconds
        from the start; 0 lets each cancel after half of its run time.
    """

    duration_s: float
    streams: tuple[Stream, ...]
    drain_s: float = 60.0
    cancel_wave_s: float = 0.0


class Arrival(NamedTuple):
    """One request of a workload, with its time of arrival."""

    at_s: float
    workspace: str
    kind: str
    run_s: float
    fails: bool
    cancelled: bool


def generate_arrivals(workload: Workload, seed: int) -> list[Arrival]:
    """Return all requests in the order of their arrival.

    :param seed: the seed of all random choices; equal seeds give equal results.
    """
    rng = random.Random(seed)  # noqa: S311
    arrivals: list[Arrival] = []
    for stream in workload.streams:
        times = _poisson_times(rng, stream.rate_per_s, workload.duration_s)
        if stream.burst_every_s:
            starts = _poisson_times(
                rng,
                1 / stream.burst_every_s,
                workload.duration_s,
            )
            for start_s in starts:
                times.extend(start_s for _ in range(stream.burst_size))
        arrivals.extend(_arrival(rng, stream, at_s) for at_s in times)
    return sorted(arrivals)


def _poisson_times(
    rng: random.Random,
    rate_per_s: float,
    duration_s: float,
) -> list[float]:
    times: list[float] = []
    if rate_per_s <= 0:
        return times
    at_s = rng.expovariate(rate_per_s)
    while at_s < duration_s:
        times.append(at_s)
        at_s += rng.expovariate(rate_per_s)
    return times


def _arrival(rng: random.Random, stream: Stream, at_s: float) -> Arrival:
    factor = math.exp(rng.gauss(0, stream.spread))
    return Arrival(
        at_s=at_s,
        workspace=stream.workspace,
        kind=stream.kind,
        run_s=stream.run_s * min(factor, 5),
        fails=rng.random() < stream.fail_share,
        cancelled=rng.random() < stream.cancel_share,
    )


__all__ = ('Arrival', 'Stream', 'Workload', 'generate_arrivals')
