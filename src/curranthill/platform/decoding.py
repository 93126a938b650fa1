"""Decodes JSON from other writers; any bad input raises one error type."""

from typing import Annotated, Final, TypeVar

import msgspec

from curranthill.storage.rows import MalformedRecordError

Fields = TypeVar('Fields')

#: The largest integer of 64 bits.
MAX_INT: Final = (1 << 63) - 1

#: The latest reading of a clock, in milliseconds: some 30,000 years.
MAX_CLOCK_MS: Final = 1e15

_OCTET: Final = '(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'

_PORT: Final = (
    '(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)

#: A non-empty name.
Name = Annotated[str, msgspec.Meta(min_length=1)]

#: An integer that is at least 0.
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]

#: The same with the range of 64 bits, which sums and conversions to floating
#: point numbers never exceed.
BoundedInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]

#: A duration or another quantity that is at least 0.
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]

#: The same for the readings of a clock in milliseconds.
BoundedFloat = Annotated[float, msgspec.Meta(ge=0, le=MAX_CLOCK_MS)]

#: An IPv4 address and a port. ``\Z`` matches only at the very end, and
#: ``[0-9]`` no digits of other scripts.
SocketAddress = Annotated[
    str,
    msgspec.Meta(
        pattern=rf'\A{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z',
    ),
]


def is_header_text(text: str) -> bool:
    """Return whether a text arrives unchanged as the value of a header.

    Control characters can't be sent, and receivers remove blanks at the ends.
    """
    return bool(text) and text.isprintable() and text == text.strip()


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
    'BoundedFloat',
    'BoundedInt',
    'Name',
    'NonNegativeFloat',
    'NonNegativeInt',
    'SocketAddress',
    'decode_fields',
    'is_header_text',
)
