"""The leader's records of runs."""

import math
from typing import Final, Literal

from curranthill.tasks import Resources, Step, TaskKey

#: The state of a run. ``marked``: its assignment is stored, its start is not
#: ordered yet. ``ordered``: the start request is under way. ``unknown``: the
#: run may or may not exist. ``running``: its worker has confirmed it.
RunState = Literal['marked', 'ordered', 'unknown', 'running']

#: How a run affects others on its worker. ``serving``: it is latency-sensitive,
#: its users wait for responses within a bound. ``filling``: it is best effort,
#: uses what others leave free, and slows them down.
RunKind = Literal['plain', 'serving', 'filling']

PLAIN: Final = 'plain'
SERVING: Final = 'serving'
FILLING: Final = 'filling'

#: The urgent priority; it may preempt the others.
URGENT: Final = 0

ASSIGNED: Final = 'marked'
ORDERED: Final = 'ordered'
UNKNOWN: Final = 'unknown'
RUNNING: Final = 'running'

#: The run time that a stop loses of a task with checkpoints, in seconds: the
#: stop makes a checkpoint, so only the work done meanwhile is lost.
CHECKPOINT_LOSS_S: Final = 0.3

#: The further cost of a restart, in seconds: the stop, a round of placement and
#: the start.
RESTART_COST_S: Final = 0.3

#: A run is stalled if its percentage does not change for this long, in
#: seconds: just under the interval of reports while no run ends.
MIN_STALL_S: Final = 1.4

#: The same for an urgent run before its first progress report, in seconds:
#: early enough for quick work to restart elsewhere and still end in time.
FIRST_PROGRESS_S: Final = 0.65

#: The same as a share of the estimated run time: even far from its data and on
#: a slow worker a task progresses by one percent in that time.
MIN_STALL_SHARE: Final = 0.1

#: The progress that a run reports once all its work is done.
ALL_DONE_PERCENT: Final = 100

#: The least progress from which a rate is computed, in percent: reports have
#: whole percentages.
MIN_PROGRESS_PERCENT: Final = 5

#: The rate is computed again once the time worked has grown by this factor.
RATE_GROWTH: Final = 2.0


class Run:
    """One run of a task on a worker; it uses capacity until its end is known.

    :param needs: the resources it uses.
    :param priority: the priority of its queue; 0 is served first.
    :param checkpointable: whether a stop loses only the newest work.
    :param stop_wanted: whether it is to end, so that its resources count as
        becoming free. Only its state says whether it exists.
    :param is_stop_queued: whether a repeated stop of it waits to be sent.
    :param estimate_s: the estimated run time; 0 for a perpetual task.
    :param perpetual: whether it runs until its job is cancelled.
    :param kind: whether it is latency-sensitive or best effort.
    :param incarnation: the incarnation of the worker when it was placed there.
    :param exclusive: whether nothing else may run on its worker.
    :param ordered_token: the fencing token of its start; 0 if none was ordered,
        or only by an earlier leader.
    :param age_s: how long it has run, by the newest report.
    :param first_clock_s: its worker's clock at the first known progress; 0 if
        none is known.
    :param first_percent: that progress.
    :param rated_s: the time worked when the rate was last computed.
    :param confirmed_s: since when it is known to run.
    :param progress_rate: estimated seconds of work done per second; 0 unless
        the newest report gives a new value.
    """

    __slots__ = (
        'age_s',
        'exclusive',
        'attempt',
        'first_clock_s',
        'first_percent',
        'checkpoint',
        'checkpointable',
        'done_percent',
        'incarnation',
        'key',
        'needs',
        'ordered_token',
        'kind',
        'perpetual',
        'progress_rate',
        'rated_s',
        'percent_changed_s',
        'priority',
        'confirmed_s',
        'estimate_s',
        'started_s',
        'state',
        'ticket',
        'is_stop_queued',
        'stop_sent_s',
        'stop_wanted',
        'worker_id',
    )

    def __init__(
        self,
        *,
        key: TaskKey,
        attempt: int,
        worker_id: str,
        needs: Resources,
        priority: int,
        checkpointable: bool,
        state: RunState,
        now_s: float,
        estimate_s: float = 0.0,
        perpetual: bool = False,
        kind: RunKind = PLAIN,
        incarnation: int = 0,
    ) -> None:
        """Initialize a run that uses its resources from now on."""
        self.estimate_s = estimate_s
        self.perpetual = perpetual
        self.kind = kind
        self.key = key
        self.attempt = attempt
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.needs = needs
        self.priority = priority
        self.checkpointable = checkpointable
        self.age_s = 0.0
        self.exclusive = False
        self.state: RunState = state
        self.checkpoint = ''
        self.ticket = ''
        self.done_percent = 0.0
        self.first_clock_s = 0.0
        self.first_percent = 0.0
        self.progress_rate = 0.0
        self.rated_s = 0.0
        self.started_s = now_s
        self.percent_changed_s = now_s
        self.confirmed_s = now_s
        self.stop_wanted = False
        self.stop_sent_s = 0.0
        self.is_stop_queued = False
        self.ordered_token = 0

    @property
    def remaining_s(self) -> float:
        """Return its remaining run time by the estimate; 0 if perpetual."""
        return max(self.estimate_s - self.age_s, 0.0)

    @property
    def time_left_s(self) -> float:
        """Return its remaining run time by its progress; infinite if unknown.

        Counted from its newest report.
        """
        gained = self.done_percent - self.first_percent
        if gained <= 0 or self.age_s <= 0:
            return math.inf
        left = ALL_DONE_PERCENT - self.done_percent
        return self.age_s * left / gained

    @property
    def lost_s(self) -> float:
        """Return the run time that a stop loses."""
        if self.checkpointable:
            return min(self.age_s, CHECKPOINT_LOSS_S)
        return self.age_s

    @property
    def loss_core_s(self) -> float:
        """Return the work that a stop loses, in core-seconds."""
        return self.needs.weight_cores * (self.lost_s + RESTART_COST_S)

    @property
    def stalled_s(self) -> float:
        """Return how long it has been stalled; 0 if it is not.

        Only the time between reports counts, since an unreachable worker sends
        none. A gang member that has done its work waits for the others and is
        not stalled.
        """
        watched = self.estimate_s and self.done_percent < ALL_DONE_PERCENT
        if self.state != RUNNING or not watched:
            return 0.0
        stalled_s = self.reported_s - self.percent_changed_s
        return stalled_s if stalled_s >= self.min_stall_s else 0.0

    @property
    def min_stall_s(self) -> float:
        """Return for how long a healthy run may show no progress."""
        min_s = FIRST_PROGRESS_S if self.awaits_progress else MIN_STALL_S
        return max(min_s, MIN_STALL_SHARE * self.estimate_s)

    @property
    def reported_s(self) -> float:
        """Return when the newest report came, in monotonic seconds."""
        return self.started_s + self.age_s

    @property
    def awaits_progress(self) -> bool:
        """Return whether it is urgent and has not reported progress yet."""
        quick = self.priority == URGENT and self.estimate_s > 0
        return quick and not self.done_percent and not self.stop_wanted

    def set_start_clock(self, clock_s: float) -> None:
        """Set its worker's clock at its start, if it starts with no work done.

        For a run that starts from a checkpoint the first report counts.
        """
        if not self.checkpoint and not self.first_clock_s:
            self.first_clock_s = clock_s

    def update_progress_rate(self, clock_s: float) -> None:
        """Set the progress rate by the newest report; 0 without a new value.

        Both times are read from the worker's clock, so the delay of a report
        doesn't matter.

        :param clock_s: the worker's clock at that report.
        """
        self.progress_rate = 0.0
        done = self.done_percent
        if not self.first_clock_s:
            self.first_clock_s = clock_s
            self.first_percent = done
        worked_s = clock_s - self.first_clock_s
        gained = done - self.first_percent
        known = self.estimate_s > 0 and done < ALL_DONE_PERCENT
        if not known or gained < MIN_PROGRESS_PERCENT:
            return
        if worked_s > 0 and worked_s >= RATE_GROWTH * self.rated_s:
            self.rated_s = worked_s
            share = gained / ALL_DONE_PERCENT
            self.progress_rate = share * self.estimate_s / worked_s

    def update_final_rate(self, clock_s: float) -> None:
        """Set the progress rate of a run that is done.

        The members of a gang end together, so for a member the rate includes
        its wait for the slowest one.

        :param clock_s: the worker's clock right after the end.
        """
        self.progress_rate = 0.0
        worked_s = clock_s - self.first_clock_s
        if self.first_clock_s and self.estimate_s > 0 and worked_s > 0:
            share = 1 - self.first_percent / ALL_DONE_PERCENT
            self.progress_rate = share * self.estimate_s / worked_s

    @property
    def name(self) -> tuple[TaskKey, int]:
        """Return the unique name of this run."""
        return (self.key, self.attempt)


def kind_of(step: Step) -> RunKind:
    """Return how runs of a step affect others on their worker."""
    if step.fills:
        return FILLING
    return SERVING if step.target_ms else PLAIN


__all__ = (
    'ASSIGNED',
    'FILLING',
    'ORDERED',
    'PLAIN',
    'RUNNING',
    'SERVING',
    'UNKNOWN',
    'URGENT',
    'Run',
    'RunKind',
    'RunState',
    'kind_of',
)
