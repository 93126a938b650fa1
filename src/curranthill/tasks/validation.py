"""What a submitted job must satisfy before it is stored."""

from collections.abc import Iterator

from curranthill.tasks.records import Step

#: The longest text that a caller may hand to its tasks, in characters.
MAX_PAYLOAD_CHARS = 4000

#: The most tasks that a job may have at a time: with a checkpoint each, their
#: progress fits the 64 KB of a row (tested with random checkpoints).
MAX_TASKS = 3000

#: The most steps of a job: with the longest text they fit the 64 KB of a row.
MAX_STEPS = 400


def validation_errors(
    payload: str,
    steps: tuple[Step, ...],
    *,
    times: int,
) -> tuple[str, ...]:
    """Return every fault of a job as a plain sentence.

    :param times: how often the steps run; 0 for a plain job.
    """
    faults = []
    if sum(step.width for step in steps) > MAX_TASKS:
        faults.append(f'The job has more than {MAX_TASKS} tasks.')
    if len(steps) > MAX_STEPS:
        faults.append(f'The job has more than {MAX_STEPS} steps.')
    if times < 0:
        faults.append('The job runs a negative number of times.')
    if len(payload) > MAX_PAYLOAD_CHARS:
        faults.append(
            f'The text is longer than {MAX_PAYLOAD_CHARS} characters.'
        )
    if not steps:
        faults.append('The job has no steps.')
    for number, step in enumerate(steps):
        faults.extend(_step_faults(number, step))
    return tuple(faults)


def _step_faults(number: int, step: Step) -> Iterator[str]:
    if step.width < 1:
        yield f'Step {number} has no tasks.'
    if min(step.needs) < 0:
        yield f'Step {number} asks for a negative amount.'
    for earlier in step.after:
        if not 0 <= earlier < number:
            yield f'Step {number} waits for step {earlier}, no earlier step.'


__all__ = ('MAX_PAYLOAD_CHARS', 'MAX_STEPS', 'MAX_TASKS', 'validation_errors')
