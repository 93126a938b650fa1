"""Accepts callers within the limits of the machine."""

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from loguru import logger

from curranthill.errors import RefusedError
from curranthill.ingress.budget import MemoryBudget
from curranthill.ingress.connection import (
    Connection,
    HttpTransport,
    Stage,
    crowded,
)
from curranthill.ingress.limits import RECEIVE_BUFFER_BYTES, IngressLimits
from curranthill.ingress.turns import Turns
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

Handler = Callable[[Any], Awaitable[web.StreamResponse]]

#: The interval of checks while a request is in progress, in seconds. Limits of
#: time are counted in checks, so that a suspension counts as one.
SWEEP_INTERVAL_S: Final = 1.0

#: After how many checks without progress a request gives way to others.
STALLED_SWEEPS: Final = 2

#: How many more connections are refused with a response at the same time.
_REFUSED_SHARE: Final = 0.125

#: The interval in which refusals are logged together, in seconds.
REFUSAL_LOG_INTERVAL_S: Final = 10.0

_BUFFER_BYTES: Final = 65_536

#: Stages without a request.
_WITHOUT_REQUEST: Final = (
    Stage.ACCEPTED,
    Stage.NEW,
    Stage.IDLE,
    Stage.LINGERING,
)

#: Stages in which a request is received.
_RECEIVING: Final = (Stage.HEAD, Stage.BODY)


class IngressServer:
    """Serves HTTP on one port within limits.

    The server of the HTTP library calls :meth:`respond` with each request, and
    is made with :attr:`options`.

    :param limits: what connections and requests may hold.
    :param refusal: returns the response to a refused request.
    """

    def __init__(
        self,
        *,
        limits: IngressLimits,
        refusal: Callable[[RefusedError], web.Response],
    ) -> None:
        """Initialize without listening; see :meth:`start`."""
        self.limits = limits
        self.buffer = memoryview(bytearray(_BUFFER_BYTES))
        self.address = ''
        self._refusal = refusal
        self._budget = MemoryBudget(
            total_bytes=limits.requests_bytes,
            large_bytes=limits.large_bytes,
        )
        self._by_stage: dict[Stage, dict[Connection, None]] = {
            stage: {} for stage in Stage
        }
        self._limits_s: dict[Stage, int] = {
            Stage.HEAD: limits.head_s,
            Stage.BODY: limits.body_s,
            Stage.ANSWER: limits.answer_s,
            Stage.LINGERING: limits.linger_s,
        }
        self._runner: web.BaseRunner | None = None
        self._listener: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None
        self._refusals: Counter[str] = Counter()

    @property
    def options(self) -> dict[str, Any]:
        """Return the arguments of the HTTP library's server."""
        return {
            'access_log': None,
            'logger': _library_log(),
            'keepalive_timeout': self.limits.idle_s,
            'lingering_time': 0,
            'max_line_size': self.limits.field_bytes,
            'max_field_size': self.limits.field_bytes,
            'read_bufsize': self.limits.head_bytes,
        }

    async def start(
        self,
        runner: web.BaseRunner,
        ip: str,
        port: int,
    ) -> None:
        """Listen; a port of 0 is any free one.

        :param runner: the server of the HTTP library, without sites.
        """
        loop = asyncio.get_running_loop()
        self.turns = Turns()
        self._runner = runner
        metrics.observe('callers_connected', self._connected)
        metrics.observe('callers_held_bytes', lambda: self._budget.held_bytes)
        await runner.setup()
        listening = socket.socket(
            socket.AF_INET6 if ':' in ip else socket.AF_INET
        )
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size.
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listening.setblocking(False)  # noqa: FBT003
        listening.bind((ip, port))
        self._listener = await loop.create_server(
            lambda: Connection(owner=self),
            sock=listening,
            backlog=self.limits.backlog,
        )
        bound_ip, bound_port = listening.getsockname()[:2]
        self.address = f'{bound_ip}:{bound_port}'

    async def stop(self) -> None:
        """Close the port, finish requests in progress and disconnect."""
        if self._listener is not None:
            self._listener.close()
        for stage in _WITHOUT_REQUEST:
            for connection in tuple(self._by_stage[stage]):
                connection.close()
        if self._runner is not None:
            await self._runner.cleanup()
        for connections in self._by_stage.values():
            for connection in tuple(connections):
                connection.abort()
        if self._sweep is not None:
            self._sweep.cancel()

    async def respond(
        self,
        request: web.BaseRequest,
        handler: Handler,
    ) -> web.StreamResponse:
        """Handle a request and send its response, within the limits.

        :raises ConnectionError: if the caller has disconnected.
        """
        connection = _connection_of(request)
        try:
            connection.begin(request)
            response = await handler(request)
        except RefusedError as refused:
            self.refused(refused.step)
            response = self._refusal(refused)
        if not request.content.is_eof():
            response.force_close()
        await response.prepare(request)
        await response.write_eof()
        await connection.end(request)
        return response

    # What connections call.

    def http_protocol(self) -> web.RequestHandler:
        """Return a protocol of the HTTP library."""
        assert self._runner is not None
        assert self._runner.server is not None
        return self._runner.server()

    def render(self, refused: RefusedError) -> bytes:
        """Return a complete response for a refused request."""
        response = self._refusal(refused)
        body = response.body
        assert isinstance(body, bytes)
        lines = [
            f'HTTP/1.1 {response.status} {response.reason}',
            f'Content-Length: {len(body)}',
            'Connection: close',
            *(f'{name}: {text}' for name, text in response.headers.items()),
        ]
        return '\r\n'.join((*lines, '', '')).encode() + body

    def entered(self, connection: Connection, previous: Stage) -> None:
        """Record that a connection has entered a stage."""
        if previous is Stage.CLOSED:
            self._admit(connection)
        self._by_stage[previous].pop(connection, None)
        if connection.stage is Stage.CLOSED:
            return
        self._by_stage[connection.stage][connection] = None
        if connection.stage in self._limits_s and self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(
                SWEEP_INTERVAL_S, self._check
            )

    def reserve(self, connection: Connection, size_bytes: int) -> bool:
        """Change what a connection holds; return whether there is room.

        Requests that have stalled are refused to make room.
        """
        held_bytes = connection.held_bytes
        granted = self._budget.resize(held_bytes, size_bytes)
        for other in () if granted else self._stalled(*_RECEIVING):
            if other is not connection:
                other.give_up(_stalled_refusal(other.stage))
                granted = self._budget.resize(held_bytes, size_bytes)
            if granted:
                break
        if granted:
            connection.held_bytes = size_bytes
        return granted

    def refused(self, reason: str) -> None:
        """Count a refusal or a disconnection."""
        metrics.callers_refused.add(1, {'reason': reason})
        if not self._refusals:
            asyncio.get_running_loop().call_later(
                REFUSAL_LOG_INTERVAL_S, self._log_refusals
            )
        self._refusals[reason] += 1

    # Internals.

    def _stalled(self, *stages: Stage) -> Iterator[Connection]:
        """Yield the connections in some stages that have stalled."""
        for stage in stages:
            for connection in tuple(self._by_stage[stage]):
                if connection.stalled >= STALLED_SWEEPS:
                    yield connection

    def _yielding(self) -> Iterator[Connection]:
        """Yield connections that may be closed for a new one.

        Those come first that have waited longest for the least.
        """
        yield from self._by_stage[Stage.LINGERING]
        yield from self._by_stage[Stage.NEW]
        yield from self._stalled(*_RECEIVING, Stage.ANSWER)
        yield from self._by_stage[Stage.IDLE]

    def _admit(self, connection: Connection) -> None:
        """Make place for a new connection, or refuse it."""
        count = self._connected()
        if count < self.limits.connections:
            return
        other = next(self._yielding(), None)
        if other is not None:
            self.refused('gave way')
            other.give_way()
            return
        if count < self.limits.connections * (1 + _REFUSED_SHARE):
            connection.give_up(crowded('connections'))
        else:
            self.refused('connections')
            connection.abort()

    def _log_refusals(self) -> None:
        """Log the refusals of an interval in one line."""
        events.log(
            'callers_refused',
            reasons=dict(self._refusals),
            connected=self._connected(),
            held_bytes=self._budget.held_bytes,
        )
        self._refusals.clear()

    def _connected(self) -> int:
        return sum(len(one) for one in self._by_stage.values())

    def _check(self) -> None:
        """End what has taken too long; check again while anything is timed."""
        self._sweep = None
        for stage in self._limits_s:
            for connection in tuple(self._by_stage[stage]):
                self._check_connection(connection)
        if any(self._by_stage[stage] for stage in self._limits_s):
            self._sweep = asyncio.get_running_loop().call_later(
                SWEEP_INTERVAL_S, self._check
            )

    def _check_connection(self, connection: Connection) -> None:
        stage = connection.stage
        if connection.sweep() <= self._limits_s.get(stage, 0):
            return
        if stage in _RECEIVING:
            connection.give_up(_slow_refusal(stage))
        else:
            self.refused(stage.name.lower())
            connection.abort()


async def read_body(
    request: web.BaseRequest,
    limit_bytes: int,
) -> bytearray:
    """Return the body of a request that a server of this module handles.

    :raises RefusedError: if it is too long, too slow, can't be decoded, or
        there is no room for it.
    :raises ConnectionError: if the caller has disconnected.
    """
    return await _connection_of(request).read_body(request, limit_bytes)


class _LibraryLog(logging.Handler):
    """Counts requests that failed by the caller; forwards other errors."""

    def emit(self, record: logging.LogRecord) -> None:
        """Handle one record."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, HttpProcessingError):
            metrics.callers_refused.add(1, {'reason': 'malformed'})
            return
        if isinstance(error, ConnectionError):
            metrics.callers_refused.add(1, {'reason': 'disconnected'})
            return
        logger.opt(exception=error).error('{}', record.getMessage())


def _library_log() -> logging.Logger:
    library_log = logging.getLogger('curranthill.ingress')
    library_log.propagate = False
    if not library_log.handlers:
        library_log.addHandler(_LibraryLog())
    return library_log


def _connection_of(request: web.BaseRequest) -> Connection:
    """Return the connection of a request.

    :raises ConnectionError: if it is closed.
    """
    transport = request.transport
    if not isinstance(transport, HttpTransport):
        raise ConnectionResetError('The caller has disconnected.')
    return transport.connection


def _stalled_refusal(stage: Stage) -> RefusedError:
    return RefusedError(
        'The request arrives too slowly while others wait for its room.',
        step=f'stalled {stage.name.lower()}',
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after_s=1.0,
    )


def _slow_refusal(stage: Stage) -> RefusedError:
    return RefusedError(
        f'The {stage.name.lower()} of the request did not arrive in time.',
        step=f'slow {stage.name.lower()}',
        status=HTTPStatus.REQUEST_TIMEOUT,
    )


__all__ = ('IngressServer', 'read_body')
