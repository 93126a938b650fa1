"""Records of jobs, of their resources and of the configuration."""

from collections.abc import Iterable
from typing import NamedTuple

#: The number of cores that one accelerator counts as when the cost of lost
#: work is compared.
CORES_PER_GPU = 8


class Resources(NamedTuple):
    """An amount of a worker's resources.

    :param cpu_millis: thousandths of a core.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference; its amounts may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def covers(self, other: 'Resources') -> bool:
        """Return whether each amount is at least that of ``other``."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )

    @property
    def weight_cores(self) -> float:
        """Return processor and accelerators together, in cores."""
        return self.cpu_millis / 1000 + CORES_PER_GPU * self.gpus


def total(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of one or more amounts."""
    return Resources(*map(sum, zip(*amounts, strict=True)))


class Step(NamedTuple):
    """A step of a job: a number of equal tasks.

    :param width: the number of tasks.
    :param needs: the resources that one task needs on its worker.
    :param estimate_s: the estimated run time of a task.
    :param after: the numbers of the earlier steps that must be done first.
    :param gang: whether the tasks run all at once or not at all.
    :param same_rack: whether the tasks run slower across several racks.
    :param near_rack: the rack of the tasks' data, near which they run fastest;
        empty if there is none.
    :param max_per_worker: the maximum number of tasks of one occurrence on one
        worker; 0 for no limit.
    :param perpetual: whether the tasks run until the job is cancelled.
    :param may_miss: how many tasks the system may interrupt at the same time.
    :param fills: whether the tasks are best effort: their processor request is
        not counted against a worker's capacity.
    :param target_ms: the maximum tail latency of a serving task; 0 if the
        tasks do not serve requests.
    """

    width: int
    needs: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    near_rack: str = ''
    label: str = ''
    max_per_worker: int = 0
    checkpointable: bool = False
    speculative: bool = False
    perpetual: bool = False
    may_miss: int = 0
    fills: bool = False
    image: str = ''
    target_ms: float = 0.0

    @property
    def run_s(self) -> float:
        """Return the estimated run time of a task; 0 if it is perpetual."""
        return 0.0 if self.perpetual else self.estimate_s


class Queue(NamedTuple):
    """Where jobs are submitted, and how they are scheduled.

    :param host: the host name of the requests that submit jobs.
    :param path_prefix: the prefix of the path of these requests.
    :param service: the service whose workers run the tasks.
    :param priority: 0 is the highest and may preempt all others.
    :param attempts: the number of failed attempts of one task after which its
        job fails.
    :param slack_factor: the multiple of the critical path that the objective
        allows.
    :param target_s: the time that the objective allows in addition, in seconds.
    :param public: whether callers need no key.
    :param advisor: whether tasks run only on workers that the advisor allows.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    slack_factor: float = 1.0
    target_s: float = 0.0
    public: bool = False
    advisor: bool = False


class JobSpec(NamedTuple):
    """A job as it was accepted; it never changes.

    :param workspace: the workspace against whose guarantee the job counts; may
        be empty.
    :param payload: the caller's text, which is passed to each task.
    :param accepted_at_s: wall-clock seconds since 1970.
    :param times: the number of occurrences of a periodic job; 0 for others.
    :param start_at_s: when the first occurrence is due, in wall-clock seconds.
    :param interval_s: the time between two occurrences, in seconds.
    """

    job_id: str
    queue: Queue
    workspace: str
    payload: str
    steps: tuple[Step, ...]
    accepted_at_s: float
    times: int = 0
    start_at_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Return how often the steps run; 1 for a job that is not periodic."""
        return max(self.times, 1)

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence may start, in wall-clock seconds."""
        if self.times == 0:
            return 0.0
        return self.start_at_s + occurrence * self.interval_s

    @property
    def critical_path_s(self) -> float:
        """Return the estimated time of the longest chain of steps."""
        ends_s: list[float] = []
        for step in self.steps:
            before_s = max((ends_s[one] for one in step.after), default=0.0)
            ends_s.append(before_s + step.estimate_s)
        return max(ends_s, default=0.0)

    @property
    def objective_s(self) -> float:
        """Return when the job should be done, in wall-clock seconds."""
        start_s = max(self.accepted_at_s, self.due_s(0))
        slack_s = self.queue.slack_factor * self.critical_path_s
        return start_s + slack_s + self.queue.target_s

    @property
    def gpus(self) -> int:
        """Return the number of accelerators that all tasks need together."""
        return sum(step.width * step.needs.gpus for step in self.steps)


class TaskKey(NamedTuple):
    """The identity of a task; ``rank`` is its index in its step."""

    job_id: str
    occurrence: int
    step: int
    rank: int

    def __str__(self) -> str:
        """Return the name that identifies the task at workers."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.rank}'

    @classmethod
    def parse(cls, name: str) -> 'TaskKey':
        """Return the key of a name.

        :raises ValueError: if the name is malformed.
        """
        job_id, occurrence, step, rank = name.rsplit('.', 3)
        return cls(job_id, int(occurrence), int(step), int(rank))


class WorkspaceGuarantee(NamedTuple):
    """A workspace, its callers' keys and its guaranteed accelerators."""

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_gpus: int = 0


class Limits(NamedTuple):
    """Limits on callers' requests.

    :param body_bytes: the maximum size of a request's body.
    """

    body_bytes: int = 262_144


class Revision(NamedTuple):
    """A complete revision of the configuration."""

    number: int
    queues: tuple[Queue, ...]
    workspaces: tuple[WorkspaceGuarantee, ...]
    limits: Limits = Limits()

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, if any."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            matching,
            key=lambda queue: len(queue.path_prefix),
            default=None,
        )

    def workspace_of(self, api_key: str) -> WorkspaceGuarantee | None:
        """Return the workspace that holds a key, if any."""
        for workspace in self.workspaces:
            if api_key in workspace.keys:
                return workspace
        return None

    def guaranteed_gpus(self, workspace: str) -> int:
        """Return the number of accelerators guaranteed to a workspace."""
        for guarantee in self.workspaces:
            if guarantee.name == workspace:
                return guarantee.guaranteed_gpus
        return 0


class Timing(NamedTuple):
    """Bounds and durations of the platform and its workers, in seconds.

    :param lease_s: the maximum term of a lease that a worker grants.
    :param stop_s: the maximum duration of a stop.
    :param gang_timeout_s: how long a gang member waits for the others.
    :param status_s: how long the state of an ended job is stored.
    :param far_factor: the factor by which work away from its data takes longer.
    :param restore_s: the duration of resuming from a checkpoint.
    :param evacuate_s: how long after its closing tasks may still start in a
        data centre; 0 if no bound is required.
    :param in_force_s: how long after its acknowledgement a configuration may
        take to be in force on every host; 0 if no bound is required.
    """

    lease_s: float = 6.0
    stop_s: float = 0.2
    gang_timeout_s: float = 3.0
    status_s: float = 120.0
    far_factor: float = 3.0
    restore_s: float = 0.25
    grace_s: float = 6.0
    evacuate_s: float = 5.0
    in_force_s: float = 0.0


__all__ = (
    'JobSpec',
    'Limits',
    'Queue',
    'Resources',
    'Revision',
    'Step',
    'TaskKey',
    'Timing',
    'WorkspaceGuarantee',
    'total',
)
