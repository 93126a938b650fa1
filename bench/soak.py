"""A soak test of real gateways and schedulers, killed and paused under load.

``python -m bench.soak`` starts two gateways and two schedulers in each data
centre, kills and pauses them at random for DURATION_S, and makes the table lose
responses. Then it checks, partly from the workers' own records, that every
accepted job has ended, that none was started more often than it may be, and
that no part of a gang ran without the rest for too long.
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
COMPLETION_TIMEOUT_S = 75.0
SEED = 7
LEASES = {'member_term_s': 12, 'poll_wait_s': 3, 'reserve_term_s': 8}

#: The longest time that a part of a gang may run without the rest, in seconds:
#: one member term, a poll that detects it, and a margin.
PARTIAL_RUN_BOUND_S = 12 + 3 + 2

JOB_KINDS = (
    ('spindle', 'lubrication-life-rerun', 1.0, False),
    ('spindle', 'spindle-estimate', 1.0, True),
    ('gearbox', 'fatigue-sweep', 2.0, True),
    ('contamination', 'contamination-study', 2.0, True),
)


class Accepted(NamedTuple):
    """A job that a gateway accepted."""

    job_id: str
    workspace: str
    idempotent: bool


class Soak:
    """The load, the faults and the counts of one run.

    :param accepted: all accepted jobs.
    :param refused: the number of refusals by their outcome.
    :param quick: the number of quick requests by their status.
    :param faults: the number of injected faults and cancellations by kind.
    """

    def __init__(self, *, processes: Processes) -> None:
        """Initialize without accepted jobs."""
        self.accepted: list[Accepted] = []
        self.refused: Counter[str] = Counter()
        self.quick: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self._processes = processes
        self._rng = random.Random(SEED)  # noqa: S311
        self._paused: set[str] = set()

    async def run(self) -> dict[str, Any]:
        """Run load and faults, wait for the ends of jobs; return the counts."""
        async with aiohttp.ClientSession() as session:
            deadline_s = time.monotonic() + DURATION_S
            await asyncio.gather(
                self._submit_jobs(session, deadline_s),
                self._send_quick_requests(session, deadline_s),
                self._inject_faults(deadline_s),
            )
            self._end_faults()
            states = await self._await_ends(session)
        return self._summarize(states)

    async def _submit_jobs(
        self,
        session: aiohttp.ClientSession,
        deadline_s: float,
    ) -> None:
        number = 0
        while time.monotonic() < deadline_s:
            number += 1
            workspace, kind, run_s, idempotent = self._rng.choice(JOB_KINDS)
            await self._submit_job(
                session,
                workspace,
                kind,
                {'run_s': run_s, 'number': number},
                idempotent=idempotent,
            )
            await asyncio.sleep(0.15)

    async def _submit_job(
        self,
        session: aiohttp.ClientSession,
        workspace: str,
        kind: str,
        body: dict[str, Any],
        *,
        idempotent: bool,
    ) -> None:
        """Submit a job under one idempotency key until a gateway accepts it."""
        key = f'soak-{body["number"]}'
        for _ in range(20):
            gateway = self._rng.choice(self._processes.gateways)
            try:
                async with session.post(
                    f'{gateway}/v1/workspaces/{workspace}'
                    f'/kinds/{kind}/requests',
                    json=body,
                    headers=_headers(workspace) | {'Idempotency-Key': key},
                    timeout=aiohttp.ClientTimeout(total=5),
                ) as response:
                    document = json.loads(await response.read())
                    status = response.status
            except (aiohttp.ClientError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            if status == 202:
                self.accepted.append(
                    Accepted(document['id'], workspace, idempotent),
                )
                if body['number'] % 15 == 0:
                    await self._cancel(session, document['id'], workspace)
                return
            self.refused[document.get('outcome', '?')] += 1
            await asyncio.sleep(0.3)

    async def _cancel(
        self,
        session: aiohttp.ClientSession,
        job_id: str,
        workspace: str,
    ) -> None:
        gateway = self._rng.choice(self._processes.gateways)
        try:
            async with session.delete(
                f'{gateway}/v1/jobs/{job_id}',
                headers=_headers(workspace),
                timeout=aiohttp.ClientTimeout(total=5),
            ) as response:
                self.faults[f'cancel answered {response.status}'] += 1
        except (aiohttp.ClientError, TimeoutError):
            self.faults['cancel unanswered'] += 1

    async def _send_quick_requests(
        self,
        session: aiohttp.ClientSession,
        deadline_s: float,
    ) -> None:
        while time.monotonic() < deadline_s:
            gateway = self._rng.choice(self._processes.gateways)
            try:
                async with session.post(
                    f'{gateway}/v1/workspaces/distributors/kinds'
                    '/catalogue-lookup/requests',
                    json={'run_s': 0.01},
                    headers=_headers('distributors'),
                    timeout=aiohttp.ClientTimeout(total=6),
                ) as response:
                    self.quick[str(response.status)] += 1
            except (aiohttp.ClientError, TimeoutError):
                self.quick['no answer'] += 1
            await asyncio.sleep(0.05)

    async def _inject_faults(self, deadline_s: float) -> None:
        """Kill, pause and restart daemons; make the table lose responses."""
        standin = self._processes.standin
        post_json(f'{standin}/faults', {'lose_replies': 0.05})
        names = [
            *self._processes.process_names('scheduler'),
            *self._processes.process_names('gateway'),
        ]
        while time.monotonic() < deadline_s:
            await asyncio.sleep(self._rng.uniform(0.8, 1.6))
            name = self._rng.choice(names)
            if name in self._paused:
                continue
            if self._rng.randrange(2):
                self.faults['killed'] += 1
                self._processes.send_signal(name)
                await asyncio.sleep(self._rng.uniform(0, 1))
                self._processes.restart(name)
            else:
                self.faults['paused'] += 1
                self._processes.send_signal(name, signal.SIGSTOP)
                pause_s = self._rng.choice((0.5, 2, 7))
                self._paused.add(name)
                asyncio.get_running_loop().call_later(
                    pause_s,
                    self._resume,
                    name,
                )

    def _resume(self, name: str) -> None:
        self._processes.send_signal(name, signal.SIGCONT)
        self._paused.discard(name)

    def _end_faults(self) -> None:
        for name in list(self._paused):
            self._resume(name)
        post_json(f'{self._processes.standin}/faults', {})

    async def _await_ends(
        self,
        session: aiohttp.ClientSession,
    ) -> dict[str, str]:
        """Wait until every accepted job has ended; return the states."""
        states: dict[str, str] = {}
        deadline_s = time.monotonic() + COMPLETION_TIMEOUT_S
        ended = {'finished', 'failed', 'cancelled', 'unknown'}
        while time.monotonic() < deadline_s:
            for job in self.accepted:
                if states.get(job.job_id) in ended:
                    continue
                states[job.job_id] = await self._job_state(session, job)
            if all(state in ended for state in states.values()):
                break
            await asyncio.sleep(1)
        return states

    async def _job_state(
        self,
        session: aiohttp.ClientSession,
        job: Accepted,
    ) -> str:
        gateway = self._rng.choice(self._processes.gateways)
        try:
            async with session.get(
                f'{gateway}/v1/jobs/{job.job_id}',
                headers=_headers(job.workspace),
                timeout=aiohttp.ClientTimeout(total=5),
            ) as response:
                document = json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError):
            return 'no answer'
        return str(document.get('state', document.get('status')))

    def _summarize(self, states: dict[str, str]) -> dict[str, Any]:
        starts = self._all_starts()
        non_idempotent = {
            job.job_id for job in self.accepted if not job.idempotent
        }
        accepted_ids = {job.job_id for job in self.accepted}
        return {
            'accepted': len(accepted_ids),
            'states': dict(Counter(states.values())),
            'refused': dict(self.refused),
            'quick': dict(self.quick),
            'faults': dict(self.faults),
            'non_idempotent': len(non_idempotent),
            'non_idempotent_started_twice': sum(
                _attempts(starts, job_id) > 1 for job_id in non_idempotent
            ),
            'members_started_twice': sum(
                len(workers) != len(set(workers))
                for workers in _workers_by_attempt(starts).values()
            ),
            'attempts': len(_workers_by_attempt(starts)),
            'longest_partial_run_s': round(_longest_partial_run_s(starts), 3),
            'partial_runs_past_bound': sum(
                duration_s > PARTIAL_RUN_BOUND_S
                for duration_s in _partial_runs_s(starts)
            ),
            'bound_s': PARTIAL_RUN_BOUND_S,
        }

    def _all_starts(self) -> list[dict[str, Any]]:
        """Return all starts from the workers' own records."""
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


def _partial_runs_s(starts: list[dict[str, Any]]) -> list[float]:
    """Return how long a part of each gang ran without the rest, in seconds.

    If all members of a gang started, this is the time between the first and the
    last start or that between the first and the last end, whichever is longer;
    otherwise it is the time from the first start to the last end. A member that
    has finished counts as running until the last one ends, so only a member
    that never started or was stopped early leaves a part of its gang alone.
    """
    groups: dict[tuple[str, int], list[dict[str, Any]]] = {}
    for one in starts:
        groups.setdefault((one['job'], one['attempt']), []).append(one)
    durations_s: list[float] = []
    for members in groups.values():
        first_start_s = min(one['started_s'] for one in members)
        last_start_s = max(one['started_s'] for one in members)
        ends_s = [one['ended_s'] or time.monotonic() for one in members]
        if len(members) == members[0]['members']:
            durations_s.append(
                max(last_start_s - first_start_s, max(ends_s) - min(ends_s))
            )
        else:
            durations_s.append(max(ends_s) - first_start_s)
    return durations_s


def _longest_partial_run_s(starts: list[dict[str, Any]]) -> float:
    return max(_partial_runs_s(starts), default=0.0)


def main() -> None:
    """Run the soak, print and write its counts; exit with 1 on a violation."""
    with tempfile.TemporaryDirectory() as temporary:
        processes = Processes(
            folder=ROOT / 'examples' / 'tenggara' / 'configuration',
            work_folder=Path(temporary) / 'run',
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
    violations = (
        counts['non_idempotent_started_twice']
        + counts['members_started_twice']
        + counts['partial_runs_past_bound']
        + counts['accepted']
        - ended
    )
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    main()
