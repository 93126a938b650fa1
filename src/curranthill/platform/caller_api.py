"""The HTTP API for callers, translated into calls of the job handler."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import msgspec
from aiohttp import web

from curranthill.clock import Clock
from curranthill.entry import (
    JobHandler,
    RevisionFollower,
    SuspensionDetector,
)
from curranthill.errors import NOT_RUN, RefusedError
from curranthill.ingress import read_body
from curranthill.platform.configuration import SubmittedJob, decode_step
from curranthill.platform.refusal_log import RefusalLog
from curranthill.tasks import (
    MAX_STEPS,
    JobSpec,
    Queue,
    Revision,
    Step,
    interval_error,
    job_id_error,
    schedule_errors,
    validation_errors,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The default and maximum timeout of a caller, in seconds.
MAX_TIMEOUT_S: Final = 3.0

#: The ``Retry-After`` of a host that must read its configuration first, in
#: seconds.
UNREAD_RETRY_S: Final = 1.0

#: Of larger bodies one is decoded in a turn of the event loop, in bytes.
LARGE_BODY_BYTES: Final = 16_384

#: Longer reasons and paths are truncated, in characters.
MAX_REASON_CHARS: Final = 500
MAX_PATH_CHARS: Final = 200

_BEARER: Final = 'Bearer '


class UnroutedError(RefusedError):
    """A request is refused as no configured queue has its path."""


class Target(NamedTuple):
    """The queue, workspace and job that a request addresses.

    :param workspace: empty if a public queue was called without a known key.
    :param job_id: empty for a request about the whole queue.
    """

    queue: Queue
    workspace: str
    job_id: str


class CallerApi:
    """Serves callers' HTTP requests.

    :param counts_outdated: returns whether the leader's counts may be outdated.
    :param suspension: detects suspensions of this host; it is checked before
        each request.
    """

    def __init__(
        self,
        *,
        job_handler: JobHandler,
        revisions: RevisionFollower,
        clock: Clock,
        counts_outdated: Callable[[], bool],
        suspension: SuspensionDetector,
    ) -> None:
        """Initialize as open."""
        self._suspension = suspension
        self._job_handler = job_handler
        self._revisions = revisions
        self._clock = clock
        self._counts_outdated = counts_outdated
        self._refusal_log = RefusalLog(clock=clock)
        self._closing = False
        self._parsing = asyncio.Lock()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request; refusals are logged and counted."""
        self._suspension.check()
        began_s = self._clock.monotonic_s()
        try:
            response = await self._dispatch(request)
        except RefusedError as refused:
            response = refusal_response(refused)
            metrics.refusals.add(
                1,
                {'status': refused.status, 'step': refused.step},
            )
            self._log_refusal(request, refused, began_s)
        if self._closing:
            response.force_close()
        return response

    def close(self) -> None:
        """Close each connection with its next response."""
        self._closing = True
        self._refusal_log.close()

    def _log_refusal(
        self,
        request: web.BaseRequest,
        refused: RefusedError,
        began_s: float,
    ) -> None:
        unrouted = isinstance(refused, UnroutedError)
        log = (
            self._refusal_log.log_unrouted
            if unrouted
            else self._refusal_log.log
        )
        log(
            path=request.path[:MAX_PATH_CHARS],
            method=request.method,
            status=refused.status,
            outcome=refused.outcome,
            step=refused.step,
            peer=refused.peer,
            reason=refused.message[:MAX_REASON_CHARS],
            took_s=round(self._clock.monotonic_s() - began_s, 3),
        )

    async def _dispatch(self, request: web.BaseRequest) -> web.Response:
        revision = await self._revision()
        target = _target(request, revision)
        if request.method == 'POST' and target.job_id:
            return await self._submit(request, revision, target)
        if request.method == 'DELETE' and target.job_id:
            found = await self._job_handler.cancel(target.job_id)
            return _json({}) if found else _no_such_job(target)
        if request.method == 'GET' and target.job_id:
            state = await self._job_handler.state(target.job_id)
            if state is None:
                return _no_such_job(target)
            return _json({'state': state})
        if request.method == 'GET':
            count = await self._job_handler.pending(
                target.queue,
                recount=self._counts_outdated(),
            )
            return _json({'pending': count})
        raise RefusedError(
            f'Method {request.method} is not allowed here.',
            step='route',
            status=405,
        )

    async def _revision(self) -> Revision:
        """Return the configuration to apply to a request.

        :raises RefusedError: if none has been read yet or since the last
            suspension of this host, or if it may have been out of date for
            longer than a change may take to come into force.
        """
        revision = self._revisions.current
        if revision is None or not await self._revisions.wait_until_confirmed():
            raise _configuration_unread(
                'This host has not read its configuration yet.'
            )
        if not self._revisions.is_fresh:
            raise _configuration_unread(
                'The configuration of this host may be outdated.'
            )
        return self._revisions.current or revision

    async def _submit(
        self,
        request: web.BaseRequest,
        revision: Revision,
        target: Target,
    ) -> web.Response:
        body = await read_body(request, revision.limits.body_bytes)
        async with self._parsing:
            spec = self._parse_job(body, target)
            if len(body) > LARGE_BODY_BYTES:
                await asyncio.sleep(0)
        began_s = self._clock.monotonic_s()
        await self._job_handler.accept(spec, _timeout_s(request))
        took_s = self._clock.monotonic_s() - began_s
        metrics.jobs_accepted.add(1, {'queue': target.queue.name})
        metrics.accept_s.record(took_s)
        events.log(
            'accepted',
            job=spec.job_id,
            queue=target.queue.name,
            priority=target.queue.priority,
            workspace=target.workspace,
            revision=revision.number,
            steps=[_log_fields(step) for step in spec.steps],
            objective_s=round(spec.objective_s - spec.accepted_at_s, 2),
            took_s=round(took_s, 4),
        )
        return _json({})

    def _parse_job(self, body: bytearray, target: Target) -> JobSpec:
        try:
            submitted = msgspec.json.decode(body, type=SubmittedJob)
            _check_count(submitted)
            steps = tuple(decode_step(encoded) for encoded in submitted.steps)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise _invalid_job(target, str(error)) from error
        errors = (
            job_id_error(target.job_id),
            interval_error(submitted.interval_ms),
            *validation_errors(submitted.spec, steps, times=submitted.times),
        )
        if any(errors):
            raise _invalid_job(target, ' '.join(filter(None, errors)))
        spec = JobSpec(
            job_id=target.job_id,
            queue=target.queue,
            workspace=target.workspace,
            payload=submitted.spec,
            steps=steps,
            accepted_at_s=self._clock.wall_s(),
            times=submitted.times,
            start_at_s=submitted.start_at_ms / 1000,
            interval_s=submitted.interval_ms / 1000,
        )
        errors = schedule_errors(spec)
        if errors:
            raise _invalid_job(target, ' '.join(errors))
        return spec


def _target(request: web.BaseRequest, revision: Revision) -> Target:
    """Return the queue, workspace and job that a request addresses.

    :raises RefusedError: if there is no such queue, or if the key is unknown
        and the queue is not public.
    """
    host = request.headers.get('Host', '').split(':')[0]
    queue = revision.queue_for(host, request.path)
    if queue is None:
        raise UnroutedError(
            f'There is no queue at {host}{request.path}.',
            step='route',
            status=404,
        )
    authorization = request.headers.get('Authorization', '')
    key = authorization.removeprefix(_BEARER).strip()
    workspace = revision.workspace_of(key) if key else None
    if workspace is None and not queue.public:
        raise RefusedError('The API key is unknown.', step='key', status=401)
    return Target(
        queue=queue,
        workspace=workspace.name if workspace else '',
        job_id=request.path[len(queue.path_prefix) :],
    )


def _configuration_unread(reason: str) -> RefusedError:
    return RefusedError(
        reason,
        step='configuration',
        status=503,
        retry_after_s=UNREAD_RETRY_S,
    )


def _check_count(submitted: SubmittedJob) -> None:
    """Check the number of steps before they are decoded.

    :raises ValueError: if there are too many.
    """
    if len(submitted.steps) > MAX_STEPS:
        raise ValueError(f'The job has more than {MAX_STEPS} steps.')


def _log_fields(step: Step) -> dict[str, Any]:
    """Return the fields of a step that are set, for the log."""
    fields = step._asdict()
    fields['needs'] = list(step.needs)
    return {name: field for name, field in fields.items() if field}


def _timeout_s(request: web.BaseRequest) -> float:
    try:
        timeout_s = float(request.headers['Deadline-Ms']) / 1000
    except (KeyError, ValueError):
        return MAX_TIMEOUT_S
    return min(timeout_s, MAX_TIMEOUT_S)


def _invalid_job(target: Target, reason: str) -> RefusedError:
    return RefusedError(
        f'Job {target.job_id} is invalid: {reason}',
        step='read',
        status=400,
    )


def _no_such_job(target: Target) -> web.Response:
    job_id = target.job_id[:MAX_PATH_CHARS]
    events.log('no_such_job', job=job_id)
    return _json({'error': f'There is no job {job_id}.'}, status=410)


def refusal_response(refused: RefusedError) -> web.Response:
    """Return the response to a refused request."""
    response = _json(
        {
            'error': refused.message[:MAX_REASON_CHARS],
            'not_run': refused.outcome == NOT_RUN,
        },
        status=refused.status,
    )
    if refused.retry_after_s is not None:
        response.headers['Retry-After'] = str(
            max(1, round(refused.retry_after_s))
        )
    return response


def _json(fields: dict[str, Any], *, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(fields),
        status=status,
        content_type='application/json',
    )


__all__ = ('CallerApi', 'refusal_response')
