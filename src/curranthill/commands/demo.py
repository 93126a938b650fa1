"""``curranthill demo``: deployments that run in this process."""

import asyncio
import json
import os
import time
from pathlib import Path
from typing import Any, Final, NamedTuple

import aiohttp

from curranthill.application import Application
from curranthill.clock import SystemClock
from curranthill.commands.standin import worker_specs
from curranthill.configuration import (
    ConfigurationDocument,
    RevisionStore,
    merge,
    read_folder,
    validate_document,
)
from curranthill.gateway.daemon import GatewayDaemon
from curranthill.load.measures import fragmentation
from curranthill.scheduler.daemon import SchedulerDaemon
from curranthill.settings import (
    KEY_VARIABLE,
    GatewaySettings,
    HostSettings,
    MembershipSettings,
    PlacementSettings,
    PlatformSettings,
    SchedulerSettings,
)
from curranthill.standin import StandinServer

_HOST: Final = '127.0.0.1'
_READY_TIMEOUT_S: Final = 20.0
_JOB_TIMEOUT_S: Final = 30.0


class DemoRow(NamedTuple):
    """The outcome of one request of the demo.

    :param data_centre: where its job ran; for a quick request, its worker.
    :param state: the state of the job, ``answered`` for a quick request, or the
        HTTP status of an error; ``wrong result`` if it is that of another job.
    :param completion_s: the time from the request to its result, in seconds.
    """

    workspace: str
    kind: str
    accelerators: int
    data_centre: str
    state: str
    completion_s: float


class DemoReport(NamedTuple):
    """The outcome of the demo of one deployment.

    :param rows: one for each request.
    :param fragmentation: the share of free slots that gangs cannot use, by
        gang size, 1 s after the requests were sent.
    """

    deployment: str
    rows: tuple[DemoRow, ...]
    fragmentation: dict[int, float]


class Deployment:
    """A deployment whose daemons and stand-ins run in this process.

    :param folder: its configuration folder.
    """

    def __init__(self, *, folder: Path) -> None:
        """Initialize from the folder, without starting anything."""
        self.name = folder.parent.name
        self.contents = read_folder(folder).contents
        self.document: ConfigurationDocument = validate_document(
            merge(self.contents)
        )
        self.standin = StandinServer(
            clock=SystemClock(),
            worker_specs=worker_specs(self.document),
        )
        self.schedulers: list[SchedulerDaemon] = []
        self.gateways: list[GatewayDaemon] = []
        self._apps: list[Application] = []

    async def start(self) -> None:
        """Start the stand-ins and all daemons, then apply the folder."""
        await self.standin.start(_HOST)
        url = f'http://{_HOST}:{self.standin.port}'
        platform = PlatformSettings(url=url)
        seeds: tuple[str, ...] = ()
        for data_centre in self.document.data_centres:
            host = HostSettings(
                name=f'{data_centre}-e1',
                data_centre=data_centre,
                region=self.document.data_centres[data_centre].region,
            )
            membership = MembershipSettings(seeds=seeds)
            scheduler = SchedulerDaemon(
                settings=SchedulerSettings(
                    host=host,
                    platform=platform,
                    membership=membership,
                    placement=PlacementSettings(quick_slots=2),
                ),
            )
            await self._start(scheduler.app)
            self.schedulers.append(scheduler)
            seeds = (*seeds, scheduler.node.address)[:3]
            gateway = GatewayDaemon(
                settings=GatewaySettings(
                    host=host,
                    platform=platform,
                    membership=MembershipSettings(seeds=seeds),
                ),
            )
            await self._start(gateway.app)
            self.gateways.append(gateway)
        await self._apply(self.gateways[0])
        await self._wait_ready()

    async def stop(self) -> None:
        """Stop all daemons, then the stand-ins."""
        for app in reversed(self._apps):
            await app.stop()
        await self.standin.stop()

    def url(self, number: int) -> str:
        """Return the callers' URL of a gateway, chosen by round-robin."""
        gateway = self.gateways[number % len(self.gateways)]
        assert gateway.server is not None  # noqa: S101
        return f'http://{_HOST}:{gateway.server.port}'

    async def _start(self, app: Application) -> None:
        await app.start()
        self._apps.append(app)

    async def _apply(self, gateway: GatewayDaemon) -> None:
        store = RevisionStore(
            platform=gateway.node.platform,
            clock=SystemClock(),
        )
        await store.apply_change(self.contents, 'demo')

    async def _wait_ready(self) -> None:
        """Wait until each data centre has a leader and the revision.

        After the timeout it returns without an error all the same.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            have_leaders = all(
                scheduler.leader and scheduler.leader.term
                for scheduler in self.schedulers
            )
            have_revision = all(
                gateway.node.configuration.revision
                and gateway.node.view.alive('scheduler')
                for gateway in self.gateways
            )
            if have_leaders and have_revision:
                return
            await asyncio.sleep(0.1)


async def run_demo(folders: list[Path]) -> list[DemoReport]:
    """Run the demo of each deployment and return the outcomes."""
    os.environ.setdefault(KEY_VARIABLE, 'demo-key')
    reports: list[DemoReport] = []
    for folder in folders:
        deployment = Deployment(folder=folder)
        await deployment.start()
        try:
            reports.append(await _run_requests(deployment))
        finally:
            await deployment.stop()
    return reports


async def _run_requests(deployment: Deployment) -> DemoReport:
    """Request each kind once for each workspace, all concurrently."""
    document = deployment.document
    requests = [
        (number, workspace, kind_name)
        for number, (workspace, kind_name) in enumerate(
            (workspace, kind_name)
            for workspace in document.workspaces
            for kind_name in document.kinds
        )
    ]
    async with aiohttp.ClientSession() as session:
        pending_rows = asyncio.gather(
            *(
                _send_request(session, deployment, number, workspace, kind_name)
                for number, workspace, kind_name in requests
            ),
        )
        await asyncio.sleep(1)
        free_slots = deployment.standin.free_by_rack()
        rows = await pending_rows
    return DemoReport(
        deployment=deployment.name,
        rows=tuple(rows),
        fragmentation=fragmentation(free_slots),
    )


async def _send_request(
    session: aiohttp.ClientSession,
    deployment: Deployment,
    number: int,
    workspace: str,
    kind_name: str,
) -> DemoRow:
    document = deployment.document
    kind = document.kinds[kind_name]
    url = deployment.url(number)
    headers = {
        'Authorization': f'Bearer demo-{workspace}',
        'Idempotency-Key': f'demo-{number}',
        'Deadline-S': '30',
    }
    run_s = 0.05 if kind.lane == 'quick' else 1.5
    started_s = time.monotonic()
    async with session.post(
        f'{url}/v1/workspaces/{workspace}/kinds/{kind_name}/requests',
        headers=headers,
        json={'run_s': run_s, 'of': kind_name},
    ) as response:
        body: dict[str, Any] = json.loads(await response.read())
        status = response.status
    state, place = str(status), ''
    if status == 202:  # noqa: WPS432
        state, place = await _wait_for_result(session, url, headers, body['id'])
    elif status == 200:  # noqa: WPS432
        state, place = 'answered', str(body['worker'])
    shape = document.shapes.get(kind.shape)
    return DemoRow(
        workspace=workspace,
        kind=kind_name,
        accelerators=shape.accelerators if shape else 1,
        data_centre=place,
        state=state,
        completion_s=time.monotonic() - started_s,
    )


async def _wait_for_result(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    job_id: str,
) -> tuple[str, str]:
    """Wait for a job and its result; return its state and data centre."""
    async with session.get(
        f'{url}/v1/jobs/{job_id}?wait_s={_JOB_TIMEOUT_S}',
        headers=headers,
    ) as response:
        job: dict[str, Any] = await response.json()
    if job.get('state') == 'finished':
        async with session.get(
            f'{url}/v1/jobs/{job_id}/result',
            headers=headers,
        ) as response:
            result: dict[str, Any] = await response.json()
        if result['job'] != job_id:
            return 'wrong result', job['data_centre']
    return str(job.get('state', job)), str(job.get('data_centre', ''))


__all__ = ('DemoReport', 'DemoRow', 'Deployment', 'run_demo')
