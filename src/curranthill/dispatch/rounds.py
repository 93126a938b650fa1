"""Rounds of placement: a snapshot, decisions, stored starts, orders."""

import asyncio
from typing import Final, Protocol

import msgspec

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.advice import Question, TicketOffice
from curranthill.dispatch.journal import Journal
from curranthill.dispatch.leadership import LeadershipLostError
from curranthill.dispatch.outlooks import OutlookMaker
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.spawner import Spawner
from curranthill.dispatch.unused import UnusedWorkers
from curranthill.dispatch.waiting import WaitingBoard
from curranthill.dispatch.watch import RunWatch
from curranthill.dispatch.work import Work
from curranthill.placement import (
    FAILURE_SCORE,
    LOAD_SHEDDING,
    NONE_DISABLED,
    SPEEDS,
    ActiveJob,
    BacklogCursor,
    Placement,
    Plan,
    Planner,
    ReadyStep,
    ReservationWindows,
    Run,
    WorkerCapacity,
    newest_checkpoint,
)
from curranthill.tasks import QUEUED, RUNNING, JobSpec, Revision
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The pause between two rounds of placement, in seconds: lets news that
#: comes together be decided together.
ROUND_PAUSE_S: Final = 0.004

#: A round is made at least so often, in seconds, for what becomes due.
ROUND_INTERVAL_S: Final = 0.25

#: How long a run that failed or stood still counts against its worker, in
#: seconds: longer than the spells for which workers misbehave.
TROUBLE_MEMORY_S: Final = 10.0

#: How often the gauges are set, in seconds.
GAUGES_INTERVAL_S: Final = 1.0

#: Priorities that the gauges tell apart.
PRIORITIES: Final = (0, 1, 2)


class RevisionSource(Protocol):
    """Holds the configuration in force."""

    @property
    def current(self) -> Revision | None:
        """Return the configuration, or nothing before the first."""


class Rounds:
    """Makes rounds whenever something has changed."""

    def __init__(
        self,
        *,
        clock: Clock,
        work: Work,
        journal: Journal,
        spawner: Spawner,
        revision: RevisionSource,
        office: TicketOffice,
        disabled: frozenset[str] = NONE_DISABLED,
    ) -> None:
        """Start without a round.

        :param disabled: mechanisms that are switched off.
        """
        self._disabled = disabled
        self._watch = RunWatch(
            clock=clock,
            work=work,
            journal=journal,
            disabled=disabled,
        )
        self._office = office
        self._asking = False
        self._questions: list[Question] = []
        self._clock = clock
        self._work = work
        self._journal = journal
        self._spawner = spawner
        self._revision = revision
        self._outlooks = OutlookMaker(clock=clock, work=work)
        self._board = WaitingBoard(clock=clock, work=work)
        self._windows = ReservationWindows()
        self._backlog = BacklogCursor()
        self._unused = UnusedWorkers(clock=clock, sessions=work.sessions)
        self._reserved_for: tuple[str, ...] = ()
        self._shown_s = 0.0

    async def run(self) -> None:
        """Make a round whenever something has changed."""
        while True:
            await wait_at_most(
                self._work.changed.wait(),
                timeout_s=ROUND_INTERVAL_S,
                clock=self._clock,
            )
            await self._clock.sleep(ROUND_PAUSE_S)
            self._work.changed.clear()
            self._plan_round()
            self._note_pending()
            self._note_outlook()

    def _plan_round(self) -> None:
        self._reserved_for = ()
        if not self._work.may_order():
            return
        self._work.empty_leaving_workers()
        began_s = self._clock.monotonic_s()
        now_s = self._clock.wall_s()
        waits = self._anything_waits(now_s)
        self._work.learning.refresh(self._work.sessions.values(), began_s)
        self._watch.look(idle=not waits)
        if not waits:
            # Most rounds end here: reports and ends cause rounds too, and
            # adding up all workers' room is the costly part of a round.
            return
        self._questions.clear()
        planner = Planner(
            workers=self._rooms(),
            guaranteed=self._guaranteed(),
            now_s=now_s,
            tickets=self._tickets,
            windows=self._windows,
            backlog=self._backlog,
            disabled=self._disabled,
            ratio_of=self._work.learning.ratio_of,
        )
        plan = planner.plan(self._work.jobs.values())
        self._ask_next()
        self._reserved_for = plan.reserved_for
        metrics.decision_s.record(self._clock.monotonic_s() - began_s)
        self._preempt(plan)
        for placement in plan.placements:
            self._mark(placement)

    def _preempt(self, plan: Plan) -> None:
        """Stop the victims; a job's stops of one round count as one."""
        stopped = {run.key.job_id for run in plan.victims}
        for job_id in stopped:
            job = self._work.jobs.get(job_id)
            if job is not None:
                job.progress.stops += 1
        for run, for_job in zip(plan.victims, plan.stopped_for, strict=True):
            metrics.preemptions.add(1)
            metrics.preempted_core_s.add(run.needs.weight_cores * run.lost_s)
            job = self._work.jobs.get(run.key.job_id)
            events.log(
                'preempted',
                task=str(run.key),
                attempt=run.attempt,
                worker=run.worker_id,
                done_percent=run.done_percent,
                for_job=for_job,
                workspace=job.spec.workspace if job else '',
                stops=job.stops if job else 0,
            )
            self._work.stop_run(run)

    def _anything_waits(self, now_s: float) -> bool:
        """Return whether some step may start at a wall-clock time."""
        return any(
            ready.tasks
            for job in self._work.jobs.values()
            for ready in job.ready_steps(now_s)
        )

    def _tickets(self, job: ActiveJob, ready: ReadyStep) -> dict[str, str]:
        """Return a step's good tickets; note what to ask if they do not do."""
        usable = {
            session.worker_id: session.incarnation
            for session in self._work.sessions.values()
            if session.accepts_work
            and session.entry.service == job.spec.queue.service
        }
        good = self._office.good(ready, usable)
        if not self._asking and len(good) < len(ready.tasks):
            without = {
                worker_id: incarnation
                for worker_id, incarnation in usable.items()
                if worker_id not in good
            }
            question = self._office.question(ready, without)
            if question is not None:
                self._questions.append(question)
        return good

    def _ask_next(self) -> None:
        """Ask one of the questions of this round."""
        question = self._office.choose(self._questions)
        if question is not None:
            self._asking = True
            self._spawner.spawn(self._ask(question))

    async def _ask(self, question: Question) -> None:
        try:
            await self._office.ask(question)
        finally:
            self._asking = False
        self._office.forget_except(set(self._work.jobs))
        self._work.changed.set()

    def _rooms(self) -> dict[str, list[WorkerCapacity]]:
        rooms: dict[str, list[WorkerCapacity]] = {}
        for session in self._work.sessions.values():
            if not session.accepts_work:
                continue
            room = WorkerCapacity(
                entry=session.entry,
                runs=session.runs.values(),
                failure_score=self._doubt(session),
                speed=self._speed(session),
            )
            rooms.setdefault(session.entry.service, []).append(room)
        return rooms

    def _speed(self, session: WorkerSession) -> float:
        """Return a worker's speed, 1.0 if it is not known to differ."""
        if SPEEDS in self._disabled:
            return 1.0
        return self._work.learning.speed_of(session).factor

    def _doubt(self, session: WorkerSession) -> float:
        """Return how many runs failed or stood still at a worker of late."""
        if FAILURE_SCORE in self._disabled:
            return 0.0
        if session.troubles_s:
            oldest_s = self._clock.monotonic_s() - TROUBLE_MEMORY_S
            session.troubles_s = [
                one for one in session.troubles_s if one > oldest_s
            ]
        return len(session.troubles_s) + session.stalled_runs

    def _guaranteed(self) -> dict[str, int]:
        revision = self._revision.current
        if revision is None:
            return {}
        return {one.name: one.guaranteed_gpus for one in revision.workspaces}

    def _mark(self, placement: Placement) -> None:
        """Store the starts, then order them."""
        job = placement.job
        tasks = tuple(key for key, _ in placement.workers)
        gang = placement.ready.step.gang
        shared = job.next_attempt(tasks)
        checkpoint = ''
        if gang:
            checkpoint = newest_checkpoint(
                [job.progress.task(key) for key in tasks],
            )
        runs = self._mark_runs(placement, shared, checkpoint)
        if job.progress.state == QUEUED:
            job.progress.state = RUNNING
            waited_s = self._clock.wall_s() - job.spec.accepted_at_s
            metrics.first_start_s.record(
                max(waited_s, 0.0),
                {'priority': job.spec.queue.priority},
            )
        events.log(
            'placed',
            job=job.spec.job_id,
            step=placement.ready.number,
            occurrence=placement.ready.occurrence,
            tasks=[f'{run.key.rank}@{run.worker_id}' for run in runs],
            attempt=shared,
        )
        self._journal.note(job)
        self._spawner.spawn(self._start(job, runs))

    def _mark_runs(
        self,
        placement: Placement,
        shared: int,
        checkpoint: str,
    ) -> list[Run]:
        """Note the starts; a gang shares its attempt and its checkpoint."""
        job = placement.job
        gang = placement.ready.step.gang
        runs = []
        for key, worker_id in placement.workers:
            attempt = shared if gang else job.next_attempt((key,))
            task = job.progress.task(key)
            task.attempt = attempt
            task.worker = worker_id
            session = self._work.sessions[worker_id]
            task.incarnation = session.incarnation
            run = self._work.new_run(job, key, attempt, session)
            run.exclusive = placement.ready.exclusive
            run.checkpoint = checkpoint if gang else task.checkpoint
            run.ticket = (placement.ready.tickets or {}).get(worker_id, '')
            runs.append(run)
        return runs

    async def _start(self, job: ActiveJob, runs: list[Run]) -> None:
        """Order the starts once they are stored, one worker after another."""
        try:
            await self._journal.saved()
        except LeadershipLostError:
            return
        by_worker: dict[str, list[Run]] = {}
        for run in runs:
            by_worker.setdefault(run.worker_id, []).append(run)
        await asyncio.gather(
            *(self._start_at(job, group) for group in by_worker.values()),
        )

    async def _start_at(self, job: ActiveJob, runs: list[Run]) -> None:
        session = self._work.sessions[runs[0].worker_id]
        for run in runs:
            if job.ended:
                await session.stop(run)
            else:
                await session.start(run, job.spec.payload)

    def _show_waiting(self, waiting: list[JobSpec]) -> None:
        """Show how many jobs wait, and for how long, by priority."""
        now_s = self._clock.wall_s()
        if now_s - self._shown_s < GAUGES_INTERVAL_S:
            return
        self._shown_s = now_s
        for priority in PRIORITIES:
            ages_s = [
                now_s - spec.accepted_at_s
                for spec in waiting
                if spec.queue.priority == priority
            ]
            labels = {'priority': priority}
            metrics.waiting_jobs.set(len(ages_s), labels)
            metrics.oldest_waiting_s.set(max(ages_s, default=0.0), labels)
        metrics.workers_unreachable.set(
            sum(
                1
                for session in self._work.sessions.values()
                if session.listed and not session.reachable
            ),
        )

    def _note_pending(self) -> None:
        """Count each queue's jobs of which nothing has started."""
        waiting = [
            job.spec
            for job in self._work.jobs.values()
            if not job.ended and not job.begun
        ]
        counts: dict[str, int] = {}
        for spec in waiting:
            counts[spec.queue.name] = counts.get(spec.queue.name, 0) + 1
        self._show_waiting(waiting)
        self._journal.note_pending(msgspec.json.encode(counts))

    def _note_outlook(self) -> None:
        """Tell all hosts and operators of what waits for long."""
        if not self._outlooks.due:
            return
        outlook = self._outlooks.make(self._revision.current)
        if LOAD_SHEDDING not in self._disabled:
            told = msgspec.to_builtins(outlook, str_keys=True)
            self._journal.note_outlook(told)
        self._board.show(self._guaranteed(), self._rooms, self._reserved_for)
        self._unused.show()


__all__ = ('RevisionSource', 'Rounds')
