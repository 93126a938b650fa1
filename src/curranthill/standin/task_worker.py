"""An in-memory worker that runs tasks under a lease and fencing tokens.

Like a real worker it neither checks its capacity nor prevents that two attempts
of a task run; it only remembers the highest fencing token, the lease, and which
attempts ran or were stopped.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple

from curranthill.clock import Clock
from curranthill.dispatch import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    RejectedError,
    RunReport,
    StartOrder,
    WorkerReplacedError,
)
from curranthill.dispatch.workers import RUN_FAILED, EndKind
from curranthill.errors import WorkerReplyLostError, WorkerUnreachableError
from curranthill.placement import WorkerEntry
from curranthill.tasks import TaskKey

#: How long a call takes to arrive, in seconds.
CALL_LATENCY_S: Final = 0.001

#: How long a client waits for a response, in seconds.
CLIENT_TIMEOUT_S: Final = 0.6

#: The most ends that a worker lists in one report.
MAX_LISTED_ENDS: Final = 500

#: How often a waiting renewal checks for ends, in seconds.
WAIT_POLL_S: Final = 0.01


class ActiveRun(NamedTuple):
    """One run that has not ended."""

    task: TaskKey
    attempt: int
    started_s: float


class TaskWorkerModel:
    """One worker, with injected faults and a record of what it ran.

    :param run_s: how long each task takes.
    :param run_s_by_task: how long some tasks take instead.
    :param stalled: whether tasks make no progress.
    :param gang_jobs: jobs whose tasks run, even with all their work done, for
        as long as the longest task takes, so that a gang ends together.
    :param held_runs: runs that do not end, whatever their age.
    :param starts: every start that took effect, in order.
    :param runs: the current runs by task and attempt.
    :param ends: the ends that are not acknowledged.
    :param max_listed_ends: the most of them that one report lists.
    :param acknowledged: the ends that were acknowledged.
    :param failures: all ends of failed runs, acknowledged or not.
    :param expired_ends: ends that were listed when the lease expired: such an
        end may be discarded, since the leader had not learned of it in time.
    :param disconnected: whether calls do not arrive and time out.
    :param replaced: whether a worker with another id responds at the address.
    :param start_delay_s: how much later a start takes effect, in seconds.
    :param late_starts: how many of the next starts get no response and take
        effect ``late_s`` seconds later.
    :param max_lease_s: the longest lease that the worker grants, in seconds; a
        longer one is shortened to it.
    :param perpetual_jobs: jobs whose tasks run until they are stopped.
    :param failing: whether every task fails at once.
    :param incarnation: incremented with each restart of the worker under its
        id.
    :param start_rejection: the reason for which every start is rejected, or
        empty.
    :param rejected_starts: how many starts were rejected for that reason.
    :param renewal_rejection: the reason for which every renewal is rejected,
        or empty.
    :param crashing: tasks that crash the worker.
    :param crash_after_s: how long after its start such a task crashes the
        worker, in seconds.
    :param crashes: the task of each crash, in order.
    :param lost_runs: the task of each run that a crash or restart ended.
    :param lost_run_time_s: the run time, in seconds, that tasks that are not in
        ``crashing`` lost by crashes.
    :param down: whether the worker has crashed and not restarted yet, so that
        calls do not reach it.
    :param on_crash: called after each crash; it has to restart the worker.
    :param peak_runs: the most runs at the same time so far.
    """

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        clock: Clock,
        run_s: float = 1.0,
    ) -> None:
        """Initialize a worker without runs and faults."""
        self.entry = entry
        self.clock = clock
        self.run_s = run_s
        self.run_s_by_task: dict[TaskKey, float] = {}
        self.stalled = False
        self.gang_jobs: set[str] = set()
        self.held_runs: set[tuple[TaskKey, int]] = set()
        self.starts: list[StartOrder] = []
        self.runs: dict[tuple[TaskKey, int], ActiveRun] = {}
        self.ends: list[EndReport] = []
        self.acknowledged: list[EndReport] = []
        self.failures: list[EndReport] = []
        self.expired_ends: set[EndReport] = set()
        self.incarnation = 1
        self.disconnected = False
        self.replaced = False
        self.late_starts = 0
        self.start_delay_s = 0.0
        self.late_s = 2.0
        self.max_lease_s = math.inf
        self.perpetual_jobs: set[str] = set()
        self.failing = False
        self.start_rejection = ''
        self.rejected_starts = 0
        self.renewal_rejection = ''
        self.crashing: set[TaskKey] = set()
        self.crash_after_s = 0.0
        self.crashes: list[TaskKey] = []
        self.lost_runs: list[TaskKey] = []
        self.lost_run_time_s = 0.0
        self.down = False
        self.on_crash: Callable[[TaskWorkerModel], None] | None = None
        self.peak_runs = 0
        self.max_listed_ends = MAX_LISTED_ENDS
        self._clock_start_s = 0.0
        self._end_count = 0
        self._highest_token = 0
        self._lease_deadline_s = 0.0
        self._ended_runs: set[tuple[TaskKey, int]] = set()
        self._background: set[asyncio.Task[None]] = set()

    def restart(self) -> None:
        """Lose all runs and start again under the same id.

        The clock, the numbers of ends and the fencing token are reset. Orders
        in transit arrive at the new incarnation.
        """
        self.incarnation += 1
        self.down = False
        self._clock_start_s = self.clock.monotonic_s()
        self._end_count = 0
        self._highest_token = 0
        self._lease_deadline_s = 0.0
        self._ended_runs.clear()
        self._drop_runs()
        self.ends = []

    def crash(self) -> None:
        """Lose all runs and ends, and stay down until ``restart()``."""
        self.down = True
        now_s = self._clock_s()
        self.lost_run_time_s += sum(
            now_s - run.started_s
            for run in self.runs.values()
            if run.task not in self.crashing
        )
        self._drop_runs()
        self.ends = []
        if self.on_crash is not None:
            self.on_crash(self)

    def _drop_runs(self) -> None:
        self.lost_runs.extend(run.task for run in self.runs.values())
        self.runs.clear()

    async def start(self, order: StartOrder) -> float:
        """Start a task and return the worker's clock in seconds."""
        await self._check_reachable('start')
        await self.clock.sleep(self.start_delay_s)
        if self.late_starts:
            self.late_starts -= 1
            self._schedule_start(order)
            await self._time_out('start')
        self._start(order)
        return self._clock_s()

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Stop a run and return the worker's clock in seconds."""
        await self._check_reachable('stop')
        self._check_token(token, 'stop')
        run = self.runs.get((task, attempt))
        if run is not None:
            self._end(run, 'stopped')
        self._ended_runs.add((task, attempt))
        return self._clock_s()

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Renew the lease and return the runs and ends."""
        await self._check_reachable('renew')
        if self.renewal_rejection:
            raise self._rejection('renew', self.renewal_rejection)
        self._check_token(order.token, 'renew')
        self._extend_lease(order.deadline_s)
        self.acknowledged.extend(
            end for end in self.ends if end.number <= order.acknowledged
        )
        self.ends = [
            end for end in self.ends if end.number > order.acknowledged
        ]
        incarnation = self.incarnation
        wait_until_s = self.clock.monotonic_s() + order.wait_s
        while not self.ends and self.clock.monotonic_s() < wait_until_s:
            await self.clock.sleep(WAIT_POLL_S)
            if self.down:
                raise self._reply_lost('renew')
            await self._check_reachable('renew')
            if self.incarnation != incarnation:
                raise self._reply_lost('renew')
            self.end_due_runs()
        ends = tuple(self.ends[: self.max_listed_ends])
        return LeaseReport(
            clock_s=self._clock_s(),
            runs=tuple(self._report(run) for run in self.runs.values()),
            ends=ends,
            incarnation=self.incarnation,
            lists_all_ends=len(ends) < self.max_listed_ends,
        )

    def end_run(self, run_id: tuple[TaskKey, int], kind: EndKind) -> None:
        """End a run."""
        self._end(self.runs[run_id], kind)

    def run_age_s(self, run_id: tuple[TaskKey, int]) -> float:
        """Return the seconds since a run started."""
        return self._clock_s() - self.runs[run_id].started_s

    def end_due_runs(self) -> None:
        """End all runs that are done or failed, or whose lease expired."""
        now_s = self._clock_s()
        if now_s > self._lease_deadline_s:
            self.expired_ends.update(self.ends)
        for run in list(self.runs.values()):
            if self.failing:
                self._end(run, 'failed')
            elif self._is_done(run, min(now_s, self._lease_deadline_s)):
                self._end(run, 'done')
            elif now_s > self._lease_deadline_s:
                self._end(run, 'lapsed')

    def _extend_lease(self, deadline_s: float) -> None:
        max_deadline_s = self._clock_s() + self.max_lease_s
        self._lease_deadline_s = max(
            self._lease_deadline_s,
            min(deadline_s, max_deadline_s),
        )

    def _is_done(self, run: ActiveRun, until_s: float) -> bool:
        if run.task.job_id in self.perpetual_jobs:
            return False
        if self.stalled or (run.task, run.attempt) in self.held_runs:
            return False
        return run.started_s + self._run_time_s(run) <= until_s

    def _run_time_s(self, run: ActiveRun) -> float:
        if run.task.job_id in self.gang_jobs:
            return max(self.run_s, *self.run_s_by_task.values())
        return self.run_s_by_task.get(run.task, self.run_s)

    def _start(self, order: StartOrder) -> None:
        self._check_token(order.token, 'start')
        if self._clock_s() > order.deadline_s:
            raise self._rejection('start', 'late')
        if self.start_rejection:
            self.rejected_starts += 1
            raise self._rejection('start', self.start_rejection)
        run_id = (order.task, order.attempt)
        if run_id in self._ended_runs:
            raise self._rejection('start', 'old')
        if run_id in self.runs:
            return
        self._extend_lease(order.deadline_s)
        self.starts.append(order)
        now_s = self._clock_s()
        self.runs[run_id] = ActiveRun(order.task, order.attempt, now_s)
        self.peak_runs = max(self.peak_runs, len(self.runs))
        if order.task in self.crashing:
            self._schedule_crash(order)

    def _schedule_crash(self, order: StartOrder) -> None:
        async def crash() -> None:
            await self.clock.sleep(self.crash_after_s)
            if (order.task, order.attempt) in self.runs:
                self.crashes.append(order.task)
                self.crash()

        self._run_in_background(crash())

    def _schedule_start(self, order: StartOrder) -> None:
        async def start() -> None:
            await self.clock.sleep(self.late_s)
            try:
                self._start(order)
            except RejectedError:
                return

        self._run_in_background(start())

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _report(self, run: ActiveRun) -> RunReport:
        if self.stalled:
            return RunReport(run.task, run.attempt, '', 0)
        if run.task.job_id in self.perpetual_jobs:
            return RunReport(run.task, run.attempt, '', 100)
        ran_s = self._clock_s() - run.started_s
        share = ran_s / self.run_s_by_task.get(run.task, self.run_s)
        return RunReport(run.task, run.attempt, '', min(int(100 * share), 100))

    def _end(self, run: ActiveRun, kind: EndKind) -> None:
        run_id = (run.task, run.attempt)
        self.runs.pop(run_id)
        self._ended_runs.add(run_id)
        self._end_count += 1
        end = EndReport(self._end_count, run.task, run.attempt, kind, '')
        self.ends.append(end)
        if kind == RUN_FAILED:
            self.failures.append(end)

    def _clock_s(self) -> float:
        return self.clock.monotonic_s() - self._clock_start_s

    def _check_token(self, token: int, step: str) -> None:
        if token < self._highest_token:
            raise self._rejection(step, 'fence')
        self._highest_token = token

    def _rejection(self, step: str, reason: str) -> RejectedError:
        return RejectedError(
            f'Rejected: {reason}.',
            step=step,
            peer=self.entry.address,
            reason=reason,
        )

    async def _check_reachable(self, step: str) -> None:
        await self.clock.sleep(CALL_LATENCY_S)
        if self.disconnected:
            await self._time_out(step)
        if self.down:
            raise WorkerUnreachableError(
                'The worker is down.',
                step=step,
                peer=self.entry.address,
            )
        if self.replaced:
            raise WorkerReplacedError(
                'A worker with another id responded.',
                step=step,
                peer=self.entry.address,
            )
        self.end_due_runs()

    async def _time_out(self, step: str) -> None:
        await self.clock.sleep(CLIENT_TIMEOUT_S)
        raise self._reply_lost(step)

    def _reply_lost(self, step: str) -> WorkerReplyLostError:
        return WorkerReplyLostError(
            'The worker did not respond.',
            step=step,
            peer=self.entry.address,
        )


__all__ = ('MAX_LISTED_ENDS', 'TaskWorkerModel')
