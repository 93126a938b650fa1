"""Members to and from their messages."""

from curranthill.membership.view import Member
from curranthill.protocol import inner_pb2


def message_of(member: Member) -> inner_pb2.Member:
    """Return a member as a message."""
    return inner_pb2.Member(**member._asdict())


def member_of(message: inner_pb2.Member) -> Member:
    """Return a member from its message."""
    return Member(**{name: getattr(message, name) for name in Member._fields})


__all__ = ('member_of', 'message_of')
