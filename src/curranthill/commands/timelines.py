"""Jobs' lives as the saved log lines of all hosts tell them."""

from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

from curranthill.registry import Registry
from curranthill.tasks import Resources

Line = dict[str, Any]

#: How the time of a job without a useful run is told.
WAITING: Final = 'waiting'
NOT_READY: Final = 'not ready'
USEFUL: Final = 'useful'

#: How a run ended that was not stopped, by the name that its line gives.
_DONE: Final = 'done'
_STOPPED: Final = 'stopped'

#: A stop for which no line gives a reason: another member of the gang ended.
_WITH_ITS_GANG: Final = 'with its gang'


class RunSpan(NamedTuple):
    """One run of one task.

    :param cause: how it ended, or why it was stopped; ``useful`` if done.
    :param weight_cores: its room in cores, accelerators counted as several.
    """

    task: str
    worker: str
    began_s: float
    ended_s: float
    cause: str
    weight_cores: float

    @property
    def core_s(self) -> float:
        """Return what the run took, in core-seconds."""
        return self.weight_cores * (self.ended_s - self.began_s)


class JobTimeline:
    """One job from its acceptance to its end.

    :param objective_s: the time from acceptance that it should take.
    :param estimate_s: the estimate of its longest step.
    :param ended_s: when its state became final, or nothing.
    """

    def __init__(self, *, line: Line) -> None:
        """Begin with the line that tells of its acceptance."""
        self.job_id: str = line['job']
        self.queue: str = line['queue']
        self.priority = str(line.get('priority', ''))
        self.workspace: str = line['workspace'] or '-'
        self.data_centre: str = line['data_centre']
        self.accept_s = float(line['took_s'])
        self.accepted_s = float(line['t_s']) - self.accept_s
        self.objective_s = float(line['objective_s'])
        steps = line['steps']
        self.weights_cores = [
            Resources(*step['needs']).weight_cores for step in steps
        ]
        self.tasks = sum(step['width'] for step in steps)
        self.estimate_s = max(step.get('estimate_s', 0.0) for step in steps)
        self.state = ''
        self.ended_s: float | None = None
        self.runs: list[RunSpan] = []
        self.open: dict[str, tuple[str, float]] = {}
        self.stopped_for: dict[str, str] = {}
        self.held: list[tuple[float, float]] = []

    @property
    def late_s(self) -> float:
        """Return by how much it missed its objective; negative if it met it."""
        if self.ended_s is None:
            return float('inf')
        return self.ended_s - self.accepted_s - self.objective_s

    def begin(self, task: str, worker: str, at_s: float) -> None:
        """Note the start of a run."""
        self.open[task] = (worker, at_s)

    def end(self, task: str, at_s: float, cause: str) -> None:
        """Note the end of a task's newest run."""
        opened = self.open.pop(task, None)
        if opened is None:
            return
        worker, began_s = opened
        reason = self.stopped_for.pop(task, '')
        if cause == _STOPPED:
            cause = reason or _WITH_ITS_GANG
        step = int(task.split('.')[-2])
        self.runs.append(
            RunSpan(
                task=task,
                worker=worker,
                began_s=began_s,
                ended_s=at_s,
                cause=USEFUL if cause == _DONE else cause,
                weight_cores=self.weights_cores[step],
            ),
        )

    def hold(self, began_s: float, until_s: float) -> None:
        """Note that it was not ready for a time; later lines tell more of it.

        :param began_s: a line that tells the same time again has the same.
        """
        if self.held and began_s <= self.held[-1][1]:
            began_s = min(began_s, self.held.pop()[0])
        self.held.append((began_s, until_s))

    def seconds_by_cause(self) -> dict[str, float]:
        """Return where the time from acceptance to the end went, in seconds.

        A moment counts as useful while a run is under way that ends done;
        else as the cause for which the runs under way were thrown away; else
        as not ready, if a line tells so, or as waiting.
        """
        ended_s = self.accepted_s if self.ended_s is None else self.ended_s
        edges = {self.accepted_s, ended_s}
        spans = [(run.began_s, run.ended_s) for run in self.runs]
        for span in (*spans, *self.held):
            edges.update(
                edge for edge in span if self.accepted_s < edge < ended_s
            )
        spent: dict[str, float] = {}
        moments = sorted(edges)
        for began_s, until_s in zip(moments, moments[1:], strict=False):
            cause = self._cause_at((began_s + until_s) / 2)
            spent[cause] = spent.get(cause, 0.0) + until_s - began_s
        return spent

    def _cause_at(self, at_s: float) -> str:
        causes = [
            run.cause for run in self.runs if run.began_s <= at_s < run.ended_s
        ]
        if USEFUL in causes:
            return USEFUL
        if causes:
            return causes[0]
        held = any(began_s <= at_s < until_s for began_s, until_s in self.held)
        return NOT_READY if held else WAITING


class Timelines:
    """All jobs of some logs.

    :param unread: lines that are cut off or lack a field.
    :param left_out: lines that the hosts say they did not write.
    """

    def __init__(self) -> None:
        """Start without a line."""
        self.jobs: dict[str, JobTimeline] = {}
        self.unread = 0
        self.left_out = 0

    def read(self, lines: Iterable[Line]) -> None:
        """Take in lines in the order of their times."""
        for line in lines:
            self.left_out += int(line.get('lines_left_out', 0))
            try:
                self._read_one(line)
            except (LookupError, ValueError, TypeError):
                self.unread += 1

    def finished(self) -> Iterator[JobTimeline]:
        """Yield jobs that ran to their end, cancelled ones left out."""
        for job in self.jobs.values():
            if job.ended_s is not None and job.state != 'cancelled':
                yield job

    def _read_one(self, line: Line) -> None:
        kind = line['event']
        if kind == 'accepted':
            self.jobs.setdefault(line['job'], JobTimeline(line=line))
        elif kind in set(readers):
            job_id = line.get('job') or line['task'].split('.')[0]
            job = self.jobs.get(job_id)
            if job is not None:
                readers.get(kind)(job, line)


#: What a line of a kind tells of its job.
readers: Registry[Any] = Registry(concern='event')


@readers.register('placed')
def _placed(job: JobTimeline, line: Line) -> None:
    occurrence = line.get('occurrence', 0)
    for placed in line['tasks']:
        rank, worker = placed.split('@')
        task = f'{job.job_id}.{occurrence}.{line["step"]}.{rank}'
        job.begin(task, worker, line['t_s'])


@readers.register('not_ready')
def _not_ready(job: JobTimeline, line: Line) -> None:
    job.hold(line['t_s'] - line['held_s'], line['t_s'])


@readers.register('run_ended')
def _run_ended(job: JobTimeline, line: Line) -> None:
    job.end(line['task'], line['t_s'], line['how'])


@readers.register('run_vanished')
def _run_vanished(job: JobTimeline, line: Line) -> None:
    job.end(line['task'], line['t_s'], line['reason'])


@readers.register('preempted')
@readers.register('moved_stalled')
@readers.register('moved_slow')
@readers.register('moved_away')
def _stopped(job: JobTimeline, line: Line) -> None:
    job.stopped_for[line['task']] = line['event']


@readers.register('job_completed')
def _completed(job: JobTimeline, line: Line) -> None:
    job.state = 'completed'
    job.ended_s = line['t_s']
    # A gang's end is listed by one of its members for all.
    for task in list(job.open):
        job.end(task, line['t_s'], _DONE)


@readers.register('job_ended')
def _ended(job: JobTimeline, line: Line) -> None:
    job.state = line['state']
    job.ended_s = line['t_s']


__all__ = (
    'NOT_READY',
    'USEFUL',
    'WAITING',
    'JobTimeline',
    'RunSpan',
    'Timelines',
)
