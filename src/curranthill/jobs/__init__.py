"""Jobs: their records, their state machine and their rows in the table."""

from curranthill.jobs.lifecycle import InvalidTransitionError, next_state
from curranthill.jobs.records import (
    ACCEPTED,
    CANCELLED,
    ENDED,
    FAILED,
    FINISHED,
    PREEMPTED,
    RESERVED,
    RUNNING,
    START_RECORDED,
    UNKNOWN,
    Job,
    JobState,
    Member,
    job_from_document,
    job_to_document,
)
from curranthill.jobs.store import (
    JobStore,
    KeyRecord,
    StoredJob,
    accepting_data_centre,
    new_job_id,
)

__all__ = (
    'ACCEPTED',
    'CANCELLED',
    'ENDED',
    'FAILED',
    'FINISHED',
    'PREEMPTED',
    'RESERVED',
    'RUNNING',
    'START_RECORDED',
    'UNKNOWN',
    'InvalidTransitionError',
    'Job',
    'JobState',
    'JobStore',
    'KeyRecord',
    'Member',
    'StoredJob',
    'accepting_data_centre',
    'job_from_document',
    'job_to_document',
    'new_job_id',
    'next_state',
)
