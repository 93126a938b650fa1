"""The results of a load test as measures, a report and a plot."""

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from statistics import fmean
from typing import Any

from curranthill.load.measures import GANG_SIZES, percentile
from curranthill.load.runner import LoadResult, Outcome

_SUCCEEDED = frozenset(('finished', 'answered'))


def summarize(result: LoadResult, gang_kinds: frozenset[str]) -> dict[str, Any]:
    """Return the measures of one run of a workload.

    :param gang_kinds: the kinds that count as gangs.
    """
    succeeded = [
        outcome for outcome in result.outcomes if outcome.state in _SUCCEEDED
    ]
    long = [outcome for outcome in succeeded if outcome.lane == 'long']
    quick = [outcome for outcome in succeeded if outcome.lane == 'quick']
    gang = [outcome for outcome in long if outcome.kind in gang_kinds]
    states: dict[str, int] = {}
    for outcome in result.outcomes:
        states[outcome.state] = states.get(outcome.state, 0) + 1
    return {
        'requests': len(result.outcomes),
        'states': dict(sorted(states.items())),
        'long_multiple': _multiples(long),
        'gang_multiple': _multiples(gang),
        'quick_completion_s': _percentiles(
            outcome.completion_s for outcome in quick
        ),
        'by_kind': _completion_by(succeeded, _kind_of),
        'by_workspace': _completion_by(succeeded, _workspace_of),
        'preemptions': sum(outcome.preemptions for outcome in result.outcomes),
        'fragmentation': {
            str(size): _mean(
                sample.fragmentation[size] for sample in result.samples
            )
            for size in GANG_SIZES
        },
        'fragmentation_mean': _mean(
            fmean(sample.fragmentation.values()) for sample in result.samples
        ),
        'free_mean': _mean(float(sample.free) for sample in result.samples),
        'took_s': result.took_s,
    }


def write_report(path: Path, title: str, measures: dict[str, Any]) -> None:
    """Write the measures to a folder, as JSON and as Markdown."""
    path.mkdir(parents=True, exist_ok=True)
    text = json.dumps(measures, indent=2)
    (path / 'report.json').write_text(f'{text}\n', 'utf-8')
    lines = [f'# {title}', '']
    for name, content in measures.items():
        lines.append(f'- {name}: {json.dumps(content)}')
    (path / 'report.md').write_text('\n'.join(lines) + '\n', 'utf-8')


def plot(path: Path, result: LoadResult) -> None:
    """Draw completion times and fragmentation over time; needs matplotlib."""
    # Imported here, as the daemons and tests run without matplotlib.
    from matplotlib import pyplot  # noqa: WPS433

    pyplot.switch_backend('Agg')
    figure, (completion_axes, fragmentation_axes) = pyplot.subplots(
        2, 1, figsize=(8, 7)
    )
    long = sorted(
        outcome.completion_s / outcome.run_s
        for outcome in result.outcomes
        if outcome.lane == 'long' and outcome.state in _SUCCEEDED
    )
    shares = [(rank + 1) / len(long) for rank in range(len(long))]
    completion_axes.plot(long, shares)
    completion_axes.set_xscale('log')
    completion_axes.set_xlabel('completion time as a multiple of run time')
    completion_axes.set_ylabel('share of long work')
    for size in GANG_SIZES:
        fragmentation_axes.plot(
            [sample.at_s for sample in result.samples],
            [sample.fragmentation[size] for sample in result.samples],
            label=str(size),
        )
    fragmentation_axes.set_xlabel('time, s')
    fragmentation_axes.set_ylabel('fragmentation')
    fragmentation_axes.legend(
        title='gang', ncols=len(GANG_SIZES), fontsize='small'
    )
    figure.tight_layout()
    figure.savefig(path / 'report.png')
    pyplot.close(figure)


def _multiples(outcomes: Iterable[Outcome]) -> dict[str, float]:
    return _percentiles(
        outcome.completion_s / outcome.run_s for outcome in outcomes
    )


def _percentiles(values: Iterable[float]) -> dict[str, float]:
    numbers = list(values)
    return {
        'count': len(numbers),
        'p50': percentile(numbers, 0.5),
        'p95': percentile(numbers, 0.95),
        'p99': percentile(numbers, 0.99),
    }


def _completion_by(
    outcomes: Iterable[Outcome],
    name_of: Callable[[Outcome], str],
) -> dict[str, dict[str, float]]:
    groups: dict[str, list[float]] = {}
    for outcome in outcomes:
        groups.setdefault(name_of(outcome), []).append(outcome.completion_s)
    return {
        name: _percentiles(values) for name, values in sorted(groups.items())
    }


def _mean(values: Iterable[float]) -> float:
    numbers = list(values)
    return fmean(numbers) if numbers else 0.0


def _kind_of(outcome: Outcome) -> str:
    return outcome.kind


def _workspace_of(outcome: Outcome) -> str:
    return outcome.workspace


__all__ = ('plot', 'summarize', 'write_report')
