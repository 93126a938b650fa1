"""Errors as problem documents (RFC 9457) with the outcome of the request."""

import json
import math
from http import HTTPStatus
from typing import TypedDict

from aiohttp import web

from curranthill.errors import NOT_RUN, Outcome, RefusedError, StorageError

MEDIA_TYPE = 'application/problem+json'

#: The ``Retry-After`` while the platform is unavailable, in seconds.
PLATFORM_RETRY_S = 2


class Problem(TypedDict):
    """The fields of a problem document."""

    type: str
    title: str
    status: int
    detail: str
    outcome: Outcome
    step: str
    peer: str


def problem_response(error: RefusedError) -> web.Response:
    """Return the response for a refused or failed request."""
    problem = Problem(
        type='about:blank',
        title=HTTPStatus(error.status).phrase,
        status=error.status,
        detail=error.message,
        outcome=error.outcome,
        step=error.step,
        peer=error.peer,
    )
    headers = {}
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, math.ceil(error.retry_after_s)))
    return web.Response(
        status=error.status,
        text=json.dumps(problem),
        content_type=MEDIA_TYPE,
        headers=headers,
    )


def refuse(
    status: HTTPStatus,
    message: str,
    *,
    step: str,
    outcome: Outcome = NOT_RUN,
    retry_after_s: float | None = None,
) -> RefusedError:
    """Return an error that refuses a request, for the caller to raise."""
    return RefusedError(
        message,
        step=step,
        status=status,
        outcome=outcome,
        retry_after_s=retry_after_s,
    )


def platform_unavailable(
    error: StorageError,
    message: str,
    outcome: Outcome,
) -> RefusedError:
    """Return an error for a request that needs the unavailable platform."""
    return RefusedError(
        message,
        step=error.step,
        peer=error.peer,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        outcome=outcome,
        retry_after_s=PLATFORM_RETRY_S,
    )


__all__ = (
    'MEDIA_TYPE',
    'Problem',
    'platform_unavailable',
    'problem_response',
    'refuse',
)
