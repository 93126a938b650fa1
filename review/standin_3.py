"""Stand-ins of the platform's store and of its workers, over HTTP.

Run as ``standin_3.py store PORT`` or ``standin_3.py worker PORT ID STORE LOG``.
Both speak the platform's published protocol and use only the libraries that
the build of the deploy file installs. A worker runs each task for the time
that its text names (``run_ms=2000``; ``run_ms=0`` runs until it is stopped),
and appends what it starts and ends to a log file. After SIGUSR1 it is unhealthy:
it answers 503 to every start and does nothing, until SIGUSR2. After SIGTERM it
drains: it reports so, serves on for a while, and leaves.
"""

import asyncio
import base64
import json
import os
import signal
import sys
import time
from collections import deque

import aiohttp
from aiohttp import web

#: The platform removes an entry after three intervals of silence.
HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S

MAX_HOLD_MS = int(os.environ.get('MAX_HOLD_MS', '6000'))
STOP_S = 0.1
#: How long a draining worker serves on at least, and how long it does.
MIN_DRAIN_S = 2.0
DRAIN_S = 3.0
SAVE_S = 1.0
SERVICE = 'service1'


def now_ms():
    return int(time.monotonic() * 1000)


def respond(status=200, **fields):
    return web.json_response(fields, status=status)


class Store:
    """Tables of rows with one counter of versions and a feed of changes."""

    def __init__(self):
        self.version = 1
        self.rows = {}
        self.changes = deque(maxlen=20000)
        self.oldest = 0
        self.seen_s = {}
        self.changed = asyncio.Event()

    def write(self, table, part, key, value):
        name = (table, part, key)
        if value is None:
            if self.rows.pop(name, None) is None:
                return
        else:
            self.rows[name] = (value, self.version)
        if len(self.changes) == self.changes.maxlen:
            self.oldest = self.changes[0][0]
        self.changes.append((self.version, table, part, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        return {
            'table': table,
            'part': part,
            'key': key,
            'value': value,
            'schema_ver': version,
        }

    async def transact(self, request):
        body = await request.json()
        await asyncio.sleep(0.004)
        entries = body['expected_rev'] + body['put'] + body['remove']
        if len(entries) > 100 or len({one['part'] for one in entries}) > 1:
            return respond(400, error='entries')
        conflicts = False
        current = []
        for one in body['expected_rev']:
            name = (one['table'], one['part'], one['key'])
            found = self.rows.get(name)
            if (found[1] if found else 0) != one['schema_ver']:
                conflicts = True
            if found:
                current.append(self.row(name))
        if conflicts:
            return respond(412, rows=current, schema_ver=self.version)
        if any(one['table'] in ('op', 'servers') for one in entries):
            return respond(403, error='table')
        self.version += 1
        for one in body['put']:
            self.write(one['table'], one['part'], one['key'], one['value'])
        for one in body['remove']:
            self.write(one['table'], one['part'], one['key'], None)
        return respond(schema_ver=self.version, now_ms=now_ms())

    async def get(self, request):
        query = request.query
        await asyncio.sleep(0.002)
        table, part = query['table'], query['part']
        names = sorted(
            (name for name in self.rows if name[0] == table and name[1] == part),
            key=lambda name: name[2].encode(),
        )
        names = [
            name
            for name in names
            if name[2] >= query.get('from', '')
            and (not query.get('to') or name[2] < query['to'])
        ]
        limit = min(int(query.get('limit', '500')), 500)
        return respond(
            rows=[self.row(name) for name in names[:limit]],
            has_more=len(names) > limit,
            schema_ver=self.version,
            now_ms=now_ms(),
        )

    async def feed(self, request):
        query = request.query
        table, after = query['table'], int(query['after'])
        until_s = time.monotonic() + min(int(query['wait_ms']), 30000) / 1000
        if after < self.oldest:
            return respond(410, error='history')
        while True:
            changed = self.changed
            rows = []
            for version, of, part, key, value in self.changes:
                if version > after and of == table:
                    row = {
                        'table': of,
                        'part': part,
                        'key': key,
                        'schema_ver': version,
                    }
                    if value is None:
                        row['removed'] = True
                    else:
                        row['value'] = value
                    rows.append(row)
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return respond(
                    rows=rows, schema_ver=self.version, now_ms=now_ms()
                )
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    async def platform(self, request):
        """Write or remove a row of the operator or of a worker."""
        body = await request.json()
        self.version += 1
        value = body.get('value')
        if 'fields' in body:
            value = base64.b64encode(json.dumps(body['fields']).encode())
            value = value.decode()
        self.write(body['table'], '', body['key'], value)
        if body.get('expires'):
            self.seen_s[body['key']] = time.monotonic()
        elif body['table'] == 'servers':
            self.seen_s.pop(body['key'], None)
        return respond()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            oldest_s = time.monotonic() - EXPIRY_S
            for key, seen_s in list(self.seen_s.items()):
                if seen_s < oldest_s:
                    self.seen_s.pop(key)
                    self.version += 1
                    self.write('servers', '', key, None)


class Worker:
    """A worker that guards nothing and keeps leases, fences and ends."""

    def __init__(self, worker_id, address, store, log):
        self.worker_id = worker_id
        self.address = address
        self.store = store
        self.log_file = open(log, 'a', buffering=1)
        self.began_s = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}
        self.closed = {}
        self.ends = []
        self.end_number = 0
        self.sequence = 0
        self.ended = asyncio.Event()
        self.unhealthy = False
        self.draining = asyncio.Event()

    def set_unhealthy(self, unhealthy):
        self.unhealthy = unhealthy

    def clock_ms(self):
        return int((time.monotonic() - self.began_s) * 1000) + 1000

    def log(self, event, task, attempt, how=''):
        self.log_file.write(
            json.dumps(
                {
                    'at': time.time(),
                    'worker': self.worker_id,
                    'event': event,
                    'task': task,
                    'attempt': attempt,
                    'how': how,
                }
            )
            + '\n'
        )

    def reply(self, status=200, **fields):
        return respond(status, clock_ms=self.clock_ms(), **fields)

    def fenced(self, body):
        token = body.get('fencing_token', 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def extend(self, body):
        deadline_ms = min(
            body.get('deadline_ms', 0), self.clock_ms() + MAX_HOLD_MS
        )
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    async def handle(self, request):
        if request.path == '/health':
            return web.Response(
                status=200, headers={'Instance-Id': self.worker_id}
            )
        if request.headers.get('Target-Instance') != self.worker_id:
            return web.Response(status=421)
        body = await request.json()
        name = request.path.rsplit('/', 1)[1]
        if self.fenced(body):
            return self.reply(409, reason='fence')
        return await {
            'run-start': self.start,
            'run-stop': self.stop,
            'hold': self.hold,
            'pace': self.pace,
        }[name](body)

    async def start(self, body):
        task, attempt = body['task'], body['attempt']
        if self.unhealthy:
            self.log('refuse', task, attempt)
            return self.reply(503)
        if (task, attempt) in self.runs:
            return self.reply()
        if attempt <= self.closed.get(task, 0):
            self.extend(body)
            return self.reply(409, reason='old')
        if body['deadline_ms'] <= self.clock_ms():
            return self.reply(409, reason='late')
        self.extend(body)
        options = dict(
            part.split('=') for part in body['spec'].split() if '=' in part
        )
        run_s = float(options.get('run_ms', 1000)) / 1000
        self.runs[task, attempt] = [time.monotonic(), run_s]
        self.log('start', task, attempt)
        return self.reply()

    async def stop(self, body):
        task, attempt = body['task'], body['attempt']
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        if (task, attempt) in self.runs:
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, task, attempt, 'stopped'
            )
        return self.reply()

    async def pace(self, body):
        return self.reply()

    async def hold(self, body):
        self.extend(body)
        acked = body.get('acked_through', 0)
        self.ends = [one for one in self.ends if one[0] > acked]
        until_s = time.monotonic() + min(body.get('wait_ms', 0), 2000) / 1000
        while not self.ends and (left_s := until_s - time.monotonic()) > 0:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), left_s)
            except TimeoutError:
                pass
        return self.reply(
            running=[
                [task, attempt, '', self.percent(began_s, run_s), 1.0]
                for (task, attempt), (began_s, run_s) in self.runs.items()
            ],
            ended=self.ends[:500],
        )

    def percent(self, began_s, run_s):
        if not run_s:
            return 100 if time.monotonic() - began_s > 0.5 else 50
        share = (time.monotonic() - began_s) / run_s
        return min(99, int(100 * share))

    def end(self, task, attempt, how):
        if self.runs.pop((task, attempt), None) is None:
            return
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        self.end_number += 1
        self.ends.append([self.end_number, task, attempt, how, ''])
        self.log('end', task, attempt, how)
        self.ended.set()

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms() > self.deadline_ms:
                for task, attempt in list(self.runs):
                    self.end(task, attempt, 'lapsed')
            for (task, attempt), (began_s, run_s) in list(self.runs.items()):
                if run_s and time.monotonic() - began_s >= run_s:
                    self.end(task, attempt, 'done')

    async def report(self):
        async with aiohttp.ClientSession() as session:
            while not self.draining.is_set():
                await self.post(session, fields=self.entry(), expires=True)
                try:
                    await asyncio.wait_for(
                        self.draining.wait(), HEARTBEAT_S
                    )
                except TimeoutError:
                    pass
            self.leaves_s = time.monotonic() + MIN_DRAIN_S
            until_s = time.monotonic() + DRAIN_S
            while time.monotonic() < until_s:
                await self.post(session, fields=self.entry(), expires=True)
                await asyncio.sleep(0.5)
            for task, attempt in self.runs:
                self.log('end', task, attempt, 'with its worker, which left')
            # The entry goes with the worker.
            await self.post(session)
            os._exit(0)

    def entry(self):
        self.sequence += 1
        fields = {
            'service': SERVICE,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'capacity': 8,
            'state': 'draining' if self.draining.is_set() else 'ready',
            'cold_remaining_ms': 0,
            'headroom': {'cpu': 32000, 'mem_mb': 65536, 'gpu': 8},
            'labels': ['a', 'r1-1'],
            'clock_ms': self.clock_ms(),
            'sequence': self.sequence,
        }
        if self.draining.is_set():
            left_s = max(0.0, self.leaves_s - time.monotonic())
            fields['remaining_ms'] = int(left_s * 1000)
        return fields

    async def post(self, session, **fields):
        try:
            async with session.post(
                f'http://{self.store}/platform',
                json={'table': 'servers', 'key': self.worker_id, **fields},
                timeout=aiohttp.ClientTimeout(total=1),
            ):
                pass
        except (aiohttp.ClientError, TimeoutError):
            pass


async def serve(handler, port):
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()


async def run_store(port):
    store = Store()
    handlers = {
        '/curranthill/rows-tx': store.transact,
        '/curranthill/rows-get': store.get,
        '/curranthill/rows-feed': store.feed,
        '/platform': store.platform,
    }

    async def handle(request):
        handler = handlers.get(request.path)
        return await handler(request) if handler else respond(404)

    await serve(handle, port)
    await store.expire()


async def run_worker(port, worker_id, store, log):
    worker = Worker(worker_id, f'127.0.0.1:{port}', store, log)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, worker.draining.set)
    loop.add_signal_handler(signal.SIGUSR1, worker.set_unhealthy, True)
    loop.add_signal_handler(signal.SIGUSR2, worker.set_unhealthy, False)
    await serve(worker.handle, port)
    await asyncio.gather(worker.work(), worker.report())


def main():
    kind, port, *others = sys.argv[1:]
    run = {'store': run_store, 'worker': run_worker}[kind]
    asyncio.run(run(int(port), *others))


if __name__ == '__main__':
    main()
