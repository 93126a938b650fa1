"""The callers' HTTP API, against the demo deployment of Tenggara."""

import asyncio
import json
import os
import re
import socket
import subprocess  # noqa: S404
import threading
import unittest
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from curranthill.commands.demo import Deployment
from curranthill.settings import KEY_VARIABLE
from curranthill.standin import FaultSettings

ROOT = Path(__file__).parent.parent
SWEEPS = '/v1/workspaces/gearbox/kinds/fatigue-sweep/requests'
LOOKUPS = '/v1/workspaces/distributors/kinds/catalogue-lookup/requests'
RERUNS = '/v1/workspaces/spindle/kinds/lubrication-life-rerun/requests'


class Response(NamedTuple):
    """One HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


class ApiTest(unittest.TestCase):
    """Requests to one deployment that all tests of this class share."""

    loop: asyncio.AbstractEventLoop
    thread: threading.Thread
    deployment: Deployment

    @classmethod
    def setUpClass(cls) -> None:
        """Start the deployment in a thread."""
        os.environ.setdefault(KEY_VARIABLE, 'test-key')
        cls.loop = asyncio.new_event_loop()
        cls.thread = threading.Thread(target=cls.loop.run_forever)
        cls.thread.start()
        folder = ROOT / 'examples' / 'tenggara' / 'configuration'
        cls.deployment = Deployment(folder=folder)
        cls.on_loop(cls.deployment.start())

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the deployment and its thread."""
        cls.on_loop(cls.deployment.stop())
        cls.loop.call_soon_threadsafe(cls.loop.stop)
        cls.thread.join()
        cls.loop.close()

    @classmethod
    def on_loop(cls, work: Any) -> Any:
        """Run a coroutine on the event loop of the deployment."""
        return asyncio.run_coroutine_threadsafe(work, cls.loop).result(60)

    def send(
        self,
        method: str,
        path: str,
        *,
        token: str = '',
        body: str | None = None,
        gateway: int = 0,
        **headers: Any,
    ) -> Response:
        """Send one request."""
        parts = urlsplit(self.deployment.url(gateway))
        connection = HTTPConnection(
            parts.hostname or '', parts.port, timeout=60
        )
        sent = {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        if token:
            sent['Authorization'] = f'Bearer demo-{token}'
        connection.request(method, path, body=body, headers=sent)
        reply = connection.getresponse()
        response = Response(
            reply.status, dict(reply.getheaders()), reply.read()
        )
        connection.close()
        return response

    def wait_for_job(self, job_id: str, token: str, gateway: int = 0) -> Any:
        """Wait for a job to end and return its document."""
        response = self.send(
            'GET',
            f'/v1/jobs/{job_id}?wait_s=30',
            token=token,
            gateway=gateway,
        )
        return response.document

    def test_every_curl_command_of_the_api_page_runs(self) -> None:
        """The commands in docs/api.md have the documented results."""
        text = (ROOT / 'docs' / 'api.md').read_text('utf-8')
        lines = re.findall('```sh\n(.*?)\n```', text, re.DOTALL)
        self.assertGreaterEqual(len(lines), 9)
        variables = os.environ | {
            'GATEWAY': self.deployment.url(0),
            'JOB': 'none',
        }
        outputs: list[str] = []
        for line in lines:
            done = subprocess.run(  # noqa: S602
                line,
                shell=True,
                check=True,
                env=variables,
                capture_output=True,
                text=True,
            )
            outputs.append(done.stdout)
            location = re.search(r'Location: /v1/jobs/(\S+)', done.stdout)
            if location and 'sweep-7' in line:
                variables['JOB'] = location[1]
        self.assertIn('"worker"', outputs[0])
        self.assertIn('202 Accepted', outputs[2])
        self.assertIn('"finished"', outputs[4])
        self.assertIn('"members": 2', outputs[5])
        self.assertIn('"There is no such job."', outputs[7])
        self.assertIn('"ready": true', outputs[8])

    def test_a_gang_runs_on_two_workers_and_any_host_serves_it(self) -> None:
        """One host accepts the job; others return its state and result."""
        response = self.send('POST', SWEEPS, token='gearbox', body='{}')
        job_id = response.document['id']
        self.assertEqual(
            self.wait_for_job(job_id, 'gearbox', 1)['state'],
            'finished',
        )
        result = self.send(
            'GET',
            f'/v1/jobs/{job_id}/result',
            token='gearbox',
            gateway=2,
        )
        self.assertEqual(result.document['job'], job_id)
        self.assertEqual(result.document['members'], 2)
        self.assertIn('sha-256=:', result.headers['Content-Digest'])

    def test_requests_with_one_key_run_once_across_hosts(self) -> None:
        """A job that is submitted three times is not run repeatedly."""
        responses = [
            self.send(
                'POST',
                RERUNS,
                token='spindle',
                body='{"run_s": 0.1}',
                gateway=gateway,
                Idempotency_Key='rerun-1',
            )
            for gateway in (0, 1, 2)
        ]
        ids = {response.document['id'] for response in responses}
        self.assertEqual(len(ids), 1)
        (job_id,) = ids  # noqa: WPS460
        self.assertEqual(
            self.wait_for_job(job_id, 'spindle')['state'],
            'finished',
        )
        starts = [
            start
            for worker in self.deployment.standin.workers.values()
            for start in worker.starts
            if start.job == job_id
        ]
        self.assertEqual(len(starts), 1)

    def test_quick_requests_with_one_key_get_the_same_response(self) -> None:
        """The second response equals the first, byte for byte."""
        first, second = (
            self.send(
                'POST',
                LOOKUPS,
                token='distributors',
                body='{}',
                gateway=gateway,
                Idempotency_Key='lookup-1',
            )
            for gateway in (0, 1)
        )
        self.assertEqual(first.status, 200)
        self.assertEqual(first.body, second.body)

    def test_a_key_for_another_request_is_refused(self) -> None:
        """The same key with another body is not run."""
        for path, token in ((SWEEPS, 'gearbox'), (LOOKUPS, 'distributors')):
            for body, status in (('{}', None), ('{"run_s": 0}', 422)):
                response = self.send(
                    'POST',
                    path,
                    token=token,
                    body=body,
                    Idempotency_Key='reused',
                )
                if status:
                    self.assertEqual(response.status, status)
                    self.assertEqual(response.document['outcome'], 'not_run')

    def test_jobs_of_other_workspaces_are_not_found(self) -> None:
        """The response is the same as for a job that does not exist."""
        response = self.send('POST', SWEEPS, token='gearbox', body='{}')
        job_id = response.document['id']
        for method in ('GET', 'DELETE'):
            foreign = self.send(method, f'/v1/jobs/{job_id}', token='spindle')
            unknown = self.send(method, '/v1/jobs/none', token='spindle')
            self.assertEqual(foreign.status, 404)
            self.assertEqual(foreign.body, unknown.body)

    def test_invalid_requests_are_refused_as_not_run(self) -> None:
        """Wrong token, kind, workspace, deadline, body size and key size."""
        cases: list[tuple[int, str, dict[str, Any], str]] = [
            (401, SWEEPS, {}, '{}'),
            (404, LOOKUPS.replace('catalogue', 'no'), {'token': 'gearbox'}, ''),
            (404, SWEEPS, {'token': 'spindle'}, '{}'),
            (400, LOOKUPS, {'token': 'distributors', 'Deadline_S': 'x'}, '{}'),
            (413, LOOKUPS, {'token': 'distributors'}, 'x' * (2 << 20)),
            (
                400,
                LOOKUPS,
                {'token': 'distributors', 'Idempotency_Key': 'k' * 300},
                '{}',
            ),
        ]
        for status, path, options, body in cases:
            response = self.send('POST', path, body=body, **options)
            self.assertEqual(response.status, status)
            self.assertEqual(response.document['outcome'], 'not_run')
            self.assertIn('problem+json', response.headers['Content-Type'])

    def test_a_failed_task_is_reported_as_failed(self) -> None:
        """Quick work that ran and failed is not retried."""
        response = self.send(
            'POST',
            LOOKUPS,
            token='distributors',
            body='{"fail": true}',
        )
        self.assertEqual(response.status, 502)
        self.assertEqual(response.document['outcome'], 'failed')
        self.assertTrue(response.document['peer'])

    def test_quick_work_continues_while_the_platform_is_down(self) -> None:
        """Jobs cannot be stored and are refused at once as not run."""
        faults = self.deployment.standin.platform_faults
        faults.settings = FaultSettings(down=True)
        self.addCleanup(setattr, faults, 'settings', FaultSettings())
        quick = self.send('POST', LOOKUPS, token='distributors', body='{}')
        self.assertEqual(quick.status, 200)
        job = self.send('POST', SWEEPS, token='gearbox', body='{}')
        self.assertEqual(job.status, 503)
        self.assertEqual(job.document['outcome'], 'not_run')
        self.assertEqual(job.headers['Retry-After'], '2')

    def test_a_request_with_an_incomplete_body_times_out(self) -> None:
        """It gets status 408."""
        server = self.deployment.gateways[0].server
        assert server is not None
        before = server._settings  # noqa: SLF001
        server._settings = before._replace(body_timeout_s=0.2)  # noqa: SLF001
        self.addCleanup(setattr, server, '_settings', before)
        parts = urlsplit(self.deployment.url(0))
        with socket.create_connection((parts.hostname, parts.port), 10) as raw:
            raw.sendall(
                f'POST {LOOKUPS} HTTP/1.1\r\nHost: x\r\n'
                'Authorization: Bearer demo-distributors\r\n'
                'Content-Length: 10\r\n\r\n{'.encode(),
            )
            self.assertIn(b' 408 ', raw.recv(4096))
