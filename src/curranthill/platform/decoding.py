"""Decodes what others write into typed fields; nothing else may be raised."""

from typing import Annotated, TypeVar

import msgspec

from curranthill.storage.rows import MalformedRecordError

Fields = TypeVar('Fields')

#: A text that names something.
Name = Annotated[str, msgspec.Meta(min_length=1)]

#: A whole number of things that can't be owed.
Count = Annotated[int, msgspec.Meta(ge=0)]

#: A time or another measure that is never below zero.
Measure = Annotated[float, msgspec.Meta(ge=0)]

#: An IP number and a port.
SocketAddress = Annotated[
    str,
    msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'),
]


def decode_fields(
    content: bytes,
    kind: type[Fields],
    *,
    step: str,
    peer: str = '',
) -> Fields:
    """Return the fields of a record.

    :param kind: tells required fields from optional ones, and their types.
    :raises MalformedRecordError: if the record has other ones.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedRecordError(
            f'The record cannot be read: {error}.',
            step=step,
            peer=peer,
        ) from error


__all__ = ('Count', 'Measure', 'Name', 'SocketAddress', 'decode_fields')
