"""Dependencies shared by the parts of a scheduler."""

from collections.abc import Callable
from typing import NamedTuple

from curranthill.clock import Clock
from curranthill.jobs import JobStore
from curranthill.scheduler.election import Election
from curranthill.settings import LeaseSettings, PlacementSettings
from curranthill.storage import ObjectStore
from curranthill.workers import Worker


class Context(NamedTuple):
    """Interfaces and settings used by gangs and worker watches.

    :param worker_at: returns the client of a worker by its address.
    """

    clock: Clock
    store: JobStore
    objects: ObjectStore
    election: Election
    worker_at: Callable[[str], Worker]
    leases: LeaseSettings
    placement: PlacementSettings


__all__ = ('Context',)
