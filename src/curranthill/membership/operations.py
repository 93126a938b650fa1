"""The operations service, by which operators inspect a process."""

from typing import Any

from curranthill.configuration import ActiveConfiguration
from curranthill.membership.messages import message_of
from curranthill.membership.view import View
from curranthill.protocol import OperationsBase, inner_pb2


class OperationsService(OperationsBase):
    """Implements the inner protocol's ``Operations`` service."""

    def __init__(
        self,
        *,
        view: View,
        configuration: ActiveConfiguration,
    ) -> None:
        """Initialize with the state to report."""
        self._view = view
        self._configuration = configuration

    async def Status(self, stream: Any) -> None:  # noqa: N802
        """Report the revision in force, the leading epoch and the members."""
        await stream.recv_message()
        own = self._view.own
        members = [message_of(member) for member in (own, *self._view)]
        await stream.send_message(
            inner_pb2.StatusReply(
                name=own.name,
                role=own.role,
                revision=self._configuration.revision,
                leading_epoch=own.leading_epoch,
                members=members,
            ),
        )


__all__ = ('OperationsService',)
