"""Leader election among the schedulers of a data centre, by a lease.

The lease has two rows in the table, so that a renewal does not change the row
that a start record checks: the leader row changes only when another scheduler
takes over, the heartbeat row with each renewal. Clocks are not compared: a
standby considers the lease expired when it has seen the same heartbeat for
longer than the term and its margin.
"""

import random
from enum import Enum

from loguru import logger

from curranthill.clock import Clock
from curranthill.errors import (
    ConflictError,
    LeaseExpiredError,
    NotSentError,
    ReplyLostError,
    StorageError,
)
from curranthill.settings import LeaseSettings
from curranthill.storage import (
    ABSENT,
    Check,
    Committer,
    Row,
    Table,
    Write,
)
from curranthill.workers import FencingToken


class Role(Enum):
    """The current role of a scheduler."""

    standby = 'standby'
    active = 'active'


class Election:
    """One scheduler's participation in its data centre's election.

    :param holder: this scheduler's name.
    :param data_centre: the data centre to lead.
    """

    def __init__(
        self,
        *,
        table: Table,
        clock: Clock,
        settings: LeaseSettings,
        holder: str,
        data_centre: str,
    ) -> None:
        """Initialize as a standby."""
        self.role = Role.standby
        self.token = FencingToken(epoch=0, holder=holder)
        self._clock = clock
        self._settings = settings
        self._table = table
        self._committer = Committer(table=table, clock=clock)
        self._leader_key = f'leader/{data_centre}'
        self._heartbeat_key = f'heartbeat/{data_centre}'
        self._leader_version = 0
        self._heartbeat_version = 0
        self._valid_until_s = 0.0
        self._seen_version = -1
        self._seen_since_s = clock.monotonic_s()
        self._beat = 0

    @property
    def leading(self) -> bool:
        """Return whether this scheduler considers itself the leader."""
        return self.role is Role.active

    def lease_left_s(self) -> float:
        """Return how long the lease is valid, less its margin, in seconds."""
        if not self.leading:
            return 0
        margin_s = self._settings.margin_s
        return self._valid_until_s - margin_s - self._clock.monotonic_s()

    def require(self, step: str) -> None:
        """Require a valid lease, with its margin, before an effect.

        :raises LeaseExpiredError: if it is not valid.
        """
        if self.lease_left_s() <= 0:
            raise LeaseExpiredError(
                'The lease of the scheduler has expired.',
                step=step,
                peer=self.token.holder,
            )

    def check(self) -> Check:
        """Return the leader row that a start record must find unchanged."""
        return Check(self._leader_key, self._leader_version)

    def step_down(self, reason: str) -> None:
        """Become a standby; the next leader takes over running attempts."""
        if self.role is Role.standby:
            return
        self.role = Role.standby
        self._seen_version = -1
        logger.bind(step='election').warning(
            '{} steps down at epoch {}: {}',
            self.token.holder,
            self.token.epoch,
            reason,
        )

    async def advance(self, at_least_epoch: int = 0) -> None:
        """Renew the lease, or take it over if it has expired.

        :param at_least_epoch: an epoch that workers have seen; a new one is
            higher.
        """
        try:
            if self.role is Role.active:
                await self._renew()
            else:
                await self._observe(at_least_epoch)
        except StorageError as error:
            logger.bind(step=error.step, peer=error.peer).debug(
                'cannot read or write the leader row: {}',
                error.message,
            )

    def interval_s(self) -> float:
        """Return the delay until the next advance, with jitter, in seconds."""
        jitter = random.uniform(0.8, 1.0)  # noqa: S311
        return self._settings.leader_renew_s * jitter

    async def resign(self) -> None:
        """Release the lease, so that a standby need not wait for its expiry."""
        if not self.leading:
            return
        self.step_down('its process stops')
        try:
            await self._write_heartbeat(released=True)
        except StorageError as error:
            logger.bind(step=error.step).debug(
                'cannot write the release of the lease',
            )

    async def _renew(self) -> None:
        begun_s = self._clock.monotonic_s()
        try:
            await self._write_heartbeat(released=False)
        except ConflictError:
            self.step_down('another scheduler took over')
            return
        except (NotSentError, ReplyLostError):
            # The leader stays: workers fence it if there is a higher epoch.
            raise
        self._valid_until_s = begun_s + self._settings.leader_term_s

    async def _write_heartbeat(self, *, released: bool) -> None:
        self._beat += 1
        document = {
            'holder': self.token.holder,
            'epoch': self.token.epoch,
            'beat': self._beat,
            'released': released,
        }
        key = self._heartbeat_key
        try:
            versions = await self._committer.commit(
                (Write(key, self._heartbeat_version, document),),
                (self.check(),),
            )
        except ConflictError:
            row = await self._table.read(key)
            if row is None or not self._is_own(row):
                raise
            # A renewal whose reply was lost has been written since.
            self._heartbeat_version = row.version
            return
        self._heartbeat_version = versions[key]

    def _is_own(self, row: Row) -> bool:
        held_by = FencingToken(
            epoch=row.document['epoch'],
            holder=row.document['holder'],
        )
        return held_by == self.token

    async def _observe(self, at_least_epoch: int) -> None:
        heartbeat = await self._table.read(self._heartbeat_key)
        version = heartbeat.version if heartbeat else ABSENT
        now_s = self._clock.monotonic_s()
        if version != self._seen_version:
            self._seen_version = version
            self._seen_since_s = now_s
        released = heartbeat is None or heartbeat.document['released']
        unchanged_s = now_s - self._seen_since_s
        expiry_s = self._settings.leader_term_s + self._settings.margin_s
        if released or unchanged_s > expiry_s:
            await self._take_over(heartbeat, at_least_epoch)

    async def _take_over(
        self,
        heartbeat: Row | None,
        at_least_epoch: int,
    ) -> None:
        begun_s = self._clock.monotonic_s()
        leader = await self._table.read(self._leader_key)
        last_epoch = leader.document['epoch'] if leader else 0
        token = FencingToken(
            epoch=max(last_epoch, at_least_epoch) + 1,
            holder=self.token.holder,
        )
        document = {'holder': token.holder, 'epoch': token.epoch}
        beat = document | {'beat': self._beat, 'released': False}
        try:
            versions = await self._committer.commit(
                (
                    Write(
                        self._leader_key,
                        leader.version if leader else ABSENT,
                        document,
                    ),
                    Write(
                        self._heartbeat_key,
                        heartbeat.version if heartbeat else ABSENT,
                        beat,
                    ),
                ),
            )
        except ConflictError:
            self._seen_version = -1
            return
        self.token = token
        self.role = Role.active
        self._leader_version = versions[self._leader_key]
        self._heartbeat_version = versions[self._heartbeat_key]
        self._valid_until_s = begun_s + self._settings.leader_term_s
        logger.bind(step='election').info(
            '{} leads with epoch {}',
            token.holder,
            token.epoch,
        )


__all__ = ('Election', 'Role')
