"""The names of the tables and keys under which state is kept.

A commit stays within one partition, and commits of one partition take turns.
All that the leader writes lies in one, so that each of its commits can check
that it still leads; jobs as accepted lie in others.
"""

from typing import Final
from zlib import crc32

#: Jobs as accepted, and cancellations; written by the host that was asked.
INTAKE: Final = 'intake'

#: The progress of jobs, written by the leader from the first start on.
PROGRESS: Final = 'progress'

#: The leader's row, and the queue lengths that the leader counts.
LEADER: Final = 'leader'

#: Where each host passes other hosts' calls on to the store.
HOSTS: Final = 'hosts'

LEADER_KEY: Final = 'leader'
PENDING_KEY: Final = 'pending'

#: Behind a job's id: its caller cancelled it.
CANCEL_SUFFIX: Final = '/cancel'

#: The partition of all that the leader writes.
LEADER_PARTITION: Final = 'main'

#: The partition of the list of hosts: a hundred of them start together.
HOSTS_PARTITION: Final = 'hosts'

#: Partitions of accepted jobs: a store that takes 0.3 s for each commit then
#: accepts some fifty jobs a second, eight times what the largest deployment
#: is sent. A takeover reads each of them.
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
    """Return the partitions that a table's rows may lie in."""
    if table == INTAKE:
        return INTAKE_PARTITIONS
    return (partition_of(table, ''),)


def cancel_key(job_id: str) -> str:
    """Return the key of a job's cancellation."""
    return f'{job_id}{CANCEL_SUFFIX}'


__all__ = (
    'CANCEL_SUFFIX',
    'HOSTS',
    'HOSTS_PARTITION',
    'INTAKE',
    'INTAKE_PARTITIONS',
    'LEADER',
    'LEADER_KEY',
    'LEADER_PARTITION',
    'PENDING_KEY',
    'PROGRESS',
    'cancel_key',
    'partition_of',
    'partitions_of',
)
