"""Simulates the same days with and without load shedding.

``python -m bench.load_shedding --rate 3 --seeds 10`` prints how many jobs were
refused, what these jobs earned on the same day without load shedding, and the
worth of the days.
"""

import statistics
from functools import partial
from typing import Any, Final, NamedTuple

import typer

from bench.replay import (
    NOW_S,
    SERVICE,
    WORKER_CAPACITY,
    Day,
    Load,
    Outcome,
    difference,
)
from curranthill.admission import (
    Forecast,
    ServiceResources,
    check_admission,
    make_forecast,
)
from curranthill.placement import NONE_DISABLED, WorkerCapacity
from curranthill.tasks import JobSpec, Resources

#: How often a forecast is made, and how long it takes to reach the hosts, in
#: seconds.
FORECAST_INTERVAL_S: Final = 1.0
FORECAST_DELAY_S: Final = 0.8

#: Further attempts that refused callers make.
RETRIES: Final = 4

#: The demand is several times the capacity, with a burst of urgent work.
OVERLOAD: Final = Load(rate=8.0, bursts=((5, 13, 2.5),))


class SheddingDay(Day):
    """A day on which hosts refuse jobs that would be too late.

    :param refused: jobs that were refused at each attempt.
    :param refusals: how many attempts were refused.
    """

    def __init__(self, *, load: Load, workers: int, seed: int) -> None:
        """Draw the same day as without load shedding."""
        super().__init__(
            load=load,
            workers=workers,
            seed=seed,
            disabled=NONE_DISABLED,
        )
        self.refused: set[str] = set()
        self.refusals = 0
        self._forecast: Forecast | None = None
        self._forecast_read_s = 0.0
        self._forecast_number = 0
        self._attempts: dict[str, int] = {}
        self._schedule(0, self._make_forecast)

    def _make_forecast(self) -> None:
        self._forecast_number += 1
        made = make_forecast(
            self._jobs.values(),
            resources={SERVICE: self._resources()},
            guaranteed={f't{team}': len(self._runs) for team in range(4)},
            now_s=NOW_S + self._now_s,
            number=self._forecast_number,
        )
        self._schedule(
            self._now_s + FORECAST_DELAY_S, partial(self._read_forecast, made)
        )
        self._schedule(self._now_s + FORECAST_INTERVAL_S, self._make_forecast)

    def _read_forecast(self, forecast: Forecast | None) -> None:
        self._forecast = forecast
        self._forecast_read_s = self._now_s

    def _resources(self) -> ServiceResources:
        active_workers = len(self._runs) - len(self._draining)
        total = Resources(*(active_workers * part for part in WORKER_CAPACITY))
        return ServiceResources(total, self._largest_free)

    def _largest_free(self) -> Resources:
        free = [
            WorkerCapacity(
                entry=self._entries[name], runs=runs, failure_score=0.0
            ).free
            for name, runs in self._runs.items()
            if name not in self._draining
        ]
        return Resources(*(max(parts) for parts in zip(*free, strict=True)))

    def _accept(self, spec: JobSpec) -> None:
        submitted = spec._replace(accepted_at_s=NOW_S + self._now_s)
        age_s = self._now_s - self._forecast_read_s
        refusal = check_admission(submitted, self._forecast, age_s)
        if refusal is None:
            self.refused.discard(spec.job_id)
            super()._accept(submitted)
            return
        self.refusals += 1
        self.refused.add(spec.job_id)
        attempts = self._attempts.get(spec.job_id, 0) + 1
        self._attempts[spec.job_id] = attempts
        if attempts <= RETRIES:
            jitter_s = refusal.jitter_s * self._rng.random()
            retry_at_s = self._now_s + refusal.retry_after_s + jitter_s
            self._schedule(retry_at_s, partial(self._accept, spec))


class PlainDay(Day):
    """A day without load shedding, with the credit of each job."""

    def earned(self, job_id: str) -> float:
        """Return what a job earned."""
        return self._earned(job_id, self._drawn_jobs[job_id])

    def count_worthless(self) -> int:
        """Return how many jobs earned nothing."""
        return sum(1 for job_id in self._drawn_jobs if not self.earned(job_id))


class SheddingOutcome(NamedTuple):
    """The results of one day with and without load shedding.

    :param refused: jobs refused at all of their attempts.
    :param refused_worth: what these earned without load shedding.
    :param worthless: jobs that earned nothing without load shedding.
    """

    with_shedding: Outcome
    without_shedding: Outcome
    refused: int
    refusals: int
    refused_worth: float
    worthless: int


def play(load: Load, workers: int, seed: int) -> SheddingOutcome:
    """Simulate a day with and without load shedding."""
    shedding = SheddingDay(load=load, workers=workers, seed=seed)
    plain = PlainDay(
        load=load, workers=workers, seed=seed, disabled=NONE_DISABLED
    )
    with_shedding = shedding.play()
    without_shedding = plain.play()
    return SheddingOutcome(
        with_shedding=with_shedding,
        without_shedding=without_shedding,
        refused=len(shedding.refused),
        refusals=shedding.refusals,
        refused_worth=sum(plain.earned(one) for one in shedding.refused),
        worthless=plain.count_worthless(),
    )


def main(
    rate: float = OVERLOAD.rate,
    burst: float = 2.5,
    workers: int = 24,
    seeds: int = 10,
) -> None:
    """Simulate days with and without load shedding."""
    load = Load(rate=rate, bursts=((5, 13, burst),))
    days = [play(load, workers, seed) for seed in range(seeds)]
    mean, error = difference(
        [day.with_shedding for day in days],
        [day.without_shedding for day in days],
    )
    sums: dict[str, Any] = {
        'worth with': statistics.fmean(day.with_shedding.worth for day in days),
        'worth without': statistics.fmean(
            day.without_shedding.worth for day in days
        ),
        'difference': mean,
        'error': error,
        'jobs refused': sum(day.refused for day in days),
        'refusals': sum(day.refusals for day in days),
        'their worth without': sum(day.refused_worth for day in days),
        'worthless without': sum(day.worthless for day in days),
    }
    for name, figure in sums.items():
        print(f'{name:20} {figure:.4f}')


__all__ = ('OVERLOAD', 'PlainDay', 'SheddingDay', 'SheddingOutcome', 'play')

if __name__ == '__main__':
    typer.run(main)
