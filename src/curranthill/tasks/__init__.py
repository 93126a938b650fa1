"""Jobs as steps of tasks: their shape, their progress, their tables."""

from curranthill.tasks.checks import faults_of
from curranthill.tasks.progress import (
    CANCELLED,
    COMPLETED,
    ENDED,
    FAILED,
    QUEUED,
    RUNNING,
    JobProgress,
    JobState,
    TaskProgress,
    decode,
    encode,
)
from curranthill.tasks.records import (
    JobSpec,
    Limits,
    Queue,
    Resources,
    Revision,
    Step,
    TaskKey,
    Timing,
    WorkspacePromise,
)

__all__ = (
    'CANCELLED',
    'COMPLETED',
    'ENDED',
    'FAILED',
    'QUEUED',
    'RUNNING',
    'JobProgress',
    'JobSpec',
    'JobState',
    'Limits',
    'Queue',
    'Resources',
    'Revision',
    'Step',
    'TaskKey',
    'TaskProgress',
    'Timing',
    'WorkspacePromise',
    'decode',
    'encode',
    'faults_of',
)
