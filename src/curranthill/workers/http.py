"""The HTTP client of workers; docs/standins/worker.md specifies the API."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any, NamedTuple

import aiohttp

from curranthill.errors import (
    FencedError,
    TaskFailedError,
    UnknownPollError,
    WorkerBusyError,
    WorkerError,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from curranthill.storage.http import content_digest
from curranthill.workers.interface import (
    Worker,
    WorkerClients,
    worker_clients,
)
from curranthill.workers.records import (
    AttemptId,
    FencingToken,
    LeaseReport,
    LeaseRequest,
    QuickReply,
    QuickRequest,
    Task,
    WorkerReport,
    lease_from_document,
    report_from_document,
)

CONNECT_TIMEOUT_S = 0.5

#: The timeout of a call that fetches no result, and the maximum time between
#: two parts of a result, in seconds.
CALL_TIMEOUT_S = 2.0

#: Connections kept open to one worker by one process.
CONNECTIONS_PER_WORKER = 64

_ERRORS: dict[int, type[WorkerError]] = {
    404: WorkerError,
    409: WorkerBusyError,
    410: WorkerError,
    422: TaskFailedError,
    428: UnknownPollError,
    503: WorkerBusyError,
}
_HTTP_OK = 200
_HTTP_FENCED = 412


class _Response(NamedTuple):
    body: bytes
    content_type: str
    free_slots: int


class HttpWorker:
    """The client of one worker over HTTP.

    :param address: the worker's base URL.
    :param session: a session that all clients of the process share.
    """

    def __init__(
        self,
        *,
        address: str,
        session: aiohttp.ClientSession,
    ) -> None:
        """Initialize; nothing is sent yet."""
        self._address = address
        self._session = session

    async def fence(self, token: FencingToken) -> tuple[LeaseReport, ...]:
        """Fence off older tokens and return all leases."""
        reply = await self._post('fence', _token_fields(token))
        return tuple(lease_from_document(lease) for lease in reply['leases'])

    async def reserve(self, token: FencingToken, request: LeaseRequest) -> None:
        """Reserve slots for an attempt."""
        body = _token_fields(token) | request.attempt_id._asdict()
        body |= {'slots': request.slots, 'term_s': request.term_s}
        await self._post('reserve', body)

    async def start(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        task: Task,
    ) -> None:
        """Start the attempt's task."""
        body = _token_fields(token) | attempt_id._asdict()
        body['task'] = task._asdict()
        await self._post('start', body)

    async def poll(
        self,
        token: FencingToken,
        term_s: float,
        wait_s: float,
        attempts: Sequence[AttemptId] | None,
        known_ended: Sequence[AttemptId],
    ) -> WorkerReport:
        """Renew leases and wait until one ends."""
        named = None if attempts is None else [list(one) for one in attempts]
        body = _token_fields(token) | {
            'term_s': term_s,
            'wait_s': wait_s,
            'attempts': named,
            'known_ended': [list(attempt_id) for attempt_id in known_ended],
        }
        reply = await self._post(
            'poll',
            body,
            timeout_s=CALL_TIMEOUT_S + wait_s,
        )
        return report_from_document(reply)

    async def stop(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        grace_s: float,
    ) -> str:
        """Stop an attempt; return the name of its checkpoint."""
        body = (
            _token_fields(token) | attempt_id._asdict() | {'grace_s': grace_s}
        )
        reply = await self._post(
            'stop',
            body,
            timeout_s=CALL_TIMEOUT_S + grace_s,
        )
        return str(reply['checkpoint'])

    async def release(self, token: FencingToken, attempt_id: AttemptId) -> bool:
        """Release an attempt's slots; return whether it ever started."""
        body = _token_fields(token) | attempt_id._asdict()
        reply = await self._post('release', body)
        return bool(reply['started'])

    async def throttle(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        share: float,
    ) -> None:
        """Limit the task to a share of its slots."""
        body = _token_fields(token) | attempt_id._asdict() | {'share': share}
        await self._post('throttle', body)

    async def fetch_result(self, attempt_id: AttemptId) -> bytes:
        """Return an attempt's complete result."""
        job, attempt = attempt_id
        response = await self._call(
            'GET',
            f'results/{job}/{attempt}',
            timeouts=aiohttp.ClientTimeout(
                sock_read=CALL_TIMEOUT_S,
                sock_connect=CONNECT_TIMEOUT_S,
            ),
        )
        return response.body

    async def quick(self, request: QuickRequest) -> QuickReply:
        """Run one quick request."""
        response = await self._call(
            'POST',
            f'quick/{request.service}/{request.kind}',
            timeouts=_timeouts(request.deadline_s),
            data=request.body,
            headers={
                'Request-Id': request.request_id,
                'Deadline-S': f'{request.deadline_s:.3f}',
            },
        )
        return QuickReply(*response)

    async def _post(
        self,
        step: str,
        body: dict[str, Any],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        timeouts = _timeouts(timeout_s)
        response = await self._call('POST', step, timeouts=timeouts, json=body)
        return json.loads(response.body)

    async def _call(
        self,
        method: str,
        step: str,
        *,
        timeouts: aiohttp.ClientTimeout,
        **options: Any,
    ) -> _Response:
        url = f'{self._address}/v1/{step}'
        try:
            async with self._session.request(
                method,
                url,
                timeout=timeouts,
                **options,
            ) as reply:
                body = await reply.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise WorkerUnreachableError(
                'The worker could not be reached.',
                step=step,
                peer=self._address,
            ) from error
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise WorkerReplyLostError(
                'No complete response arrived from the worker.',
                step=step,
                peer=self._address,
            ) from error
        self._raise_for_status(reply, body, step)
        self._check_digest(reply, body, step)
        return _Response(
            body=body,
            content_type=reply.content_type,
            free_slots=int(reply.headers.get('Free-Slots', '0')),
        )

    def _raise_for_status(
        self,
        reply: aiohttp.ClientResponse,
        body: bytes,
        step: str,
    ) -> None:
        status = reply.status
        if status == _HTTP_OK:
            return
        if status == _HTTP_FENCED:
            raise FencedError(
                body.decode(errors='replace'),
                step=step,
                peer=self._address,
                seen_epoch=int(reply.headers.get('Seen-Epoch', '0')),
            )
        kind = _ERRORS.get(status, WorkerReplyLostError)
        raise kind(
            body.decode(errors='replace') or f'The worker returned {status}.',
            step=step,
            peer=self._address,
        )

    def _check_digest(
        self,
        reply: aiohttp.ClientResponse,
        body: bytes,
        step: str,
    ) -> None:
        digest = reply.headers.get('Content-Digest')
        if digest is not None and digest != content_digest(body):
            raise WorkerReplyLostError(
                'The response does not match its digest.',
                step=step,
                peer=self._address,
            )


@worker_clients.register('http')
def http_worker_clients() -> WorkerClients:
    """Return a factory of HTTP clients that share one connection pool."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=60,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )

    def at(address: str) -> Worker:  # noqa: WPS430
        return HttpWorker(address=address, session=session)

    return WorkerClients(at=at, close=session.close)


def _timeouts(timeout_s: float) -> aiohttp.ClientTimeout:
    """Return timeouts for connecting and for the complete response."""
    return aiohttp.ClientTimeout(
        total=timeout_s,
        sock_connect=CONNECT_TIMEOUT_S,
    )


def _token_fields(token: FencingToken) -> dict[str, Any]:
    return {'epoch': token.epoch, 'holder': token.holder}


__all__ = ('HttpWorker', 'http_worker_clients')
