"""Callers' HTTP requests, translated into calls of the job handler."""

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
from curranthill.platform.configuration import SubmittedJob, step_from
from curranthill.tasks import JobSpec, Queue, Revision, Step, validation_errors
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How long a caller waits that does not say so, in seconds.
PATIENCE_S: Final = 3.0

#: When to come back to a host that must read its configuration first, in
#: seconds.
UNREAD_RETRY_S: Final = 1.0

_BEARER: Final = 'Bearer '


class Target(NamedTuple):
    """What a request is about.

    :param job_id: empty for a request about the whole queue.
    """

    queue: Queue
    workspace: str
    job_id: str


class Front:
    """Answers callers.

    :param count_afresh: tells whether the leader's counts may be old.
    :param suspension: is checked before each request.
    """

    def __init__(
        self,
        *,
        job_handler: JobHandler,
        revisions: RevisionFollower,
        clock: Clock,
        count_afresh: Callable[[], bool],
        suspension: SuspensionDetector,
    ) -> None:
        """Keep what answers."""
        self._suspension = suspension
        self._job_handler = job_handler
        self._revisions = revisions
        self._clock = clock
        self._count_afresh = count_afresh
        self.closing = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self._suspension.check()
        began_s = self._clock.monotonic_s()
        try:
            response = await self._answer(request)
        except RefusedError as refused:
            response = _refusal(refused)
            metrics.refusals.add(
                1,
                {'status': refused.status, 'step': refused.step},
            )
            events.log(
                'refused',
                path=request.path,
                method=request.method,
                status=refused.status,
                outcome=refused.outcome,
                step=refused.step,
                peer=refused.peer,
                reason=refused.message,
                took_s=round(self._clock.monotonic_s() - began_s, 3),
            )
        if self.closing:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
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
                count_afresh=self._count_afresh(),
            )
            return _json({'pending': count})
        raise RefusedError(
            f'{request.method} is not understood here.',
            step='route',
            status=405,
        )

    async def _revision(self) -> Revision:
        """Return the configuration to go by.

        :raises RefusedError: if there is none yet, or none since a pause, or
            if it may have been replaced for longer than changes may take.
        """
        revision = self._revisions.current
        if revision is None or not await self._revisions.wait_until_confirmed():
            raise _unread('This host has not read its configuration yet.')
        if not self._revisions.is_fresh:
            raise _unread('The configuration of this host may be outdated.')
        return self._revisions.current or revision

    async def _submit(
        self,
        request: web.BaseRequest,
        revision: Revision,
        target: Target,
    ) -> web.Response:
        body = await _read_body(request, revision.limits.body_bytes)
        spec = self._spec(body, target)
        began_s = self._clock.monotonic_s()
        await self._job_handler.accept(spec, _patience_s(request))
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
            steps=[_summary(step) for step in spec.steps],
            objective_s=round(spec.objective_s - spec.accepted_at_s, 2),
            took_s=round(took_s, 4),
        )
        return _json({})

    def _spec(self, body: bytes, target: Target) -> JobSpec:
        try:
            submitted = msgspec.json.decode(body, type=SubmittedJob)
            steps = tuple(step_from(fields) for fields in submitted.steps)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise _bad_job(target, str(error)) from error
        faults = validation_errors(submitted.spec, steps, times=submitted.times)
        if faults:
            raise _bad_job(target, ' '.join(faults))
        return JobSpec(
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


def _target(request: web.BaseRequest, revision: Revision) -> Target:
    """Return the queue, workspace and job of a request.

    :raises RefusedError: if there is no such queue or the key is unknown.
    """
    host = request.headers.get('Host', '').split(':')[0]
    queue = revision.queue_for(host, request.path)
    if queue is None:
        raise RefusedError(
            f'There is no queue at {host}{request.path}.',
            step='route',
            status=404,
        )
    authorization = request.headers.get('Authorization', '')
    key = authorization.removeprefix(_BEARER).strip()
    workspace = revision.workspace_of(key) if key else None
    if workspace is None and not queue.public:
        raise RefusedError('The key is not known.', step='key', status=401)
    return Target(
        queue=queue,
        workspace=workspace.name if workspace else '',
        job_id=request.path[len(queue.path_prefix) :],
    )


async def _read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return a request's body.

    :raises RefusedError: if it is too long.
    """
    body = b''
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            raise RefusedError(
                f'The body is longer than {limit_bytes} bytes.',
                step='read',
                status=413,
            )
    return body


def _unread(reason: str) -> RefusedError:
    return RefusedError(
        reason,
        step='configuration',
        status=503,
        retry_after_s=UNREAD_RETRY_S,
    )


def _summary(step: Step) -> dict[str, Any]:
    """Return what a log line tells of a step: its fields that are set."""
    fields = step._asdict()
    fields['needs'] = list(step.needs)
    return {name: field for name, field in fields.items() if field}


def _patience_s(request: web.BaseRequest) -> float:
    try:
        patience_s = float(request.headers['Deadline-Ms']) / 1000
    except (KeyError, ValueError):
        return PATIENCE_S
    return min(patience_s, PATIENCE_S)


def _bad_job(target: Target, reason: str) -> RefusedError:
    return RefusedError(
        f'Job {target.job_id} cannot be understood: {reason}',
        step='read',
        status=400,
    )


def _no_such_job(target: Target) -> web.Response:
    events.log('no_such_job', job=target.job_id)
    return _json({'error': f'There is no job {target.job_id}.'}, status=410)


def _refusal(refused: RefusedError) -> web.Response:
    response = _json(
        {
            'error': refused.message,
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


__all__ = ('Front',)
