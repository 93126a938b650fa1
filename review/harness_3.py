"""Starts hosts and stand-ins as processes, speaks as a client, and records.

Everything is on the loopback interface, in a temporary folder, and ends with
the harness; only processes that it started are signalled.
"""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from pathlib import Path

import aiohttp

REPO = Path(__file__).resolve().parent.parent
STANDIN = str(REPO / 'review' / 'standin_3.py')
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
KEY = 'key-of-tenant-1'
HOST_NAME = 'jobs.example'
PREFIX = '/q1/'

HELD, BROKEN, NOT_RUN = 0, 1, 2
RESULTS = {
    HELD: 'the rule held',
    BROKEN: 'the rule was broken',
    NOT_RUN: 'the case could not run',
}


class NotRunError(Exception):
    """The case could not be played."""


#: The ports of this play, outside of the range of outgoing connections. Plays at
#: the same time have others, as a port is bound some time after it was chosen.
PORTS = iter(range(12000 + os.getpid() % 300 * 64, 32000))


def free_port():
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port
    raise NotRunError('no port is free')


def new_id():
    return secrets.token_hex(8)


class Play:
    """One play of a case."""

    def __init__(self, folder):
        self.record_path = Path(folder) / 'record.txt'
        self.record_file = open(self.record_path, 'w', buffering=1)
        self.temporary = Path(tempfile.mkdtemp(prefix='curranthill-case-'))
        self.log = self.temporary / 'workers.jsonl'
        self.log.touch()
        self.processes = {}
        self.hosts = {}
        self.workers = {}
        self.began_s = time.time()
        self.store = ''
        self.session = None
        self.max_hold_ms = 6000

    def note(self, text, at_s=None):
        at_s = (at_s or time.time()) - self.began_s
        self.record_file.write(f'{at_s:8.3f} s  {text}\n')

    async def start_process(self, name, *command, **env):
        output = open(self.temporary / f'{name}.out', 'ab')
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=REPO,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=asyncio.subprocess.STDOUT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(REPO / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                **env,
            },
        )
        output.close()
        self.processes[name] = process
        return process

    async def start_store(self):
        port = free_port()
        await self.start_process(
            'store', 'python3', STANDIN, 'store', str(port)
        )
        self.store = f'127.0.0.1:{port}'
        await self.wait_port(port)

    async def start_worker(self, port=None):
        """Start a worker; return its id, which is new at each start."""
        worker_id = f'i-{secrets.token_hex(4)}'
        port = port or free_port()
        await self.start_process(
            worker_id,
            'python3',
            STANDIN,
            'worker',
            str(port),
            worker_id,
            self.store,
            str(self.log),
            MAX_HOLD_MS=str(self.max_hold_ms),
        )
        self.workers[worker_id] = f'127.0.0.1:{port}'
        return worker_id

    async def start_host(self, name, *, zone='zone-a', store=None, **bounds):
        ports = [free_port() for _ in range(5)]
        settings = {
            'node_name': name,
            'role': 'host',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': '127.0.0.1',
            'zone': zone,
            'region': 'region-a',
            'zones': {'zone-a': 'region-a'},
            'bind_addrs': {
                'front': f'127.0.0.1:{ports[0]}',
                'ready': f'127.0.0.1:{ports[1]}',
                'control': f'127.0.0.1:{ports[2]}',
            },
            'port_range': [ports[3], ports[4]],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'bandwidth_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1500,
            'bounds': {
                'contact_ms': 3000,
                'ack_ms': 4000,
                'drain_ms': 2000,
                'grace_s': 6,
                'loss_slack_ms': 200,
                'config_apply_ms': 2000,
                'max_hold_ms': self.max_hold_ms,
                'stop_ms': 200,
                'gang_timeout_ms': 3000,
                'cancel_ms': 3000,
                'visible_ms': 3000,
                'finish_s': 14,
                'status_s': 120,
                'far_x': 3,
                'restore_ms': 250,
                **bounds,
            },
            'control_mode': 'rpc',
            'placement_advisor': '',
            'platform': {
                'address': store or self.store,
                'form': 'table',
                'writes_per_s': 800,
                'reads_per_s': 2000,
                'row_bytes': 65536,
            },
            'cloud_api': {},
        }
        path = self.temporary / f'{name}.json'
        path.write_text(json.dumps(settings))
        self.hosts[name] = f'127.0.0.1:{ports[0]}'
        await self.start_process(
            name,
            'python3',
            'deploy/host.py',
            CURRANTHILL_BOOT=str(path),
            SSL_CERT_FILE='/dev/null',
            SSL_CERT_DIR='/dev/null',
        )
        return ports

    async def wait_port(self, port):
        for _ in range(150):
            try:
                _, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.1)
        raise NotRunError(f'nothing listens on port {port}')

    def port_of(self, worker_id):
        return int(self.workers[worker_id].rsplit(':', 1)[1])

    async def put_row(self, table, key, fields=None, **others):
        body = {'table': table, 'key': key, **others}
        if fields is not None:
            body['fields'] = fields
        async with self.session.post(
            f'http://{self.store}/platform', json=body
        ) as response:
            await response.read()

    async def put_config(
        self,
        version=1,
        queues=(('q1', PREFIX, 1, 2),),
        tenants=(('tenant1', KEY, 0),),
    ):
        """Write a configuration.

        :param queues: of each its name, prefix, priority and attempts.
        :param tenants: of each its name, key and guaranteed GPUs.
        """
        await self.put_row(
            'op',
            'config',
            {
                'version': version,
                'routes': [
                    {
                        'name': name,
                        'host': HOST_NAME,
                        'path_prefix': prefix,
                        'type': 'non_idempotent',
                        'timeout_ms': 3000,
                        'target_completion_ms': 3000,
                        'priority': priority,
                        'service': 'service1',
                        'attempts': attempts,
                        'slack_factor': 3.0,
                        'public': False,
                    }
                    for name, prefix, priority, attempts in queues
                ],
                'services': [
                    {
                        'name': 'service1',
                        'health_path': '/health',
                        'enforce_limits': False,
                        'standby': False,
                    }
                ],
                'limits': {'max_body_bytes': 262144},
                'tenants': [
                    {
                        'name': name,
                        'api_keys': [key],
                        'priority': 1,
                        'guaranteed': {'gpu': gpus},
                    }
                    for name, key, gpus in tenants
                ],
            },
        )

    async def call(
        self, host, method, path, body=None, timeout_s=3.0, key=KEY
    ):
        """Send one request; return its status and body, or 0 and a text."""
        try:
            async with self.session.request(
                method,
                f'http://{self.hosts[host]}{path}',
                json=body,
                headers={
                    'Host': HOST_NAME,
                    'Authorization': f'Bearer {key}',
                    'Deadline-Ms': '3000',
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                status, answer = response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            status, answer = 0, repr(error)
        if method != 'GET':
            self.note(f'client: {method} {path} to {host}: {status} {answer}')
        return status, answer

    async def submit(
        self,
        host,
        job_id,
        steps,
        *,
        run_ms,
        prefix=PREFIX,
        key=KEY,
        **others,
    ):
        """Submit a job until it is accepted; return whether it was."""
        body = {'spec': f'run_ms={run_ms}', 'steps': steps, **others}
        for _ in range(20):
            status, _ = await self.call(
                host, 'POST', prefix + job_id, body, key=key
            )
            if 200 <= status < 300:
                return True
            await asyncio.sleep(1.0)
        return False

    async def state(self, host, job_id, prefix=PREFIX, key=KEY):
        status, answer = await self.call(
            host, 'GET', prefix + job_id, key=key
        )
        if status == 200:
            return answer['state']
        return f'status {status}'

    def worker_events(self):
        events = []
        for line in self.log.read_text().splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return events

    def starts(self, job_id):
        return [
            one
            for one in self.worker_events()
            if one['event'] == 'start' and one['task'].startswith(job_id)
        ]

    def signal(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)

    def note_workers(self):
        for one in self.worker_events():
            self.note(
                f"worker {one['worker']}: {one['event']} {one['task']}"
                f" attempt {one['attempt']} {one['how']}",
                one['at'],
            )

    async def close(self):
        if self.session is not None:
            await self.session.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        self.record_file.close()
        # Workers keep logs of their own, which are added at the end.
        lines = self.record_path.read_text().splitlines()
        lines.sort(key=lambda line: float(line.split(' s  ')[0]))
        self.record_path.write_text('\n'.join(lines) + '\n')
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.temporary, ignore_errors=True)
        else:
            print(self.temporary)


def main(play_case, folder):
    """Play a case and exit with its result."""

    async def run():
        play = Play(folder)
        result = NOT_RUN
        try:
            play.session = aiohttp.ClientSession()
            async with asyncio.timeout(110):
                result = await play_case(play)
        except Exception as error:  # noqa: BLE001
            # Only a play that has come to its end says anything of the rule.
            play.note(f'{error!r}')
        finally:
            play.note_workers()
            play.note(f'result: {RESULTS[result]}')
            await play.close()
        return result

    try:
        result = asyncio.run(run())
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        result = NOT_RUN
    sys.exit(result)
