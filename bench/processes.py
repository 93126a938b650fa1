"""Runs the programs of a deployment as separate processes on loopback."""

import json
import os
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib import request as http

from curranthill.configuration import merge, read_folder, validate_document

HOST = '127.0.0.1'

#: Ports below the range from which the kernel assigns ephemeral ports.
PORT_RANGE = range(12_000, 32_000)
ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 30.0
KEY = 'bench-key'


def free_port() -> int:
    """Return a port that is free now.

    The kernel assigns it to no connection or server that asks for any port.
    """
    while True:
        port = random.choice(PORT_RANGE)  # noqa: S311
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            return port


def get_json(url: str) -> Any:
    """Return the JSON at a URL."""
    with http.urlopen(url, timeout=5) as response:  # noqa: S310
        return json.loads(response.read())


def post_json(url: str, document: Any, *, token: str = '') -> None:
    """Send JSON to a URL, with a workspace's token if one is given."""
    request = http.Request(  # noqa: S310
        url,
        data=json.dumps(document).encode(),
        method='POST',
        headers={'Authorization': f'Bearer {token}'} if token else {},
    )
    with http.urlopen(request, timeout=5):  # noqa: S310
        return


class Processes:
    """The stand-in, and gateways and schedulers in each data centre.

    :param folder: the configuration folder.
    :param work_folder: where settings and logs are written.
    :param schedulers: how many schedulers each data centre has.
    :param gateways: how many gateways each data centre has.
    :param placement: placement settings of the schedulers.
    :param leases: lease settings of the schedulers.
    :param writes_per_s: each daemon's limit of writes; the table accepts ten
        times the default, or four times this limit if that is more.
    :param cut_off: the data centres that are cut off from the platform, each
        with a URL that does not respond and that they use instead.
    """

    def __init__(
        self,
        *,
        folder: Path,
        work_folder: Path,
        schedulers: int = 1,
        gateways: int = 1,
        placement: dict[str, Any] | None = None,
        leases: dict[str, Any] | None = None,
        writes_per_s: float = 40,
        cut_off: dict[str, str] | None = None,
    ) -> None:
        """Initialize without writing files or starting processes."""
        self.work_folder = work_folder
        self.folder = folder
        self.document = validate_document(merge(read_folder(folder).contents))
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.gateways: list[str] = []
        self.standin = f'http://{HOST}:{free_port()}'
        self._schedulers = schedulers
        self._gateways = gateways
        self._placement = placement or {}
        self._leases = leases or {}
        self._writes_per_s = writes_per_s
        self._cut_off = cut_off or {}
        self._ports: dict[str, int] = {}
        self._settings_paths: dict[str, Path] = {}

    def start(self) -> None:
        """Start all processes and wait until they are ready."""
        self.work_folder.mkdir(parents=True, exist_ok=True)
        port = self.standin.rpartition(':')[2]
        self._start_process(
            'standin',
            'standin',
            [
                str(self.folder),
                '--port',
                port,
                '--writes-per-s',
                str(max(400, 4 * self._writes_per_s)),
            ],
        )
        self._wait_until(lambda: get_json(f'{self.standin}/counts'))
        self._write_settings()
        self._apply_configuration()
        for name in self._settings_paths:
            if name != 'operator':
                self.restart(name)
        self._wait_until(self._are_gateways_ready)
        self._wait_until(self._every_data_centre_has_leader)

    def restart(self, name: str) -> None:
        """Start a process by its name, for the first time or after its end."""
        program = name.rpartition('/')[2].rstrip('0123456789')
        self._start_process(
            name, program, ['--settings', str(self._settings_paths[name])]
        )

    def send_signal(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to one process; wait for its end after SIGKILL."""
        self.running[name].send_signal(number)
        if number == signal.SIGKILL:
            self.running[name].wait()

    def stop(self) -> None:
        """Kill all processes that were started, including paused ones."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.running.values():
            process.wait()

    def process_names(self, role: str) -> list[str]:
        """Return the names of the processes of one role."""
        return [name for name in self._settings_paths if f'/{role}' in name]

    def _write_settings(self) -> None:
        data_centres = list(self.document.data_centres)
        processes: list[tuple[str, str, str]] = []
        for data_centre in data_centres:
            for number in range(self._schedulers):
                processes.append(
                    (
                        data_centre,
                        'scheduler',
                        f'{data_centre}/scheduler{number}',
                    )
                )
            for number in range(self._gateways):
                processes.append(
                    (data_centre, 'gateway', f'{data_centre}/gateway{number}')
                )
        for _, _, name in processes:
            self._ports[name] = free_port()
        seeds = [f'{HOST}:{self._ports[name]}' for _, _, name in processes][:4]
        for data_centre, role, name in processes:
            settings: dict[str, Any] = {
                'host': {
                    'name': name.replace('/', '-'),
                    'data_centre': data_centre,
                    'region': self.document.data_centres[data_centre].region,
                },
                'platform': {
                    'url': self._cut_off.get(data_centre, self.standin),
                    'writes_per_s': self._writes_per_s,
                },
                'membership': {'port': self._ports[name], 'seeds': seeds},
                'logs': {'level': 'INFO', 'style': 'readable'},
            }
            if role == 'gateway':
                port = free_port()
                self.gateways.append(f'http://{HOST}:{port}')
                settings['callers'] = {'port': port}
            else:
                settings['placement'] = self._placement
                settings['leases'] = self._leases
            self._settings_paths[name] = self._write_settings_file(
                name, settings
            )
        self._settings_paths['operator'] = self._write_settings_file(
            'operator',
            {'platform': {'url': self.standin}, 'entry_hosts': seeds},
        )

    def _write_settings_file(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.work_folder / f'{name.replace("/", "-")}.json'
        path.write_text(json.dumps(settings, indent=2))
        return path

    def _apply_configuration(self) -> None:
        subprocess.run(  # noqa: S603
            [
                str(Path(sys.executable).parent / 'curranthill'),
                'config',
                'apply',
                str(self.folder),
                '--settings',
                str(self._settings_paths['operator']),
            ],
            check=True,
            capture_output=True,
        )

    def _start_process(
        self, name: str, program: str, options: list[str]
    ) -> None:
        log = (self.work_folder / f'{name.replace("/", "-")}.log').open('ab')
        self.running[name] = subprocess.Popen(  # noqa: S603
            [
                str(Path(sys.executable).parent / f'curranthill-{program}'),
                *options,
            ],
            stdout=log,
            stderr=log,
            env=os.environ | {'CURRANTHILL_KEY': KEY},
        )
        log.close()

    def _are_gateways_ready(self) -> bool:
        """Return whether all gateways report that they are ready."""
        return all(
            get_json(f'{gateway}/ready')['ready'] for gateway in self.gateways
        )

    def _every_data_centre_has_leader(self) -> bool:
        """Return whether each connected data centre has an active scheduler."""
        status = subprocess.run(  # noqa: S603
            [
                str(Path(sys.executable).parent / 'curranthill'),
                'status',
                '--json',
                '--settings',
                str(self._settings_paths['operator']),
            ],
            check=False,
            capture_output=True,
            env=os.environ | {'CURRANTHILL_KEY': KEY},
        )
        if status.returncode:
            return False
        led_data_centres = {
            member['data_centre']
            for member in json.loads(status.stdout)
            if member['leads_epoch'] != '-'
        }
        expected = len(self.document.data_centres) - len(self._cut_off)
        return len(led_data_centres) == expected

    def _wait_until(self, check: Any) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with suppress(OSError):
                if check():
                    return
            time.sleep(0.1)
        raise TimeoutError(
            f'{self.work_folder}: not ready within {START_TIMEOUT_S} s'
        )


__all__ = ('HOST', 'ROOT', 'Processes', 'free_port', 'get_json', 'post_json')
