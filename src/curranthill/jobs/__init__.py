"""Jobs: their record, their life cycle and their rows in the table."""

from curranthill.jobs.lifecycle import ForbiddenChangeError, next_state
from curranthill.jobs.records import (
    ACCEPTED,
    CANCELLED,
    ENDED,
    FAILED,
    FINISHED,
    MARKED,
    PREEMPTED,
    RESERVED,
    RUNNING,
    UNKNOWN,
    Job,
    JobState,
    Member,
    job_document,
    job_from,
)
from curranthill.jobs.store import (
    JobStore,
    KeyRecord,
    Stored,
    birth_of,
    new_job_id,
)

__all__ = (
    'ACCEPTED',
    'CANCELLED',
    'ENDED',
    'FAILED',
    'FINISHED',
    'MARKED',
    'PREEMPTED',
    'RESERVED',
    'RUNNING',
    'UNKNOWN',
    'ForbiddenChangeError',
    'Job',
    'JobState',
    'JobStore',
    'KeyRecord',
    'Member',
    'Stored',
    'birth_of',
    'job_document',
    'job_from',
    'new_job_id',
    'next_state',
)
