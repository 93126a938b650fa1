"""Quick requests with an idempotency key: one run, one answer, any host."""

from http import HTTPStatus
from typing import Final, NamedTuple

from loguru import logger

from curranthill.clock import Clock
from curranthill.errors import (
    NOT_RUN,
    UNKNOWN,
    ConflictError,
    Outcome,
    RefusedError,
    ReplyLostError,
    StorageError,
)
from curranthill.gateway.problems import platform_away, refuse
from curranthill.gateway.requests import CallerRequest
from curranthill.routing import QuickWork, Router
from curranthill.storage import ABSENT, Committer, Row, Table, Write
from curranthill.workers import QuickReply

#: How long after a run's deadline its host counts as gone, in seconds.
_GRACE_S: Final = 2.0

#: Waits between looks at another host's run, in seconds.
_LOOK_S: Final = 0.1

#: An answer above this size is told but not kept for repeats.
_KEPT_BYTES: Final = 64 * 1024


class QuickRecord(NamedTuple):
    """What is kept of a keyed quick request.

    :param state: ``marked`` while it may run, ``done`` with its answer.
    :param until_s: wall seconds after which its host counts as gone.
    """

    request_digest: str
    state: str
    until_s: float
    answer: str = ''
    content_type: str = ''
    problem: str = ''
    outcome: Outcome = UNKNOWN
    status: int = 0


class KeyedRuns:
    """Run a keyed quick request once and give repeats its answer."""

    def __init__(self, *, clock: Clock, table: Table, router: Router) -> None:
        """Keep the parts."""
        self._clock = clock
        self._table = table
        self._router = router
        self._committer = Committer(table=table, clock=clock)

    async def run(self, request: CallerRequest, work: QuickWork) -> QuickReply:
        """Return the one answer of a key.

        :raises RefusedError: if there is none, with what is known.
        """
        until_s = self._clock.monotonic_s() + request.deadline_s
        while True:
            version = await self._mark(request, ABSENT)
            if version is not None:
                return await self._run_marked(request, work, version)
            row = await self._read(request)
            if row is None:
                continue
            record = QuickRecord(**row.document)
            self._refuse_other(request, record)
            if record.state == 'done':
                return _answer(record)
            if self._clock.wall_s() > record.until_s:
                return await self._after_loss(request, work, row)
            if self._clock.monotonic_s() >= until_s:
                raise refuse(
                    HTTPStatus.CONFLICT,
                    'The first request with this key still runs.',
                    step='idempotency key',
                    outcome=UNKNOWN,
                    retry_after_s=1,
                )
            await self._clock.sleep(_LOOK_S)

    async def _mark(
        self,
        request: CallerRequest,
        version: int,
    ) -> int | None:
        """Mark the key as this host's to run; nothing if another has it."""
        record = QuickRecord(
            request_digest=request.digest,
            state='marked',
            until_s=self._clock.wall_s() + request.deadline_s + _GRACE_S,
        )
        try:
            return await self._write(request, version, record)
        except ConflictError:
            return None
        except StorageError as error:
            raise platform_away(
                error,
                'The platform cannot keep the key now.',
                NOT_RUN,
            ) from error

    async def _run_marked(
        self,
        request: CallerRequest,
        work: QuickWork,
        version: int,
    ) -> QuickReply:
        try:
            reply = await self._router.run(work)
        except RefusedError as error:
            await self._keep_refusal(request, version, error)
            raise
        record = QuickRecord(
            request_digest=request.digest,
            state='done',
            until_s=0,
            answer=reply.body.decode('utf-8', 'replace'),
            content_type=reply.content_type,
        )
        if len(reply.body) <= _KEPT_BYTES:
            await self._keep(request, version, record)
        return reply

    async def _keep_refusal(
        self,
        request: CallerRequest,
        version: int,
        error: RefusedError,
    ) -> None:
        if error.outcome == NOT_RUN:
            # Provably not run: the key is free again.
            await self._keep(request, version, None)
            return
        record = QuickRecord(
            request_digest=request.digest,
            state='done',
            until_s=0,
            problem=error.message,
            outcome=error.outcome,
            status=error.status,
        )
        await self._keep(request, version, record)

    async def _after_loss(
        self,
        request: CallerRequest,
        work: QuickWork,
        row: Row,
    ) -> QuickReply:
        """Go on after the host that ran a key is gone."""
        if not request.kind.idempotent:
            raise refuse(
                HTTPStatus.CONFLICT,
                'The host that ran this request is gone; whether it took'
                ' effect is not known, and it is not run again.',
                step='idempotency key',
                outcome=UNKNOWN,
            )
        version = await self._mark(request, row.version)
        if version is None:
            return await self.run(request, work)
        return await self._run_marked(request, work, version)

    async def _keep(
        self,
        request: CallerRequest,
        version: int,
        record: QuickRecord | None,
    ) -> None:
        try:
            await self._write(request, version, record)
        except StorageError as error:
            # The caller has its answer; a repeat may find the key marked.
            logger.bind(step=error.step, peer=error.peer).warning(
                'the answer of a key was not kept: {}',
                error.message,
            )

    async def _write(
        self,
        request: CallerRequest,
        version: int,
        record: QuickRecord | None,
    ) -> int:
        document = record._asdict() if record else None
        write = Write(request.key_row, version, document)
        versions = await self._committer.commit((write,))
        return versions[request.key_row]

    async def _read(self, request: CallerRequest) -> Row | None:
        try:
            return await self._table.read(request.key_row)
        except (StorageError, ReplyLostError) as error:
            raise platform_away(
                error,
                'The platform cannot tell what this key stands for now.',
                UNKNOWN,
            ) from error

    def _refuse_other(
        self,
        request: CallerRequest,
        record: QuickRecord,
    ) -> None:
        if record.request_digest != request.digest:
            raise refuse(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'Idempotency-Key was used for another request.',
                step='idempotency key',
            )


def _answer(record: QuickRecord) -> QuickReply:
    if record.status:
        raise RefusedError(
            record.problem,
            step='idempotency key',
            status=record.status,
            outcome=record.outcome,
        )
    return QuickReply(
        body=record.answer.encode(),
        content_type=record.content_type,
        free_slots=0,
    )


__all__ = ('KeyedRuns', 'QuickRecord')
