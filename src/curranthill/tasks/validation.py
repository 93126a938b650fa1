"""Validates a submitted job before it is stored."""

import math
from collections.abc import Iterator
from itertools import chain, islice
from typing import Final

from curranthill.tasks import tables
from curranthill.tasks.records import JobSpec, Step

#: The maximum length of the text that a job passes to its tasks, in characters.
MAX_PAYLOAD_CHARS = 4000

#: The maximum number of tasks in one occurrence of a job. It bounds no row, as
#: progress may be spread over several.
MAX_TASKS = 3000

#: The maximum number of steps of a job: with short labels and the longest text
#: they fit into the 64 KB of a row, and larger jobs are refused.
MAX_STEPS = 400

#: The largest number of occurrences and amount of a resource: that of 64 bits.
MAX_TIMES: Final = (1 << 63) - 1
MAX_AMOUNT: Final = (1 << 63) - 1

#: The most errors of steps that are reported.
MAX_STEP_ERRORS = 10


def validation_errors(
    payload: str,
    steps: tuple[Step, ...],
    *,
    times: int,
) -> tuple[str, ...]:
    """Return the validation errors of a job, each as a sentence.

    Of its steps only the first errors are returned.

    :param payload: the text that the job passes to its tasks.
    :param times: the number of occurrences; 0 for a job that is not periodic.
    """
    errors = []
    if sum(step.width for step in steps) > MAX_TASKS:
        errors.append(f'The job has more than {MAX_TASKS} tasks.')
    if len(steps) > MAX_STEPS:
        errors.append(f'The job has more than {MAX_STEPS} steps.')
    if times < 0:
        errors.append('The job runs a negative number of times.')
    if len(payload) > MAX_PAYLOAD_CHARS:
        errors.append(
            f'The text is longer than {MAX_PAYLOAD_CHARS} characters.'
        )
    if not steps:
        errors.append('The job has no steps.')
    step_errors = chain.from_iterable(
        _step_errors(number, step) for number, step in enumerate(steps)
    )
    return (*errors, *islice(step_errors, MAX_STEP_ERRORS))


def schedule_errors(spec: JobSpec) -> tuple[str, ...]:
    """Return the errors of a job's times and durations, each as a sentence.

    All times that are computed from them have to be finite numbers.
    """
    errors = []
    if spec.times > MAX_TIMES:
        errors.append(f'The job runs more than {MAX_TIMES} times.')
    elif not _is_finite(spec):
        errors.append('Its times or its estimates are too large.')
    return tuple(errors)


def interval_error(interval_s: float) -> str:
    """Return why an interval is invalid, as a sentence; empty if it is not.

    Earlier releases accepted negative ones, so they may be stored.
    """
    return '' if interval_s >= 0 else 'The interval is negative.'


def job_id_error(job_id: str) -> str:
    """Return why a text can't be a job's id, as a sentence; empty if it can.

    It is part of the keys of rows, and cancellations have keys of their own.
    """
    if not job_id.isprintable():
        return 'The id has control characters.'
    if job_id.endswith(tables.CANCEL_SUFFIX):
        return f'The id ends with {tables.CANCEL_SUFFIX}.'
    return ''


def _is_finite(spec: JobSpec) -> bool:
    last_due_s = spec.due_s(spec.occurrences - 1)
    return all(
        math.isfinite(time_s)
        for time_s in (
            spec.accepted_at_s,
            last_due_s,
            spec.objective_s,
            spec.objective_s + last_due_s,
            sum(step.width * step.estimate_s for step in spec.steps),
        )
    )


def _step_errors(number: int, step: Step) -> Iterator[str]:
    if step.width < 1:
        yield f'Step {number} has no tasks.'
    if min(step.needs) < 0:
        yield f'Step {number} requests a negative amount of a resource.'
    if max(step.needs) > MAX_AMOUNT:
        yield f'Step {number} requests more than {MAX_AMOUNT} of a resource.'
    if len(step.after) > number:
        yield f'Step {number} requires more steps than there are before it.'
        return
    for earlier in step.after:
        if not 0 <= earlier < number:
            yield f'Step {number} requires step {earlier}, not an earlier one.'


__all__ = (
    'MAX_PAYLOAD_CHARS',
    'MAX_STEPS',
    'MAX_TASKS',
    'interval_error',
    'job_id_error',
    'schedule_errors',
    'validation_errors',
)
