"""Which of several workers gets a request; more ways can be registered."""

import random
from collections.abc import Callable, Sequence
from itertools import count
from typing import Protocol

from curranthill.registry import Registry
from curranthill.routing.pool import PooledWorker


class Choice(Protocol):
    """Choose one of some candidates; there is always at least one."""

    def __call__(self, candidates: Sequence[PooledWorker]) -> PooledWorker:
        """Return the chosen candidate."""


#: Ways to choose, by the name that settings give: factory(seed).
choices: Registry[Callable[[int | None], Choice]] = Registry(
    concern='choice of worker',
)


@choices.register('two_choices')
def two_choices(seed: int | None) -> Choice:
    """Return a choice of the less loaded of two at random."""
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
    """Return a choice that looks at nothing: a baseline."""
    source = random.Random(seed)  # noqa: S311

    def choose(  # noqa: WPS430
        candidates: Sequence[PooledWorker],
    ) -> PooledWorker:
        return source.choice(candidates)

    return choose


@choices.register('round_robin')
def round_robin(seed: int | None) -> Choice:
    """Return a choice in turns: a baseline."""
    turns = count(seed or 0)

    def choose(  # noqa: WPS430
        candidates: Sequence[PooledWorker],
    ) -> PooledWorker:
        return candidates[next(turns) % len(candidates)]

    return choose


__all__ = ('Choice', 'choices')
