"""Replays a day with the answer at the door, and one without it.

``python -m bench.door --rate 3 --seeds 10`` prints how many jobs were turned
away, what these earned on the same day without it, and what the day earned.
"""

import statistics
from functools import partial
from typing import Any, Final, NamedTuple

import typer

from bench.replay import NOW_S, ROOM, SERVICE, Day, Load, Outcome, difference
from curranthill.admission import (
    Forecast,
    ServiceResources,
    check_admission,
    make_forecast,
)
from curranthill.placement import NONE_DISABLED, WorkerCapacity
from curranthill.tasks import JobSpec, Resources

#: How often an outlook is made, and how long it takes to the hosts, in seconds.
MADE_EACH_S: Final = 1.0
READ_AFTER_S: Final = 0.8

#: Tries that callers make more when they are told to come back.
MORE_TRIES: Final = 4

#: Several times as much comes as fits, and more urgent work for some seconds.
OVERLOAD: Final = Load(rate=8.0, bursts=((5, 13, 2.5),))


class DoorDay(Day):
    """A day on which hosts refuse what is too late.

    :param refused: jobs that were turned away at each of their tries.
    :param refusals: how many tries were turned away.
    """

    def __init__(self, *, load: Load, workers: int, seed: int) -> None:
        """Draw the same day as without a door."""
        super().__init__(
            load=load,
            workers=workers,
            seed=seed,
            disabled=NONE_DISABLED,
        )
        self.refused: set[str] = set()
        self.refusals = 0
        self._forecast: Forecast | None = None
        self._read_s = 0.0
        self._number = 0
        self._tries: dict[str, int] = {}
        self._at(0, self._make)

    def _make(self) -> None:
        self._number += 1
        made = make_forecast(
            self._jobs.values(),
            resources={SERVICE: self._room()},
            guaranteed={f't{team}': len(self._runs) for team in range(4)},
            now_s=NOW_S + self._now_s,
            number=self._number,
        )
        self._at(self._now_s + READ_AFTER_S, partial(self._read, made))
        self._at(self._now_s + MADE_EACH_S, self._make)

    def _read(self, forecast: Forecast | None) -> None:
        self._forecast = forecast
        self._read_s = self._now_s

    def _room(self) -> ServiceResources:
        held = len(self._runs) - len(self._leaving)
        total = Resources(*(held * part for part in ROOM))
        return ServiceResources(total, self._free_room)

    def _free_room(self) -> Resources:
        free = [
            WorkerCapacity(
                entry=self._entries[name], runs=runs, failure_score=0.0
            ).free
            for name, runs in self._runs.items()
            if name not in self._leaving
        ]
        return Resources(*(max(parts) for parts in zip(*free, strict=True)))

    def _accept(self, spec: JobSpec) -> None:
        asked = spec._replace(accepted_at_s=NOW_S + self._now_s)
        age_s = self._now_s - self._read_s
        refusal = check_admission(asked, self._forecast, age_s)
        if refusal is None:
            self.refused.discard(spec.job_id)
            super()._accept(asked)
            return
        self.refusals += 1
        self.refused.add(spec.job_id)
        tries = self._tries.get(spec.job_id, 0) + 1
        self._tries[spec.job_id] = tries
        if tries <= MORE_TRIES:
            jitter_s = refusal.jitter_s * self._source.random()
            back_s = self._now_s + refusal.retry_delay_s + jitter_s
            self._at(back_s, partial(self._accept, spec))


class PlainDay(Day):
    """A day without a door that tells what each job earned."""

    def earned(self, job_id: str) -> float:
        """Return what a job earned."""
        return self._earned(job_id, self._drawn[job_id])

    def infeasible(self) -> int:
        """Return how many jobs earned nothing."""
        return sum(1 for job_id in self._drawn if not self.earned(job_id))


class DoorOutcome(NamedTuple):
    """What one day brought with a door and without.

    :param refused: jobs turned away at all of their tries.
    :param refused_worth: what these earned without a door.
    :param worthless: jobs that earned nothing without a door.
    """

    with_door: Outcome
    without: Outcome
    refused: int
    refusals: int
    refused_worth: float
    worthless: int


def play(load: Load, workers: int, seed: int) -> DoorOutcome:
    """Play a day twice."""
    door = DoorDay(load=load, workers=workers, seed=seed)
    plain = PlainDay(
        load=load, workers=workers, seed=seed, disabled=NONE_DISABLED
    )
    with_door = door.play()
    without = plain.play()
    return DoorOutcome(
        with_door=with_door,
        without=without,
        refused=len(door.refused),
        refusals=door.refusals,
        refused_worth=sum(plain.earned(one) for one in door.refused),
        worthless=plain.infeasible(),
    )


def main(
    rate: float = OVERLOAD.rate,
    burst: float = 2.5,
    workers: int = 24,
    seeds: int = 10,
) -> None:
    """Play days with and without a door."""
    load = Load(rate=rate, bursts=((5, 13, burst),))
    days = [play(load, workers, seed) for seed in range(seeds)]
    mean, error = difference(
        [day.with_door for day in days],
        [day.without for day in days],
    )
    sums: dict[str, Any] = {
        'worth with': statistics.fmean(day.with_door.worth for day in days),
        'worth without': statistics.fmean(day.without.worth for day in days),
        'difference': mean,
        'error': error,
        'jobs refused': sum(day.refused for day in days),
        'refusals': sum(day.refusals for day in days),
        'their worth without': sum(day.refused_worth for day in days),
        'worthless without': sum(day.worthless for day in days),
    }
    for name, figure in sums.items():
        print(f'{name:20} {figure:.4f}')


__all__ = ('OVERLOAD', 'DoorDay', 'DoorOutcome', 'PlainDay', 'play')

if __name__ == '__main__':
    typer.run(main)
