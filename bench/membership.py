"""What membership costs at 8, 32 and 128 peers, and how fast news spreads.

``python -m bench.membership`` runs real nodes (the daemons' own views,
probers and servers) over loopback in one process and counts the bytes at the
sockets by the kernel's own account of the process. It compares random probes
with heartbeats from everybody to everybody.
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
WATCH_S = 10.0
SPREAD_S = 60.0

#: Views out of a hundred that must know.
ENOUGH = 99


class MortalService(PeerService):
    """A service that stops answering on connections that are open, too."""

    dead = False

    async def Probe(self, stream: Any) -> None:  # noqa: N802
        """Answer a probe while alive."""
        if self.dead:
            raise GRPCError(Status.UNAVAILABLE, 'dead')
        await super().Probe(stream)


class BenchNode:
    """One daemon's membership, nothing else."""

    def __init__(self, *, number: int, seeds: tuple[str, ...]) -> None:
        """Make the parts."""
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
        self.service = MortalService(
            prober=self.prober,
            content=_no_content,
        )
        self.server = InnerServer(key=KEY, handlers=[self.service])

    async def serve(self) -> str:
        """Listen; return the address."""
        await self.server.start(HOST, 0)
        address = f'{HOST}:{self.server.port}'
        self.view.own = self.view.own._replace(address=address)
        return address

    async def stop(self) -> None:
        """End as a crash does."""
        self.service.dead = True
        await self.app.stop()
        await self.server.stop()
        await self.channels.close()

    async def heartbeats(self, addresses: list[str]) -> None:
        """Send to everybody once a second, as the alternative does."""
        while True:
            await asyncio.gather(
                *(self._beat(address) for address in addresses),
            )
            await self.app.clock.sleep(self.settings.probe_interval_s)

    async def _beat(self, address: str) -> None:
        request = inner_pb2.ProbeRequest(sender=message_of(self.view.own))
        try:
            await self.channels.call(address, probe_method, request, 1)
        except PeerError:
            return


def _no_content(above_revision: int) -> inner_pb2.ConfigurationContent:
    return inner_pb2.ConfigurationContent()


def bytes_moved() -> int:
    """Return the bytes that this process has read and written."""
    text = Path(f'/proc/{os.getpid()}/io').read_text()
    fields = dict(line.split(': ') for line in text.splitlines())
    return int(fields['rchar']) + int(fields['wchar'])


async def _watch(peers: int) -> dict[str, float]:
    """Return what one node costs a second, over some seconds."""
    moved, cpu_s, begun_s = bytes_moved(), time.process_time(), time.monotonic()
    await asyncio.sleep(WATCH_S)
    took_s = time.monotonic() - begun_s
    # Each byte is written by one node and read by another.
    return {
        'bytes_per_s': round((bytes_moved() - moved) / took_s / peers, 1),
        'cpu_share': round((time.process_time() - cpu_s) / took_s / peers, 5),
    }


async def measure_probes(peers: int) -> dict[str, Any]:
    """Return the cost and the spread of random probes."""
    nodes: list[BenchNode] = []
    seeds: tuple[str, ...] = ()
    for number in range(peers):
        node = BenchNode(number=number, seeds=seeds)
        address = await node.serve()
        seeds = (*seeds, address)[:3]
        await node.prober.start()
        nodes.append(node)
    joined_s = await _until(
        lambda: all(len(node.view.alive()) == peers for node in nodes),
    )
    await asyncio.sleep(8)
    cost = await _watch(peers)
    nodes[0].view.update_own(revision=7)
    news_s = await _until(lambda: _percent_with(nodes[1:], 7) >= ENOUGH)
    victim, rest = nodes[-1], nodes[:-1]
    await victim.stop()
    name = victim.view.own.name
    death_s = await _until(lambda: _percent_dead(rest, name) >= ENOUGH)
    for node in rest:
        await node.stop()
    return {
        'peers': peers,
        **cost,
        'joined_s': joined_s,
        'news_99_s': news_s,
        'death_99_s': death_s,
    }


async def measure_heartbeats(peers: int) -> dict[str, Any]:
    """Return the cost of heartbeats from everybody to everybody."""
    nodes = [BenchNode(number=number, seeds=()) for number in range(peers)]
    addresses = [await node.serve() for node in nodes]
    for node in nodes:
        others = [one for one in addresses if one != node.view.own.address]
        node.app.spawn(node.heartbeats(others), name='heartbeats')
    await asyncio.sleep(5)
    cost = await _watch(peers)
    for node in nodes:
        await node.stop()
    return {'peers': peers, **cost}


def _percent_with(nodes: list[BenchNode], revision: int) -> int:
    """Return the percentage of views that know node 0's revision."""
    seen = [node.view.get('node-0') for node in nodes]
    know = sum(one is not None and one.revision == revision for one in seen)
    return 100 * know // len(nodes)


def _percent_dead(nodes: list[BenchNode], name: str) -> int:
    """Return the percentage of views that know of a death."""
    seen = [node.view.get(name) for node in nodes]
    know = sum(one is None or one.status == DEAD for one in seen)
    return 100 * know // len(nodes)


async def _until(check: Any) -> float:
    begun_s = time.monotonic()
    while not check():
        if time.monotonic() - begun_s > SPREAD_S:
            return float('inf')
        await asyncio.sleep(0.05)
    return round(time.monotonic() - begun_s, 2)


async def measure() -> dict[str, Any]:
    """Measure all sizes of both ways, keeping what is done so far."""
    results: dict[str, Any] = {'probes': [], 'heartbeats_to_all': []}
    for peers in HEARTBEAT_PEERS:
        results['heartbeats_to_all'].append(await measure_heartbeats(peers))
        _keep(results)
    for peers in PEERS:
        results['probes'].append(await measure_probes(peers))
        _keep(results)
    return results


def _keep(results: dict[str, Any]) -> None:
    out = ROOT / 'bench' / 'results'
    out.mkdir(parents=True, exist_ok=True)
    (out / 'membership.json').write_text(json.dumps(results, indent=2) + '\n')


def main() -> None:
    """Measure and write the results."""
    logger.remove()
    logger.add(sys.stderr, level='ERROR')
    results = uvloop.run(measure())
    print(json.dumps(results, indent=2))


if __name__ == '__main__':
    main()
