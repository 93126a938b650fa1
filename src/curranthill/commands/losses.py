"""``curranthill losses``: jobs' time and lost work, from saved logs."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated

import typer

from curranthill.commands.options import EXIT_FAILURE, fail
from curranthill.commands.tables import print_table
from curranthill.commands.timelines import USEFUL, JobTimeline, Timelines
from curranthill.commands.trace import LogPaths, read_events
from curranthill.registry import Registry

#: Functions that return the group of a job, by the name of the grouping.
groupings: Registry[Callable[[JobTimeline], str]] = Registry(
    concern='grouping',
)


@groupings.register('queue')
def _queue_of(job: JobTimeline) -> str:
    return f'{job.priority} {job.queue}'.strip()


@groupings.register('workspace')
def _workspace_of(job: JobTimeline) -> str:
    return job.workspace


@groupings.register('data-centre')
def _data_centre_of(job: JobTimeline) -> str:
    return job.data_centre


@groupings.register('job')
def _job_id_of(job: JobTimeline) -> str:
    return job.job_id


def losses(
    logs: LogPaths,
    *,
    by: Annotated[
        str,
        typer.Option(help=f'Group jobs by: {", ".join(groupings)}.'),
    ] = 'queue',
    as_json: Annotated[
        bool,
        typer.Option('--json', help='Print JSON.'),
    ] = False,
) -> None:
    """Show on what jobs spent their time, and how much work was lost."""
    timelines = read_timelines(logs)
    if not timelines.jobs:
        fail('These logs contain no accepted job.', EXIT_FAILURE)
    groups: dict[str, list[JobTimeline]] = defaultdict(list)
    grouping = groupings.get(by)
    for job in timelines.finished():
        groups[grouping(job)].append(job)
    causes = _causes(timelines.finished())
    print_table(
        (
            by,
            'jobs',
            'late',
            'no credit',
            'mean late s',
            *causes,
            'lost core-s',
            'stops',
            'stops beyond guarantee',
            'most stops of a job',
            'longest wait after a stop s',
        ),
        [_row(name, groups[name], causes) for name in sorted(groups)],
        as_json=as_json,
    )
    unfinished = len(timelines.jobs) - sum(map(len, groups.values()))
    typer.echo(
        f'{unfinished} jobs cancelled or unfinished; '
        f'{timelines.malformed_lines} malformed lines, '
        f'{timelines.dropped_lines} lines dropped by their hosts',
        err=True,
    )


def read_timelines(logs: Iterable[Path]) -> Timelines:
    """Return the timelines of all jobs in saved logs."""
    timelines = Timelines()
    lines = list(read_events(logs, ''))
    timelines.add_lines(sorted(lines, key=lambda line: line['t_s']))
    return timelines


def _causes(jobs: Iterable[JobTimeline]) -> list[str]:
    """Return what time was spent on, the cause with the most time first."""
    totals: dict[str, float] = defaultdict(float)
    for job in jobs:
        for cause, spent_s in job.seconds_by_cause().items():
            totals[cause] += spent_s
    return sorted(totals, key=lambda cause: -totals[cause])


def _row(
    name: str,
    jobs: list[JobTimeline],
    causes: list[str],
) -> list[str | int | float]:
    """Return the table row of a group of jobs.

    The time by cause is averaged over all jobs of the group and the lateness
    over the late ones; the lost work is summed.
    """
    seconds: dict[str, float] = defaultdict(float)
    for job in jobs:
        for cause, spent_s in job.seconds_by_cause().items():
            seconds[cause] += spent_s
    late = [job.late_s for job in jobs if job.late_s > 0]
    lost_core_s = sum(
        run.core_s for job in jobs for run in job.runs if run.cause != USEFUL
    )
    mean_late_s = sum(late) / len(late) if late else 0.0
    means_s = [seconds[cause] / len(jobs) for cause in causes]
    return [
        name,
        len(jobs),
        len(late),
        sum(job.earned_nothing for job in jobs),
        mean_late_s,
        *means_s,
        round(lost_core_s),
        sum(len(job.stop_times_s) for job in jobs),
        sum(job.stops_beyond_guarantee for job in jobs),
        max(len(job.stop_times_s) for job in jobs),
        max(job.longest_wait_after_stop_s for job in jobs),
    ]


__all__ = ('groupings', 'losses', 'read_timelines')
