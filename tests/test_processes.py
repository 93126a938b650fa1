"""The programs as separate processes on loopback."""

import json
import os
import signal
import subprocess  # noqa: S404
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any
from urllib import request as http

from bench.processes import KEY, ROOT, Processes, get_json

BIN_FOLDER = Path(sys.executable).parent
CONFIGURATION_FOLDER = ROOT / 'examples' / 'tenggara' / 'configuration'


def run_program(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run one program to its end."""
    program, *options = arguments
    return subprocess.run(  # noqa: S603
        [str(BIN_FOLDER / program), *options],
        check=False,
        capture_output=True,
        text=True,
        env=os.environ | {'CURRANTHILL_KEY': KEY},
    )


def request_json(url: str, token: str, body: Any = None) -> Any:
    """Send one request of a workspace and return the JSON response."""
    request = http.Request(  # noqa: S310
        url,
        data=None if body is None else json.dumps(body).encode(),
        headers={'Authorization': f'Bearer demo-{token}'},
    )
    with http.urlopen(request, timeout=60) as response:  # noqa: S310
        return json.loads(response.read())


class ProcessesTest(unittest.TestCase):
    """All tests share one deployment with two gateways in each data centre."""

    processes: Processes

    @classmethod
    def setUpClass(cls) -> None:
        """Start the deployment."""
        cls.temporary = tempfile.TemporaryDirectory()
        cls.work_folder = Path(cls.temporary.name)
        cls.processes = Processes(
            folder=CONFIGURATION_FOLDER,
            work_folder=cls.work_folder / 'run',
            gateways=2,
        )
        cls.processes.start()
        cls.operator = str(cls.work_folder / 'run' / 'operator.json')

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the deployment."""
        cls.processes.stop()
        cls.temporary.cleanup()

    temporary: tempfile.TemporaryDirectory[str]
    work_folder: Path
    operator: str

    def run_operator(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command on the deployment."""
        return run_program(
            'curranthill',
            *arguments,
            '--settings',
            self.operator,
        )

    def test_a_gang_of_sixteen_runs_on_two_workers_of_a_rack(self) -> None:
        """The job finishes, and its result can be fetched."""
        gateway = self.processes.gateways[0]
        job = request_json(
            f'{gateway}/v1/workspaces/gearbox/kinds/fatigue-sweep/requests',
            'gearbox',
            {'run_s': 0.5},
        )
        url = f'{gateway}/v1/jobs/{job["id"]}'
        self.assertEqual(
            request_json(f'{url}?wait_s=30', 'gearbox')['state'], 'finished'
        )
        self.assertEqual(request_json(f'{url}/result', 'gearbox')['members'], 2)
        hosts = get_json(f'{self.processes.standin}/v1/hosts')['hosts']
        racks = [
            host['rack']
            for host in hosts
            for start in get_json(f'{host["address"]}/audit')['starts']
            if start['job'] == job['id']
        ]
        self.assertEqual(len(racks), 2)
        self.assertEqual(len(set(racks)), 1)

    def test_a_graceful_stop_drops_no_request(self) -> None:
        """A gateway that receives SIGTERM responds to open requests first."""
        gateway = self.processes.gateways[-1]
        responses: list[Any] = []
        path = 'distributors/kinds/catalogue-check/requests'
        thread = threading.Thread(
            target=lambda: responses.append(
                request_json(
                    f'{gateway}/v1/workspaces/{path}',
                    'distributors',
                    {'run_s': 1.5},
                ),
            ),
        )
        thread.start()
        name = self.processes.process_names('gateway')[-1]
        hosts = get_json(f'{self.processes.standin}/v1/hosts')['hosts']
        while not any(
            get_json(f'{host["address"]}/audit')['quick_running']
            for host in hosts
        ):
            self.assertTrue(thread.is_alive())
        self.processes.send_signal(name, signal.SIGTERM)
        thread.join()
        self.assertEqual(len(responses), 1)
        self.assertEqual(self.processes.running[name].wait(30), 0)

    def test_status_shows_each_process_and_its_revision(self) -> None:
        """Three leaders lead, and all processes have the same revision."""
        status = json.loads(self.run_operator('status', '--json').stdout)
        leaders = [one for one in status if one['leads_epoch'] != '-']
        self.assertEqual(len(leaders), 3)
        self.assertEqual({one['revision'] for one in status}, {1})

    def test_explain_and_jobs_and_drain(self) -> None:
        """The commands print results and exit with their documented codes."""
        self.assertEqual(self.run_operator('explain', 'none').returncode, 1)
        listed = self.run_operator('jobs', 'cyberjaya-a', '--json')
        self.assertIsInstance(json.loads(listed.stdout), list)
        drained = self.run_operator('drain', 'sa-r1-w08', 'shah-alam')
        self.assertEqual(drained.stdout, 'sa-r1-w08 takes no new work.\n')
        wrong = self.run_operator('drain', 'nobody', 'shah-alam')
        self.assertEqual(wrong.returncode, 1)

    def test_history_and_diff(self) -> None:
        """The revision in force equals the folder."""
        history = json.loads(
            self.run_operator('config', 'history', '--json').stdout
        )
        self.assertEqual([one['revision'] for one in history], [1])
        diff = self.run_operator(
            'config', 'diff', str(CONFIGURATION_FOLDER), '--json'
        )
        self.assertEqual(json.loads(diff.stdout), [])


class CommandTest(unittest.TestCase):
    """Exit codes and checks without a deployment."""

    def test_versions_and_help(self) -> None:
        """Each program prints its version and its exit codes."""
        for role in ('', '-gateway', '-scheduler', '-standin', '-load'):
            program = f'curranthill{role}'
            version = run_program(program, '--version')
            self.assertEqual(version.stdout, 'curranthill 0.1.0\n')
            self.assertIn('Exit codes', run_program(program, '--help').stdout)

    def test_check_settings(self) -> None:
        """An invalid file exits with 2, and the errors name each field."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'gateway.json'
            path.write_text('{"host": {"name": "e1"}, "spare": 1}')
            wrong = run_program(
                'curranthill-gateway',
                '--settings',
                str(path),
                '--check-settings',
            )
        self.assertEqual(wrong.returncode, 2)
        for part in ('host.data_centre', 'platform', 'spare'):
            self.assertIn(part, wrong.stderr)

    def test_config_check_and_merge(self) -> None:
        """The same folder always gives the same digest."""
        checked = run_program(
            'curranthill', 'config', 'check', str(CONFIGURATION_FOLDER)
        )
        self.assertEqual(checked.returncode, 0)
        digests = {
            run_program(
                'curranthill',
                'config',
                'merge',
                str(CONFIGURATION_FOLDER),
                '--digest',
            ).stdout
            for _ in range(2)
        }
        self.assertEqual(len(digests), 1)
        missing = run_program('curranthill', 'config', 'check', 'nowhere')
        self.assertEqual(missing.returncode, 1)
