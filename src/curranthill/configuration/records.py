"""Records of the configuration document that operators edit."""

from typing import Any, Final, Literal, NamedTuple

#: Where the accelerators of a shape must be: on one worker, in one rack of a
#: data centre, or anywhere in it.
Adjacency = Literal['worker', 'rack', 'any']

#: Whether requests of a kind are served synchronously or run as jobs.
Lane = Literal['quick', 'long']

ON_WORKER: Final = 'worker'
IN_RACK: Final = 'rack'
ANYWHERE: Final = 'any'


class Shape(NamedTuple):
    """A number of accelerators and how close together they must be."""

    accelerators: int
    adjacent: Adjacency = IN_RACK


class Guarantee(NamedTuple):
    """Shapes guaranteed to a workspace, which it can reclaim at any time.

    :param count: the number of shapes guaranteed.
    """

    shape: str
    # The key in the files; it shadows tuple.count(), which is not used.
    count: int  # type: ignore[assignment]
    data_centre: str


class Workspace(NamedTuple):
    """A tenant: its callers' tokens, its guarantees and its share beyond them.

    :param token_digests: SHA-256 of each bearer token, in hexadecimal.
    :param weight: its relative share of the borrowed capacity.
    :param borrowing: whether it may use more than its guarantees.
    """

    token_digests: tuple[str, ...]
    weight: float = 1.0
    guarantees: tuple[Guarantee, ...] = ()
    borrowing: bool = True


class Kind(NamedTuple):
    """A kind of work that callers may request.

    :param shape: the shape of a long kind; a quick one takes one slot.
    :param deadline_s: the deadline of a request that does not set one.
    :param run_time_s: the declared run time; the actual one may differ widely.
    """

    service: str
    lane: Lane
    shape: str = ''
    idempotent: bool = True
    deadline_s: float = 30.0
    run_time_s: float = 1.0
    checkpointable: bool = False


class Service(NamedTuple):
    """Slots and connections that each worker offers to a service."""

    slots: int
    connections: int


class Rack(NamedTuple):
    """A rack of workers that all have the same number of slots.

    :param workers: the number of workers.
    :param slots: the slots of each worker.
    """

    workers: int
    slots: int


class DataCentre(NamedTuple):
    """A data centre; guarantees are checked against the size of its racks."""

    region: str
    racks: dict[str, Rack]


class ConfigurationDocument(NamedTuple):
    """The merged configuration of all files."""

    workspaces: dict[str, Workspace] = {}
    shapes: dict[str, Shape] = {}
    kinds: dict[str, Kind] = {}
    services: dict[str, Service] = {}
    data_centres: dict[str, DataCentre] = {}


class Manifest(NamedTuple):
    """A revision: the files that it merges and the digest of the result.

    :param files: file name -> SHA-256 of its content, in merge order.
    :param merged: SHA-256 of the merged document's canonical JSON.
    """

    revision: int
    files: dict[str, str]
    merged: str
    author: str = ''
    applied_at_s: float = 0.0


#: A JSON object, as each file of the folder holds one.
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
