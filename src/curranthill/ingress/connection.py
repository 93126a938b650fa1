"""One connection of a caller, in front of the protocol of the HTTP library.

The library parses all requests. This module decides when it is given how many
bytes, and when the connection has to end.
"""

import asyncio
from enum import IntEnum
from functools import partial
from http import HTTPStatus
from typing import Any, Final, Protocol, cast

from aiohttp import web

from curranthill.errors import RefusedError
from curranthill.ingress.limits import REQUEST_BYTES, IngressLimits
from curranthill.ingress.turns import Turns

#: How much is read at once of a head, and of a body with overhead, in bytes.
HEAD_PIECE_BYTES: Final = 4096

#: How much is read at once of other bodies, in bytes.
BODY_PIECE_BYTES: Final = 16_384

#: What the library holds for each byte of a head: raw and decoded.
HEAD_COST: Final = 4

#: What a request holds besides its body, in bytes.
BODILESS_BYTES: Final = REQUEST_BYTES // 2

#: What is held for each byte of a body: in pieces, joined and decoded.
BODY_COST: Final = 3

#: What the requests hold that the library may have parsed behind another one:
#: up to 32 of them.
PIPELINE_BYTES: Final = 393_216

#: Blanks and the like that a head may have beyond its fields, in bytes.
_HEAD_SLACK_BYTES: Final = 256

#: The framing of a body may have this many bytes, and a quarter of the body.
_FRAMING_BYTES: Final = 1024

#: A caller that sends less than this in a second has stalled, in bytes.
STALL_BYTES: Final = 8192

#: What a decoder of a compressed body holds, in bytes.
DECODER_BYTES: Final = 65_536

#: Up to this size the rest of a refused body is read, in bytes.
MAX_DISCARDED_BYTES: Final = 1_048_576

#: The same for a body of unknown length, in bytes.
CHUNKED_DISCARDED_BYTES: Final = 262_144

RETRY_AFTER_S: Final = 1.0


class Stage(IntEnum):
    """What a connection waits for."""

    ACCEPTED = 0
    NEW = 1
    IDLE = 2
    HEAD = 3
    BODY = 4
    HANDLING = 5
    ANSWER = 6
    LINGERING = 7
    CLOSED = 8


#: Stages in which the connection waits for bytes that the library parses.
_READING: Final = (Stage.IDLE, Stage.HEAD, Stage.BODY)


class Owner(Protocol):
    """What a connection needs from the server that accepted it."""

    limits: IngressLimits
    turns: Turns
    buffer: memoryview

    def http_protocol(self) -> web.RequestHandler:
        """Return a protocol of the HTTP library."""

    def render(self, refused: RefusedError) -> bytes:
        """Return a complete response for a refused request."""

    def entered(self, connection: 'Connection', previous: Stage) -> None:
        """Record that a connection has entered a stage."""

    def reserve(self, connection: 'Connection', size_bytes: int) -> bool:
        """Change what a connection holds; return whether there is room."""

    def refused(self, reason: str) -> None:
        """Count a refusal that the handler does not see."""


class Connection(asyncio.BufferedProtocol):
    """Passes the bytes of a caller on to the HTTP library within limits.

    :ivar stage: what the connection waits for.
    :ivar sweeps: checks of the server that it has spent in this stage.
    :ivar stalled: how many of the last ones found that it had stalled.
    :ivar held_bytes: its reservation.
    """

    def __init__(self, *, owner: Owner) -> None:
        """Initialize without a transport."""
        self.stage = Stage.ACCEPTED
        self.sweeps = 0
        self.stalled = 0
        self.held_bytes = 0
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._http: web.RequestHandler | None = None
        self._reading = True
        self._http_paused = False
        self._head_bytes = 0
        self._received_bytes = 0
        self._swept_bytes = 0
        self._content: Any = None
        self._body_wire_bytes = 0
        self._extra_bytes = 0
        self._discard_bytes = 0
        self._is_pipelined = False
        self._flushed: asyncio.Future[None] | None = None
        self._writing_paused = False

    # What the transport calls.

    def connection_made(self, made: asyncio.BaseTransport) -> None:
        """Pass the connection on to the HTTP library if it is admitted."""
        # The transports of uvloop are no subclasses of the abstract ones.
        transport = cast(asyncio.Transport, made)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._owner.entered(self, Stage.CLOSED)
        if self.stage is Stage.ACCEPTED and not transport.is_closing():
            self._http = self._owner.http_protocol()
            self._http.connection_made(HttpTransport(connection=self))
            # What has arrived with the connection is read first.
            self._owner.turns.after_handler(self._settle)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the server, as long as may be read now."""
        limits = self._owner.limits
        if self.stage is Stage.BODY:
            return self._owner.buffer[:BODY_PIECE_BYTES]
        if self.stage is Stage.LINGERING:
            return self._owner.buffer
        left_bytes = max(1, limits.head_bytes - self._head_bytes)
        return self._owner.buffer[: min(HEAD_PIECE_BYTES, left_bytes)]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes on that were read, or discard them."""
        self._received_bytes += nbytes
        if self.stage is Stage.LINGERING:
            if self._received_bytes > self._discard_bytes:
                self._owner.refused('lingering')
                self.abort()
            return
        piece = bytes(self._owner.buffer[:nbytes])
        # It continues in its turn, or when the handler wants more.
        self._set_reading(reading=False)
        if self.stage is Stage.BODY:
            self._pass_body(piece)
        elif self.stage <= Stage.HEAD and self._hold_head(nbytes):
            self._owner.turns.pass_head(partial(self._pass_head, piece))

    def pause_writing(self) -> None:
        """Record that the caller does not take the response yet."""
        self._writing_paused = True
        if self._http is not None:
            self._http.pause_writing()

    def resume_writing(self) -> None:
        """Record that the response has been sent."""
        self._writing_paused = False
        if self._http is not None:
            self._http.resume_writing()
        if self._flushed is not None and not self._flushed.done():
            self._flushed.set_result(None)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        if self._flushed is not None and not self._flushed.done():
            self._flushed.set_result(None)
        self._enter(Stage.CLOSED)
        self._owner.reserve(self, 0)
        self._detach(exc)

    # What the handlers call.

    def begin(self, request: web.BaseRequest) -> None:
        """Record that a request has begun.

        :raises RefusedError: if there is no room for it.
        """
        self._content = request.content
        self._extra_bytes = 0
        rest_bytes = request.content_length
        if rest_bytes is None and not request.content.is_eof():
            rest_bytes = CHUNKED_DISCARDED_BYTES
        self._discard_bytes = self._owner.limits.linger_bytes + min(
            rest_bytes or 0, MAX_DISCARDED_BYTES
        )
        self._enter(Stage.HANDLING)
        if self._head_bytes:
            behind = self._head_bytes - _min_bytes(request)
            self._is_pipelined = behind > _HEAD_SLACK_BYTES
        size_bytes = REQUEST_BYTES
        if self._is_pipelined:
            size_bytes += PIPELINE_BYTES
        if not self._owner.reserve(self, max(self.held_bytes, size_bytes)):
            raise crowded('requests')

    async def read_body(
        self,
        request: web.BaseRequest,
        limit_bytes: int,
    ) -> bytearray:
        """Return the body of the request that has begun.

        :raises RefusedError: if it is too long, too slow, can't be decoded, or
            there is no room for it.
        """
        try:
            body = await self._receive(request, limit_bytes)
        except RefusedError as refused:
            self._owner.refused(refused.step)
            raise
        except (web.RequestPayloadError, ValueError) as error:
            self._owner.refused('read')
            raise RefusedError(
                'The body cannot be read.',
                step='read',
                status=HTTPStatus.BAD_REQUEST,
            ) from error
        self._enter(Stage.HANDLING)
        return body

    async def end(self, request: web.BaseRequest) -> None:
        """Wait until the response has been sent, then for another request."""
        if self._writing_paused and self._transport is not None:
            self._enter(Stage.ANSWER)
            self._flushed = asyncio.get_running_loop().create_future()
            await self._flushed
            self._flushed = None
        if self.stage in {Stage.CLOSED, Stage.LINGERING}:
            return
        self._head_bytes = 0
        self._enter(Stage.IDLE)
        if not request.content.is_eof():
            return
        self._content = None
        if self._is_pipelined:
            self._owner.reserve(self, PIPELINE_BYTES)
            self._owner.turns.after_handler(self._resume)
        else:
            self._owner.reserve(self, 0)
            self._set_reading(reading=True)

    # What the server calls.

    def sweep(self) -> int:
        """Count a check, and return how often this stage has been checked."""
        moved_bytes = self._received_bytes - self._swept_bytes
        self._swept_bytes = self._received_bytes
        self.stalled = 0 if moved_bytes >= STALL_BYTES else self.stalled + 1
        self.sweeps += 1
        return self.sweeps

    def give_up(self, refused: RefusedError) -> None:
        """Refuse the request that is being received."""
        if self.stage in {Stage.CLOSED, Stage.LINGERING}:
            return
        # It is not chosen again while the handler ends.
        self.stalled = 0
        if self.stage is Stage.BODY:
            self._owner.reserve(self, REQUEST_BYTES)
            self._content.set_exception(refused)
        else:
            self._owner.refused(refused.step)
            self.transport.write(self._owner.render(refused))
            self._discard_bytes = self._owner.limits.linger_bytes
            self._linger()

    def give_way(self) -> None:
        """Make place for another connection."""
        if self.stage in {Stage.HEAD, Stage.BODY}:
            self.give_up(crowded('place'))
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        self._enter(Stage.CLOSED)
        if self._transport is not None:
            self._transport.abort()

    # What the HTTP library calls, through its transport.

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport of the connection."""
        assert self._transport is not None
        return self._transport

    def pause_http(self) -> None:
        """Stop passing bytes on."""
        self._http_paused = True
        self._set_reading(reading=False)

    def resume_http(self) -> None:
        """Pass bytes on again."""
        self._http_paused = False
        if self.stage is Stage.BODY:
            self._owner.turns.wait(self._resume)

    def close(self) -> None:
        """Close the connection so that its last response arrives.

        Closing with unread bytes would reset it, and the caller might lose
        the response.
        """
        if self.stage in {Stage.CLOSED, Stage.LINGERING}:
            return
        if self.stage is Stage.HEAD:
            self._discard_bytes = self._owner.limits.linger_bytes
        is_read = self._content is None and not self._is_pipelined
        if is_read and not self._head_bytes:
            self._enter(Stage.LINGERING)
            self.transport.close()
            return
        self._linger()

    # Internals.

    def _settle(self) -> None:
        if self.stage is Stage.ACCEPTED:
            self._enter(Stage.NEW)

    def _hold_head(self, added_bytes: int) -> bool:
        """Reserve memory for more of a head; refuse it if there is none."""
        if self.stage is not Stage.HEAD:
            self._enter(Stage.HEAD)
            self._is_pipelined = False
        self._head_bytes += added_bytes
        size_bytes = max(REQUEST_BYTES, self._head_bytes * HEAD_COST)
        if self._owner.reserve(self, size_bytes):
            return True
        self.give_up(crowded('heads'))
        return False

    def _pass_head(self, piece: bytes) -> None:
        if self.stage is not Stage.HEAD or self._http is None:
            return
        self._http.data_received(piece)
        self._owner.turns.after_handler(self._check_head)

    def _check_head(self) -> None:
        """Continue to read a head that is not complete yet."""
        if self.stage is not Stage.HEAD:
            return
        if self._head_bytes < self._owner.limits.head_bytes:
            self._owner.turns.wait(self._resume)
            return
        self.give_up(
            RefusedError(
                'The head of the request is too long.',
                step='head',
                status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            ),
        )

    def _pass_body(self, piece: bytes) -> None:
        assert self._http is not None
        content = self._content
        self._body_wire_bytes += len(piece)
        self._http.data_received(piece)
        framing_bytes = self._body_wire_bytes - content.total_raw_bytes
        if framing_bytes > _FRAMING_BYTES + content.total_raw_bytes // 4:
            self._discard_bytes = self._owner.limits.linger_bytes
            self._content.set_exception(
                RefusedError(
                    'The framing of the body exceeds a quarter of it.',
                    step='framing',
                    status=HTTPStatus.BAD_REQUEST,
                ),
            )
        elif not content.is_eof():
            self._owner.turns.wait(self._resume)

    async def _receive(
        self,
        request: web.BaseRequest,
        limit_bytes: int,
    ) -> bytearray:
        length = request.content_length or 0
        if length > limit_bytes:
            raise _too_long(limit_bytes)
        self._enter(Stage.BODY)
        if 'Content-Encoding' in request.headers:
            self._extra_bytes = DECODER_BYTES
        self._hold_body(length)
        self._body_wire_bytes = 0
        if not request.content.is_eof():
            self._owner.turns.wait(self._resume)
        body = bytearray()
        while True:
            received = await request.content.readany()
            if not received:
                return body
            if len(body) + len(received) > limit_bytes:
                raise _too_long(limit_bytes)
            self._hold_body(len(body) + len(received))
            body += received

    def _hold_body(self, body_bytes: int) -> None:
        body_size_bytes = body_bytes * BODY_COST + self._extra_bytes
        size_bytes = max(REQUEST_BYTES, BODILESS_BYTES + body_size_bytes)
        if size_bytes > self.held_bytes and not self._owner.reserve(
            self, size_bytes
        ):
            raise crowded('bodies')

    def _enter(self, stage: Stage) -> None:
        previous = self.stage
        if previous is Stage.CLOSED:
            return
        self.stage = stage
        self.sweeps = 0
        self.stalled = 0
        self._owner.entered(self, previous)

    def _resume(self) -> None:
        """Read on, unless a request is being handled or the library is full."""
        if self.stage in _READING and not self._http_paused:
            self._set_reading(reading=True)

    def _set_reading(self, *, reading: bool) -> None:
        transport = self._transport
        if reading is self._reading or transport is None:
            return
        if transport.is_closing():
            return
        self._reading = reading
        if reading:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def _linger(self) -> None:
        """Discard what the caller still sends until it has the response."""
        self._enter(Stage.LINGERING)
        self._received_bytes = 0
        self._owner.reserve(self, 0)
        asyncio.get_running_loop().call_soon(self._detach, None)
        if self.transport.is_closing():
            return
        self.transport.write_eof()
        self._set_reading(reading=True)

    def _detach(self, exc: BaseException | None) -> None:
        http = self._http
        self._http = None
        self._content = None
        if http is not None:
            http.connection_lost(exc)


class HttpTransport(asyncio.Transport):
    """The transport that the HTTP library sees."""

    def __init__(self, *, connection: Connection) -> None:
        """Initialize with the connection that it belongs to."""
        super().__init__()
        self.connection = connection

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self.connection.transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        if self.connection.stage in {Stage.CLOSED, Stage.LINGERING}:
            return True
        return self.connection.transport.is_closing()

    def close(self) -> None:
        """Close the connection so that its last response arrives."""
        self.connection.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.connection.abort()

    def pause_reading(self) -> None:
        """Stop receiving."""
        self.connection.pause_http()

    def resume_reading(self) -> None:
        """Receive again."""
        self.connection.resume_http()

    def write(self, content: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        if not self.is_closing():
            self.connection.transport.write(content)

    def writelines(self, list_of_data: Any) -> None:
        """Send bytes from several buffers."""
        if not self.is_closing():
            self.connection.transport.writelines(list_of_data)

    def get_write_buffer_size(self) -> int:
        """Return how many bytes wait to be sent."""
        return self.connection.transport.get_write_buffer_size()


def _min_bytes(request: web.BaseRequest) -> int:
    """Return the least bytes of a request that have been received."""
    fields = sum(len(name) + len(field) for name, field in request.raw_headers)
    line = len(request.method) + len(request.raw_path)
    received: int = request.content.total_bytes
    return fields + line + received


def _too_long(limit_bytes: int) -> RefusedError:
    return RefusedError(
        f'The body is longer than {limit_bytes} bytes.',
        step='read',
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )


def crowded(what: str) -> RefusedError:
    """Return the refusal of what there is no room for."""
    return RefusedError(
        'There is no room for the request now.',
        step=what,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after_s=RETRY_AFTER_S,
    )


__all__ = ('Connection', 'HttpTransport', 'Stage', 'crowded')
