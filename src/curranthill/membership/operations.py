"""What each process tells operators of itself."""

from typing import Any

from curranthill.configuration import ConfigurationHolder
from curranthill.membership.messages import message_of
from curranthill.membership.view import View
from curranthill.protocol import OperationsBase, inner_pb2


class OperationsService(OperationsBase):
    """Answer the operators' command."""

    def __init__(
        self,
        *,
        view: View,
        configuration: ConfigurationHolder,
    ) -> None:
        """Keep the parts."""
        self._view = view
        self._configuration = configuration

    async def Status(self, stream: Any) -> None:  # noqa: N802
        """Say which revision is in force here and who the peers are."""
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
