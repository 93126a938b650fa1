"""Reads stored jobs, which other writers may have put into the table."""

from collections.abc import Iterator
from itertools import chain

from curranthill.storage.rows import MalformedRecordError, StoredRow
from curranthill.tasks.progress import JobProgress, decode
from curranthill.tasks.ranges import are_bounds
from curranthill.tasks.records import JobSpec, TaskKey
from curranthill.tasks.validation import schedule_errors, validation_errors


def decode_job(row: StoredRow) -> JobSpec:
    """Return the job in a row of accepted jobs.

    :raises MalformedRecordError: if the content is no valid job, or not the
        one that the key names.
    """
    spec = decode(row.content, JobSpec)
    problems = validation_errors(spec.payload, spec.steps, times=spec.times)
    if spec.job_id != row.key:
        problems = (f'It is the job {spec.job_id}.', *problems)
    problems = problems or schedule_errors(spec)
    if problems:
        raise MalformedRecordError(
            f'The stored job is invalid: {" ".join(problems)}',
            step='decode',
            peer=row.key,
        )
    return spec


def check_progress(spec: JobSpec, progress: JobProgress) -> None:
    """Check that the progress of a job names only steps and tasks that it has.

    :raises MalformedRecordError: if it names another one.
    """
    problems = chain(
        _task_errors(spec, progress), _range_errors(spec, progress)
    )
    problem = next(problems, '')
    if problem:
        raise MalformedRecordError(
            f'The stored progress has {problem}.',
            step='decode',
            peer=spec.job_id,
        )


def _task_errors(spec: JobSpec, progress: JobProgress) -> Iterator[str]:
    for name in (*progress.tasks, *progress.unconfirmed_losses):
        if not _is_task(spec, name):
            yield f'the task {name!r}'
    for step_name in progress.done_steps:
        if not _is_task(spec, f'{step_name}.0'):
            yield f'the step {step_name!r}'


def _range_errors(spec: JobSpec, progress: JobProgress) -> Iterator[str]:
    for number, bounds in progress.done_ranges.items():
        is_step = 0 <= number < len(spec.steps)
        if not is_step or not are_bounds(bounds, spec.occurrences):
            yield f'the done ranges of step {number}'


def _is_task(spec: JobSpec, name: str) -> bool:
    try:
        key = TaskKey.parse(f'{spec.job_id}.{name}')
    except ValueError:
        return False
    return (
        0 <= key.occurrence < spec.occurrences
        and 0 <= key.step < len(spec.steps)
        and 0 <= key.rank < spec.steps[key.step].width
    )


__all__ = ('check_progress', 'decode_job')
