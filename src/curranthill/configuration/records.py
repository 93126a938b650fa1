"""The operators' document: workspaces, shapes, kinds, services, places."""

from typing import Any, Final, Literal, NamedTuple

#: How near each other a shape's accelerators must be.
Adjacency = Literal['worker', 'rack', 'any']

#: Whether a kind's work is answered at once or runs as a job.
Lane = Literal['quick', 'long']

ON_WORKER: Final = 'worker'
IN_RACK: Final = 'rack'
ANYWHERE: Final = 'any'


class Shape(NamedTuple):
    """A number of accelerators and how near each other they must be."""

    accelerators: int
    adjacent: Adjacency = IN_RACK


class Guarantee(NamedTuple):
    """Shapes that a workspace may have back at any time."""

    shape: str
    # The folder's key; it hides a method of tuples that nobody needs.
    count: int  # type: ignore[assignment]
    data_centre: str


class Workspace(NamedTuple):
    """One customer's share of the system.

    :param token_digests: SHA-256 of each bearer token, in hexadecimal.
    :param weight: its part of what is borrowed, against the others'.
    :param borrowing: whether it may use more than its guarantees.
    """

    token_digests: tuple[str, ...]
    weight: float = 1.0
    guarantees: tuple[Guarantee, ...] = ()
    borrowing: bool = True


class Kind(NamedTuple):
    """One kind of work.

    :param shape: the shape of a long kind; a quick one takes one slot.
    :param deadline_s: how long a caller waits, unless it says otherwise.
    :param run_time_s: the declared run time; it may be far off.
    """

    service: str
    lane: Lane
    shape: str = ''
    idempotent: bool = True
    deadline_s: float = 30.0
    run_time_s: float = 1.0
    checkpointable: bool = False


class Service(NamedTuple):
    """What each worker gives to a service."""

    slots: int
    connections: int


class Rack(NamedTuple):
    """A rack's workers, all of one size."""

    workers: int
    slots: int


class DataCentre(NamedTuple):
    """A data centre's region and racks, against which promises are checked."""

    region: str
    racks: dict[str, Rack]


class ConfigurationDocument(NamedTuple):
    """The whole merged document."""

    workspaces: dict[str, Workspace] = {}
    shapes: dict[str, Shape] = {}
    kinds: dict[str, Kind] = {}
    services: dict[str, Service] = {}
    data_centres: dict[str, DataCentre] = {}


class Manifest(NamedTuple):
    """One revision: which files it merges and what came of it.

    :param files: file name -> SHA-256 of its content, in merge order.
    :param merged: SHA-256 of the merged document's canonical JSON.
    """

    revision: int
    files: dict[str, str]
    merged: str
    author: str = ''
    applied_at_s: float = 0.0


#: JSON as the folder's files hold it.
Json = dict[str, Any]

__all__ = (
    'ANYWHERE',
    'IN_RACK',
    'ON_WORKER',
    'Adjacency',
    'ConfigurationDocument',
    'DataCentre',
    'Guarantee',
    'Json',
    'Kind',
    'Lane',
    'Manifest',
    'Rack',
    'Service',
    'Shape',
    'Workspace',
)
