"""Measures the cost of membership at 8, 32 and 128 peers, and its latency.

``python -m bench.membership`` runs real nodes (the daemons' own views, probers
and servers) over loopback in one process. The kernel counts the bytes that the
process transfers. Random probes are compared with heartbeats from every node to
every other, and the propagation of updates and of deaths is measured.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

import uvloop
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from bench.processes import HOST, ROOT
from curranthill.application import Application
from curranthill.errors import PeerError
from curranthill.membership import DEAD, Member, PeerService, Prober, View
from curranthill.membership.messages import message_of
from curranthill.protocol import Channels, InnerServer, inner_pb2
from curranthill.protocol.methods import probe_method
from curranthill.settings import MembershipSettings

KEY = 'bench'
PEERS = (8, 32, 128)
HEARTBEAT_PEERS = (8, 32)
MEASURE_S = 10.0
PROPAGATION_TIMEOUT_S = 60.0

#: The percentage of the views that an update must have reached.
CONVERGED_PERCENT = 99


class CrashablePeerService(PeerService):
    """A peer service that after a crash also fails on open connections."""

    crashed = False

    async def Probe(self, stream: Any) -> None:  # noqa: N802
        """Respond to a probe unless crashed."""
        if self.crashed:
            raise GRPCError(Status.UNAVAILABLE, 'dead')
        await super().Probe(stream)


class BenchNode:
    """The membership part of one daemon."""

    def __init__(self, *, number: int, seeds: tuple[str, ...]) -> None:
        """Initialize the view, the prober and the server; start none."""
        self.app = Application(name=f'node-{number}')
        own = Member(
            name=f'node-{number}',
            role='gateway',
            data_centre='dc',
            address='',
            incarnation=1,
        )
        self.view = View(own=own, clock=self.app.clock)
        self.channels = Channels(key=KEY)
        self.settings = MembershipSettings(seeds=seeds)
        self.prober = Prober(
            app=self.app,
            view=self.view,
            channels=self.channels,
            settings=self.settings,
            seed=number,
        )
        self.service = CrashablePeerService(
            prober=self.prober,
            content=_no_content,
        )
        self.server = InnerServer(key=KEY, handlers=[self.service])

    async def serve(self) -> str:
        """Listen on a free port; return the address."""
        await self.server.start(HOST, 0)
        address = f'{HOST}:{self.server.port}'
        self.view.own = self.view.own._replace(address=address)
        return address

    async def stop(self) -> None:
        """Stop abruptly, as after a crash."""
        self.service.crashed = True
        await self.app.stop()
        await self.server.stop()
        await self.channels.close()

    async def send_heartbeats(self, addresses: list[str]) -> None:
        """Send a heartbeat to each address once per probe interval."""
        while True:
            await asyncio.gather(
                *(self._send_heartbeat(address) for address in addresses),
            )
            await self.app.clock.sleep(self.settings.probe_interval_s)

    async def _send_heartbeat(self, address: str) -> None:
        request = inner_pb2.ProbeRequest(sender=message_of(self.view.own))
        try:
            await self.channels.call(address, probe_method, request, 1)
        except PeerError:
            return


def _no_content(above_revision: int) -> inner_pb2.ConfigurationContent:
    return inner_pb2.ConfigurationContent()


def transferred_bytes() -> int:
    """Return the bytes that this process has read and written."""
    text = Path(f'/proc/{os.getpid()}/io').read_text()
    fields = dict(line.split(': ') for line in text.splitlines())
    return int(fields['rchar']) + int(fields['wchar'])


async def _measure_cost(peers: int) -> dict[str, float]:
    """Measure the cost of one node per second, as a mean over some seconds."""
    transferred, cpu_s, began_s = (
        transferred_bytes(),
        time.process_time(),
        time.monotonic(),
    )
    await asyncio.sleep(MEASURE_S)
    took_s = time.monotonic() - began_s
    # Each byte counts twice: one node writes it and another reads it.
    return {
        'bytes_per_s': round(
            (transferred_bytes() - transferred) / took_s / peers, 1
        ),
        'cpu_share': round((time.process_time() - cpu_s) / took_s / peers, 5),
    }


async def measure_probes(peers: int) -> dict[str, Any]:
    """Measure the cost and the propagation of random probes."""
    nodes: list[BenchNode] = []
    seeds: tuple[str, ...] = ()
    for number in range(peers):
        node = BenchNode(number=number, seeds=seeds)
        address = await node.serve()
        seeds = (*seeds, address)[:3]
        await node.prober.start()
        nodes.append(node)
    joined_s = await _seconds_until(
        lambda: all(len(node.view.alive()) == peers for node in nodes),
    )
    await asyncio.sleep(8)
    cost = await _measure_cost(peers)
    nodes[0].view.update_own(revision=7)
    update_s = await _seconds_until(
        lambda: _percent_with_revision(nodes[1:], 7) >= CONVERGED_PERCENT
    )
    crashed_node, other_nodes = nodes[-1], nodes[:-1]
    await crashed_node.stop()
    name = crashed_node.view.own.name
    death_s = await _seconds_until(
        lambda: _percent_dead(other_nodes, name) >= CONVERGED_PERCENT
    )
    for node in other_nodes:
        await node.stop()
    return {
        'peers': peers,
        **cost,
        'joined_s': joined_s,
        'news_99_s': update_s,
        'death_99_s': death_s,
    }


async def measure_heartbeats(peers: int) -> dict[str, Any]:
    """Measure the cost of heartbeats from every node to every other."""
    nodes = [BenchNode(number=number, seeds=()) for number in range(peers)]
    addresses = [await node.serve() for node in nodes]
    for node in nodes:
        other_addresses = [
            one for one in addresses if one != node.view.own.address
        ]
        node.app.spawn(node.send_heartbeats(other_addresses), name='heartbeats')
    await asyncio.sleep(5)
    cost = await _measure_cost(peers)
    for node in nodes:
        await node.stop()
    return {'peers': peers, **cost}


def _percent_with_revision(nodes: list[BenchNode], revision: int) -> int:
    """Return the percentage of views that contain node 0's revision."""
    members = [node.view.get('node-0') for node in nodes]
    informed = sum(
        one is not None and one.revision == revision for one in members
    )
    return 100 * informed // len(nodes)


def _percent_dead(nodes: list[BenchNode], name: str) -> int:
    """Return the percentage of views in which a node is dead or removed."""
    members = [node.view.get(name) for node in nodes]
    informed = sum(one is None or one.status == DEAD for one in members)
    return 100 * informed // len(nodes)


async def _seconds_until(condition: Any) -> float:
    began_s = time.monotonic()
    while not condition():
        if time.monotonic() - began_s > PROPAGATION_TIMEOUT_S:
            return float('inf')
        await asyncio.sleep(0.05)
    return round(time.monotonic() - began_s, 2)


async def measure() -> dict[str, Any]:
    """Measure both schemes at all sizes; write each result at once."""
    results: dict[str, Any] = {'probes': [], 'heartbeats_to_all': []}
    for peers in HEARTBEAT_PEERS:
        results['heartbeats_to_all'].append(await measure_heartbeats(peers))
        _write_results(results)
    for peers in PEERS:
        results['probes'].append(await measure_probes(peers))
        _write_results(results)
    return results


def _write_results(results: dict[str, Any]) -> None:
    out = ROOT / 'bench' / 'results'
    out.mkdir(parents=True, exist_ok=True)
    (out / 'membership.json').write_text(json.dumps(results, indent=2) + '\n')


def main() -> None:
    """Run the measurements and print the results."""
    logger.remove()
    logger.add(sys.stderr, level='ERROR')
    results = uvloop.run(measure())
    print(json.dumps(results, indent=2))


if __name__ == '__main__':
    main()
