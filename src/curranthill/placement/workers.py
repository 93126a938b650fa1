"""Workers as the platform lists them."""

from typing import NamedTuple

from curranthill.tasks import Resources


class WorkerEntry(NamedTuple):
    """One worker as the platform lists it.

    :param capacity: all that the worker has for tasks, used or not.
    :param labels: the worker's kind and its rack.
    :param clock_s: the worker's steady clock when it wrote the entry.
    :param remaining_s: the least time left while it is leaving.
    :param incarnation: tells a start of the worker from those before under
        the same id; 0 if not told.
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
        """Return the rack, which stands last among the labels."""
        return self.labels[-1] if self.labels else ''


__all__ = ('WorkerEntry',)
