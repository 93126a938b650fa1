"""Entries of the platform's list of workers."""

from typing import NamedTuple

from curranthill.tasks import Resources


class WorkerEntry(NamedTuple):
    """A worker's entry in the platform's list.

    :param capacity: all that the worker has for tasks, used or not.
    :param labels: the worker's kind and its rack.
    :param leaving: whether the worker is draining.
    :param clock_s: the worker's monotonic clock when it wrote the entry.
    :param remaining_s: the least time left while the worker is draining.
    :param incarnation: distinguishes starts of a worker under the same id; 0
        if it is not given.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    leaving: bool = False
    clock_s: float = 0.0
    remaining_s: float = 0.0
    incarnation: int = 0

    @property
    def rack(self) -> str:
        """Return the rack, which is the last of the labels."""
        return self.labels[-1] if self.labels else ''


__all__ = ('WorkerEntry',)
