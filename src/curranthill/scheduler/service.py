"""The RPC service of a scheduler for gateways and operators."""

from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from curranthill.configuration import ActiveConfiguration
from curranthill.membership import View
from curranthill.protocol import SchedulerBase, inner_pb2
from curranthill.scheduler.context import Context
from curranthill.scheduler.leader import Leader
from curranthill.scheduler.quick import (
    GRANT_TERM_S,
    ConnectionGrants,
    granted_pool,
)
from curranthill.scheduler.term import Term


class SchedulerService(SchedulerBase):
    """Serves the inner protocol of a scheduler.

    A standby responds to every call with "unavailable", so that the caller
    looks up the active scheduler again.

    :param gateways: the maximum number of gateways of a data centre.
    """

    def __init__(
        self,
        *,
        leader: Leader,
        context: Context,
        configuration: ActiveConfiguration,
        view: View,
        gateways: int,
    ) -> None:
        """Initialize without grants."""
        self._leader = leader
        self._context = context
        self._configuration = configuration
        self._view = view
        self._gateways = gateways
        self._grants: ConnectionGrants | None = None
        self._granting_term: Term | None = None

    async def Notify(self, stream: Any) -> None:  # noqa: N802
        """Schedule reads of the rows of changed jobs."""
        request = await stream.recv_message()
        term = self._term()
        term.notify(request.job_ids)
        epoch = self._context.election.token.epoch
        await stream.send_message(inner_pb2.NotifyReply(epoch=epoch))

    async def Report(self, stream: Any) -> None:  # noqa: N802
        """Record a gateway's demand and respond with its allotment."""
        request = await stream.recv_message()
        term = self._term()
        term.quick.record_demand(request.gateway, request.most_in_flight)
        await stream.send_message(self._allot(term, request.gateway))

    async def Explain(self, stream: Any) -> None:  # noqa: N802
        """Respond with an explanation of a job's state."""
        request = await stream.recv_message()
        lines = self._term().explain(request.job_id)
        await stream.send_message(
            inner_pb2.ExplainReply(found=bool(lines), lines=lines),
        )

    async def Drain(self, stream: Any) -> None:  # noqa: N802
        """Stop placing new work on a worker."""
        request = await stream.recv_message()
        accepted = self._term().roster.drain(request.host)
        await stream.send_message(inner_pb2.DrainReply(accepted=accepted))

    def _term(self) -> Term:
        term = self._leader.term
        if term is None:
            raise GRPCError(Status.UNAVAILABLE, 'this scheduler is a standby')
        return term

    def _allot(self, term: Term, gateway: str) -> inner_pb2.Allotment:
        connections = self._connections()
        if self._granting_term is not term:
            self._granting_term = term
            self._grants = ConnectionGrants(
                clock=self._context.clock,
                pool=granted_pool(connections, self._gateways),
            )
        assert self._grants is not None  # noqa: S101
        own = self._view.own.data_centre
        grant = self._grants.grant(
            gateway,
            len(self._view.alive(role='gateway', data_centre=own)),
            self._context.election.lease_left_s(),
        )
        return inner_pb2.Allotment(
            epoch=self._context.election.token.epoch,
            term_s=min(
                GRANT_TERM_S,
                max(0, grant.until_s - self._context.clock.monotonic_s()),
            ),
            workers=[
                inner_pb2.QuickWorker(
                    name=worker.name,
                    address=worker.address,
                    slots=worker.quick,
                    connections=grant.amount,
                )
                for worker in term.quick.workers()
            ],
        )

    def _connections(self) -> int:
        services = self._configuration.document.services.values()
        return min((service.connections for service in services), default=64)


__all__ = ('SchedulerService',)
