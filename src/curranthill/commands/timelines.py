"""Reconstructs the timelines of jobs from the saved logs of all hosts."""

import math
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

from curranthill.placement import MAX_LATE_FACTOR
from curranthill.registry import Registry
from curranthill.tasks import Resources

#: An event: a JSON object of one log line.
LogLine = dict[str, Any]

#: What a job's time was spent on, besides the causes for which runs were lost.
WAITING: Final = 'waiting'
NOT_READY: Final = 'not ready'
USEFUL: Final = 'useful'

#: Ends of a run, as its ``run_ended`` event reports them.
_DONE: Final = 'done'
_STOPPED: Final = 'stopped'

#: The cause of a stop without an event: another member of the gang ended.
_STOPPED_WITH_GANG: Final = 'with its gang'


class RunSpan(NamedTuple):
    """A run of a task and the time that it took.

    :param started_at_s: when the task was placed, in wall-clock time.
    :param ended_at_s: when the run ended, in wall-clock time.
    :param cause: how it ended, or why it was stopped; ``useful`` if done.
    :param weight_cores: the capacity that it used, in cores; an accelerator
        counts as several.
    """

    task: str
    worker: str
    started_at_s: float
    ended_at_s: float
    cause: str
    weight_cores: float

    @property
    def core_s(self) -> float:
        """Return the capacity that the run used, in core-seconds."""
        return self.weight_cores * (self.ended_at_s - self.started_at_s)


class JobTimeline:
    """A job from its acceptance to its end.

    :ivar accepted_at_s: when the request arrived, in wall-clock time.
    :ivar objective_s: the time within which it should end, in seconds after
        ``accepted_at_s``.
    :ivar estimate_s: the largest of its steps' estimates.
    :ivar ended_at_s: when its state became final; None until then.
    :ivar open_runs: the worker and the start of each task that runs.
    :ivar stop_reasons: the kind of the event that stopped each task.
    :ivar not_ready_spans: when it was not ready, in order, without overlap.
    :ivar stop_times_s: when runs of it were preempted, in wall-clock time; the
        runs that are preempted at the same time count once.
    :ivar stops_beyond_guarantee: how many of these stops were for a job that no
        guarantee covered.
    """

    def __init__(self, *, line: LogLine) -> None:
        """Initialize the timeline from the job's ``accepted`` event."""
        self.job_id: str = line['job']
        self.queue: str = line['queue']
        self.priority = str(line.get('priority', ''))
        self.workspace: str = line['workspace'] or '-'
        self.data_centre: str = line['data_centre']
        self.acceptance_s = float(line['took_s'])
        self.accepted_at_s = float(line['t_s']) - self.acceptance_s
        self.objective_s = float(line['objective_s'])
        steps = line['steps']
        self.step_weights_cores = [
            Resources(*step['needs']).weight_cores for step in steps
        ]
        self.task_count = sum(step['width'] for step in steps)
        self.estimate_s = max(step.get('estimate_s', 0.0) for step in steps)
        self.state = ''
        self.ended_at_s: float | None = None
        self.runs: list[RunSpan] = []
        self.open_runs: dict[str, tuple[str, float]] = {}
        self.stop_reasons: dict[str, str] = {}
        self.not_ready_spans: list[tuple[float, float]] = []
        self.stop_times_s: list[float] = []
        self.stops_beyond_guarantee = 0
        self._stop_numbers: set[int] = set()

    @property
    def late_s(self) -> float:
        """Return by how much it missed its objective; negative if it met it.

        It is infinite for a job that has not ended.
        """
        if self.ended_at_s is None:
            return float('inf')
        return self.ended_at_s - self.accepted_at_s - self.objective_s

    @property
    def earned_nothing(self) -> bool:
        """Return whether it ended too late to be of use to its caller."""
        if not self.objective_s:
            return False
        return self.late_s > (MAX_LATE_FACTOR - 1) * self.objective_s

    @property
    def longest_wait_after_stop_s(self) -> float:
        """Return the longest time from a preemption to its next start.

        Up to the end of the job if nothing of it started after the preemption.
        """
        starts_s = sorted(run.started_at_s for run in self.runs)
        last_s = self.ended_at_s or math.inf
        return max(
            (
                next((one for one in starts_s if one > at_s), last_s) - at_s
                for at_s in self.stop_times_s
            ),
            default=0.0,
        )

    def record_stop(
        self, number: int, at_s: float, *, beyond_guarantee: bool
    ) -> None:
        """Record the preemption of a run, once for all of one round.

        :param number: the number of the job's preemption, the same for all runs
            of a round.
        """
        if number in self._stop_numbers:
            return
        self._stop_numbers.add(number)
        self.stop_times_s.append(at_s)
        self.stops_beyond_guarantee += beyond_guarantee

    def start_run(self, task: str, worker: str, at_s: float) -> None:
        """Record the start of a run."""
        self.open_runs[task] = (worker, at_s)

    def end_run(self, task: str, at_s: float, cause: str) -> None:
        """Record the end of a task's newest run."""
        open_run = self.open_runs.pop(task, None)
        if open_run is None:
            return
        worker, started_at_s = open_run
        reason = self.stop_reasons.pop(task, '')
        if cause == _STOPPED:
            cause = reason or _STOPPED_WITH_GANG
        step = int(task.split('.')[-2])
        self.runs.append(
            RunSpan(
                task=task,
                worker=worker,
                started_at_s=started_at_s,
                ended_at_s=at_s,
                cause=USEFUL if cause == _DONE else cause,
                weight_cores=self.step_weights_cores[step],
            ),
        )

    def add_not_ready_span(self, start_s: float, end_s: float) -> None:
        """Record a time in which the job was not ready.

        It is logged repeatedly while it lasts, always from its start, so a
        span that overlaps the newest one is merged with it.

        :param start_s: its start, in wall-clock time.
        :param end_s: until when it is known to last, in wall-clock time.
        """
        if self.not_ready_spans and start_s <= self.not_ready_spans[-1][1]:
            start_s = min(start_s, self.not_ready_spans.pop()[0])
        self.not_ready_spans.append((start_s, end_s))

    def seconds_by_cause(self) -> dict[str, float]:
        """Return the time from acceptance to the end by cause, in seconds.

        Time in which a run was active counts as useful if such a run ended as
        done, else as the cause for which the first such run was lost. Other
        time counts as not ready if it was logged so, else as waiting.
        """
        ended_at_s = (
            self.accepted_at_s if self.ended_at_s is None else self.ended_at_s
        )
        boundaries = {self.accepted_at_s, ended_at_s}
        run_spans = [(run.started_at_s, run.ended_at_s) for run in self.runs]
        for span in (*run_spans, *self.not_ready_spans):
            boundaries.update(
                time_s
                for time_s in span
                if self.accepted_at_s < time_s < ended_at_s
            )
        seconds: dict[str, float] = {}
        times_s = sorted(boundaries)
        for start_s, end_s in zip(times_s, times_s[1:], strict=False):
            cause = self._cause_at((start_s + end_s) / 2)
            seconds[cause] = seconds.get(cause, 0.0) + end_s - start_s
        return seconds

    def _cause_at(self, at_s: float) -> str:
        causes = [
            run.cause
            for run in self.runs
            if run.started_at_s <= at_s < run.ended_at_s
        ]
        if USEFUL in causes:
            return USEFUL
        if causes:
            return causes[0]
        not_ready = any(
            start_s <= at_s < end_s for start_s, end_s in self.not_ready_spans
        )
        return NOT_READY if not_ready else WAITING


class Timelines:
    """The timelines of all jobs in some logs, by job id.

    :ivar malformed_lines: the number of events that lack a field or have one
        of a wrong type.
    :ivar dropped_lines: the number of lines that the hosts report to have
        dropped instead of writing them.
    """

    def __init__(self) -> None:
        """Initialize without jobs."""
        self.jobs: dict[str, JobTimeline] = {}
        self.malformed_lines = 0
        self.dropped_lines = 0

    def add_lines(self, lines: Iterable[LogLine]) -> None:
        """Add the events of lines, which are in chronological order."""
        for line in lines:
            self.dropped_lines += int(line.get('lines_left_out', 0))
            try:
                self._add_line(line)
            except (LookupError, ValueError, TypeError):
                self.malformed_lines += 1

    def finished(self) -> Iterator[JobTimeline]:
        """Yield the jobs that completed or failed, but not cancelled ones."""
        for job in self.jobs.values():
            if job.ended_at_s is not None and job.state != 'cancelled':
                yield job

    def _add_line(self, line: LogLine) -> None:
        kind = line['event']
        if kind == 'accepted':
            self.jobs.setdefault(line['job'], JobTimeline(line=line))
        elif kind in set(event_handlers):
            job_id = line.get('job') or line['task'].split('.')[0]
            job = self.jobs.get(job_id)
            if job is not None:
                event_handlers.get(kind)(job, line)


#: Functions that apply an event to its job's timeline, by the event's kind.
event_handlers: Registry[Any] = Registry(concern='event')


@event_handlers.register('placed')
def _handle_placement(job: JobTimeline, line: LogLine) -> None:
    occurrence = line.get('occurrence', 0)
    for assignment in line['tasks']:
        rank, worker = assignment.split('@')
        task = f'{job.job_id}.{occurrence}.{line["step"]}.{rank}'
        job.start_run(task, worker, line['t_s'])


@event_handlers.register('not_ready')
def _handle_not_ready(job: JobTimeline, line: LogLine) -> None:
    job.add_not_ready_span(line['t_s'] - line['held_s'], line['t_s'])


@event_handlers.register('run_ended')
def _handle_run_end(job: JobTimeline, line: LogLine) -> None:
    job.end_run(line['task'], line['t_s'], line['how'])


@event_handlers.register('run_vanished')
def _handle_absent_run(job: JobTimeline, line: LogLine) -> None:
    job.end_run(line['task'], line['t_s'], line['reason'])


@event_handlers.register('preempted')
def _handle_preemption(job: JobTimeline, line: LogLine) -> None:
    job.record_stop(
        line['stops'],
        line['t_s'],
        beyond_guarantee=bool(line.get('beyond_guarantee')),
    )
    _handle_stop(job, line)


@event_handlers.register('moved_stalled')
@event_handlers.register('moved_slow')
@event_handlers.register('moved_away')
def _handle_stop(job: JobTimeline, line: LogLine) -> None:
    job.stop_reasons[line['task']] = line['event']


@event_handlers.register('job_completed')
def _handle_completion(job: JobTimeline, line: LogLine) -> None:
    job.state = 'completed'
    job.ended_at_s = line['t_s']
    # The end of a gang is logged for only one of its members.
    for task in list(job.open_runs):
        job.end_run(task, line['t_s'], _DONE)


@event_handlers.register('job_ended')
def _handle_job_end(job: JobTimeline, line: LogLine) -> None:
    job.state = line['state']
    job.ended_at_s = line['t_s']


__all__ = (
    'NOT_READY',
    'USEFUL',
    'WAITING',
    'JobTimeline',
    'RunSpan',
    'Timelines',
)
