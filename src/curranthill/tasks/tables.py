"""The names of tables, keys and partitions in the store.

A commit is limited to one partition, and the commits of a partition are
serialized. All rows that the leader writes are in one partition, so that each
of its commits can check that it still leads; accepted jobs are in others.
"""

from typing import Final
from zlib import crc32

#: Accepted jobs and cancellations, written by the host that got the request.
INTAKE: Final = 'intake'

#: The progress of jobs, written by the leader from a job's first start on.
PROGRESS: Final = 'progress'

#: The progress of jobs that exceeds one row, spread over several by the leader.
PROGRESS_PARTS: Final = 'progress_parts'

#: The row of the leader, and the row of the queue lengths that it counts.
LEADER: Final = 'leader'

#: The addresses at which hosts relay other hosts' calls to the store.
HOSTS: Final = 'hosts'

#: All tables that hosts write.
HOST_TABLES: Final = frozenset(
    (INTAKE, PROGRESS, PROGRESS_PARTS, LEADER, HOSTS)
)

LEADER_KEY: Final = 'leader'
PENDING_KEY: Final = 'pending'

#: Stands among the queue lengths if they do not fit their row, so that hosts
#: count the accepted jobs; no queue has an empty name.
COUNTS_LEFT_OUT: Final = ''

#: The suffix of a job's id in the key of its cancellation.
CANCEL_SUFFIX: Final = '/cancel'

#: The partition of all rows that the leader writes.
LEADER_PARTITION: Final = 'main'

#: The partition of the host list; separate, since a hundred hosts may start
#: together.
HOSTS_PARTITION: Final = 'hosts'

#: The partitions of accepted jobs. With 16 of them, a store that takes 0.3 s
#: per commit accepts some fifty jobs per second, eight times the load of the
#: largest deployment. A takeover has to read each of them.
INTAKE_PARTITIONS: Final = tuple(f'intake-{number}' for number in range(16))


def partition_of(table: str, key: str) -> str:
    """Return the partition of a row."""
    if table == HOSTS:
        return HOSTS_PARTITION
    if table != INTAKE:
        return LEADER_PARTITION
    job_id = key.removesuffix(CANCEL_SUFFIX)
    return INTAKE_PARTITIONS[crc32(job_id.encode()) % len(INTAKE_PARTITIONS)]


def partitions_of(table: str) -> tuple[str, ...]:
    """Return the partitions that may contain rows of a table."""
    if table == INTAKE:
        return INTAKE_PARTITIONS
    return (partition_of(table, ''),)


def cancel_key(job_id: str) -> str:
    """Return the key of a job's cancellation."""
    return f'{job_id}{CANCEL_SUFFIX}'


__all__ = (
    'CANCEL_SUFFIX',
    'COUNTS_LEFT_OUT',
    'HOSTS',
    'HOST_TABLES',
    'HOSTS_PARTITION',
    'INTAKE',
    'INTAKE_PARTITIONS',
    'LEADER',
    'LEADER_KEY',
    'LEADER_PARTITION',
    'PENDING_KEY',
    'PROGRESS',
    'PROGRESS_PARTS',
    'cancel_key',
    'partition_of',
    'partitions_of',
)
