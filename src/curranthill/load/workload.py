"""A workload: which work arrives, how often, in what bursts, how wrong."""

import math
import random
from typing import NamedTuple


class Stream(NamedTuple):
    """One kind of work of one workspace.

    :param rate_per_s: mean arrivals a second, in compressed time.
    :param run_s: median run time, in compressed time.
    :param spread: how far run times scatter (sigma of a log-normal); what a
        kind declares is then as far off.
    :param burst_every_s: mean time between bursts; 0 for none.
    :param burst_size: arrivals of one burst.
    :param fail_share: the part that fails on every worker.
    :param cancel_share: the part whose callers give it up.
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
    """All streams and how long they last.

    :param duration_s: how long work arrives.
    :param drain_s: how long to wait for its end.
    :param cancel_wave_s: when every caller that gives up does so at once; 0
        for never.
    """

    duration_s: float
    streams: tuple[Stream, ...]
    drain_s: float = 60.0
    cancel_wave_s: float = 0.0


class Arrival(NamedTuple):
    """One request of a workload."""

    at_s: float
    workspace: str
    kind: str
    run_s: float
    fails: bool
    cancelled: bool


def arrivals_of(workload: Workload, seed: int) -> list[Arrival]:
    """Return all requests in order; a seed always gives the same."""
    source = random.Random(seed)  # noqa: S311
    arrivals: list[Arrival] = []
    for stream in workload.streams:
        times = _poisson(source, stream.rate_per_s, workload.duration_s)
        if stream.burst_every_s:
            starts = _poisson(
                source,
                1 / stream.burst_every_s,
                workload.duration_s,
            )
            for start_s in starts:
                times.extend(start_s for _ in range(stream.burst_size))
        arrivals.extend(_arrival(source, stream, at_s) for at_s in times)
    return sorted(arrivals)


def _poisson(
    source: random.Random,
    rate_per_s: float,
    duration_s: float,
) -> list[float]:
    times: list[float] = []
    if rate_per_s <= 0:
        return times
    at_s = source.expovariate(rate_per_s)
    while at_s < duration_s:
        times.append(at_s)
        at_s += source.expovariate(rate_per_s)
    return times


def _arrival(source: random.Random, stream: Stream, at_s: float) -> Arrival:
    factor = math.exp(source.gauss(0, stream.spread))
    return Arrival(
        at_s=at_s,
        workspace=stream.workspace,
        kind=stream.kind,
        run_s=stream.run_s * min(factor, 5),
        fails=source.random() < stream.fail_share,
        cancelled=source.random() < stream.cancel_share,
    )


__all__ = ('Arrival', 'Stream', 'Workload', 'arrivals_of')
