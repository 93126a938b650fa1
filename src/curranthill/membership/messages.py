"""Conversion of members to and from their protocol messages."""

from curranthill.membership.view import Member
from curranthill.protocol import inner_pb2


def message_of(member: Member) -> inner_pb2.Member:
    """Return the message of a member."""
    return inner_pb2.Member(**member._asdict())


def member_of(message: inner_pb2.Member) -> Member:
    """Return the member that a message describes."""
    return Member(**{name: getattr(message, name) for name in Member._fields})


__all__ = ('member_of', 'message_of')
