"""Records the decisions of rounds over random full clusters.

After a change of policy, ``python -m bench.record_rounds`` writes
``tests/data/recorded_rounds.json`` again; the commit says which plans differ
and why.
"""

import hashlib
import json
from typing import Any, Final

from bench.full_cluster import draw_cluster, plan_round
from bench.processes import ROOT
from curranthill.placement import Plan

RECORDED_ROUNDS: Final = ROOT / 'tests' / 'data' / 'recorded_rounds.json'


def plan_digest(plan: Plan) -> str:
    """Return a digest of a plan's starts and stops, in their order."""
    starts = [
        [
            one.job.spec.job_id,
            one.ready.number,
            [[key.rank, worker] for key, worker in one.workers],
        ]
        for one in plan.placements
    ]
    stops = [[str(run.key), run.worker_id] for run in plan.victims]
    content = json.dumps([starts, stops], separators=(',', ':'))
    return hashlib.sha256(content.encode()).hexdigest()


def read_recorded_rounds() -> list[dict[str, Any]]:
    """Return the recorded rounds."""
    rounds: list[dict[str, Any]] = json.loads(
        RECORDED_ROUNDS.read_text('utf-8')
    )
    return rounds


def main() -> None:
    """Plan each recorded round again and record its current decisions."""
    lines = []
    for one in read_recorded_rounds():
        parameters = {
            name: one[name] for name in ('workers', 'waiting', 'seed')
        }
        plan = plan_round(draw_cluster(**parameters))
        line = {
            **parameters,
            'placed_steps': len(plan.placements),
            'victims': len(plan.victims),
            'sha256': plan_digest(plan),
        }
        print(line, 'as before' if line == one else 'differs')
        lines.append(json.dumps(line))
    rows = ',\n  '.join(lines)
    RECORDED_ROUNDS.write_text(f'[\n  {rows}\n]\n', 'utf-8')


if __name__ == '__main__':
    main()
