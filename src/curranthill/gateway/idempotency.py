"""Quick requests with an idempotency key.

Each key gets one run and one response, whichever host receives the requests.
"""

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
from curranthill.gateway.problems import platform_unavailable, refuse
from curranthill.gateway.requests import CallerRequest
from curranthill.routing import QuickWork, Router
from curranthill.storage import ABSENT, Committer, Row, Table, Write
from curranthill.workers import QuickReply

#: How long after a run's deadline its host is considered lost, in seconds.
_GRACE_S: Final = 2.0

#: The interval of polling for the result of another host's run, in seconds.
_POLL_INTERVAL_S: Final = 0.1

#: The largest response that is stored for repeated requests, in bytes.
_MAX_STORED_BYTES: Final = 64 * 1024


class QuickRecord(NamedTuple):
    """The stored state of a quick request with an idempotency key.

    :param state: ``marked`` while it may run, ``done`` once it has a response.
    :param until_s: wall time after which its host is considered lost, in
        seconds.
    :param problem: the error message of a failed run, or empty.
    :param outcome: what is known of the effect of a failed run.
    :param status: the HTTP status of a failed run, 0 for a successful one.
    """

    request_digest: str
    state: str
    until_s: float
    answer: str = ''
    content_type: str = ''
    problem: str = ''
    outcome: Outcome = UNKNOWN
    status: int = 0


class IdempotentRunner:
    """Runs a quick request once per idempotency key and replays its response.

    A host claims a key with a conditional write before it runs the request.
    """

    def __init__(self, *, clock: Clock, table: Table, router: Router) -> None:
        """Initialize with a committer for conditional writes."""
        self._clock = clock
        self._table = table
        self._router = router
        self._committer = Committer(table=table, clock=clock)

    async def run(self, request: CallerRequest, work: QuickWork) -> QuickReply:
        """Run a request, or return the stored response of its key.

        :raises RefusedError: if there is no response, with the outcome.
        """
        until_s = self._clock.monotonic_s() + request.deadline_s
        while True:
            version = await self._claim(request, ABSENT)
            if version is not None:
                return await self._run_claimed(request, work, version)
            row = await self._read(request)
            if row is None:
                continue
            record = QuickRecord(**row.document)
            self._check_digest(request, record)
            if record.state == 'done':
                return _replay(record)
            if self._clock.wall_s() > record.until_s:
                return await self._take_over(request, work, row)
            if self._clock.monotonic_s() >= until_s:
                raise refuse(
                    HTTPStatus.CONFLICT,
                    'The first request with this key is still running.',
                    step='idempotency key',
                    outcome=UNKNOWN,
                    retry_after_s=1,
                )
            await self._clock.sleep(_POLL_INTERVAL_S)

    async def _claim(
        self,
        request: CallerRequest,
        version: int,
    ) -> int | None:
        """Claim the key for this host and return the version of its row.

        Returns nothing if another host has claimed the key first.

        :param version: the version that the row must have.
        """
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
            raise platform_unavailable(
                error,
                'The platform is unavailable and cannot store the key now.',
                NOT_RUN,
            ) from error

    async def _run_claimed(
        self,
        request: CallerRequest,
        work: QuickWork,
        version: int,
    ) -> QuickReply:
        try:
            reply = await self._router.run(work)
        except RefusedError as error:
            await self._store_failure(request, version, error)
            raise
        record = QuickRecord(
            request_digest=request.digest,
            state='done',
            until_s=0,
            answer=reply.body.decode('utf-8', 'replace'),
            content_type=reply.content_type,
        )
        if len(reply.body) <= _MAX_STORED_BYTES:
            await self._store(request, version, record)
        return reply

    async def _store_failure(
        self,
        request: CallerRequest,
        version: int,
        error: RefusedError,
    ) -> None:
        if error.outcome == NOT_RUN:
            # The request certainly did not run, so the key may be used again.
            await self._store(request, version, None)
            return
        record = QuickRecord(
            request_digest=request.digest,
            state='done',
            until_s=0,
            problem=error.message,
            outcome=error.outcome,
            status=error.status,
        )
        await self._store(request, version, record)

    async def _take_over(
        self,
        request: CallerRequest,
        work: QuickWork,
        row: Row,
    ) -> QuickReply:
        """Run a request again after the host that ran it was lost.

        :raises RefusedError: if the request is not idempotent.
        """
        if not request.kind.idempotent:
            raise refuse(
                HTTPStatus.CONFLICT,
                'The host that ran this request was lost. Whether the request'
                ' took effect is unknown, and it is not run again.',
                step='idempotency key',
                outcome=UNKNOWN,
            )
        version = await self._claim(request, row.version)
        if version is None:
            return await self.run(request, work)
        return await self._run_claimed(request, work, version)

    async def _store(
        self,
        request: CallerRequest,
        version: int,
        record: QuickRecord | None,
    ) -> None:
        try:
            await self._write(request, version, record)
        except StorageError as error:
            # The caller still gets its response, but a repeated request may
            # find the key claimed.
            logger.bind(step=error.step, peer=error.peer).warning(
                'response to an idempotency key was not stored: {}',
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
            raise platform_unavailable(
                error,
                'The platform is unavailable and the key cannot be read now.',
                UNKNOWN,
            ) from error

    def _check_digest(
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


def _replay(record: QuickRecord) -> QuickReply:
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


__all__ = ('IdempotentRunner', 'QuickRecord')
