"""The memory that requests in progress may hold together."""

from typing import Final

#: Reservations above this size are large, in bytes.
LARGE_BYTES: Final = 65_536


class MemoryBudget:
    """Grants reservations of memory before it is allocated.

    Large reservations have a part of their own, so that small ones do not
    compete with them. The only large one is granted whatever its size:
    otherwise a request within the limits might never be served.

    :param total_bytes: all reservations together.
    :param large_bytes: the part for large reservations.
    """

    def __init__(self, *, total_bytes: int, large_bytes: int) -> None:
        """Initialize without reservations."""
        self._small_bytes = total_bytes - large_bytes
        self._large_bytes = large_bytes
        self._small_held_bytes = 0
        self._large_held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the size of all reservations together."""
        return self._small_held_bytes + self._large_held_bytes

    def resize(self, held_bytes: int, size_bytes: int) -> bool:
        """Change a reservation; return whether it was granted.

        :param held_bytes: the present size, 0 for a new reservation.
        :param size_bytes: the new size. One that is not larger is granted.
        """
        self._add(held_bytes, -1)
        granted = size_bytes <= held_bytes or self._fits(size_bytes)
        self._add(size_bytes if granted else held_bytes, 1)
        return granted

    def _fits(self, size_bytes: int) -> bool:
        if size_bytes > LARGE_BYTES:
            held_bytes = self._large_held_bytes
            return not held_bytes or (
                held_bytes + size_bytes <= self._large_bytes
            )
        return self._small_held_bytes + size_bytes <= self._small_bytes

    def _add(self, size_bytes: int, sign: int) -> None:
        if size_bytes > LARGE_BYTES:
            self._large_held_bytes += sign * size_bytes
        else:
            self._small_held_bytes += sign * size_bytes


__all__ = ('LARGE_BYTES', 'MemoryBudget')
