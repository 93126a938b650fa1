"""Runs as the leader knows them."""

from typing import Final, Literal

from curranthill.tasks import Resources, Step, TaskKey

#: A run's life at the leader. ``marked``: stored, not yet ordered.
#: ``ordered``: the start is under way. ``unknown``: it may or may not exist.
RunState = Literal['marked', 'ordered', 'unknown', 'running']

#: What a run is to its neighbours. ``serving``: its users wait for answers
#: within a bound; ``filling``: it takes what others leave, and slows them.
RunKind = Literal['plain', 'serving', 'filling']

PLAIN: Final = 'plain'
SERVING: Final = 'serving'
FILLING: Final = 'filling'

#: Priority 0 may preempt the others.
URGENT: Final = 0

ASSIGNED: Final = 'marked'
ORDERED: Final = 'ordered'
UNKNOWN: Final = 'unknown'
RUNNING: Final = 'running'

#: What a stop loses of a task with checkpoints, in seconds: the stop makes a
#: checkpoint, so only the work while it is made.
CHECKPOINT_LOSS_S: Final = 0.3

#: What starting again costs besides, in seconds: the stop, a round, a start.
RESTART_S: Final = 0.3


#: A run whose percentage stays the same for so long stands still, in seconds:
#: just under the interval of reports when nothing ends.
MIN_STALL_S: Final = 1.4

#: The same for an urgent run that has shown no progress at all, in seconds:
#: early enough for quick work to start elsewhere and still be in time.
FIRST_PROGRESS_S: Final = 0.65

#: The same, as a share of the estimated run time: far from its data and on a
#: slow worker a task still shows one percent more in that time.
STALL_SHARE: Final = 0.1

#: What a run reports that has done all its work.
ALL_DONE_PERCENT: Final = 100

#: A run's pace is told from this progress on, in percent: they come in whole
#: numbers.
MIN_PROGRESS_PERCENT: Final = 5

#: It is told again when the time worked has grown by this factor.
RATE_GROWTH: Final = 2.0


class Run:
    """One run of one task on one worker; it takes room until its end is known.

    :param needs: the room it takes.
    :param priority: that of its queue; 0 goes first.
    :param checkpointable: whether a stop loses only the newest work.
    :param stop_wanted: it is to end, and its room counts as becoming free;
        whether it exists is told by its state alone.
    :param estimate_s: how long it may take; 0 for a task that lasts.
    :param perpetual: it runs until its job is cancelled.
    :param kind: whether it answers users of its own, or fills what is left.
    :param incarnation: that of the worker when it was placed there.
    :param exclusive: nothing else may run on its worker.
    :param age_s: how long it has run, as of the newest report.
    :param first_clock_s: its worker's clock at the first known progress; 0 as
        long as none is known.
    :param first_percent: that progress.
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
        """Make a run that takes its room from now on."""
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
        self.ordered_token = 0

    @property
    def left_s(self) -> float:
        """Return how long it goes on, by its estimate; 0 if it lasts."""
        return max(self.estimate_s - self.age_s, 0.0)

    @property
    def lost_s(self) -> float:
        """Return the run time that a stop throws away."""
        if self.checkpointable:
            return min(self.age_s, CHECKPOINT_LOSS_S)
        return self.age_s

    @property
    def loss_core_s(self) -> float:
        """Return the work that a stop throws away, in core-seconds."""
        return self.needs.weight_cores * (self.lost_s + RESTART_S)

    @property
    def stalled_s(self) -> float:
        """Return for how long reports have shown no progress; 0 if too short.

        Only time between reports counts: an unreachable worker shows nothing.
        A member of a gang that has done its work waits for the others.
        """
        watched = self.estimate_s and self.done_percent < ALL_DONE_PERCENT
        if self.state != RUNNING or not watched:
            return 0.0
        stalled_s = self.reported_s - self.percent_changed_s
        return stalled_s if stalled_s >= self.min_stall_s else 0.0

    @property
    def min_stall_s(self) -> float:
        """Return how long without progress a run that works may be."""
        shortest_s = FIRST_PROGRESS_S if self.awaits_progress else MIN_STALL_S
        return max(shortest_s, STALL_SHARE * self.estimate_s)

    @property
    def reported_s(self) -> float:
        """Return when the newest report came, in seconds of the clock."""
        return self.started_s + self.age_s

    @property
    def awaits_progress(self) -> bool:
        """Return whether an urgent run has shown no progress yet."""
        quick = self.priority == URGENT and self.estimate_s > 0
        return quick and not self.done_percent and not self.stop_wanted

    def set_start_clock(self, clock_s: float) -> None:
        """Take its worker's clock at its start, if it starts with no work done.

        One with a checkpoint begins with its first report.
        """
        if not self.checkpoint and not self.first_clock_s:
            self.first_clock_s = clock_s

    def update_progress_rate(self, clock_s: float) -> None:
        """Set the progress rate by the newest report; 0 without a new value.

        Both ends are read off the worker's clock, so it does not matter how
        long a report was on its way.

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

        The members of a gang end together, so the wait for the slowest counts.

        :param clock_s: the worker's clock right after the end.
        """
        self.progress_rate = 0.0
        worked_s = clock_s - self.first_clock_s
        if self.first_clock_s and self.estimate_s > 0 and worked_s > 0:
            share = 1 - self.first_percent / ALL_DONE_PERCENT
            self.progress_rate = share * self.estimate_s / worked_s

    @property
    def name(self) -> tuple[TaskKey, int]:
        """Return what tells this run from all others."""
        return (self.key, self.attempt)


def kind_of(step: Step) -> RunKind:
    """Return what a step's runs are to their neighbours."""
    if step.fills:
        return FILLING
    return SERVING if step.target_ms else PLAIN


__all__ = (
    'FILLING',
    'ASSIGNED',
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
