"""Sets of integers as ranges, whose size does not grow with their members."""

from bisect import bisect_right


class RangeSet:
    """A set of integers that are mostly consecutive.

    :param bounds: the first number of each range and the first after it, all
        ascending; the set changes this list.
    """

    __slots__ = ('bounds',)

    def __init__(self, bounds: list[int] | None = None) -> None:
        """Initialize with the bounds of some ranges."""
        self.bounds = [] if bounds is None else bounds

    def __contains__(self, number: int) -> bool:
        """Return whether a number is in a range."""
        return bisect_right(self.bounds, number) % 2 == 1

    def add(self, number: int) -> None:
        """Add a number; ranges that become adjacent are joined."""
        bounds = self.bounds
        index = bisect_right(bounds, number)
        if index % 2:
            return
        joins_before = index > 0 and bounds[index - 1] == number
        joins_after = index < len(bounds) and bounds[index] == number + 1
        if joins_before and joins_after:
            del bounds[index - 1 : index + 1]  # noqa: WPS420
        elif joins_before:
            bounds[index - 1] = number + 1
        elif joins_after:
            bounds[index] = number
        else:
            bounds.insert(index, number + 1)
            bounds.insert(index, number)

    def next_absent(self, number: int) -> int:
        """Return the first number from this one on that is not in the set."""
        index = bisect_right(self.bounds, number)
        return self.bounds[index] if index % 2 else number

    def next_present(self, number: int) -> int | None:
        """Return the first number from this one on that is in the set."""
        index = bisect_right(self.bounds, number)
        if index % 2:
            return number
        return self.bounds[index] if index < len(self.bounds) else None


def are_bounds(bounds: list[int], end: int) -> bool:
    """Return whether a list has the bounds of ranges from 0 to an end."""
    ascending = all(
        lower < upper for lower, upper in zip(bounds, bounds[1:], strict=False)
    )
    if len(bounds) % 2 or not ascending:
        return False
    return not bounds or (bounds[0] >= 0 and bounds[-1] <= end)


__all__ = ('RangeSet', 'are_bounds')
