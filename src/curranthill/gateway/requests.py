"""Reading and validation of callers' requests, with size and time limits."""

import asyncio
import hashlib
import math
import uuid
from http import HTTPStatus
from typing import NamedTuple

from aiohttp import web

from curranthill.configuration import ActiveConfiguration, Kind, Workspace
from curranthill.gateway.problems import refuse
from curranthill.ingress import read_body
from curranthill.settings import CallerSettings

_BEARER = 'Bearer '
_MAX_KEY_CHARACTERS = 256


class CallerRequest(NamedTuple):
    """A validated request for work.

    :param wants_job: whether the request creates a job, instead of a quick
        run whose result is the response.
    :param key: the idempotency key, or empty.
    :param revision: the configuration revision that applies to the request
        from start to end.
    """

    request_id: str
    workspace: str
    kind_name: str
    kind: Kind
    body: bytes
    deadline_s: float
    wants_job: bool
    key: str
    revision: int

    @property
    def digest(self) -> str:
        """Return a digest of the body, which shows if a key is reused."""
        return hashlib.sha256(self.body).hexdigest()

    @property
    def key_row(self) -> str:
        """Return the row key of the idempotency key."""
        text = f'{self.kind_name}\0{self.key}'
        digest = hashlib.sha256(text.encode()).hexdigest()
        return f'keys/{self.workspace}/{digest}'


def authenticate(
    request: web.Request,
    configuration: ActiveConfiguration,
) -> tuple[str, Workspace]:
    """Return the workspace that the bearer token belongs to.

    :raises RefusedError: if there is no token or it is unknown.
    """
    header = request.headers.get('Authorization', '')
    found = None
    if header.startswith(_BEARER):
        found = configuration.workspace_of(header.removeprefix(_BEARER))
    if found is None:
        raise refuse(
            HTTPStatus.UNAUTHORIZED,
            'The request has no valid workspace token.',
            step='authenticate',
        )
    return found


async def read_request(
    request: web.Request,
    configuration: ActiveConfiguration,
    settings: CallerSettings,
) -> CallerRequest:
    """Read and validate a request for work.

    :raises RefusedError: if the request is invalid; it was not run.
    """
    workspace, _ = authenticate(request, configuration)
    if workspace != request.match_info['workspace']:
        raise refuse(
            HTTPStatus.NOT_FOUND,
            'There is no such workspace.',
            step='authenticate',
        )
    kind_name = request.match_info['kind']
    kind = configuration.kind(kind_name)
    if kind is None:
        raise refuse(
            HTTPStatus.NOT_FOUND,
            f'There is no kind of work named {kind_name!r}.',
            step='read request',
        )
    revision = configuration.revision
    deadline_s = _deadline_s(request, kind)
    key = _idempotency_key(request)
    return CallerRequest(
        request_id=request.headers.get('Request-Id') or uuid.uuid4().hex,
        workspace=workspace,
        kind_name=kind_name,
        kind=kind,
        body=await _body(request, settings),
        deadline_s=deadline_s,
        wants_job=(
            kind.lane == 'long'
            or 'respond-async' in request.headers.get('Prefer', '')
        ),
        key=key,
        revision=revision,
    )


async def _body(request: web.Request, settings: CallerSettings) -> bytes:
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            return bytes(await read_body(request, settings.max_body_bytes))
    except TimeoutError:
        raise refuse(
            HTTPStatus.REQUEST_TIMEOUT,
            'The body did not arrive in time.',
            step='read request',
        ) from None


def _deadline_s(request: web.Request, kind: Kind) -> float:
    given = request.headers.get('Deadline-S')
    if given is None:
        return kind.deadline_s
    try:
        deadline_s = float(given)
    except ValueError:
        deadline_s = math.nan
    if not 0 < deadline_s < math.inf:
        raise refuse(
            HTTPStatus.BAD_REQUEST,
            'Deadline-S must be a positive number of seconds.',
            step='read request',
        )
    return deadline_s


def _idempotency_key(request: web.Request) -> str:
    key = request.headers.get('Idempotency-Key', '')
    if len(key) > _MAX_KEY_CHARACTERS:
        raise refuse(
            HTTPStatus.BAD_REQUEST,
            f'Idempotency-Key has more than {_MAX_KEY_CHARACTERS} characters.',
            step='read request',
        )
    return key


__all__ = ('CallerRequest', 'authenticate', 'read_request')
