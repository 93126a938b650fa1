"""A minute of real processes that are killed and paused under load.

``python -m bench.soak`` starts two gateways and two schedulers a data centre,
kills and pauses them at random, lets the table lose replies, and checks at
the end from the workers' own records that every accepted job ended once.
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from bench.processes import ROOT, Processes, get_json, post_json

DURATION_S = 40.0
SETTLE_S = 75.0
SEED = 7
LEASES = {'member_term_s': 12, 'poll_wait_s': 3, 'reserve_term_s': 8}

#: A part of a gang may run alone for one member term, found by one poll.
BOUND_S = 12 + 3 + 2

KINDS = (
    ('spindle', 'lubrication-life-rerun', 1.0, False),
    ('spindle', 'spindle-estimate', 1.0, True),
    ('gearbox', 'fatigue-sweep', 2.0, True),
    ('contamination', 'contamination-study', 2.0, True),
)


class Accepted(NamedTuple):
    """One job that a gateway accepted."""

    job_id: str
    workspace: str
    idempotent: bool


class Soak:
    """The load, the chaos and the counts of one run."""

    def __init__(self, *, processes: Processes) -> None:
        """Start with nothing accepted."""
        self.accepted: list[Accepted] = []
        self.refused: Counter[str] = Counter()
        self.quick: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self._processes = processes
        self._random = random.Random(SEED)  # noqa: S311
        self._down: set[str] = set()

    async def run(self) -> dict[str, Any]:
        """Load and break things for a while, then settle and count."""
        async with aiohttp.ClientSession() as session:
            until_s = time.monotonic() + DURATION_S
            await asyncio.gather(
                self._submit(session, until_s),
                self._ask_quick(session, until_s),
                self._break(until_s),
            )
            self._heal()
            states = await self._settle(session)
        return self._count(states)

    async def _submit(
        self,
        session: aiohttp.ClientSession,
        until_s: float,
    ) -> None:
        number = 0
        while time.monotonic() < until_s:
            number += 1
            workspace, kind, run_s, idempotent = self._random.choice(KINDS)
            await self._accept(
                session,
                workspace,
                kind,
                {'run_s': run_s, 'number': number},
                idempotent=idempotent,
            )
            await asyncio.sleep(0.15)

    async def _accept(
        self,
        session: aiohttp.ClientSession,
        workspace: str,
        kind: str,
        body: dict[str, Any],
        *,
        idempotent: bool,
    ) -> None:
        """Ask with one key until a host says whether it accepted."""
        key = f'soak-{body["number"]}'
        for _ in range(20):
            gateway = self._random.choice(self._processes.gateways)
            try:
                async with session.post(
                    f'{gateway}/v1/workspaces/{workspace}'
                    f'/kinds/{kind}/requests',
                    json=body,
                    headers=_headers(workspace) | {'Idempotency-Key': key},
                    timeout=aiohttp.ClientTimeout(total=5),
                ) as reply:
                    answer = json.loads(await reply.read())
                    status = reply.status
            except (aiohttp.ClientError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            if status == 202:
                self.accepted.append(
                    Accepted(answer['id'], workspace, idempotent),
                )
                if body['number'] % 15 == 0:
                    await self._cancel(session, answer['id'], workspace)
                return
            self.refused[answer.get('outcome', '?')] += 1
            await asyncio.sleep(0.3)

    async def _cancel(
        self,
        session: aiohttp.ClientSession,
        job_id: str,
        workspace: str,
    ) -> None:
        gateway = self._random.choice(self._processes.gateways)
        try:
            async with session.delete(
                f'{gateway}/v1/jobs/{job_id}',
                headers=_headers(workspace),
                timeout=aiohttp.ClientTimeout(total=5),
            ) as reply:
                self.faults[f'cancel answered {reply.status}'] += 1
        except (aiohttp.ClientError, TimeoutError):
            self.faults['cancel unanswered'] += 1

    async def _ask_quick(
        self,
        session: aiohttp.ClientSession,
        until_s: float,
    ) -> None:
        while time.monotonic() < until_s:
            gateway = self._random.choice(self._processes.gateways)
            try:
                async with session.post(
                    f'{gateway}/v1/workspaces/distributors/kinds'
                    '/catalogue-lookup/requests',
                    json={'run_s': 0.01},
                    headers=_headers('distributors'),
                    timeout=aiohttp.ClientTimeout(total=6),
                ) as reply:
                    self.quick[str(reply.status)] += 1
            except (aiohttp.ClientError, TimeoutError):
                self.quick['no answer'] += 1
            await asyncio.sleep(0.05)

    async def _break(self, until_s: float) -> None:
        """Kill, pause and restart daemons; let the table lose replies."""
        standin = self._processes.standin
        post_json(f'{standin}/faults', {'lose_replies': 0.05})
        names = [
            *self._processes.names('scheduler'),
            *self._processes.names('gateway'),
        ]
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.uniform(0.8, 1.6))
            name = self._random.choice(names)
            if name in self._down:
                continue
            if self._random.randrange(2):
                self.faults['killed'] += 1
                self._processes.kill(name)
                await asyncio.sleep(self._random.uniform(0, 1))
                self._processes.restart(name)
            else:
                self.faults['paused'] += 1
                self._processes.kill(name, signal.SIGSTOP)
                pause_s = self._random.choice((0.5, 2, 7))
                self._down.add(name)
                asyncio.get_running_loop().call_later(
                    pause_s,
                    self._resume,
                    name,
                )

    def _resume(self, name: str) -> None:
        self._processes.kill(name, signal.SIGCONT)
        self._down.discard(name)

    def _heal(self) -> None:
        for name in list(self._down):
            self._resume(name)
        post_json(f'{self._processes.standin}/faults', {})

    async def _settle(
        self,
        session: aiohttp.ClientSession,
    ) -> dict[str, str]:
        """Wait until every accepted job has ended; return the states."""
        states: dict[str, str] = {}
        until_s = time.monotonic() + SETTLE_S
        ended = {'finished', 'failed', 'cancelled', 'unknown'}
        while time.monotonic() < until_s:
            for job in self.accepted:
                if states.get(job.job_id) in ended:
                    continue
                states[job.job_id] = await self._state(session, job)
            if all(state in ended for state in states.values()):
                break
            await asyncio.sleep(1)
        return states

    async def _state(
        self,
        session: aiohttp.ClientSession,
        job: Accepted,
    ) -> str:
        gateway = self._random.choice(self._processes.gateways)
        try:
            async with session.get(
                f'{gateway}/v1/jobs/{job.job_id}',
                headers=_headers(job.workspace),
                timeout=aiohttp.ClientTimeout(total=5),
            ) as reply:
                answer = json.loads(await reply.read())
        except (aiohttp.ClientError, TimeoutError):
            return 'no answer'
        return str(answer.get('state', answer.get('status')))

    def _count(self, states: dict[str, str]) -> dict[str, Any]:
        starts = self._starts()
        once = {job.job_id for job in self.accepted if not job.idempotent}
        known = {job.job_id for job in self.accepted}
        return {
            'accepted': len(known),
            'states': dict(Counter(states.values())),
            'refused': dict(self.refused),
            'quick': dict(self.quick),
            'faults': dict(self.faults),
            'non_idempotent': len(once),
            'non_idempotent_started_twice': sum(
                _attempts(starts, job_id) > 1 for job_id in once
            ),
            'members_started_twice': sum(
                len(workers) != len(set(workers))
                for workers in _workers_by_attempt(starts).values()
            ),
            'attempts': len(_workers_by_attempt(starts)),
            'longest_partial_run_s': round(_longest_partial_s(starts), 3),
            'partial_runs_past_bound': sum(
                partial_s > BOUND_S for partial_s in _partials_s(starts)
            ),
            'bound_s': BOUND_S,
        }

    def _starts(self) -> list[dict[str, Any]]:
        """Return every start by the workers' own records."""
        starts: list[dict[str, Any]] = []
        hosts = get_json(f'{self._processes.standin}/v1/hosts')['hosts']
        for host in hosts:
            audit = get_json(f'{host["address"]}/audit')
            for start in audit['starts']:
                starts.append(start | {'worker': host['host']})
        return starts


def _headers(workspace: str) -> dict[str, str]:
    return {'Authorization': f'Bearer demo-{workspace}'}


def _attempts(starts: list[dict[str, Any]], job_id: str) -> int:
    return len({one['attempt'] for one in starts if one['job'] == job_id})


def _workers_by_attempt(
    starts: list[dict[str, Any]],
) -> dict[tuple[str, int], list[str]]:
    groups: dict[tuple[str, int], list[str]] = {}
    for one in starts:
        key = (one['job'], one['attempt'])
        groups.setdefault(key, []).append(one['worker'])
    return groups


def _partials_s(starts: list[dict[str, Any]]) -> list[float]:
    """Return how long a part of each gang ran while the rest did not.

    A member that has finished counts as there until the last one ends, so
    only a member that never started, or was stopped early, makes a part.
    """
    groups: dict[tuple[str, int], list[dict[str, Any]]] = {}
    for one in starts:
        groups.setdefault((one['job'], one['attempt']), []).append(one)
    partials: list[float] = []
    for members in groups.values():
        first = min(one['started_s'] for one in members)
        last_start = max(one['started_s'] for one in members)
        ends = [one['ended_s'] or time.monotonic() for one in members]
        if len(members) == members[0]['members']:
            partials.append(max(last_start - first, max(ends) - min(ends)))
        else:
            partials.append(max(ends) - first)
    return partials


def _longest_partial_s(starts: list[dict[str, Any]]) -> float:
    return max(_partials_s(starts), default=0.0)


def main() -> None:
    """Run the soak, print and keep its counts, fail on a broken promise."""
    with tempfile.TemporaryDirectory() as temporary:
        processes = Processes(
            folder=ROOT / 'examples' / 'tenggara' / 'configuration',
            work=Path(temporary) / 'run',
            schedulers=2,
            gateways=2,
            placement={'scan_interval_s': 3, 'quick_slots': 2},
            leases=LEASES,
        )
        try:
            processes.start()
            counts = asyncio.run(Soak(processes=processes).run())
        finally:
            processes.stop()
    print(json.dumps(counts, indent=2))
    results = ROOT / 'bench' / 'results'
    results.mkdir(parents=True, exist_ok=True)
    (results / 'soak.json').write_text(json.dumps(counts, indent=2) + '\n')
    ended = sum(
        counts['states'].get(state, 0)
        for state in ('finished', 'failed', 'cancelled', 'unknown')
    )
    broken = (
        counts['non_idempotent_started_twice']
        + counts['members_started_twice']
        + counts['partial_runs_past_bound']
        + counts['accepted']
        - ended
    )
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
