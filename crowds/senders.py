"""What the connections of a crowd send, by the name of the crowd."""

import random
import zlib
from collections.abc import Callable, Iterator
from functools import cache
from itertools import chain, repeat
from typing import Final, NamedTuple

#: What one connection sends, piece by piece.
Pieces = Iterator[bytes]

#: What a sender without end stops at, in bytes.
ENDLESS_BYTES: Final = 2 * 1024 * 1024

_PIECE_BYTES: Final = 65_536


class Target(NamedTuple):
    """The requests that a crowd sends.

    :param path: the path of a new job, with the id of the job in braces.
    :param fields: header fields of each request, separated by line breaks.
    :param body_bytes: the longest body that the configuration of the tests
        allows.
    """

    path: str
    fields: str
    body_bytes: int

    def head(self, *fields: str, method: str = 'POST') -> bytes:
        """Return the head of a request for a new job."""
        job_id = f'{random.getrandbits(64):016x}'  # noqa: S311
        lines = (
            f'{method} {self.path.format(job_id)} HTTP/1.1',
            *self.fields.splitlines(),
            'Content-Type: application/json',
            *fields,
        )
        return '\r\n'.join((*lines, '', '')).encode()

    def sized_head(
        self, body_bytes: int, *fields: str, method: str = 'POST'
    ) -> bytes:
        """Return the head of a request with a body of a known length."""
        length = f'Content-Length: {body_bytes}'
        return self.head(length, *fields, method=method)

    def chunked_head(self) -> bytes:
        """Return the head of a request with a chunked body."""
        return self.head('Transfer-Encoding: chunked')

    def job_body(self) -> bytes:
        """Return a valid job, padded with blanks to the longest body."""
        job = b'{"spec":"x","steps":[{"count":1,"cpu":1}]}'
        return job.ljust(self.body_bytes)


#: The targets by the names of the programs that serve them.
TARGETS: Final = {
    'host': Target('/queue/{}', 'Host: jobs.example', 262_144),
    'gateway': Target(
        '/v1/workspaces/gearbox/kinds/fatigue-sweep/requests?{}',
        'Host: jobs.example\nAuthorization: Bearer demo-gearbox',
        1_048_576,
    ),
}

Sender = Callable[[Target], Pieces]

#: All senders by the names of their crowds.
senders: Final[dict[str, Sender]] = {}


def crowd(sender: Sender) -> Sender:
    """Register a sender under its name."""
    senders[sender.__name__] = sender
    return sender


def chunk(content: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


@cache
def deflated_blanks() -> bytes:
    """Return 100 MB of blanks, deflated."""
    return zlib.compress(b' ' * 100_000_000)


def endless(piece: bytes) -> Pieces:
    """Repeat a piece until a large amount has been sent."""
    return repeat(piece, ENDLESS_BYTES // len(piece) + 1)


def pieces(content: bytes, size_bytes: int = _PIECE_BYTES) -> Pieces:
    """Cut content into pieces."""
    return (
        content[start : start + size_bytes]
        for start in range(0, len(content), size_bytes)
    )


@crowd
def large_heads(target: Target) -> Pieces:
    """Send 110 header fields of 8,000 characters each."""
    fields = (f'X-{number}: {"x" * 8000}' for number in range(110))
    return iter((target.head(*fields),))


@crowd
def heads_without_end(target: Target) -> Pieces:
    """Send header fields of 2,000 characters without end."""
    return chain((target.head()[:-2],), endless(b'X-a: %b\r\n' % (b'x' * 2000)))


@crowd
def field_without_end(target: Target) -> Pieces:
    """Send one header field without end."""
    return chain((target.head()[:-2], b'X-a: '), endless(b'x' * _PIECE_BYTES))


@crowd
def line_without_end(target: Target) -> Pieces:
    """Send one request line without end."""
    return chain((b'POST /',), endless(b'x' * _PIECE_BYTES))


@crowd
def empty_lines(target: Target) -> Pieces:
    """Send empty lines before a request without end."""
    return endless(b'\r\n' * (_PIECE_BYTES // 2))


@crowd
def short_bodies(target: Target) -> Pieces:
    """Send a large body whole, but for its last byte."""
    return iter((target.sized_head(target.body_bytes), target.job_body()[:-1]))


@crowd
def short_bodies_in_pieces(target: Target) -> Pieces:
    """Send a large body in pieces of 8 KB, but for its last byte."""
    return chain(
        (target.sized_head(target.body_bytes),),
        pieces(target.job_body()[:-1], 8192),
    )


@crowd
def whole_bodies(target: Target) -> Pieces:
    """Send a large body whole."""
    return iter((target.sized_head(target.body_bytes), target.job_body()))


@crowd
def pipelined_bodies(target: Target) -> Pieces:
    """Send whole large bodies without reading any answer."""
    return chain.from_iterable(whole_bodies(target) for _ in range(40))


@crowd
def pipelined_heads(target: Target) -> Pieces:
    """Send small requests without reading any answer."""
    return endless(target.head(method='GET') * 100)


@crowd
def short_chunked_bodies(target: Target) -> Pieces:
    """Send a large body in chunks of 64 KB, but for its last byte."""
    return chain(
        (target.chunked_head(),),
        (chunk(piece) for piece in pieces(target.job_body()[:-_PIECE_BYTES])),
        (b'10000\r\n', target.job_body()[-_PIECE_BYTES:-1]),
    )


@crowd
def short_single_chunks(target: Target) -> Pieces:
    """Send a large body in one chunk, but for its last byte."""
    return iter(
        (
            target.chunked_head(),
            b'%x\r\n' % target.body_bytes,
            target.job_body()[:-1],
        )
    )


@crowd
def short_bodies_in_tiny_chunks(target: Target) -> Pieces:
    """Send a large body in chunks of one byte, but for its last byte."""
    tiny = chunk(b' ') * 1024
    parts = target.body_bytes // 1024
    return chain(
        (target.chunked_head(),),
        repeat(tiny, parts - 1),
        (tiny[:-6],),
    )


@crowd
def chunks_without_end(target: Target) -> Pieces:
    """Send chunks of 64 KB without end."""
    return chain((target.chunked_head(),), endless(chunk(b' ' * _PIECE_BYTES)))


@crowd
def chunk_extensions_without_end(target: Target) -> Pieces:
    """Send an extension of a chunk without end."""
    return chain((target.chunked_head(), b'1;'), endless(b'x' * _PIECE_BYTES))


@crowd
def trailers_without_end(target: Target) -> Pieces:
    """Send trailer fields after the last chunk without end."""
    return chain(
        (target.chunked_head(), chunk(b'{}'), b'0\r\n'),
        endless(b'X-a: %b\r\n' % (b'x' * 2000)),
    )


@crowd
def bodies_of_get(target: Target) -> Pieces:
    """Send a large body with a request that has no use for it."""
    return iter(
        (target.sized_head(target.body_bytes, method='GET'), target.job_body())
    )


@crowd
def deflated_bodies(target: Target) -> Pieces:
    """Send a small body that inflates to 100 MB."""
    body = deflated_blanks()
    fields = 'Content-Encoding: deflate'
    return iter((target.sized_head(len(body), fields), body))


@crowd
def many_steps(target: Target) -> Pieces:
    """Send a whole job of 87,000 empty steps."""
    steps = b','.join(repeat(b'{}', 87_000))
    body = b'{"steps":[%b]}' % steps
    return iter((target.sized_head(len(body)), body))


@crowd
def many_mistakes(target: Target) -> Pieces:
    """Send a whole job in which every number is a mistake."""
    numbers = b','.join(repeat(b'9', 130_000))
    body = b'{"steps":[{"count":1,"after":[%b]}]}' % numbers
    return iter((target.sized_head(len(body)), body))


@crowd
def nothing(target: Target) -> Pieces:
    """Send nothing at all."""
    return iter(())


_MIXED: Final = (
    heads_without_end,
    short_bodies,
    whole_bodies,
    short_bodies_in_tiny_chunks,
    many_mistakes,
    deflated_bodies,
    bodies_of_get,
)


@crowd
def mixed(target: Target) -> Pieces:
    """Send what any of several crowds sends."""
    return random.choice(_MIXED)(target)  # noqa: S311


__all__ = ('TARGETS', 'senders')
