"""Handling of jobs: durable acceptance, status, results, cancellation."""

import json
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web
from loguru import logger

from curranthill.clock import Clock
from curranthill.configuration import (
    ActiveConfiguration,
    ConfigurationDocument,
    Shape,
    shape_fits,
)
from curranthill.errors import (
    FAILED,
    NOT_RUN,
    UNKNOWN,
    ConflictError,
    NotSentError,
    Outcome,
    RefusedError,
    ReplyLostError,
    StorageError,
)
from curranthill.gateway.problems import platform_unavailable, refuse
from curranthill.gateway.requests import CallerRequest
from curranthill.jobs import (
    CANCELLED,
    ENDED,
    FINISHED,
    Job,
    JobStore,
    KeyRecord,
    StoredJob,
    new_job_id,
)
from curranthill.jobs import FAILED as JOB_FAILED
from curranthill.membership.notify import Notifier
from curranthill.storage import ObjectStore, content_digest

#: The interval of polling a job that a caller waits for, in seconds. It grows
#: from the minimum to the maximum.
_MIN_POLL_INTERVAL_S: Final = 0.05
_MAX_POLL_INTERVAL_S: Final = 1.0

_UNAVAILABLE: Final = 'The platform is unavailable now.'

#: The load of a data centre whose leader is unknown.
_UNKNOWN_LOAD: Final = 1e6

#: The shape of a job whose kind has none, such as a quick kind run as a job.
_ONE_SLOT: Final = Shape(accelerators=1, adjacent='worker')


class JobHandler:
    """Accepts jobs, reports on them and cancels them.

    :param data_centre: the data centre of this gateway.
    """

    def __init__(  # noqa: WPS211
        self,
        *,
        clock: Clock,
        store: JobStore,
        objects: ObjectStore,
        notifier: Notifier,
        configuration: ActiveConfiguration,
        data_centre: str,
    ) -> None:
        """Initialize with the stores and the configuration."""
        self._clock = clock
        self._store = store
        self._objects = objects
        self._notifier = notifier
        self._configuration = configuration
        self._data_centre = data_centre

    async def accept(self, request: CallerRequest) -> Job:
        """Store a new job, or return the existing job of its idempotency key.

        :raises RefusedError: if the job was not accepted or may not have been.
        """
        job = self._new_job(request)
        key = None
        if request.key:
            key = KeyRecord(job.job_id, request.digest)
        try:
            stored = await self._store.accept(job, key)
        except ConflictError:
            return await self._existing_job(request)
        except NotSentError as error:
            raise platform_unavailable(error, _UNAVAILABLE, NOT_RUN) from error
        except ReplyLostError as error:
            raise platform_unavailable(error, _UNAVAILABLE, UNKNOWN) from error
        logger.bind(
            job=job.job_id,
            workspace=job.workspace,
            step='accept',
        ).info('accepted {} for {}', job.kind, job.home)
        self._notifier.notify(job.home, job.job_id)
        return stored.job

    async def find(self, workspace: str, job_id: str) -> StoredJob:
        """Return a job of a workspace.

        :raises RefusedError: if there is no such job in this workspace.
        """
        try:
            stored = await self._store.load(job_id)
        except StorageError as error:
            raise platform_unavailable(error, _UNAVAILABLE, UNKNOWN) from error
        if stored is None or stored.job.workspace != workspace:
            raise refuse(
                HTTPStatus.NOT_FOUND,
                'There is no such job.',
                step='find job',
            )
        return stored

    async def wait(self, workspace: str, job_id: str, wait_s: float) -> Job:
        """Return a job once it has ended, at the latest after ``wait_s``."""
        until_s = self._clock.monotonic_s() + wait_s
        interval_s = _MIN_POLL_INTERVAL_S
        while True:
            stored = await self.find(workspace, job_id)
            left_s = until_s - self._clock.monotonic_s()
            if stored.job.state in ENDED or left_s <= 0:
                return stored.job
            await self._clock.sleep(min(interval_s, left_s))
            interval_s = min(_MAX_POLL_INTERVAL_S, interval_s * 1.5)

    async def result(self, workspace: str, job_id: str) -> web.Response:
        """Return the result of a finished job.

        :raises RefusedError: if there is no result or it cannot be read.
        """
        stored = await self.find(workspace, job_id)
        job = stored.job
        if job.state != FINISHED:
            raise _no_result(job)
        try:
            body = await self._objects.get(job.result_name)
        except StorageError as error:
            raise platform_unavailable(error, _UNAVAILABLE, UNKNOWN) from error
        if body is None or len(body) != job.result_bytes:
            raise refuse(
                HTTPStatus.BAD_GATEWAY,
                'The result is missing or incomplete in the object store.',
                step='read result',
                outcome=UNKNOWN,
            )
        return web.Response(
            body=body,
            content_type='application/json',
            headers={'Content-Digest': content_digest(body)},
        )

    async def cancel(self, workspace: str, job_id: str) -> Job:
        """Cancel a job; an ended job is left unchanged.

        :raises RefusedError: if there is no such job, or if the cancellation
            may not have been stored.
        """
        await self.find(workspace, job_id)
        try:
            stored = await self._store.request_cancel(job_id)
        except ConflictError as error:
            raise refuse(
                HTTPStatus.CONFLICT,
                'The job is being changed concurrently; try again.',
                step='cancel',
                outcome=UNKNOWN,
                retry_after_s=1,
            ) from error
        except StorageError as error:
            raise platform_unavailable(error, _UNAVAILABLE, UNKNOWN) from error
        if stored is None:
            raise refuse(
                HTTPStatus.NOT_FOUND,
                'There is no such job.',
                step='cancel',
            )
        self._notifier.notify(stored.job.home, job_id)
        return stored.job

    async def _existing_job(self, request: CallerRequest) -> Job:
        """Return the job that an idempotency key was first used for."""
        try:
            key = await self._store.key_record(request.key_row)
        except StorageError as error:
            raise platform_unavailable(error, _UNAVAILABLE, UNKNOWN) from error
        if key is None:
            raise refuse(
                HTTPStatus.CONFLICT,
                'The job could not be accepted; try again.',
                step='accept',
                retry_after_s=1,
            )
        if key.request_digest != request.digest:
            raise refuse(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'Idempotency-Key was used for another request.',
                step='accept',
            )
        stored = await self.find(request.workspace, key.job_id)
        return stored.job

    def _new_job(self, request: CallerRequest) -> Job:
        document = self._configuration.document
        kind = request.kind
        shape = document.shapes.get(kind.shape, _ONE_SLOT)
        home = self._choose_home(document, request.workspace, kind.shape, shape)
        return Job(
            job_id=new_job_id(home),
            workspace=request.workspace,
            kind=request.kind_name,
            service=kind.service,
            home=home,
            state='accepted',
            slots=shape.accelerators,
            adjacent=shape.adjacent,
            shape=kind.shape,
            idempotent=kind.idempotent,
            checkpointable=kind.checkpointable,
            run_time_s=kind.run_time_s,
            accepted_at_s=self._clock.wall_s(),
            revision=request.revision,
            body=request.body.decode('utf-8', 'replace'),
            key_row=request.key_row if request.key else '',
        )

    def _choose_home(
        self,
        document: ConfigurationDocument,
        workspace_name: str,
        shape_name: str,
        shape: Shape,
    ) -> str:
        """Return the data centre in which a job is to run.

        It is one with a guarantee for the job's shape, or else any that fits
        the shape. Where both this data centre and others qualify, it is this
        one, otherwise the least loaded.

        :raises RefusedError: if the job can never run.
        """
        workspace = document.workspaces[workspace_name]
        guaranteed = [
            guarantee.data_centre
            for guarantee in workspace.guarantees
            if guarantee.shape == shape_name
        ]
        if self._data_centre in guaranteed:
            return self._data_centre
        if guaranteed:
            return min(guaranteed, key=self._load)
        if not workspace.borrowing:
            raise refuse(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'The job can never run: the workspace has no guarantee for this'
                ' shape and may not borrow.',
                step='accept',
            )
        fitting = [
            name
            for name, data_centre in document.data_centres.items()
            if shape_fits(shape, data_centre)
        ]
        # Prefer this data centre: the load balancer already spreads callers.
        # Known loads are seconds old, so that choosing by them would send a
        # whole burst of jobs to one data centre.
        if self._data_centre in fitting:
            return self._data_centre
        if fitting:
            return min(fitting, key=self._load)
        raise refuse(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            f'The job can never run: {shape.accelerators} accelerators'
            f' ({shape.adjacent}) fit no data centre.',
            step='accept',
        )

    def _load(self, data_centre: str) -> tuple[float, bool, str]:
        """Return a sort key: waiting slots per free slot, then the name.

        At equal loads this data centre comes before the others.
        A data centre whose leader is unknown counts as loaded, unless it is
        this one, so that work stays here while others are unreachable.
        """
        own = data_centre == self._data_centre
        leader = self._notifier.active_scheduler(data_centre)
        if leader is None:
            return (0 if own else _UNKNOWN_LOAD, not own, data_centre)
        load = (leader.waiting_slots + 1) / (leader.free_slots + 1)
        return (load, not own, data_centre)


def job_body(job: Job) -> str:
    """Return the JSON document that represents a job to callers."""
    document: dict[str, Any] = {
        'id': job.job_id,
        'kind': job.kind,
        'state': job.state,
        'data_centre': job.home,
        'accepted_at_s': job.accepted_at_s,
        'ended_at_s': job.ended_at_s or None,
        'preemptions': job.preemptions,
        'reason': job.reason,
    }
    return json.dumps(document)


def _no_result(job: Job) -> RefusedError:
    if job.state not in ENDED:
        return refuse(
            HTTPStatus.CONFLICT,
            f'The job is {job.state}; it has no result yet.',
            step='read result',
            outcome=UNKNOWN,
            retry_after_s=1,
        )
    outcome: Outcome = UNKNOWN
    if job.state == JOB_FAILED:
        outcome = FAILED
    elif job.state == CANCELLED and job.attempt == 0:
        outcome = NOT_RUN
    return refuse(
        HTTPStatus.GONE,
        f'The job ended as {job.state}: {job.reason}',
        step='read result',
        outcome=outcome,
    )


__all__ = ('JobHandler', 'job_body')
