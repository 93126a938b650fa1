"""Long work: durable acceptance, questions, results, cancellation."""

import json
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web
from loguru import logger

from curranthill.clock import Clock
from curranthill.configuration import (
    ConfigurationDocument,
    ConfigurationHolder,
    Shape,
    fits,
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
from curranthill.gateway.problems import platform_away, refuse
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

#: Waits between looks at a job that somebody waits for, in seconds.
_FIRST_LOOK_S: Final = 0.05
_LONGEST_LOOK_S: Final = 1.0

_AWAY: Final = 'The platform cannot keep or tell this now.'

#: The crowding of a data centre of which nothing is heard.
_UNHEARD: Final = 1e6

#: The shape of a quick kind that is asked for as a job.
_ONE_SLOT: Final = Shape(accelerators=1, adjacent='worker')


class JobDesk:
    """Take jobs in and tell callers of them.

    :param data_centre: where this gateway is.
    """

    def __init__(  # noqa: WPS211
        self,
        *,
        clock: Clock,
        store: JobStore,
        objects: ObjectStore,
        notifier: Notifier,
        configuration: ConfigurationHolder,
        data_centre: str,
    ) -> None:
        """Keep the parts."""
        self._clock = clock
        self._store = store
        self._objects = objects
        self._notifier = notifier
        self._configuration = configuration
        self._data_centre = data_centre

    async def accept(self, request: CallerRequest) -> Job:
        """Accept a job durably; a repeat of its key gives the first job.

        :raises RefusedError: if it was not accepted, or that is not known.
        """
        job = self._new_job(request)
        key = None
        if request.key:
            key = KeyRecord(job.job_id, request.digest)
        try:
            stored = await self._store.accept(job, key)
        except ConflictError:
            return await self._first_of(request)
        except NotSentError as error:
            raise platform_away(error, _AWAY, NOT_RUN) from error
        except ReplyLostError as error:
            raise platform_away(error, _AWAY, UNKNOWN) from error
        logger.bind(
            job=job.job_id,
            workspace=job.workspace,
            step='accept',
        ).info('accepted {} for {}', job.kind, job.home)
        self._notifier.notify(job.home, job.job_id)
        return stored.job

    async def find(self, workspace: str, job_id: str) -> StoredJob:
        """Return a job of a workspace.

        :raises RefusedError: if there is none; another workspace's job is
            none.
        """
        try:
            stored = await self._store.load(job_id)
        except StorageError as error:
            raise platform_away(error, _AWAY, UNKNOWN) from error
        if stored is None or stored.job.workspace != workspace:
            raise refuse(
                HTTPStatus.NOT_FOUND,
                'There is no such job.',
                step='find job',
            )
        return stored

    async def wait(self, workspace: str, job_id: str, wait_s: float) -> Job:
        """Return a job once it has ended, or as it is when time is up."""
        until_s = self._clock.monotonic_s() + wait_s
        look_s = _FIRST_LOOK_S
        while True:
            stored = await self.find(workspace, job_id)
            left_s = until_s - self._clock.monotonic_s()
            if stored.job.state in ENDED or left_s <= 0:
                return stored.job
            await self._clock.sleep(min(look_s, left_s))
            look_s = min(_LONGEST_LOOK_S, look_s * 1.5)

    async def result(self, workspace: str, job_id: str) -> web.Response:
        """Return a finished job's whole result."""
        stored = await self.find(workspace, job_id)
        job = stored.job
        if job.state != FINISHED:
            raise _no_result(job)
        try:
            body = await self._objects.get(job.result_name)
        except StorageError as error:
            raise platform_away(error, _AWAY, UNKNOWN) from error
        if body is None or len(body) != job.result_bytes:
            raise refuse(
                HTTPStatus.BAD_GATEWAY,
                'The result is not whole in the object store.',
                step='read result',
                outcome=UNKNOWN,
            )
        return web.Response(
            body=body,
            content_type='application/json',
            headers={'Content-Digest': content_digest(body)},
        )

    async def cancel(self, workspace: str, job_id: str) -> Job:
        """Cancel a job; one that has ended stays as it ended."""
        await self.find(workspace, job_id)
        try:
            stored = await self._store.request_cancel(job_id)
        except ConflictError as error:
            raise refuse(
                HTTPStatus.CONFLICT,
                'The job keeps changing; ask again.',
                step='cancel',
                outcome=UNKNOWN,
                retry_after_s=1,
            ) from error
        except StorageError as error:
            raise platform_away(error, _AWAY, UNKNOWN) from error
        if stored is None:
            raise refuse(
                HTTPStatus.NOT_FOUND,
                'There is no such job.',
                step='cancel',
            )
        self._notifier.notify(stored.job.home, job_id)
        return stored.job

    async def _first_of(self, request: CallerRequest) -> Job:
        """Return the job that a repeated key stands for."""
        try:
            key = await self._store.key_record(request.key_row)
        except StorageError as error:
            raise platform_away(error, _AWAY, UNKNOWN) from error
        if key is None:
            raise refuse(
                HTTPStatus.CONFLICT,
                'The job could not be accepted; ask again.',
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
        home = self._home(document, request.workspace, kind.shape, shape)
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

    def _home(
        self,
        document: ConfigurationDocument,
        workspace_name: str,
        shape_name: str,
        shape: Shape,
    ) -> str:
        """Return where a job may run: where it is guaranteed, else here.

        :raises RefusedError: if it can never run.
        """
        workspace = document.workspaces[workspace_name]
        promised = [
            guarantee.data_centre
            for guarantee in workspace.guarantees
            if guarantee.shape == shape_name
        ]
        if self._data_centre in promised:
            return self._data_centre
        if promised:
            return min(promised, key=self._crowding)
        if not workspace.borrowing:
            raise refuse(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'It can never run: the workspace holds no guarantee of this'
                ' shape and may not borrow.',
                step='accept',
            )
        able = [
            name
            for name, place in document.data_centres.items()
            if fits(shape, place)
        ]
        # The balancer spreads callers; news of load is seconds old, and to
        # follow it here would send a whole burst to one place.
        if self._data_centre in able:
            return self._data_centre
        if able:
            return min(able, key=self._crowding)
        raise refuse(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            f'It can never run: {shape.accelerators} accelerators'
            f' ({shape.adjacent}) fit no data centre.',
            step='accept',
        )

    def _crowding(self, data_centre: str) -> tuple[float, bool, str]:
        """Return how much waits there for each free slot, our own first.

        Without news of a data centre it counts as crowded, so that work
        stays here while others cannot be heard.
        """
        own = data_centre == self._data_centre
        leader = self._notifier.active(data_centre)
        if leader is None:
            return (0 if own else _UNHEARD, not own, data_centre)
        crowding = (leader.waiting_slots + 1) / (leader.free_slots + 1)
        return (crowding, not own, data_centre)


def job_body(job: Job) -> str:
    """Return what a caller sees of a job, as JSON."""
    seen: dict[str, Any] = {
        'id': job.job_id,
        'kind': job.kind,
        'state': job.state,
        'data_centre': job.home,
        'accepted_at_s': job.accepted_at_s,
        'ended_at_s': job.ended_at_s or None,
        'preemptions': job.preemptions,
        'reason': job.reason,
    }
    return json.dumps(seen)


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


__all__ = ('JobDesk', 'job_body')
