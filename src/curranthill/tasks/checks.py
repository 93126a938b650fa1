"""What a submitted job must satisfy before it is stored."""

from collections.abc import Iterator

from curranthill.tasks.records import Step

#: The longest text that a caller may hand to its tasks, in characters.
PAYLOAD_LIMIT = 4000


def faults_of(payload: str, steps: tuple[Step, ...]) -> tuple[str, ...]:
    """Return every fault of a job as a plain sentence."""
    faults = []
    if len(payload) > PAYLOAD_LIMIT:
        faults.append(f'The text is longer than {PAYLOAD_LIMIT} characters.')
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


__all__ = ('PAYLOAD_LIMIT', 'faults_of')
