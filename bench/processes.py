"""Start the programs of one deployment as separate processes on loopback."""

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

#: Ports below those that the system gives out by itself.
RESERVED_PORTS = range(12_000, 32_000)
ROOT = Path(__file__).parent.parent
READY_S = 30.0
KEY = 'bench-key'


def free_port() -> int:
    """Return a port that was free a moment ago.

    No connection or server without a port of its own takes it meanwhile.
    """
    while True:
        port = random.choice(RESERVED_PORTS)  # noqa: S311
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            return port


def get_json(url: str) -> Any:
    """Return the JSON at a URL."""
    with http.urlopen(url, timeout=5) as reply:  # noqa: S310
        return json.loads(reply.read())


def post_json(url: str, document: Any) -> None:
    """Send JSON to a URL."""
    request = http.Request(  # noqa: S310
        url,
        data=json.dumps(document).encode(),
        method='POST',
    )
    with http.urlopen(request, timeout=5):  # noqa: S310
        return


class Processes:
    """The stand-in, and a gateway and schedulers for each data centre.

    :param folder: the configuration folder.
    :param work: where settings and logs are written.
    :param schedulers: schedulers for each data centre.
    :param placement: placement settings of the schedulers.
    :param cut_off: the platform's URL for data centres that cannot reach it.
    :param writes_per_s: each daemon's budget; the table takes ten times a
        daemon's default, or four times a higher one.
    """

    def __init__(
        self,
        *,
        folder: Path,
        work: Path,
        schedulers: int = 1,
        gateways: int = 1,
        placement: dict[str, Any] | None = None,
        leases: dict[str, Any] | None = None,
        writes_per_s: float = 40,
        cut_off: dict[str, str] | None = None,
    ) -> None:
        """Write nothing and start nothing yet."""
        self.work = work
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
        self._settings: dict[str, Path] = {}

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.work.mkdir(parents=True, exist_ok=True)
        port = self.standin.rpartition(':')[2]
        self._run(
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
        self._wait(lambda: get_json(f'{self.standin}/counts'))
        self._write_settings()
        self._apply()
        for name in self._settings:
            if name != 'operator':
                self.restart(name)
        self._wait(self._ready)
        self._wait(self._led)

    def restart(self, name: str) -> None:
        """Start a process, again if it was killed."""
        program = name.rpartition('/')[2].rstrip('0123456789')
        self._run(name, program, ['--settings', str(self._settings[name])])

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Signal one process by its own id."""
        self.running[name].send_signal(number)
        if number == signal.SIGKILL:
            self.running[name].wait()

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.running.values():
            process.wait()

    def names(self, role: str) -> list[str]:
        """Return the names of the processes of one role."""
        return [name for name in self._settings if f'/{role}' in name]

    def _write_settings(self) -> None:
        places = list(self.document.data_centres)
        names: list[tuple[str, str, str]] = []
        for place in places:
            for number in range(self._schedulers):
                names.append((place, 'scheduler', f'{place}/scheduler{number}'))
            for number in range(self._gateways):
                names.append((place, 'gateway', f'{place}/gateway{number}'))
        for _, _, name in names:
            self._ports[name] = free_port()
        seeds = [f'{HOST}:{self._ports[name]}' for _, _, name in names][:4]
        for place, role, name in names:
            record: dict[str, Any] = {
                'host': {
                    'name': name.replace('/', '-'),
                    'data_centre': place,
                    'region': self.document.data_centres[place].region,
                },
                'platform': {
                    'url': self._cut_off.get(place, self.standin),
                    'writes_per_s': self._writes_per_s,
                },
                'membership': {'port': self._ports[name], 'seeds': seeds},
                'logs': {'level': 'INFO', 'style': 'readable'},
            }
            if role == 'gateway':
                port = free_port()
                self.gateways.append(f'http://{HOST}:{port}')
                record['callers'] = {'port': port}
            else:
                record['placement'] = self._placement
                record['leases'] = self._leases
            self._settings[name] = self._write(name, record)
        self._settings['operator'] = self._write(
            'operator',
            {'platform': {'url': self.standin}, 'entry_hosts': seeds},
        )

    def _write(self, name: str, record: dict[str, Any]) -> Path:
        path = self.work / f'{name.replace("/", "-")}.json'
        path.write_text(json.dumps(record, indent=2))
        return path

    def _apply(self) -> None:
        subprocess.run(  # noqa: S603
            [
                str(Path(sys.executable).parent / 'curranthill'),
                'config',
                'apply',
                str(self.folder),
                '--settings',
                str(self._settings['operator']),
            ],
            check=True,
            capture_output=True,
        )

    def _run(self, name: str, program: str, options: list[str]) -> None:
        log = (self.work / f'{name.replace("/", "-")}.log').open('ab')
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

    def _ready(self) -> bool:
        """Return whether each gateway would be sent callers."""
        return all(
            get_json(f'{gateway}/ready')['ready'] for gateway in self.gateways
        )

    def _led(self) -> bool:
        """Return whether each data centre has an active scheduler."""
        status = subprocess.run(  # noqa: S603
            [
                str(Path(sys.executable).parent / 'curranthill'),
                'status',
                '--json',
                '--settings',
                str(self._settings['operator']),
            ],
            check=False,
            capture_output=True,
            env=os.environ | {'CURRANTHILL_KEY': KEY},
        )
        if status.returncode:
            return False
        led = {
            member['data_centre']
            for member in json.loads(status.stdout)
            if member['leads_epoch'] != '-'
        }
        expected = len(self.document.data_centres) - len(self._cut_off)
        return len(led) == expected

    def _wait(self, check: Any) -> None:
        until_s = time.monotonic() + READY_S
        while time.monotonic() < until_s:
            with suppress(OSError):
                if check():
                    return
            time.sleep(0.1)
        raise TimeoutError(f'{self.work}: not ready within {READY_S} s')


__all__ = ('HOST', 'ROOT', 'Processes', 'free_port', 'get_json', 'post_json')
