"""The stand-ins of the platform and of workers as one HTTP server."""

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
    LastPollForgottenError,
    NotSentError,
    TaskFailedError,
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
    LeaseRequest,
    QuickRequest,
    Task,
    Token,
)

MAX_BODY_BYTES = 16 * 1024 * 1024

_STATUS: tuple[tuple[type[CurranthillError], int], ...] = (
    (ConflictError, 409),
    (NotSentError, 429),
    (WorkerBusyError, 409),
    (FencedError, 412),
    (TaskFailedError, 422),
    (LastPollForgottenError, 428),
    (WorkerError, 410),
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_Body = dict[str, Any]
Action = Callable[[WorkerModel, Token, _Body], Any]


class WorkerSpec(NamedTuple):
    """One worker of the stand-in's site."""

    name: str
    data_centre: str
    rack: str
    slots: int
    connections: int


class StandinServer:
    """Serve the table, the object store, the host list and workers.

    :param worker_specs: the workers to stand in for.
    :param writes_per_s: the table's bound on transactions a second.
    :param reads_per_s: the table's bound on reads a second.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        worker_specs: tuple[WorkerSpec, ...],
        writes_per_s: float = 400,
        reads_per_s: float = 2000,
    ) -> None:
        """Make the models; nothing is served yet."""
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
        """Serve on an address; port 0 takes a free one."""
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
        """Return the free slots of each worker by rack."""
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
        faulty = self._with_platform_faults
        return [
            web.get('/v1/rows', faulty(self._read_rows)),
            web.post('/v1/transactions', faulty(self._transact)),
            web.put('/v1/objects/{name:.+}', faulty(self._put_object)),
            web.get('/v1/objects/{name:.+}', faulty(self._get_object)),
            web.get('/v1/hosts', faulty(self._list_hosts)),
            web.put('/v1/hosts/{name}', self._put_host),
            web.post('/faults', self._set_faults),
            web.get('/counts', self._counts),
            web.get('/free', self._free),
        ]

    def _worker_routes(self) -> list[web.RouteDef]:
        root = '/workers/{worker}'
        return [
            web.post(f'{root}/v1/quick/{{service}}/{{kind}}', self._quick),
            web.get(f'{root}/v1/results/{{job}}/{{attempt}}', self._result),
            web.post(f'{root}/v1/{{action}}', self._lease_action),
            web.post(f'{root}/faults', self._set_worker_faults),
            web.post(f'{root}/leave', self._leave),
            web.get(f'{root}/audit', self._audit),
        ]

    def _with_platform_faults(self, handler: Handler) -> Handler:
        async def wrapped(  # noqa: WPS430
            request: web.Request,
        ) -> web.StreamResponse:
            if await self.platform_faults.refuses():
                return web.Response(status=503)
            return await _answer(request, handler, self.platform_faults)

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
        asked = await request.json()
        transaction = Transaction(
            operation_id=asked['operation_id'],
            writes=tuple(Write(**write) for write in asked['writes']),
            checks=tuple(Check(**check) for check in asked['checks']),
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
        wanted = request.query.get('data_centre', '')
        hosts = [
            entry._asdict()
            for entry in self.hosts.values()
            if wanted in {'', entry.data_centre}
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

    async def _counts(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                'writes': self.table.write_count,
                'reads': self.table.read_count,
                'objects': len(self.objects),
            },
        )

    async def _free(self, request: web.Request) -> web.StreamResponse:
        """Return the free slots of each worker by rack."""
        return web.json_response(self.free_by_rack())

    def _worker(self, request: web.Request) -> WorkerModel:
        worker = self.workers.get(request.match_info['worker'])
        if worker is None:
            raise web.HTTPNotFound
        return worker

    async def _set_worker_faults(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        settings = FaultSettings(**await request.json())
        self._worker(request).faults.settings = settings
        return web.Response()

    async def _leave(self, request: web.Request) -> web.StreamResponse:
        worker = self._worker(request)
        worker.draining = True
        listed = self.hosts[worker.name]
        self.hosts[worker.name] = listed._replace(leaving=True)
        return web.Response()

    async def _audit(self, request: web.Request) -> web.StreamResponse:
        worker = self._worker(request)
        return web.json_response(
            {
                'starts': [asdict(start) for start in worker.starts],
                'quick_runs': worker.quick_runs,
                'quick_running': worker.quick_running,
                'most_connections': worker.most_connections,
                'free_slots': worker.free_slots(),
            },
        )

    async def _lease_action(self, request: web.Request) -> web.StreamResponse:
        action = _ACTIONS.get(request.match_info['action'])
        if action is None:
            raise web.HTTPNotFound
        worker = self._worker(request)

        async def act(  # noqa: WPS430
            request: web.Request,
        ) -> web.StreamResponse:
            asked = await request.json()
            token = Token(epoch=asked['epoch'], holder=asked['holder'])
            reply = action(worker, token, asked)
            if asyncio.iscoroutine(reply):
                reply = await reply
            return web.json_response(reply)

        return await _on_worker(request, worker, act)

    async def _result(self, request: web.Request) -> web.StreamResponse:
        worker = self._worker(request)

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

        return await _on_worker(request, worker, fetch)

    async def _quick(self, request: web.Request) -> web.StreamResponse:
        worker = self._worker(request)

        async def run(  # noqa: WPS430
            request: web.Request,
        ) -> web.StreamResponse:
            asked = QuickRequest(
                request_id=request.headers['Request-Id'],
                service=request.match_info['service'],
                kind=request.match_info['kind'],
                body=await request.read(),
                deadline_s=float(request.headers['Deadline-S']),
            )
            reply = await worker.quick(asked)
            return web.Response(
                body=reply.body,
                content_type=reply.content_type,
                headers={
                    'Free-Slots': str(reply.free_slots),
                    'Content-Digest': content_digest(reply.body),
                },
            )

        return await _on_worker(request, worker, run)


async def _on_worker(
    request: web.Request,
    worker: WorkerModel,
    handler: Handler,
) -> web.StreamResponse:
    """Count a worker's call against its connections and show its faults."""
    if worker.connections_in_use >= worker.connections:
        return web.Response(status=503, text='connections taken')
    worker.connections_in_use += 1
    worker.most_connections = max(
        worker.most_connections,
        worker.connections_in_use,
    )
    try:
        if await worker.faults.refuses():
            return web.Response(status=503, text='down')
        return await _answer(request, handler, worker.faults)
    finally:
        worker.connections_in_use -= 1


async def _answer(
    request: web.Request,
    handler: Handler,
    faults: Faults,
) -> web.StreamResponse:
    """Run a handler, turn errors into statuses, maybe lose the reply."""
    try:
        response = await handler(request)
    except CurranthillError as error:
        response = _refusal(error)
    if faults.loses_reply() and request.transport is not None:
        request.transport.abort()
    return response


def _refusal(error: CurranthillError) -> web.Response:
    for kind, status in _STATUS:
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


def _attempt_id(asked: _Body) -> AttemptId:
    return AttemptId(job=asked['job'], attempt=asked['attempt'])


def _fence(worker: WorkerModel, token: Token, asked: _Body) -> _Body:
    return {'leases': [lease._asdict() for lease in worker.fence(token)]}


def _reserve(worker: WorkerModel, token: Token, asked: _Body) -> _Body:
    request = LeaseRequest(
        attempt_id=_attempt_id(asked),
        slots=asked['slots'],
        term_s=asked['term_s'],
    )
    worker.reserve(token, request)
    return {}


def _start(worker: WorkerModel, token: Token, asked: _Body) -> _Body:
    worker.start(token, _attempt_id(asked), Task(**asked['task']))
    return {}


async def _poll(worker: WorkerModel, token: Token, asked: _Body) -> _Body:
    report = await worker.poll(
        token,
        asked['term_s'],
        asked['wait_s'],
        _named(asked['attempts']),
        [AttemptId(*attempt_id) for attempt_id in asked['known_ended']],
    )
    leases = [lease._asdict() for lease in report.leases]
    return report._asdict() | {'leases': leases}


def _named(attempts: list[Any] | None) -> list[AttemptId] | None:
    if attempts is None:
        return None
    return [AttemptId(*attempt_id) for attempt_id in attempts]


async def _stop(worker: WorkerModel, token: Token, asked: _Body) -> _Body:
    checkpoint = await worker.stop(
        token,
        _attempt_id(asked),
        asked['grace_s'],
    )
    return {'checkpoint': checkpoint}


def _release(worker: WorkerModel, token: Token, asked: _Body) -> _Body:
    return {'started': worker.release(token, _attempt_id(asked))}


def _throttle(worker: WorkerModel, token: Token, asked: _Body) -> _Body:
    worker.throttle(token, _attempt_id(asked), asked['share'])
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
