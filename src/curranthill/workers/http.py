"""A client of workers over HTTP, as docs/standins/worker.md states."""

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

#: The longest a call may take that brings no result, and how long a result
#: may stand still on its way, in seconds.
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


class _Answer(NamedTuple):
    body: bytes
    content_type: str
    free_slots: int


class HttpWorker:
    """One worker over HTTP.

    :param address: the worker's base URL.
    :param session: the connections that the workers of a process share.
    """

    def __init__(
        self,
        *,
        address: str,
        session: aiohttp.ClientSession,
    ) -> None:
        """Keep the address and the session."""
        self._address = address
        self._session = session

    async def fence(self, token: FencingToken) -> tuple[LeaseReport, ...]:
        """Raise the epoch seen and return all leases."""
        reply = await self._post('fence', _token(token))
        return tuple(lease_from_document(lease) for lease in reply['leases'])

    async def reserve(self, token: FencingToken, request: LeaseRequest) -> None:
        """Hold slots for an attempt."""
        body = _token(token) | request.attempt_id._asdict()
        body |= {'slots': request.slots, 'term_s': request.term_s}
        await self._post('reserve', body)

    async def start(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        task: Task,
    ) -> None:
        """Start the attempt's task."""
        body = _token(token) | attempt_id._asdict()
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
        """Renew leases and wait for an end."""
        named = None if attempts is None else [list(one) for one in attempts]
        body = _token(token) | {
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
        """Checkpoint and stop an attempt."""
        body = _token(token) | attempt_id._asdict() | {'grace_s': grace_s}
        reply = await self._post(
            'stop',
            body,
            timeout_s=CALL_TIMEOUT_S + grace_s,
        )
        return str(reply['checkpoint'])

    async def release(self, token: FencingToken, attempt_id: AttemptId) -> bool:
        """Give an attempt's slots back; say whether it had started."""
        body = _token(token) | attempt_id._asdict()
        reply = await self._post('release', body)
        return bool(reply['started'])

    async def throttle(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        share: float,
    ) -> None:
        """Let the task use only a share of its slots."""
        body = _token(token) | attempt_id._asdict() | {'share': share}
        await self._post('throttle', body)

    async def fetch_result(self, attempt_id: AttemptId) -> bytes:
        """Return an attempt's whole result."""
        job, attempt = attempt_id
        answer = await self._call(
            'GET',
            f'results/{job}/{attempt}',
            limits=aiohttp.ClientTimeout(
                sock_read=CALL_TIMEOUT_S,
                sock_connect=CONNECT_TIMEOUT_S,
            ),
        )
        return answer.body

    async def quick(self, request: QuickRequest) -> QuickReply:
        """Run one quick request."""
        answer = await self._call(
            'POST',
            f'quick/{request.service}/{request.kind}',
            limits=_within(request.deadline_s),
            data=request.body,
            headers={
                'Request-Id': request.request_id,
                'Deadline-S': f'{request.deadline_s:.3f}',
            },
        )
        return QuickReply(*answer)

    async def _post(
        self,
        step: str,
        body: dict[str, Any],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        limits = _within(timeout_s)
        answer = await self._call('POST', step, limits=limits, json=body)
        return json.loads(answer.body)

    async def _call(
        self,
        method: str,
        step: str,
        *,
        limits: aiohttp.ClientTimeout,
        **options: Any,
    ) -> _Answer:
        url = f'{self._address}/v1/{step}'
        try:
            async with self._session.request(
                method,
                url,
                timeout=limits,
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
                'No whole answer came from the worker.',
                step=step,
                peer=self._address,
            ) from error
        self._raise_for(reply, body, step)
        self._check_digest(reply, body, step)
        return _Answer(
            body=body,
            content_type=reply.content_type,
            free_slots=int(reply.headers.get('Free-Slots', '0')),
        )

    def _raise_for(
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
            body.decode(errors='replace') or f'The worker answered {status}.',
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
                'The answer arrived damaged.',
                step=step,
                peer=self._address,
            )


@worker_clients.register('http')
def http_worker_clients() -> WorkerClients:
    """Return a factory of HTTP clients that share one pool."""
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


def _within(timeout_s: float) -> aiohttp.ClientTimeout:
    """Return the limits of a call whose whole answer comes in time."""
    return aiohttp.ClientTimeout(
        total=timeout_s,
        sock_connect=CONNECT_TIMEOUT_S,
    )


def _token(token: FencingToken) -> dict[str, Any]:
    return {'epoch': token.epoch, 'holder': token.holder}


__all__ = ('HttpWorker', 'http_worker_clients')
