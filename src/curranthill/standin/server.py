"""An HTTP server that simulates the platform and its workers."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from http import HTTPStatus
from typing import Any, NamedTuple

from aiohttp import web

from curranthill.clock import Clock
from curranthill.errors import (
    ConflictError,
    CurranthillError,
    FencedError,
    NotSentError,
    TaskFailedError,
    UnknownPollError,
    WorkerBusyError,
    WorkerError,
)
from curranthill.standin.faults import Faults, FaultSettings
from curranthill.standin.table import TableModel
from curranthill.standin.worker import WorkerModel
from curranthill.storage.http import content_digest
from curranthill.storage.interface import HostEntry
from curranthill.storage.records import Check, Transaction, Write
from curranthill.workers.records import (
    AttemptId,
    FencingToken,
    LeaseRequest,
    QuickRequest,
    Task,
)

MAX_BODY_BYTES = 16 * 1024 * 1024

_STATUS_BY_ERROR: tuple[tuple[type[CurranthillError], int], ...] = (
    (ConflictError, 409),
    (NotSentError, 429),
    (WorkerBusyError, 409),
    (FencedError, 412),
    (TaskFailedError, 422),
    (UnknownPollError, 428),
    (WorkerError, 410),
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_Body = dict[str, Any]
Action = Callable[[WorkerModel, FencingToken, _Body], Any]


class WorkerSpec(NamedTuple):
    """A worker to simulate."""

    name: str
    data_centre: str
    rack: str
    slots: int
    connections: int


class StandinServer:
    """Serves a table, an object store, a host list and workers.

    :param worker_specs: the workers to simulate.
    :param writes_per_s: how many transactions per second the table allows.
    :param reads_per_s: how many reads per second the table allows.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        worker_specs: tuple[WorkerSpec, ...],
        writes_per_s: float = 400,
        reads_per_s: float = 2000,
    ) -> None:
        """Create the models, without serving them yet."""
        self.table = TableModel(
            clock=clock,
            writes_per_s=writes_per_s,
            reads_per_s=reads_per_s,
        )
        self.objects: dict[str, bytes] = {}
        self.hosts: dict[str, HostEntry] = {}
        self.platform_faults = Faults(clock=clock)
        self.workers = {
            spec.name: WorkerModel(
                name=spec.name,
                clock=clock,
                slots=spec.slots,
                connections=spec.connections,
            )
            for spec in worker_specs
        }
        self.port = 0
        self._worker_specs = worker_specs
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Start to serve on an address; port 0 selects a free port."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(self._platform_routes())
        app.add_routes(self._worker_routes())
        self._runner = web.AppRunner(app, shutdown_timeout=0.5)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        self.port = self._runner.addresses[0][1]
        for spec in self._worker_specs:
            self._list_worker(spec, f'http://{host}:{self.port}')

    async def stop(self) -> None:
        """Stop serving."""
        for worker in self.workers.values():
            worker.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def free_by_rack(self) -> dict[str, list[int]]:
        """Return the free slots of each worker, by rack."""
        racks: dict[str, list[int]] = {}
        for spec in self._worker_specs:
            worker = self.workers[spec.name]
            racks.setdefault(spec.rack, []).append(max(0, worker.free_slots()))
        return racks

    def _list_worker(self, spec: WorkerSpec, base: str) -> None:
        self.hosts[spec.name] = HostEntry(
            host=spec.name,
            role='worker',
            data_centre=spec.data_centre,
            address=f'{base}/workers/{spec.name}',
            rack=spec.rack,
            slots=spec.slots,
            connections=spec.connections,
        )

    def _platform_routes(self) -> list[web.RouteDef]:
        with_faults = self._with_platform_faults
        return [
            web.get('/v1/rows', with_faults(self._read_rows)),
            web.post('/v1/transactions', with_faults(self._transact)),
            web.put('/v1/objects/{name:.+}', with_faults(self._put_object)),
            web.get('/v1/objects/{name:.+}', with_faults(self._get_object)),
            web.get('/v1/hosts', with_faults(self._list_hosts)),
            web.put('/v1/hosts/{name}', self._put_host),
            web.post('/faults', self._set_faults),
            web.get('/counts', self._get_counts),
            web.get('/free', self._get_free_slots),
        ]

    def _worker_routes(self) -> list[web.RouteDef]:
        root = '/workers/{worker}'
        return [
            web.post(f'{root}/v1/quick/{{service}}/{{kind}}', self._run_quick),
            web.get(f'{root}/v1/results/{{job}}/{{attempt}}', self._get_result),
            web.post(f'{root}/v1/{{action}}', self._run_action),
            web.post(f'{root}/faults', self._set_worker_faults),
            web.post(f'{root}/leave', self._drain_worker),
            web.get(f'{root}/audit', self._get_audit),
        ]

    def _with_platform_faults(self, handler: Handler) -> Handler:
        async def wrapped(  # noqa: WPS430
            request: web.Request,
        ) -> web.StreamResponse:
            if await self.platform_faults.refuses():
                return web.Response(status=503)
            return await _respond(request, handler, self.platform_faults)

        return wrapped

    async def _read_rows(self, request: web.Request) -> web.StreamResponse:
        key = request.query.get('key')
        if key is not None:
            row = self.table.read(key)
            if row is None:
                return web.Response(status=404)
            return web.json_response(row._asdict())
        page = self.table.scan(
            request.query['prefix'],
            request.query.get('after', ''),
            int(request.query.get('limit', '100')),
        )
        rows = [row._asdict() for row in page.rows]
        return web.json_response({'rows': rows, 'after': page.after})

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        transaction = Transaction(
            operation_id=body['operation_id'],
            writes=tuple(Write(**write) for write in body['writes']),
            checks=tuple(Check(**check) for check in body['checks']),
        )
        try:
            versions = self.table.transact(transaction)
        except ConflictError as error:
            conflicts = error.peer.split(',')
            return web.json_response({'conflicts': conflicts}, status=409)
        return web.json_response({'versions': versions})

    async def _put_object(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if request.headers.get('Content-Digest') != content_digest(body):
            return web.Response(status=400)
        if self.objects.setdefault(request.match_info['name'], body) != body:
            return web.Response(status=409)
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.StreamResponse:
        body = self.objects.get(request.match_info['name'])
        if body is None:
            return web.Response(status=404)
        return web.Response(
            body=body,
            headers={'Content-Digest': content_digest(body)},
        )

    async def _list_hosts(self, request: web.Request) -> web.StreamResponse:
        data_centre = request.query.get('data_centre', '')
        hosts = [
            entry._asdict()
            for entry in self.hosts.values()
            if data_centre in {'', entry.data_centre}
        ]
        body = json.dumps({'hosts': hosts}).encode()
        digest = content_digest(body)
        headers = {'ETag': f'"{digest}"', 'Content-Digest': digest}
        if request.headers.get('If-None-Match') == headers['ETag']:
            return web.Response(status=HTTPStatus.NOT_MODIFIED)
        return web.Response(
            body=body,
            content_type='application/json',
            headers=headers,
        )

    async def _put_host(self, request: web.Request) -> web.StreamResponse:
        entry = HostEntry(**await request.json())
        self.hosts[request.match_info['name']] = entry
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        self.platform_faults.settings = FaultSettings(**await request.json())
        return web.Response()

    async def _get_counts(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                'writes': self.table.write_count,
                'reads': self.table.read_count,
                'objects': len(self.objects),
            },
        )

    async def _get_free_slots(self, request: web.Request) -> web.StreamResponse:
        """Respond with the free slots of each worker, by rack."""
        return web.json_response(self.free_by_rack())

    def _find_worker(self, request: web.Request) -> WorkerModel:
        worker = self.workers.get(request.match_info['worker'])
        if worker is None:
            raise web.HTTPNotFound
        return worker

    async def _set_worker_faults(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        settings = FaultSettings(**await request.json())
        self._find_worker(request).faults.settings = settings
        return web.Response()

    async def _drain_worker(self, request: web.Request) -> web.StreamResponse:
        worker = self._find_worker(request)
        worker.draining = True
        entry = self.hosts[worker.name]
        self.hosts[worker.name] = entry._replace(leaving=True)
        return web.Response()

    async def _get_audit(self, request: web.Request) -> web.StreamResponse:
        worker = self._find_worker(request)
        return web.json_response(
            {
                'starts': [asdict(start) for start in worker.starts],
                'quick_runs': worker.quick_runs,
                'quick_running': worker.quick_running,
                'most_connections': worker.peak_connections,
                'free_slots': worker.free_slots(),
            },
        )

    async def _run_action(self, request: web.Request) -> web.StreamResponse:
        action = _ACTIONS.get(request.match_info['action'])
        if action is None:
            raise web.HTTPNotFound
        worker = self._find_worker(request)

        async def act(  # noqa: WPS430
            request: web.Request,
        ) -> web.StreamResponse:
            body = await request.json()
            token = FencingToken(epoch=body['epoch'], holder=body['holder'])
            reply = action(worker, token, body)
            if asyncio.iscoroutine(reply):
                reply = await reply
            return web.json_response(reply)

        return await _call_worker(request, worker, act)

    async def _get_result(self, request: web.Request) -> web.StreamResponse:
        worker = self._find_worker(request)

        async def fetch(  # noqa: WPS430
            request: web.Request,
        ) -> web.StreamResponse:
            attempt_id = AttemptId(
                job=request.match_info['job'],
                attempt=int(request.match_info['attempt']),
            )
            body = worker.fetch_result(attempt_id)
            return web.Response(
                body=body,
                content_type='application/json',
                headers={'Content-Digest': content_digest(body)},
            )

        return await _call_worker(request, worker, fetch)

    async def _run_quick(self, request: web.Request) -> web.StreamResponse:
        worker = self._find_worker(request)

        async def run(  # noqa: WPS430
            request: web.Request,
        ) -> web.StreamResponse:
            quick_request = QuickRequest(
                request_id=request.headers['Request-Id'],
                service=request.match_info['service'],
                kind=request.match_info['kind'],
                body=await request.read(),
                deadline_s=float(request.headers['Deadline-S']),
            )
            reply = await worker.quick(quick_request)
            return web.Response(
                body=reply.body,
                content_type=reply.content_type,
                headers={
                    'Free-Slots': str(reply.free_slots),
                    'Content-Digest': content_digest(reply.body),
                },
            )

        return await _call_worker(request, worker, run)


async def _call_worker(
    request: web.Request,
    worker: WorkerModel,
    handler: Handler,
) -> web.StreamResponse:
    """Handle a call to a worker, with its connection limit and its faults."""
    if worker.connections_in_use >= worker.connections:
        return web.Response(status=503, text='connections taken')
    worker.connections_in_use += 1
    worker.peak_connections = max(
        worker.peak_connections,
        worker.connections_in_use,
    )
    try:
        if await worker.faults.refuses():
            return web.Response(status=503, text='down')
        return await _respond(request, handler, worker.faults)
    finally:
        worker.connections_in_use -= 1


async def _respond(
    request: web.Request,
    handler: Handler,
    faults: Faults,
) -> web.StreamResponse:
    """Run a handler; turn errors into statuses and drop some replies."""
    try:
        response = await handler(request)
    except CurranthillError as error:
        response = _error_response(error)
    if faults.loses_reply() and request.transport is not None:
        request.transport.abort()
    return response


def _error_response(error: CurranthillError) -> web.Response:
    for kind, status in _STATUS_BY_ERROR:
        if isinstance(error, kind):
            headers = {}
            if isinstance(error, FencedError):
                headers['Seen-Epoch'] = str(error.seen_epoch)
            return web.Response(
                status=status,
                text=error.message,
                headers=headers,
            )
    raise error


def _attempt_id(body: _Body) -> AttemptId:
    return AttemptId(job=body['job'], attempt=body['attempt'])


def _fence(worker: WorkerModel, token: FencingToken, body: _Body) -> _Body:
    return {'leases': [lease._asdict() for lease in worker.fence(token)]}


def _reserve(worker: WorkerModel, token: FencingToken, body: _Body) -> _Body:
    request = LeaseRequest(
        attempt_id=_attempt_id(body),
        slots=body['slots'],
        term_s=body['term_s'],
    )
    worker.reserve(token, request)
    return {}


def _start(worker: WorkerModel, token: FencingToken, body: _Body) -> _Body:
    worker.start(token, _attempt_id(body), Task(**body['task']))
    return {}


async def _poll(worker: WorkerModel, token: FencingToken, body: _Body) -> _Body:
    report = await worker.poll(
        token,
        body['term_s'],
        body['wait_s'],
        _attempt_ids(body['attempts']),
        [AttemptId(*attempt_id) for attempt_id in body['known_ended']],
    )
    leases = [lease._asdict() for lease in report.leases]
    return report._asdict() | {'leases': leases}


def _attempt_ids(attempts: list[Any] | None) -> list[AttemptId] | None:
    if attempts is None:
        return None
    return [AttemptId(*attempt_id) for attempt_id in attempts]


async def _stop(worker: WorkerModel, token: FencingToken, body: _Body) -> _Body:
    checkpoint = await worker.stop(
        token,
        _attempt_id(body),
        body['grace_s'],
    )
    return {'checkpoint': checkpoint}


def _release(worker: WorkerModel, token: FencingToken, body: _Body) -> _Body:
    return {'started': worker.release(token, _attempt_id(body))}


def _throttle(worker: WorkerModel, token: FencingToken, body: _Body) -> _Body:
    worker.throttle(token, _attempt_id(body), body['share'])
    return {}


_ACTIONS: dict[str, Action] = {
    'fence': _fence,
    'reserve': _reserve,
    'start': _start,
    'poll': _poll,
    'stop': _stop,
    'release': _release,
    'throttle': _throttle,
}

__all__ = ('StandinServer', 'WorkerSpec')
