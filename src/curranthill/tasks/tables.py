"""The names of the tables and keys under which state is kept."""

from typing import Final

#: Jobs as accepted, and refusals; written once by the accepting host.
INTAKE: Final = 'intake'

#: The progress of jobs; inserted at acceptance, then written by the leader.
PROGRESS: Final = 'progress'

#: The leader's row, and the queue lengths that the leader counts.
LEADER: Final = 'leader'

LEADER_KEY: Final = 'leader'
PENDING_KEY: Final = 'pending'

#: Behind a job's id: its caller cancelled it.
CANCEL_SUFFIX: Final = '/cancel'


def cancel_key(job_id: str) -> str:
    """Return the key of a job's cancellation."""
    return f'{job_id}{CANCEL_SUFFIX}'


__all__ = (
    'CANCEL_SUFFIX',
    'INTAKE',
    'LEADER',
    'LEADER_KEY',
    'PENDING_KEY',
    'PROGRESS',
    'cancel_key',
)
