"""Errors as problem documents (RFC 9457) with what is known of the effect."""

import json
import math
from http import HTTPStatus
from typing import TypedDict

from aiohttp import web

from curranthill.errors import NOT_RUN, Outcome, RefusedError, StorageError

MEDIA_TYPE = 'application/problem+json'

#: When to come back while the platform is away, in seconds.
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
    """Return the answer for a refused or failed request."""
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
    """Return an error for the caller to be raised."""
    return RefusedError(
        message,
        step=step,
        status=status,
        outcome=outcome,
        retry_after_s=retry_after_s,
    )


def platform_away(
    error: StorageError,
    message: str,
    outcome: Outcome,
) -> RefusedError:
    """Return an error for what the platform cannot keep or tell now."""
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
    'platform_away',
    'problem_response',
    'refuse',
)
