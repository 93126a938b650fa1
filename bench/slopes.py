"""Computes the slopes that docs/CAPACITY.md uses: ``make slopes``.

Measures decisions, membership and real daemons at three sizes each, fits a
line to each figure and writes ``bench/results/slopes.json``. With
``--fit-only`` it fits the stored results without new measurements.
"""

import json
import sys
from collections.abc import Callable, Sequence
from statistics import linear_regression
from typing import Any, NamedTuple

from bench import decisions, membership, scale
from bench.processes import ROOT

RESULTS = ROOT / 'bench' / 'results'

#: The target size of one data centre: a seventh of all workers and tasks.
TARGET_WORKERS = 1200 / 7
TARGET_TASKS = 7200 / 7


class LinearFit(NamedTuple):
    """A line fitted to measured points, and the largest distance from it."""

    per_unit: float
    at_zero: float
    worst_error: float
    points: list[tuple[float, float]]

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.at_zero + self.per_unit * size


def fit_line(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line by least squares."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = linear_regression(sizes, values)
    max_error = max(
        abs(intercept + slope * size - value) for size, value in points
    )
    return LinearFit(slope, intercept, max_error, list(points))


def daemon_reader(
    role: str, field: str, *, active: bool
) -> Callable[[Any], float]:
    """Return a function that reads one figure of a daemon under load."""

    def read(result: Any) -> float:
        costs = [
            cost
            for name, cost in result['loaded'].items()
            if f'/{role}' in name
        ]
        # The active scheduler uses more processor time than the standby.
        ordered = sorted(costs, key=lambda cost: cost['cpu_share'])
        return float(ordered[-1 if active else 0][field])

    return read


def fit_all() -> dict[str, dict[str, Any]]:
    """Fit all figures that the capacity page uses."""
    scales = json.loads((RESULTS / 'scale.json').read_text())
    figures: dict[str, tuple[str, Callable[[Any], float]]] = {}
    for field in ('resident_mb', 'cpu_share', 'bytes_per_s'):
        figures[f'active scheduler {field}'] = (
            'workers',
            daemon_reader('scheduler', field, active=True),
        )
        figures[f'standby scheduler {field}'] = (
            'workers',
            daemon_reader('scheduler', field, active=False),
        )
        figures[f'gateway {field}'] = (
            'workers',
            daemon_reader('gateway', field, active=True),
        )
    figures['takeover recover_s'] = ('tasks', _takeover_reader('recover_s'))
    figures['takeover table_reads'] = ('tasks', _takeover_reader('table_reads'))
    results: dict[str, dict[str, Any]] = {}
    for name, (unit, read) in figures.items():
        line = fit_line([(one[unit], read(one)) for one in scales])
        target = TARGET_WORKERS if unit == 'workers' else TARGET_TASKS
        results[name] = _result_row(line, unit, target)
    probes = json.loads((RESULTS / 'membership.json').read_text())['probes']
    for field in ('bytes_per_s', 'cpu_share', 'death_99_s', 'news_99_s'):
        line = fit_line([(one['peers'], one[field]) for one in probes])
        results[f'membership {field}'] = _result_row(line, 'peers', 112)
    return results


def _takeover_reader(field: str) -> Callable[[Any], float]:
    def read(result: Any) -> float:
        return float(result['takeover'][field])

    return read


def _result_row(line: LinearFit, unit: str, target: float) -> dict[str, Any]:
    return {
        'unit': unit,
        'per_unit': round(line.per_unit, 6),
        'at_zero': round(line.at_zero, 4),
        'worst_error': round(line.worst_error, 4),
        'target_size': round(target, 1),
        'at_target': round(line.value_at(target), 4),
        'points': line.points,
    }


def main() -> None:
    """Measure unless only a fit is wanted; fit, print and write the results."""
    if '--fit-only' not in sys.argv:
        decisions.main()
        membership.main()
        scale.main()
    results = fit_all()
    (RESULTS / 'slopes.json').write_text(json.dumps(results, indent=2) + '\n')
    for name, row in results.items():
        print(
            f'{name}: {row["at_target"]} at {row["target_size"]}'
            f' {row["unit"]}; {row["per_unit"]} a unit,'
            f' worst error {row["worst_error"]}',
        )


if __name__ == '__main__':
    main()
