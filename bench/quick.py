"""The quick lane: beside long work, against a bare pass-through, in bursts.

``python -m bench.quick`` writes ``bench/results/quick.json``. Each figure is
a ratio of two parts measured in one run.
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

LOOKUP = 'distributors/kinds/catalogue-lookup/requests'
REQUESTS = 600
CONNECTIONS = 8
RUN_S = 0.01

Ask = Callable[[int], Awaitable[bool]]


class Client:
    """One caller of a deployment.

    :param processes: the deployment.
    """

    def __init__(self, *, processes: Processes) -> None:
        """Keep the deployment."""
        self.processes = processes
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )

    async def quick(
        self,
        gateway: str,
        path: str = LOOKUP,
        run_s: float = RUN_S,
    ) -> bool:
        """Make one quick request; return whether it was answered."""
        workspace = path.partition('/')[0]
        async with self.session.post(
            f'{gateway}/v1/workspaces/{path}',
            json={'run_s': run_s},
            headers={'Authorization': f'Bearer demo-{workspace}'},
        ) as reply:
            await reply.read()
            return reply.status == 200

    async def long(self, workspace: str, kind: str, run_s: float) -> None:
        """Submit one job."""
        gateways = self.processes.gateways
        for gateway in gateways:
            async with self.session.post(
                f'{gateway}/v1/workspaces/{workspace}/kinds/{kind}/requests',
                json={'run_s': run_s},
                headers={'Authorization': f'Bearer demo-{workspace}'},
            ) as reply:
                await reply.read()


async def timed(ask: Ask, requests: int, connections: int) -> dict[str, Any]:
    """Ask so often over so many connections; return the times."""
    times_s: list[float] = []
    answers: list[bool] = []

    async def one_connection(share: int) -> None:
        for number in range(share):
            begun_s = time.perf_counter()
            answers.append(await ask(number))
            times_s.append(time.perf_counter() - begun_s)

    begun_s = time.perf_counter()
    await asyncio.gather(
        *(one_connection(requests // connections) for _ in range(connections)),
    )
    took_s = time.perf_counter() - begun_s
    return {
        'requests': len(times_s),
        'failed': answers.count(False),
        'per_s': round(len(times_s) / took_s, 1),
        'p50_ms': round(1000 * percentile(times_s, 0.5), 3),
        'p99_ms': round(1000 * percentile(times_s, 0.99), 3),
    }


async def beside_long_work(client: Client) -> dict[str, Any]:
    """Quick work on an idle system, then with long work on every slot."""
    gateway = client.processes.gateways[0]

    async def ask(number: int) -> bool:
        return await client.quick(gateway)

    await timed(ask, 160, CONNECTIONS)
    await asyncio.sleep(2)
    idle = await timed(ask, REQUESTS, CONNECTIONS)
    for _ in range(120):
        await client.long('spindle', 'spindle-estimate', 30)
    await asyncio.sleep(4)
    free = sum(
        sum(workers)
        for workers in get_json(f'{client.processes.standin}/free').values()
    )
    busy = await timed(ask, REQUESTS, CONNECTIONS)
    return {
        'idle': idle,
        'saturated': busy,
        'free_slots_then': free,
        'p99_ratio': round(busy['p99_ms'] / idle['p99_ms'], 3),
        'p50_ratio': round(busy['p50_ms'] / idle['p50_ms'], 3),
    }


async def against_bare(client: Client) -> dict[str, Any]:
    """The gateway, the worker itself and a bare pass-through, in turns."""
    gateway = client.processes.gateways[0]
    hosts = get_json(f'{client.processes.standin}/v1/hosts')['hosts']
    worker = f'{hosts[0]["address"]}/v1/quick/lifecalc/catalogue-lookup'
    runner, bare = await bare_proxy(worker)

    async def ask_gateway(number: int) -> bool:
        return await client.quick(gateway, run_s=0)

    async def ask_url(url: str) -> bool:
        async with client.session.post(
            url,
            json={'run_s': 0},
            headers={'Request-Id': 'bench', 'Deadline-S': '5'},
        ) as reply:
            await reply.read()
            return reply.status == 200

    async def ask_worker(number: int) -> bool:
        return await ask_url(worker)

    async def ask_bare(number: int) -> bool:
        return await ask_url(bare)

    parts: dict[str, list[dict[str, Any]]] = {}
    for _ in range(5):
        for name, ask in (
            ('worker', ask_worker),
            ('bare', ask_bare),
            ('gateway', ask_gateway),
        ):
            parts.setdefault(name, []).append(await timed(ask, 300, 1))
    await runner.cleanup()
    medians = {
        name: percentile([one['p50_ms'] for one in measured], 0.5)
        for name, measured in parts.items()
    }
    added_bare = medians['bare'] - medians['worker']
    added_gateway = medians['gateway'] - medians['worker']
    return {
        'p50_ms': medians,
        'added_ms': {
            'bare': round(added_bare, 3),
            'gateway': round(added_gateway, 3),
        },
        'added_ratio': round(added_gateway / added_bare, 3),
    }


async def bare_proxy(worker: str) -> tuple[web.AppRunner, str]:
    """Serve a pass-through that checks nothing; return its URL."""
    session = aiohttp.ClientSession()

    async def forward(request: web.Request) -> web.Response:
        async with session.post(
            worker,
            data=await request.read(),
            headers={'Request-Id': 'bench', 'Deadline-S': '5'},
        ) as reply:
            return web.Response(body=await reply.read(), status=reply.status)

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


async def burst_of_one(client: Client) -> dict[str, Any]:
    """One workspace at ten times its share; what the others see."""
    gateway = client.processes.gateways[0]
    other = 'gearbox/kinds/catalogue-lookup/requests'

    async def ask_other(number: int) -> bool:
        return await client.quick(gateway, other)

    async def ask_burst(number: int) -> bool:
        return await client.quick(gateway)

    before = await timed(ask_other, 300, 2)
    burst = asyncio.create_task(timed(ask_burst, 4000, 20))
    await asyncio.sleep(1.5)
    during = await timed(ask_other, 300, 2)
    await burst
    return {
        'others_before': before,
        'others_during': during,
        'burst': burst.result(),
        'p99_ratio': round(during['p99_ms'] / before['p99_ms'], 3),
        'p50_ratio': round(during['p50_ms'] / before['p50_ms'], 3),
    }


async def failing_quarter(client: Client) -> dict[str, Any]:
    """A quarter of the quick workers fail everything."""
    gateway = client.processes.gateways[0]
    place = gateway_place(client.processes)
    hosts = get_json(f'{client.processes.standin}/v1/hosts')['hosts']
    own = [host for host in hosts if host['data_centre'] == place]

    async def ask(number: int) -> bool:
        return await client.quick(gateway)

    idle = _quick_runs(own)
    await timed(ask, 600, 24)
    before = _quick_runs(own)
    # Only workers that the gateway sends to now.
    used = [host for host in own if before[host['host']] > idle[host['host']]]
    failing = used[: max(1, len(used) // 4)]
    for host in failing:
        post_json(f'{host["address"]}/faults', {'fails': True})
    callers = await timed(ask, 6000, 24)
    for host in failing:
        post_json(f'{host["address"]}/faults', {})
    after = _quick_runs(own)
    names = {host['host'] for host in failing}
    sent = {name: after[name] - before[name] for name in after}
    return {
        'workers_used': len(used),
        'failing': len(failing),
        'callers': callers,
        'sent_to_failing': sum(sent[name] for name in names),
        'sent_in_all': sum(sent.values()),
        'sent_a_request': round(sum(sent.values()) / callers['requests'], 4),
    }


def gateway_place(processes: Processes) -> str:
    """Return the data centre of the first gateway."""
    return next(iter(processes.document.data_centres))


def _quick_runs(hosts: list[dict[str, Any]]) -> dict[str, int]:
    return {
        host['host']: sum(
            get_json(f'{host["address"]}/audit')['quick_runs'].values(),
        )
        for host in hosts
    }


async def measure(processes: Processes) -> dict[str, Any]:
    """Measure all parts on one deployment."""
    client = Client(processes=processes)
    try:
        return {
            'against_bare': await against_bare(client),
            'burst_of_one': await burst_of_one(client),
            'failing_quarter': await failing_quarter(client),
            'beside_long_work': await beside_long_work(client),
        }
    finally:
        await client.session.close()


def main(policy: str = 'guarantees') -> None:
    """Run the deployment, measure and write the results."""
    with tempfile.TemporaryDirectory() as temporary:
        processes = Processes(
            folder=ROOT / 'examples' / 'tenggara' / 'configuration',
            work=Path(temporary) / 'run',
            placement={'policy': policy, 'quick_slots': 8},
        )
        try:
            processes.start()
            time.sleep(6)
            results = asyncio.run(measure(processes))
        finally:
            processes.stop()
    out = ROOT / 'bench' / 'results'
    out.mkdir(parents=True, exist_ok=True)
    (out / 'quick.json').write_text(json.dumps(results, indent=2) + '\n')
    print(json.dumps(results, indent=2))


if __name__ == '__main__':
    main()
