"""A caller's request, read and checked under bounds."""

import asyncio
import hashlib
import math
import uuid
from http import HTTPStatus
from typing import NamedTuple

from aiohttp import web

from curranthill.configuration import ActiveConfiguration, Kind, Workspace
from curranthill.gateway.problems import refuse
from curranthill.settings import CallerSettings

_BEARER = 'Bearer '
_MAX_KEY_CHARACTERS = 256


class CallerRequest(NamedTuple):
    """One accepted call for work.

    :param revision: the configuration that it began with and ends under.
    :param key: its idempotency key, empty if it has none.
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
        """Return what tells a repeat from another request with its key."""
        return hashlib.sha256(self.body).hexdigest()

    @property
    def key_row(self) -> str:
        """Return the table row of the idempotency key."""
        text = f'{self.kind_name}\0{self.key}'
        digest = hashlib.sha256(text.encode()).hexdigest()
        return f'keys/{self.workspace}/{digest}'


def authenticate(
    request: web.Request,
    configuration: ActiveConfiguration,
) -> tuple[str, Workspace]:
    """Return the workspace that the bearer token belongs to.

    :raises RefusedError: if there is no token or nobody knows it.
    """
    header = request.headers.get('Authorization', '')
    found = None
    if header.startswith(_BEARER):
        found = configuration.workspace_of(header.removeprefix(_BEARER))
    if found is None:
        raise refuse(
            HTTPStatus.UNAUTHORIZED,
            'The request carries no token of a workspace.',
            step='authenticate',
        )
    return found


async def read_request(
    request: web.Request,
    configuration: ActiveConfiguration,
    settings: CallerSettings,
) -> CallerRequest:
    """Read and check a call for work.

    :raises RefusedError: if anything about it is wrong; it was not run.
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
    key = _key(request)
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
            return await request.read()
    except TimeoutError:
        raise refuse(
            HTTPStatus.REQUEST_TIMEOUT,
            'The body did not arrive in time.',
            step='read request',
        ) from None
    except web.HTTPRequestEntityTooLarge:
        raise refuse(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'The body is larger than {settings.max_body_bytes} bytes.',
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


def _key(request: web.Request) -> str:
    key = request.headers.get('Idempotency-Key', '')
    if len(key) > _MAX_KEY_CHARACTERS:
        raise refuse(
            HTTPStatus.BAD_REQUEST,
            f'Idempotency-Key has more than {_MAX_KEY_CHARACTERS} characters.',
            step='read request',
        )
    return key


__all__ = ('CallerRequest', 'authenticate', 'read_request')
