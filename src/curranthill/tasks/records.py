"""Jobs as steps of tasks over processor, memory and accelerators."""

from typing import NamedTuple

#: What one accelerator counts for, in cores, when lost work is weighed.
CORES_PER_GPU = 8


class Resources(NamedTuple):
    """An amount of a worker's room.

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
        """Return the difference; parts may become negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def covers(self, other: 'Resources') -> bool:
        """Return whether no part of ``other`` is larger."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )

    @property
    def weight_cores(self) -> float:
        """Return the room in cores, accelerators counted as several."""
        return self.cpu_millis / 1000 + CORES_PER_GPU * self.gpus


class Step(NamedTuple):
    """Tasks of one shape.

    :param width: how many tasks the step has.
    :param needs: what one task takes on its worker.
    :param after: numbers of earlier steps that must be done first.
    :param gang: the tasks run together or not at all.
    :param same_rack: the tasks run slower over more than one rack.
    :param near_rack: the rack near which the tasks run fast, if any.
    :param max_per_worker: most tasks of an occurrence on one worker; 0: any.
    :param perpetual: the tasks run until the job is cancelled.
    :param may_miss: tasks that may be away at once by the system's doing.
    :param fills: the processor asked for is not counted against the room.
    :param target_ms: the tail latency a serving task must stay under; 0: none.
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
        """Return how long a task may run; 0 if it lasts."""
        return 0.0 if self.perpetual else self.estimate_s


class Queue(NamedTuple):
    """Where jobs are handed in, and how they are treated.

    :param priority: 0 goes first and may preempt the others.
    :param attempts: failed runs of one task after which its job fails.
    :param slack_factor: the objective's multiple of the longest chain of work.
    :param target_s: what the objective adds to that.
    :param advisor: whether only advised workers may run the queue's tasks.
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
    """A job as accepted; it never changes.

    :param workspace: whose guarantee the job counts against; may be empty.
    :param payload: the caller's text, handed to each task.
    :param accepted_at_s: wall-clock seconds since 1970.
    :param times: how often the steps run; 0 for a plain job.
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
        """Return how often the steps run, at least once."""
        return max(self.times, 1)

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence may start, in wall-clock seconds."""
        if self.times == 0:
            return 0.0
        return self.start_at_s + occurrence * self.interval_s

    @property
    def critical_path_s(self) -> float:
        """Return the estimated longest chain of steps in seconds."""
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
        """Return the accelerators that all tasks take together."""
        return sum(step.width * step.needs.gpus for step in self.steps)


class TaskKey(NamedTuple):
    """One task of one job; ``rank`` is its place in its step."""

    job_id: str
    occurrence: int
    step: int
    rank: int

    def __str__(self) -> str:
        """Return the name that workers know the task by."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.rank}'

    @classmethod
    def parse(cls, name: str) -> 'TaskKey':
        """Return the key of a name.

        :raises ValueError: if the name has another form.
        """
        job_id, occurrence, step, rank = name.rsplit('.', 3)
        return cls(job_id, int(occurrence), int(step), int(rank))


class WorkspaceGuarantee(NamedTuple):
    """A workspace, its callers' keys and its guaranteed accelerators."""

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_gpus: int = 0


class Limits(NamedTuple):
    """What callers' requests may measure.

    :param body_bytes: the largest body of a request.
    """

    body_bytes: int = 262_144


class Revision(NamedTuple):
    """One configuration in full."""

    number: int
    queues: tuple[Queue, ...]
    workspaces: tuple[WorkspaceGuarantee, ...]
    limits: Limits = Limits()

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, if any."""
        fitting = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(
            fitting,
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
        """Return a workspace's guaranteed accelerators."""
        for promise in self.workspaces:
            if promise.name == workspace:
                return promise.guaranteed_gpus
        return 0


class Timing(NamedTuple):
    """Bounds that the platform and its workers set, in seconds.

    :param lease_s: the longest lease a worker grants.
    :param stop_s: the longest time a stop takes.
    :param gang_timeout_s: how long a member of a gang waits for the others.
    :param status_s: how long the state of an ended job is kept.
    :param far_factor: how much longer work takes away from its data.
    :param restore_s: what resuming from a checkpoint takes.
    :param evacuate_s: how soon after its closing no task starts in a data
        centre any more; 0 if nobody asks for a bound.
    :param in_force_s: how soon after its acknowledgement a configuration is in
        force on every host; 0 if nobody asks for a bound.
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
)
