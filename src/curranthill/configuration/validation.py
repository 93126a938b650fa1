"""Validates a merged document: fields, references and guarantees."""

from collections.abc import Iterator

from curranthill.configuration.records import (
    IN_RACK,
    ON_WORKER,
    ConfigurationDocument,
    DataCentre,
    Guarantee,
    Json,
    Kind,
    Shape,
)
from curranthill.errors import ConfigurationError, SettingsError
from curranthill.settings.reader import validate


def validate_document(
    merged: Json, name: str = 'merged'
) -> ConfigurationDocument:
    """Return a merged document as validated records.

    :param name: what the document is, for messages.
    :raises ConfigurationError: listing all validation errors.
    """
    try:
        document = validate(ConfigurationDocument, merged, name)
    except SettingsError as error:
        raise ConfigurationError(error.message, step='check') from error
    errors = list(_errors(document))
    if errors:
        raise ConfigurationError('\n'.join(errors), step='check')
    return document


def shape_fits(shape: Shape, data_centre: DataCentre) -> bool:
    """Return whether a shape fits an empty data centre."""
    racks = data_centre.racks.values()
    if shape.adjacent == ON_WORKER:
        capacity = max((rack.slots for rack in racks), default=0)
    elif shape.adjacent == IN_RACK:
        capacity = max((rack.workers * rack.slots for rack in racks), default=0)
    else:
        capacity = sum(rack.workers * rack.slots for rack in racks)
    return shape.accelerators <= capacity


def _errors(document: ConfigurationDocument) -> Iterator[str]:
    """Yield the errors that the types of the fields do not rule out."""
    for name, shape in document.shapes.items():
        if shape.accelerators < 1:
            yield f'shapes.{name}: needs at least one accelerator.'
    for name, kind in document.kinds.items():
        yield from _kind_errors(name, kind, document)
    for name, workspace in document.workspaces.items():
        for guarantee in workspace.guarantees:
            path = f'workspaces.{name}.guarantees'
            yield from _guarantee_errors(path, guarantee, document)
    for name in document.data_centres:
        yield from _capacity_errors(name, document)


def _kind_errors(
    name: str,
    kind: Kind,
    document: ConfigurationDocument,
) -> Iterator[str]:
    if kind.service not in document.services:
        yield f'kinds.{name}.service: no service is named {kind.service!r}.'
    if kind.lane == 'long' and kind.shape not in document.shapes:
        yield f'kinds.{name}.shape: no shape is named {kind.shape!r}.'
    if kind.deadline_s <= 0 or kind.run_time_s < 0:
        yield f'kinds.{name}: times must be positive.'


def _guarantee_errors(
    path: str,
    guarantee: Guarantee,
    document: ConfigurationDocument,
) -> Iterator[str]:
    shape = document.shapes.get(guarantee.shape)
    if shape is None:
        yield f'{path}: no shape is named {guarantee.shape!r}.'
    data_centre = document.data_centres.get(guarantee.data_centre)
    if data_centre is None:
        yield f'{path}: no data centre is named {guarantee.data_centre!r}.'
    if guarantee.count < 1:
        yield f'{path}: count must be at least 1.'
    if shape and data_centre and not shape_fits(shape, data_centre):
        yield (
            f'{path}: {guarantee.shape} does not fit {guarantee.data_centre}.'
        )


def _capacity_errors(
    name: str,
    document: ConfigurationDocument,
) -> Iterator[str]:
    """Yield an error for each guaranteed shape without space in a data centre.

    All its guarantees must fit the data centre at the same time.
    The shapes are packed by best fit, the largest first. The heuristic may
    refuse a set of guarantees that another order could pack.
    """
    free_slots = {
        rack_name: [rack.slots for _ in range(rack.workers)]
        for rack_name, rack in document.data_centres[name].racks.items()
    }
    guaranteed = sorted(_guaranteed_shapes(name, document), key=_largest_first)
    for shape, workspace_name, guarantee in guaranteed:
        if not _pack(shape, free_slots):
            yield (
                f'workspaces.{workspace_name}.guarantees: {guarantee.count} x'
                f' {guarantee.shape} does not fit {name} beside the other'
                ' guarantees there.'
            )


def _guaranteed_shapes(
    name: str,
    document: ConfigurationDocument,
) -> Iterator[tuple[Shape, str, Guarantee]]:
    """Yield each shape guaranteed in a data centre, once per count."""
    for workspace_name, workspace in document.workspaces.items():
        for guarantee in workspace.guarantees:
            shape = document.shapes.get(guarantee.shape)
            if shape is not None and guarantee.data_centre == name:
                for _ in range(guarantee.count):
                    yield shape, workspace_name, guarantee


def _largest_first(guaranteed: tuple[Shape, str, Guarantee]) -> int:
    return -guaranteed[0].accelerators


def _pack(shape: Shape, free_slots: dict[str, list[int]]) -> bool:
    """Take a shape's slots by best fit; return whether it fits.

    :param free_slots: the free slots of each worker, by rack.
    """
    size = shape.accelerators
    single = [
        (free, rack_name, index)
        for rack_name, workers in free_slots.items()
        for index, free in enumerate(workers)
        if free >= size
    ]
    if single:
        _, rack_name, index = min(single)
        free_slots[rack_name][index] -= size
        return True
    if shape.adjacent == ON_WORKER:
        return False
    racks = [workers for workers in free_slots.values() if sum(workers) >= size]
    if shape.adjacent == IN_RACK:
        if not racks:
            return False
        return _take(min(racks, key=sum), size) == 0
    for workers in free_slots.values():
        size = _take(workers, size)
    return size == 0


def _take(workers: list[int], size: int) -> int:
    """Take slots from the emptiest workers first; return the shortfall."""
    emptiest_first = sorted(
        range(len(workers)),
        key=workers.__getitem__,
        reverse=True,
    )
    for index in emptiest_first:
        taken = min(size, workers[index])
        workers[index] -= taken
        size -= taken
    return size


__all__ = ('shape_fits', 'validate_document')
