"""Measures the latency of the quick lane in four situations.

These are: beside long work, compared with a minimal proxy, during another
workspace's burst, and with failing workers. ``python -m bench.quick`` writes
``bench/results/quick.json``; its ratios compare two measurements of one run.
"""

import asyncio
import json
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web  # noqa: WPS458

from bench.processes import HOST, ROOT, Processes, get_json, post_json
from curranthill.load import percentile

LOOKUP_PATH = 'distributors/kinds/catalogue-lookup/requests'
REQUESTS = 600
CONNECTIONS = 8
RUN_S = 0.01

SendRequest = Callable[[int], Awaitable[bool]]


class QuickClient:
    """A caller of a deployment.

    :param processes: the processes of the deployment.
    """

    def __init__(self, *, processes: Processes) -> None:
        """Initialize the client with unlimited connections."""
        self.processes = processes
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )

    async def send_quick_request(
        self,
        gateway: str,
        path: str = LOOKUP_PATH,
        run_s: float = RUN_S,
    ) -> bool:
        """Send one quick request; return whether it succeeded."""
        workspace = path.partition('/')[0]
        async with self.session.post(
            f'{gateway}/v1/workspaces/{path}',
            json={'run_s': run_s},
            headers={'Authorization': f'Bearer demo-{workspace}'},
        ) as response:
            await response.read()
            return response.status == 200

    async def submit_long_job(
        self, workspace: str, kind: str, run_s: float
    ) -> None:
        """Submit one job to each gateway."""
        gateways = self.processes.gateways
        for gateway in gateways:
            async with self.session.post(
                f'{gateway}/v1/workspaces/{workspace}/kinds/{kind}/requests',
                json={'run_s': run_s},
                headers={'Authorization': f'Bearer demo-{workspace}'},
            ) as response:
                await response.read()


async def measure_requests(
    send: SendRequest, requests: int, connections: int
) -> dict[str, Any]:
    """Send requests over some connections; return their rate and latency."""
    times_s: list[float] = []
    successes: list[bool] = []

    async def one_connection(share: int) -> None:
        for number in range(share):
            began_s = time.perf_counter()
            successes.append(await send(number))
            times_s.append(time.perf_counter() - began_s)

    began_s = time.perf_counter()
    await asyncio.gather(
        *(one_connection(requests // connections) for _ in range(connections)),
    )
    took_s = time.perf_counter() - began_s
    return {
        'requests': len(times_s),
        'failed': successes.count(False),
        'per_s': round(len(times_s) / took_s, 1),
        'p50_ms': round(1000 * percentile(times_s, 0.5), 3),
        'p99_ms': round(1000 * percentile(times_s, 0.99), 3),
    }


async def measure_beside_long_work(client: QuickClient) -> dict[str, Any]:
    """Measure quick requests on an idle system and beside long work."""
    gateway = client.processes.gateways[0]

    async def send(number: int) -> bool:
        return await client.send_quick_request(gateway)

    await measure_requests(send, 160, CONNECTIONS)
    await asyncio.sleep(2)
    idle = await measure_requests(send, REQUESTS, CONNECTIONS)
    for _ in range(120):
        await client.submit_long_job('spindle', 'spindle-estimate', 30)
    await asyncio.sleep(4)
    free_slots = sum(
        sum(workers)
        for workers in get_json(f'{client.processes.standin}/free').values()
    )
    saturated = await measure_requests(send, REQUESTS, CONNECTIONS)
    return {
        'idle': idle,
        'saturated': saturated,
        'free_slots_then': free_slots,
        'p99_ratio': round(saturated['p99_ms'] / idle['p99_ms'], 3),
        'p50_ratio': round(saturated['p50_ms'] / idle['p50_ms'], 3),
    }


async def measure_against_proxy(client: QuickClient) -> dict[str, Any]:
    """Measure the latency that the gateway and a minimal proxy add."""
    gateway = client.processes.gateways[0]
    hosts = get_json(f'{client.processes.standin}/v1/hosts')['hosts']
    worker = f'{hosts[0]["address"]}/v1/quick/lifecalc/catalogue-lookup'
    runner, proxy_url = await start_proxy(worker)

    async def send_to_gateway(number: int) -> bool:
        return await client.send_quick_request(gateway, run_s=0)

    async def send_to_url(url: str) -> bool:
        async with client.session.post(
            url,
            json={'run_s': 0},
            headers={'Request-Id': 'bench', 'Deadline-S': '5'},
        ) as response:
            await response.read()
            return response.status == 200

    async def send_to_worker(number: int) -> bool:
        return await send_to_url(worker)

    async def send_to_proxy(number: int) -> bool:
        return await send_to_url(proxy_url)

    by_target: dict[str, list[dict[str, Any]]] = {}
    for _ in range(5):
        for name, send in (
            ('worker', send_to_worker),
            ('bare', send_to_proxy),
            ('gateway', send_to_gateway),
        ):
            by_target.setdefault(name, []).append(
                await measure_requests(send, 300, 1)
            )
    await runner.cleanup()
    medians = {
        name: percentile([one['p50_ms'] for one in measured], 0.5)
        for name, measured in by_target.items()
    }
    added_proxy = medians['bare'] - medians['worker']
    added_gateway = medians['gateway'] - medians['worker']
    return {
        'p50_ms': medians,
        'added_ms': {
            'bare': round(added_proxy, 3),
            'gateway': round(added_gateway, 3),
        },
        'added_ratio': round(added_gateway / added_proxy, 3),
    }


async def start_proxy(worker: str) -> tuple[web.AppRunner, str]:
    """Start a proxy to a worker that checks nothing; return its URL."""
    session = aiohttp.ClientSession()

    async def forward(request: web.Request) -> web.Response:
        async with session.post(
            worker,
            data=await request.read(),
            headers={'Request-Id': 'bench', 'Deadline-S': '5'},
        ) as response:
            return web.Response(
                body=await response.read(), status=response.status
            )

    async def close(app: web.Application) -> None:
        await session.close()

    app = web.Application()
    app.router.add_post('/', forward)
    app.on_cleanup.append(close)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    return runner, f'http://{HOST}:{runner.addresses[0][1]}/'


async def measure_burst_of_one(client: QuickClient) -> dict[str, Any]:
    """Measure other workspaces while one sends ten times its share."""
    gateway = client.processes.gateways[0]
    other = 'gearbox/kinds/catalogue-lookup/requests'

    async def send_other(number: int) -> bool:
        return await client.send_quick_request(gateway, other)

    async def send_burst(number: int) -> bool:
        return await client.send_quick_request(gateway)

    before = await measure_requests(send_other, 300, 2)
    burst = asyncio.create_task(measure_requests(send_burst, 4000, 20))
    await asyncio.sleep(1.5)
    during = await measure_requests(send_other, 300, 2)
    await burst
    return {
        'others_before': before,
        'others_during': during,
        'burst': burst.result(),
        'p99_ratio': round(during['p99_ms'] / before['p99_ms'], 3),
        'p50_ratio': round(during['p50_ms'] / before['p50_ms'], 3),
    }


async def measure_failing_quarter(client: QuickClient) -> dict[str, Any]:
    """Measure callers while a quarter of the used workers fail all requests."""
    gateway = client.processes.gateways[0]
    data_centre = first_data_centre(client.processes)
    hosts = get_json(f'{client.processes.standin}/v1/hosts')['hosts']
    local_hosts = [host for host in hosts if host['data_centre'] == data_centre]

    async def send(number: int) -> bool:
        return await client.send_quick_request(gateway)

    idle = _quick_runs(local_hosts)
    await measure_requests(send, 600, 24)
    before = _quick_runs(local_hosts)
    # Only workers to which the gateway sends requests now.
    used_hosts = [
        host
        for host in local_hosts
        if before[host['host']] > idle[host['host']]
    ]
    failing_hosts = used_hosts[: max(1, len(used_hosts) // 4)]
    for host in failing_hosts:
        post_json(f'{host["address"]}/faults', {'fails': True})
    callers = await measure_requests(send, 6000, 24)
    for host in failing_hosts:
        post_json(f'{host["address"]}/faults', {})
    after = _quick_runs(local_hosts)
    failing_names = {host['host'] for host in failing_hosts}
    sent = {name: after[name] - before[name] for name in after}
    return {
        'workers_used': len(used_hosts),
        'failing': len(failing_hosts),
        'callers': callers,
        'sent_to_failing': sum(sent[name] for name in failing_names),
        'sent_in_all': sum(sent.values()),
        'sent_a_request': round(sum(sent.values()) / callers['requests'], 4),
    }


def first_data_centre(processes: Processes) -> str:
    """Return the data centre of the first gateway."""
    return next(iter(processes.document.data_centres))


def _quick_runs(hosts: list[dict[str, Any]]) -> dict[str, int]:
    return {
        host['host']: sum(
            get_json(f'{host["address"]}/audit')['quick_runs'].values(),
        )
        for host in hosts
    }


async def measure_all(processes: Processes) -> dict[str, Any]:
    """Run all measurements on one deployment."""
    client = QuickClient(processes=processes)
    try:
        return {
            'against_bare': await measure_against_proxy(client),
            'burst_of_one': await measure_burst_of_one(client),
            'failing_quarter': await measure_failing_quarter(client),
            'beside_long_work': await measure_beside_long_work(client),
        }
    finally:
        await client.session.close()


def main(policy: str = 'guarantees') -> None:
    """Start the deployment, run the measurements and write the results."""
    with tempfile.TemporaryDirectory() as temporary:
        processes = Processes(
            folder=ROOT / 'examples' / 'tenggara' / 'configuration',
            work_folder=Path(temporary) / 'run',
            placement={'policy': policy, 'quick_slots': 8},
        )
        try:
            processes.start()
            time.sleep(6)
            results = asyncio.run(measure_all(processes))
        finally:
            processes.stop()
    out = ROOT / 'bench' / 'results'
    out.mkdir(parents=True, exist_ok=True)
    (out / 'quick.json').write_text(json.dumps(results, indent=2) + '\n')
    print(json.dumps(results, indent=2))


if __name__ == '__main__':
    main()
