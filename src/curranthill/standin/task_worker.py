"""A worker in memory that runs tasks under a lease and fencing tokens.

Like the real one it protects neither its room nor a task from a second run;
it only keeps the highest token and the lease.
"""

import asyncio
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

#: What a call takes, in seconds.
CALL_S: Final = 0.001

#: When a caller gives up on an answer, in seconds.
GIVE_UP_S: Final = 0.6

#: How often a waiting renewal looks for ends, in seconds.
WAIT_POLL_S: Final = 0.01


class ActiveRun(NamedTuple):
    """One run under way."""

    task: TaskKey
    attempt: int
    began_s: float


class TaskWorkerModel:
    """One life of one worker.

    :param run_s: how long each task takes.
    :param run_s_by_task: how long some tasks take instead.
    :param stalled: whether tasks make no progress.
    :param gang_jobs: jobs whose tasks stay, with all their work done, until one
        of them is as old as the longest takes; then they end together.
    :param held_runs: runs that do not come to their end, whatever their age.
    :param failures: all ends as failed, heard of or not.
    :param expired_ends: ends that were listed when the lease expired: such an
        end may be discarded, since the leader had not learned of it in time.
    :param starts: every start that took effect, in order.
    :param disconnected: no call gets through.
    :param start_delay_s: how long a start is on its way.
    :param late_starts: how many of the next starts get no answer and take
        effect ``late_s`` later.
    :param failing: every task fails at once.
    :param incarnation: grows with each start of the worker under its id.
    :param start_rejection: a reason for which every start is rejected.
    :param rejected_starts: how many starts were rejected for it.
    :param renewal_rejection: a reason for which every renewal is rejected.
    :param crashing: tasks under which the worker crashes.
    :param crash_after_s: how long after the start of such a task.
    :param crashes: how often the worker crashed, by the task that did it.
    :param lost_runs: the task of each run that a crash or restart ended.
    :param lost_run_time_s: seconds of run time that crashes cost the tasks
        that did not cause them.
    :param down: crashed and not back yet; each call breaks off.
    :param on_crash: is told of each crash, and brings the worker back.
    """

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        clock: Clock,
        run_s: float = 1.0,
    ) -> None:
        """Start with nothing running."""
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
        self._started_s = 0.0
        self._end_count = 0
        self._token = 0
        self._deadline_s = 0.0
        self._ended: set[tuple[TaskKey, int]] = set()
        self._under_way: set[asyncio.Task[None]] = set()

    def restart(self) -> None:
        """Crash and start again under the same id, with nothing of before.

        The clock, the numbers of ends and the fencing token start anew. Orders
        that are on their way arrive at the new incarnation.
        """
        self.incarnation += 1
        self.down = False
        self._started_s = self.clock.monotonic_s()
        self._end_count = 0
        self._token = 0
        self._deadline_s = 0.0
        self._ended.clear()
        self._lose_runs()
        self.ends = []

    def crash(self) -> None:
        """Lose everything; who is told of it brings the worker back."""
        self.down = True
        now_s = self._clock_s()
        self.lost_run_time_s += sum(
            now_s - run.began_s
            for run in self.runs.values()
            if run.task not in self.crashing
        )
        self._lose_runs()
        self.ends = []
        if self.on_crash is not None:
            self.on_crash(self)

    def _lose_runs(self) -> None:
        self.lost_runs.extend(run.task for run in self.runs.values())
        self.runs.clear()

    async def start(self, order: StartOrder) -> float:
        """Start a task and return the clock."""
        await self._pass('start')
        await self.clock.sleep(self.start_delay_s)
        if self.late_starts:
            self.late_starts -= 1
            self._start_late(order)
            await self._give_up('start')
        self._start(order)
        return self._clock_s()

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Stop a run."""
        await self._pass('stop')
        self._check_token(token, 'stop')
        run = self.runs.get((task, attempt))
        if run is not None:
            self._end(run, 'stopped')
        self._ended.add((task, attempt))
        return self._clock_s()

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Renew the lease and return what runs and what ended."""
        await self._pass('renew')
        if self.renewal_rejection:
            raise self._rejection('renew', self.renewal_rejection)
        self._check_token(order.token, 'renew')
        self._deadline_s = max(self._deadline_s, order.deadline_s)
        self.acknowledged.extend(
            end for end in self.ends if end.number <= order.acknowledged
        )
        self.ends = [
            end for end in self.ends if end.number > order.acknowledged
        ]
        incarnation = self.incarnation
        until_s = self.clock.monotonic_s() + order.wait_s
        while not self.ends and self.clock.monotonic_s() < until_s:
            await self.clock.sleep(WAIT_POLL_S)
            if self.down:
                raise self._reply_lost('renew')
            await self._pass('renew')
            if self.incarnation != incarnation:
                raise self._reply_lost('renew')
            self.end_due_runs()
        return LeaseReport(
            clock_s=self._clock_s(),
            runs=tuple(self._report(run) for run in self.runs.values()),
            ends=tuple(self.ends),
            incarnation=self.incarnation,
        )

    def end_run(self, name: tuple[TaskKey, int], kind: EndKind) -> None:
        """End a run in some way."""
        self._end(self.runs[name], kind)

    def run_age_s(self, name: tuple[TaskKey, int]) -> float:
        """Return how long a run has been there."""
        return self._clock_s() - self.runs[name].began_s

    def end_due_runs(self) -> None:
        """End what is over by now."""
        now_s = self._clock_s()
        if now_s > self._deadline_s:
            self.expired_ends.update(self.ends)
        for run in list(self.runs.values()):
            if self.failing:
                self._end(run, 'failed')
            elif self._is_done(run, min(now_s, self._deadline_s)):
                self._end(run, 'done')
            elif now_s > self._deadline_s:
                self._end(run, 'lapsed')

    def _is_done(self, run: ActiveRun, by_s: float) -> bool:
        if self.stalled or (run.task, run.attempt) in self.held_runs:
            return False
        return run.began_s + self._length_s(run) <= by_s

    def _length_s(self, run: ActiveRun) -> float:
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
        name = (order.task, order.attempt)
        if name in self._ended:
            raise self._rejection('start', 'old')
        if name in self.runs:
            return
        self._deadline_s = max(self._deadline_s, order.deadline_s)
        self.starts.append(order)
        now_s = self._clock_s()
        self.runs[name] = ActiveRun(order.task, order.attempt, now_s)
        self.peak_runs = max(self.peak_runs, len(self.runs))
        if order.task in self.crashing:
            self._crash_soon(order)

    def _crash_soon(self, order: StartOrder) -> None:
        async def crash() -> None:
            await self.clock.sleep(self.crash_after_s)
            if (order.task, order.attempt) in self.runs:
                self.crashes.append(order.task)
                self.crash()

        self._keep(crash())

    def _start_late(self, order: StartOrder) -> None:
        async def start() -> None:
            await self.clock.sleep(self.late_s)
            try:
                self._start(order)
            except RejectedError:
                return

        self._keep(start())

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)

    def _report(self, run: ActiveRun) -> RunReport:
        if self.stalled:
            return RunReport(run.task, run.attempt, '', 0)
        ran_s = self._clock_s() - run.began_s
        share = ran_s / self.run_s_by_task.get(run.task, self.run_s)
        return RunReport(run.task, run.attempt, '', min(int(100 * share), 100))

    def _end(self, run: ActiveRun, kind: EndKind) -> None:
        name = (run.task, run.attempt)
        self.runs.pop(name)
        self._ended.add(name)
        self._end_count += 1
        end = EndReport(self._end_count, run.task, run.attempt, kind, '')
        self.ends.append(end)
        if kind == RUN_FAILED:
            self.failures.append(end)

    def _clock_s(self) -> float:
        return self.clock.monotonic_s() - self._started_s

    def _check_token(self, token: int, step: str) -> None:
        if token < self._token:
            raise self._rejection(step, 'fence')
        self._token = token

    def _rejection(self, step: str, reason: str) -> RejectedError:
        return RejectedError(
            f'Rejected: {reason}.',
            step=step,
            peer=self.entry.address,
            reason=reason,
        )

    async def _pass(self, step: str) -> None:
        await self.clock.sleep(CALL_S)
        if self.disconnected:
            await self._give_up(step)
        if self.down:
            raise WorkerUnreachableError(
                'Nobody listens.',
                step=step,
                peer=self.entry.address,
            )
        if self.replaced:
            raise WorkerReplacedError(
                'Another life answered.',
                step=step,
                peer=self.entry.address,
            )
        self.end_due_runs()

    async def _give_up(self, step: str) -> None:
        await self.clock.sleep(GIVE_UP_S)
        raise self._reply_lost(step)

    def _reply_lost(self, step: str) -> WorkerReplyLostError:
        return WorkerReplyLostError(
            'No answer.',
            step=step,
            peer=self.entry.address,
        )


__all__ = ('TaskWorkerModel',)
