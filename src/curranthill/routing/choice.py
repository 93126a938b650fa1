"""Load-balancing policies, by which a router chooses a worker."""

import random
from collections.abc import Callable, Sequence
from itertools import count
from typing import Protocol

from curranthill.registry import Registry
from curranthill.routing.pool import PooledWorker


class Choice(Protocol):
    """A policy that chooses one of at least one candidate."""

    def __call__(self, candidates: Sequence[PooledWorker]) -> PooledWorker:
        """Return the chosen candidate."""


#: Policies by the name in the settings: name -> factory(seed).
choices: Registry[Callable[[int | None], Choice]] = Registry(
    concern='choice of worker',
)


@choices.register('two_choices')
def two_choices(seed: int | None) -> Choice:
    """Return the policy that takes the less loaded of two random workers."""
    source = random.Random(seed)  # noqa: S311

    def choose(  # noqa: WPS430
        candidates: Sequence[PooledWorker],
    ) -> PooledWorker:
        if len(candidates) == 1:
            return candidates[0]
        pair = source.sample(candidates, 2)
        return min(pair, key=lambda worker: worker.load)

    return choose


@choices.register('random')
def at_random(seed: int | None) -> Choice:
    """Return the policy that takes a random worker, as a baseline."""
    source = random.Random(seed)  # noqa: S311

    def choose(  # noqa: WPS430
        candidates: Sequence[PooledWorker],
    ) -> PooledWorker:
        return source.choice(candidates)

    return choose


@choices.register('round_robin')
def round_robin(seed: int | None) -> Choice:
    """Return the policy that takes the workers in turn, as a baseline."""
    numbers = count(seed or 0)

    def choose(  # noqa: WPS430
        candidates: Sequence[PooledWorker],
    ) -> PooledWorker:
        return candidates[next(numbers) % len(candidates)]

    return choose


__all__ = ('Choice', 'choices')
