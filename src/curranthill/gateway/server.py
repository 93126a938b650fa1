"""The HTTP server of a gateway for callers."""

import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web

from curranthill.clock import Clock
from curranthill.configuration import ActiveConfiguration
from curranthill.errors import RefusedError
from curranthill.gateway.idempotency import IdempotentRunner
from curranthill.gateway.jobs import JobHandler, job_body
from curranthill.gateway.problems import problem_response, refuse
from curranthill.gateway.requests import (
    CallerRequest,
    authenticate,
    read_request,
)
from curranthill.ingress import IngressServer, MachineLimits, limits_of
from curranthill.jobs import Job
from curranthill.routing import QuickWork, Router
from curranthill.settings import CallerSettings
from curranthill.storage import content_digest
from curranthill.telemetry import metrics
from curranthill.workers import QuickReply

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerServer:
    """Serves callers until it is drained.

    :param settings: limits on requests and connections.
    :param machine: what the machine grants the process.
    """

    def __init__(  # noqa: WPS211
        self,
        *,
        clock: Clock,
        settings: CallerSettings,
        machine: MachineLimits,
        configuration: ActiveConfiguration,
        router: Router,
        idempotent_runner: IdempotentRunner,
        job_handler: JobHandler,
    ) -> None:
        """Initialize without listening; see :meth:`start`."""
        self.port = 0
        self.draining = False
        self._clock = clock
        self._settings = settings
        self._configuration = configuration
        self._router = router
        self._idempotent_runner = idempotent_runner
        self._job_handler = job_handler
        self._in_flight = 0
        self._runner: web.AppRunner | None = None
        limits = limits_of(machine, idle_s=settings.idle_s)
        self._ingress = IngressServer(
            limits=limits._replace(field_bytes=settings.max_header_bytes),
            refusal=problem_response,
        )

    async def start(self, host: str) -> None:
        """Listen on the port in the settings, or on any free one if it is 0."""
        settings = self._settings
        app = web.Application(
            client_max_size=settings.max_body_bytes,
            middlewares=[self._respond, self._admit],
        )
        app.add_routes(self._routes())
        self._runner = web.AppRunner(
            app,
            shutdown_timeout=settings.drain_s,
            **self._ingress.options,
        )
        await self._ingress.start(self._runner, host, settings.port)
        self.port = int(self._ingress.address.rpartition(':')[2])

    async def drain(self) -> None:
        """Report not ready, wait for requests in flight, then stop."""
        self.draining = True
        until_s = self._clock.monotonic_s() + self._settings.drain_s
        while self._in_flight and self._clock.monotonic_s() < until_s:
            await self._clock.sleep(0.05)
        await self._ingress.stop()

    def _routes(self) -> list[web.RouteDef]:
        work = '/v1/workspaces/{workspace}/kinds/{kind}/requests'
        return [
            web.post(work, self._request),
            web.get('/v1/jobs/{job}', self._get_job),
            web.get('/v1/jobs/{job}/result', self._get_result),
            web.delete('/v1/jobs/{job}', self._delete_job),
            web.get('/healthy', self._healthy),
            web.get('/ready', self._ready),
        ]

    @web.middleware
    async def _respond(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Respond within the limits on connections and memory."""
        return await self._ingress.respond(request, handler)

    @web.middleware
    async def _admit(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Limit concurrent requests and turn errors into problem documents."""
        if request.path in {'/healthy', '/ready'}:
            return await handler(request)
        self._in_flight += 1
        metrics.requests.add(1)
        try:
            if self._in_flight > self._settings.max_connections:
                raise refuse(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    'Too many requests are in flight.',
                    step='admit',
                    retry_after_s=1,
                )
            return await handler(request)
        except RefusedError as error:
            return problem_response(error)
        except web.HTTPException as error:
            return problem_response(
                refuse(HTTPStatus(error.status), error.reason, step='route'),
            )
        finally:
            self._in_flight -= 1

    async def _request(self, request: web.Request) -> web.StreamResponse:
        if self.draining:
            raise refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'This host is shutting down; use another one.',
                step='admit',
                retry_after_s=1,
            )
        caller_request = await read_request(
            request,
            self._configuration,
            self._settings,
        )
        if caller_request.wants_job:
            return _job_response(await self._job_handler.accept(caller_request))
        reply = await self._run_quick(caller_request)
        return web.Response(
            body=reply.body,
            content_type=reply.content_type,
            headers={
                'Request-Id': caller_request.request_id,
                'Content-Digest': content_digest(reply.body),
            },
        )

    async def _run_quick(self, request: CallerRequest) -> QuickReply:
        work = QuickWork(
            request_id=request.request_id,
            workspace=request.workspace,
            service=request.kind.service,
            kind=request.kind_name,
            idempotent=request.kind.idempotent,
            body=request.body,
            deadline_s=request.deadline_s,
        )
        if request.key:
            return await self._idempotent_runner.run(request, work)
        return await self._router.run(work)

    async def _get_job(self, request: web.Request) -> web.StreamResponse:
        workspace, _ = authenticate(request, self._configuration)
        wait_s = _wait_s(request, self._settings.max_wait_s)
        job = await self._job_handler.wait(
            workspace,
            request.match_info['job'],
            wait_s,
        )
        return web.Response(
            text=job_body(job),
            content_type='application/json',
        )

    async def _get_result(self, request: web.Request) -> web.StreamResponse:
        workspace, _ = authenticate(request, self._configuration)
        return await self._job_handler.result(
            workspace, request.match_info['job']
        )

    async def _delete_job(self, request: web.Request) -> web.StreamResponse:
        workspace, _ = authenticate(request, self._configuration)
        job = await self._job_handler.cancel(
            workspace, request.match_info['job']
        )
        return web.Response(
            status=HTTPStatus.ACCEPTED,
            text=job_body(job),
            content_type='application/json',
        )

    async def _healthy(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text='healthy\n')

    async def _ready(self, request: web.Request) -> web.StreamResponse:
        """Respond whether the load balancer should send callers here."""
        ready = not self.draining and self._configuration.revision > 0
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        body = {'ready': ready, 'revision': self._configuration.revision}
        return web.Response(
            status=status,
            text=json.dumps(body),
            content_type='application/json',
        )


def _job_response(job: Job) -> web.Response:
    return web.Response(
        status=HTTPStatus.ACCEPTED,
        text=job_body(job),
        content_type='application/json',
        headers={'Location': f'/v1/jobs/{job.job_id}'},
    )


def _wait_s(request: web.Request, max_s: float) -> float:
    given = request.query.get('wait_s', '0')
    try:
        wait_s = float(given)
    except ValueError:
        raise refuse(
            HTTPStatus.BAD_REQUEST,
            'wait_s must be a number of seconds.',
            step='read request',
        ) from None
    return max(0.0, min(max_s, wait_s))


__all__ = ('CallerServer',)
