"""Cross checks of a merged document: names, sizes and promises."""

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
    """Return a merged document as records, all of it checked.

    :raises ConfigurationError: listing every fault.
    """
    try:
        document = validate(ConfigurationDocument, merged, name)
    except SettingsError as error:
        raise ConfigurationError(error.message, step='check') from error
    faults = list(_faults(document))
    if faults:
        raise ConfigurationError('\n'.join(faults), step='check')
    return document


def shape_fits(shape: Shape, data_centre: DataCentre) -> bool:
    """Return whether a shape fits an empty data centre."""
    racks = data_centre.racks.values()
    if shape.adjacent == ON_WORKER:
        room = max((rack.slots for rack in racks), default=0)
    elif shape.adjacent == IN_RACK:
        room = max((rack.workers * rack.slots for rack in racks), default=0)
    else:
        room = sum(rack.workers * rack.slots for rack in racks)
    return shape.accelerators <= room


def _faults(document: ConfigurationDocument) -> Iterator[str]:
    for name, shape in document.shapes.items():
        if shape.accelerators < 1:
            yield f'shapes.{name}: needs at least one accelerator.'
    for name, kind in document.kinds.items():
        yield from _kind_faults(name, kind, document)
    for name, workspace in document.workspaces.items():
        for guarantee in workspace.guarantees:
            where = f'workspaces.{name}.guarantees'
            yield from _guarantee_faults(where, guarantee, document)
    for name in document.data_centres:
        yield from _promise_faults(name, document)


def _kind_faults(
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


def _guarantee_faults(
    where: str,
    guarantee: Guarantee,
    document: ConfigurationDocument,
) -> Iterator[str]:
    shape = document.shapes.get(guarantee.shape)
    if shape is None:
        yield f'{where}: no shape is named {guarantee.shape!r}.'
    data_centre = document.data_centres.get(guarantee.data_centre)
    if data_centre is None:
        yield f'{where}: no data centre is named {guarantee.data_centre!r}.'
    if guarantee.count < 1:
        yield f'{where}: count must be at least 1.'
    if shape and data_centre and not shape_fits(shape, data_centre):
        yield f'{where}: {guarantee.shape} does not fit any rack there.'


def _promise_faults(
    name: str,
    document: ConfigurationDocument,
) -> Iterator[str]:
    """Find whether all promises of a data centre fit it at the same time.

    The shapes are packed largest first, each into the fullest place that
    still holds it; a set that only another order could pack is refused too.
    """
    rooms = {
        rack_name: [rack.slots for _ in range(rack.workers)]
        for rack_name, rack in document.data_centres[name].racks.items()
    }
    promised = sorted(_promises(name, document), key=_largest_first)
    for shape, workspace_name, guarantee in promised:
        if not _pack(shape, rooms):
            yield (
                f'workspaces.{workspace_name}.guarantees: {guarantee.count} x'
                f' {guarantee.shape} does not fit {name} beside the other'
                ' guarantees there.'
            )


def _promises(
    name: str,
    document: ConfigurationDocument,
) -> Iterator[tuple[Shape, str, Guarantee]]:
    """Yield each promised shape of a data centre as often as promised."""
    for workspace_name, workspace in document.workspaces.items():
        for guarantee in workspace.guarantees:
            shape = document.shapes.get(guarantee.shape)
            if shape is not None and guarantee.data_centre == name:
                for _ in range(guarantee.count):
                    yield shape, workspace_name, guarantee


def _largest_first(promise: tuple[Shape, str, Guarantee]) -> int:
    return -promise[0].accelerators


def _pack(shape: Shape, rooms: dict[str, list[int]]) -> bool:
    size = shape.accelerators
    single = [
        (free, rack_name, index)
        for rack_name, workers in rooms.items()
        for index, free in enumerate(workers)
        if free >= size
    ]
    if single:
        _, rack_name, index = min(single)
        rooms[rack_name][index] -= size
        return True
    if shape.adjacent == ON_WORKER:
        return False
    racks = [workers for workers in rooms.values() if sum(workers) >= size]
    if shape.adjacent == IN_RACK:
        if not racks:
            return False
        return _take(min(racks, key=sum), size) == 0
    for workers in rooms.values():
        size = _take(workers, size)
    return size == 0


def _take(workers: list[int], size: int) -> int:
    """Take slots from the emptiest workers first; return what is left."""
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
