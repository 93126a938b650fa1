"""The system's two measures; docs/measures.md gives their formulas."""

from collections.abc import Mapping, Sequence
from typing import Final

#: The gang sizes for which fragmentation is computed.
GANG_SIZES: Final = (1, 2, 4, 8, 16, 32, 64)


def fragmentation(
    free_by_rack: Mapping[str, Sequence[int]],
) -> dict[int, float]:
    """Return the share of free slots that gangs of each size cannot use.

    :param free_by_rack: the free slots of each worker, by rack.
    """
    free = sum(sum(workers) for workers in free_by_rack.values())
    if free == 0:
        return dict.fromkeys(GANG_SIZES, 0.0)
    return {size: 1 - _usable(size, free_by_rack) / free for size in GANG_SIZES}


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    The nearest rank is used, so the result is one of the values; without
    values it is 0.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[rank]


def _usable(size: int, free_by_rack: Mapping[str, Sequence[int]]) -> int:
    """Return how many free slots gangs of one size can use in total.

    A gang that fits into a single worker is kept within one; larger gangs use
    the free slots of one rack.
    """
    largest = max(
        (max(workers, default=0) for workers in free_by_rack.values()),
        default=0,
    )
    if size <= largest:
        return size * sum(
            free // size
            for workers in free_by_rack.values()
            for free in workers
        )
    return size * sum(sum(workers) // size for workers in free_by_rack.values())


__all__ = ('GANG_SIZES', 'fragmentation', 'percentile')
