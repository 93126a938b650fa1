"""Decodes JSON from other writers; any bad input raises one error type."""

from typing import Annotated, TypeVar

import msgspec

from curranthill.storage.rows import MalformedRecordError

Fields = TypeVar('Fields')

#: A non-empty name.
Name = Annotated[str, msgspec.Meta(min_length=1)]

#: An integer that is at least 0.
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]

#: A duration or another quantity that is at least 0.
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]

#: An IPv4 address and a port.
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
    """Return a decoded record.

    :param kind: the type to decode to, with its required and optional fields.
    :param step: the step that an error names.
    :param peer: the peer or row key that an error names.
    :raises MalformedRecordError: if the content is not valid JSON or does not
        match the type.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedRecordError(
            f'The record cannot be read: {error}.',
            step=step,
            peer=peer,
        ) from error


__all__ = (
    'Name',
    'NonNegativeFloat',
    'NonNegativeInt',
    'SocketAddress',
    'decode_fields',
)
