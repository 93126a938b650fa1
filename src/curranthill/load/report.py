"""What a run of a workload amounts to, as numbers, text and a plot."""

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from statistics import fmean
from typing import Any

from curranthill.load.measures import GANG_SIZES, percentile
from curranthill.load.runner import LoadResult, Outcome

_DONE = frozenset(('finished', 'answered'))


def summarize(result: LoadResult, gangs: frozenset[str]) -> dict[str, Any]:
    """Return the measures of one run.

    :param gangs: the kinds that count as gangs.
    """
    done = [one for one in result.outcomes if one.state in _DONE]
    long = [one for one in done if one.lane == 'long']
    quick = [one for one in done if one.lane == 'quick']
    gang = [one for one in long if one.kind in gangs]
    states: dict[str, int] = {}
    for one in result.outcomes:
        states[one.state] = states.get(one.state, 0) + 1
    return {
        'requests': len(result.outcomes),
        'states': dict(sorted(states.items())),
        'long_multiple': _multiples(long),
        'gang_multiple': _multiples(gang),
        'quick_completion_s': _spread(one.completion_s for one in quick),
        'by_kind': _grouped(done, _kind_of),
        'by_workspace': _grouped(done, _workspace_of),
        'preemptions': sum(one.preemptions for one in result.outcomes),
        'fragmentation': {
            str(size): _mean(one.fragmentation[size] for one in result.samples)
            for size in GANG_SIZES
        },
        'fragmentation_mean': _mean(
            fmean(one.fragmentation.values()) for one in result.samples
        ),
        'free_mean': _mean(float(one.free) for one in result.samples),
        'took_s': result.took_s,
    }


def write_report(path: Path, title: str, measures: dict[str, Any]) -> None:
    """Write the measures as JSON and, beside it, as Markdown."""
    path.mkdir(parents=True, exist_ok=True)
    text = json.dumps(measures, indent=2)
    (path / 'report.json').write_text(f'{text}\n', 'utf-8')
    lines = [f'# {title}', '']
    for name, content in measures.items():
        lines.append(f'- {name}: {json.dumps(content)}')
    (path / 'report.md').write_text('\n'.join(lines) + '\n', 'utf-8')


def plot(path: Path, result: LoadResult) -> None:
    """Draw completion times and fragmentation over time; needs matplotlib."""
    # Only a report draws; daemons and tests do without the library.
    from matplotlib import pyplot  # noqa: WPS433

    pyplot.switch_backend('Agg')
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(8, 7))
    long = sorted(
        one.completion_s / one.run_s
        for one in result.outcomes
        if one.lane == 'long' and one.state in _DONE
    )
    shares = [(place + 1) / len(long) for place in range(len(long))]
    above.plot(long, shares)
    above.set_xscale('log')
    above.set_xlabel('completion time as a multiple of run time')
    above.set_ylabel('share of long work')
    for size in GANG_SIZES:
        below.plot(
            [one.at_s for one in result.samples],
            [one.fragmentation[size] for one in result.samples],
            label=str(size),
        )
    below.set_xlabel('time, s')
    below.set_ylabel('fragmentation')
    below.legend(title='gang', ncols=len(GANG_SIZES), fontsize='small')
    figure.tight_layout()
    figure.savefig(path / 'report.png')
    pyplot.close(figure)


def _multiples(outcomes: Iterable[Outcome]) -> dict[str, float]:
    return _spread(one.completion_s / one.run_s for one in outcomes)


def _spread(values: Iterable[float]) -> dict[str, float]:
    known = list(values)
    return {
        'count': len(known),
        'p50': percentile(known, 0.5),
        'p95': percentile(known, 0.95),
        'p99': percentile(known, 0.99),
    }


def _grouped(
    outcomes: Iterable[Outcome],
    name_of: Callable[[Outcome], str],
) -> dict[str, dict[str, float]]:
    groups: dict[str, list[float]] = {}
    for one in outcomes:
        groups.setdefault(name_of(one), []).append(one.completion_s)
    return {name: _spread(values) for name, values in sorted(groups.items())}


def _mean(values: Iterable[float]) -> float:
    known = list(values)
    return fmean(known) if known else 0.0


def _kind_of(outcome: Outcome) -> str:
    return outcome.kind


def _workspace_of(outcome: Outcome) -> str:
    return outcome.workspace


__all__ = ('plot', 'summarize', 'write_report')
