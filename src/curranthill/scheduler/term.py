"""One term of leadership, from the takeover to its end.

All of its state is soft: a term begins by reading the open jobs from the table
and the leases from the workers; when it ends, the state is discarded.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, Final

from loguru import logger

from curranthill.configuration import ActiveConfiguration
from curranthill.errors import StorageError, WorkerError
from curranthill.jobs import ACCEPTED, ENDED, Job, Member, StoredJob
from curranthill.scheduler.context import Context
from curranthill.scheduler.gang import Gang, GangEnd, next_attempt
from curranthill.scheduler.loader import RowLoader
from curranthill.scheduler.offload import Move, Neighbour, Offload
from curranthill.scheduler.policies import Policy
from curranthill.scheduler.quick import QuickReserve
from curranthill.scheduler.roster import Roster
from curranthill.scheduler.state import Decision, SchedulerState, WaitingJob
from curranthill.scheduler.watch import MemberUpdate
from curranthill.storage import HostDirectory
from curranthill.telemetry import metrics
from curranthill.workers import AttemptId, LeaseReport

#: The interval of placement passes when no event triggers one, in seconds.
TICK_S: Final = 0.5

#: The maximum delay until a job that was not started is queued again, in
#: seconds.
_RETRY_S: Final = 0.5


class Term:
    """Places, runs and finalizes jobs while this scheduler leads.

    :param context: interfaces and settings.
    :param policy: decides which jobs are placed, and where.
    :param data_centre: the data centre to lead.
    :param neighbours: returns the region's other active schedulers.
    :param notify_moved: notifies a data centre's scheduler of a job that was
        moved to it.
    """

    def __init__(
        self,
        *,
        context: Context,
        policy: Policy,
        data_centre: str,
        directory: HostDirectory,
        configuration: ActiveConfiguration,
        neighbours: Callable[[], Sequence[Neighbour]],
        notify_moved: Callable[[str, str], None],
    ) -> None:
        """Initialize an empty state."""
        self._neighbours = neighbours
        self._notify_moved = notify_moved
        self.state = SchedulerState()
        self.quick = QuickReserve(
            state=self.state,
            clock=context.clock,
            min_slots=context.placement.quick_slots,
        )
        self._offload = Offload(
            state=self.state,
            clock=context.clock,
            neighbours=neighbours,
        )
        self.gangs: dict[str, Gang] = {}
        self._wake = asyncio.Event()
        self.roster = Roster(
            context=context,
            state=self.state,
            spawn=self._spawn,
            on_member=self._on_member,
            on_orphan=self.release_orphan,
            on_change=self._wake.set,
        )
        self._context = context
        self._policy = policy
        self._data_centre = data_centre
        self._directory = directory
        self._configuration = configuration
        self._tasks: set[asyncio.Task[Any]] = set()
        self._waiting_rows: dict[str, StoredJob] = {}
        self._last_attempt: dict[str, int] = {}
        self._loader = RowLoader(
            store=context.store,
            spawn=self._spawn,
            on_row=self._process_row,
        )

    async def close(self) -> None:
        """Cancel all tasks; running members continue under their leases."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def begin(self) -> None:
        """Start placing jobs, once recovery has filled the state."""
        self.configure()
        self.state.plan.repair()
        self.roster.begin()
        self._spawn(self._dispatch())
        self._spawn(self._tick())

    def update_workers(self) -> None:
        """Apply the current host list."""
        self.roster.update(self._directory.workers(self._data_centre))

    def configure(self) -> None:
        """Apply the weights and guarantees of the revision in force."""
        document = self._configuration.document
        self.state.weights = {
            name: workspace.weight
            for name, workspace in document.workspaces.items()
        }
        self.state.may_borrow = {
            name: workspace.borrowing
            for name, workspace in document.workspaces.items()
        }
        self.state.plan.configure(document, self._data_centre)
        self._wake.set()

    def submit(self, stored: StoredJob) -> None:
        """Queue an accepted job."""
        job = stored.job
        if job.job_id in self.gangs or job.job_id in self.state.queue:
            return
        self._waiting_rows[job.job_id] = stored
        waited_s = max(0, self._context.clock.wall_s() - job.accepted_at_s)
        since_s = self._context.clock.monotonic_s() - waited_s
        self.state.queue.add(WaitingJob(job=job, since_s=since_s))
        self._wake.set()

    def notify(self, job_ids: Iterable[str]) -> None:
        """Schedule reads of the rows of jobs that are reported as changed."""
        self._loader.notify(job_ids)

    async def scan(self) -> None:
        """Read all open rows, for jobs whose notification was lost."""
        for stored in await self._context.store.scan_open(self._data_centre):
            self._process_row(stored)

    def resume(self, stored: StoredJob, states: dict[str, str]) -> None:
        """Resume an attempt whose start a previous leader recorded."""
        job = stored.job
        self.state.adopt(job, self._context.clock.monotonic_s())
        gang = self._gang(stored, job.members, job.attempt)
        if job.cancel_requested:
            gang.cancel()
        self._spawn(self._finish(gang, gang.resume(states)))

    def explain(self, job_id: str) -> list[str]:
        """Return plain sentences on the state of a job."""
        gang = self.gangs.get(job_id)
        if gang is not None:
            placements_text = ', '.join(
                f'{member.slots} on {member.worker}' for member in gang.members
            )
            return [f'{job_id} is {gang.state}: {placements_text}.']
        return self._policy.explain(
            self.state,
            job_id,
            self._context.clock.monotonic_s(),
        )

    def release_orphan(self, worker: str, lease: LeaseReport) -> None:
        """Release a lease that belongs to no job of this term."""
        self._spawn(self._release(worker, lease.attempt_id))

    def _on_member(self, update: MemberUpdate) -> bool:
        gang = self.gangs.get(update.attempt_id.job)
        if gang is None or gang.attempt_id != update.attempt_id:
            return False
        gang.on_update(update)
        return True

    def _process_row(self, stored: StoredJob) -> None:
        job = stored.job
        gang = self.gangs.get(job.job_id)
        if gang is not None:
            if job.cancel_requested:
                gang.cancel()
        elif job.state in ENDED:
            self.state.queue.remove(job.job_id)
            self._waiting_rows.pop(job.job_id, None)
        elif job.state == ACCEPTED and job.home == self._data_centre:
            self.submit(stored)

    async def _tick(self) -> None:
        while True:
            await self._context.clock.sleep(TICK_S)
            self.roster.refresh_usable()
            self.quick.set_yielding(
                yielding=bool(self._neighbours())
                and self._full_rack_is_wanted(),
            )
            self._preempt(self.quick.adjust(), 'for quick work')
            for move in self._offload.choose():
                self._spawn(self._move(move))
            self._wake.set()

    async def _move(self, move: Move) -> None:
        """Move a waiting job to a data centre with free capacity for it."""
        job_id = move.job_id
        waiting = self.state.queue.remove(job_id)
        stored = self._waiting_rows.pop(job_id, None)
        if waiting is None or stored is None:
            return
        logger.bind(job=job_id, step='offload', peer=move.data_centre).info(
            'moves to {}, which has free capacity: {}',
            move.data_centre,
            move.reason,
        )
        try:
            await self._context.store.move(stored, move.data_centre)
        except StorageError:
            # The move may have been written or not: read the row again.
            await self._submit_later(stored)
            return
        self._notify_moved(move.data_centre, job_id)

    def _full_rack_is_wanted(self) -> bool:
        """Return whether a job needs a full rack, quick reserve included.

        Such a job can only run while no slot is reserved for quick work, which
        the region's other data centres serve meanwhile.
        """
        widest = max(
            (
                sum(worker.slots for worker in rack.workers if worker.usable)
                for rack in self.state.cluster.racks.values()
            ),
            default=0,
        )
        max_beside_reserve = widest - self.quick.min_slots
        wanted = [key.slots for key, _ in self.state.queue.heads()]
        wanted.extend(placed.job.slots for placed in self.state.placed.values())
        return max_beside_reserve < max(wanted, default=0) <= widest

    async def _dispatch(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._context.election.lease_left_s() <= 0:
                # Without the table no start can be recorded: place nothing.
                await self._context.clock.sleep(TICK_S)
                self._wake.set()
                continue
            begun_s = self._context.clock.monotonic_s()
            decisions = self._policy.decide(self.state, begun_s)
            took_s = self._context.clock.monotonic_s() - begun_s
            metrics.placement_decision_s.record(took_s)
            for decision in decisions:
                self._launch(decision)

    def _launch(self, decision: Decision) -> None:
        job = decision.job
        stored = self._waiting_rows.pop(job.job_id)
        metrics.placements.add(1)
        logger.bind(
            job=job.job_id,
            workspace=job.workspace,
            step='place',
            peer=','.join(member.worker for member in decision.members),
        ).info(
            'placed {} accelerators ({}): {}; preempts {}',
            job.slots,
            decision.reason,
            [(member.worker, member.slots) for member in decision.members],
            list(decision.victims) or 'none',
        )
        stopped_events = self._preempt(decision.victims, f'for {job.job_id}')
        attempt = next_attempt(
            job,
            self._context.election.token.epoch,
            self._last_attempt.get(job.job_id, 0),
        )
        gang = self._gang(stored, decision.members, attempt, stopped_events)
        self._spawn(self._finish(gang, gang.run()))

    def _preempt(
        self,
        victims: Iterable[str],
        reason: str,
    ) -> list[asyncio.Event]:
        stopped_events: list[asyncio.Event] = []
        for victim in victims:
            metrics.preemptions.add(1)
            gang = self.gangs[victim]
            logger.bind(job=victim, step='preempt').info('preempted {}', reason)
            gang.preempt()
            stopped_events.append(gang.stopped)
        return stopped_events

    def _gang(
        self,
        stored: StoredJob,
        members: Iterable[Member],
        attempt: int,
        stopped_events: Iterable[asyncio.Event] = (),
    ) -> Gang:
        gang = Gang(
            context=self._context,
            stored=stored,
            members=members,
            attempt=attempt,
            watches=self.roster.watches,
            wait_for=stopped_events,
        )
        self._last_attempt[stored.job.job_id] = attempt
        self.gangs[stored.job.job_id] = gang
        return gang

    async def _finish(
        self,
        gang: Gang,
        work: Coroutine[Any, Any, GangEnd],
    ) -> None:
        end = await work
        job_id = gang.attempt_id.job
        if end.end == 'abandoned':
            return
        self.gangs.pop(job_id, None)
        self.state.release(job_id)
        self._record_end(gang, end)
        job = end.stored.job
        logger.bind(
            job=job_id,
            workspace=job.workspace,
            attempt=gang.attempt_id.attempt,
            step='end',
        ).info('attempt {}, job is {}', end.end, job.state)
        self._wake.set()
        if job.state in ENDED:
            self._last_attempt.pop(job_id, None)
        elif end.end == 'not_started':
            await self._submit_later(end.stored)
        else:
            self.submit(end.stored)

    async def _submit_later(self, stored: StoredJob) -> None:
        """Queue a job again after a delay, with its row read again."""
        job_id = stored.job.job_id
        while job_id not in self.state.queue and job_id not in self.gangs:
            delay_s = random.uniform(_RETRY_S / 2, _RETRY_S)  # noqa: S311
            await self._context.clock.sleep(delay_s)
            try:
                found = await self._context.store.load(job_id)
            except StorageError:
                continue
            if found is None or found.job.state != ACCEPTED:
                return
            self._process_row(found)

    def _record_end(self, gang: Gang, end: GangEnd) -> None:
        if end.end == 'failed':
            self.roster.record_failure(end.failed_on, gang.attempt_id.job)
        elif end.end == 'finished':
            for member in gang.members:
                self.roster.health.record_success(member.worker)
            self._record_run_time(end.stored.job)

    def _record_run_time(self, job: Job) -> None:
        self.state.estimates.record_run(
            job.workspace,
            job.kind,
            declared_s=job.run_time_s,
            actual_s=job.ended_at_s - job.started_at_s,
        )

    async def _release(self, worker: str, attempt_id: AttemptId) -> None:
        worker_state = self.state.cluster.workers.get(worker)
        if worker_state is None:
            return
        client = self._context.worker_at(worker_state.address)
        try:
            await client.release(self._context.election.token, attempt_id)
        except WorkerError as error:
            logger.bind(job=attempt_id.job, step=error.step, peer=worker).debug(
                'an orphaned lease remains until it expires: {}',
                error.message,
            )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error('a task failed')


__all__ = ('TICK_S', 'Term')
