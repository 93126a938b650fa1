"""Placement rounds: decide on a snapshot, store the assignments, order them."""

import asyncio
from collections.abc import Iterable
from typing import Final, Protocol

import msgspec

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.advice import TicketCache, TicketRequest
from curranthill.dispatch.forecasts import ForecastPublisher
from curranthill.dispatch.inherited_leases import InheritedLeases
from curranthill.dispatch.leadership import Leadership, LeadershipLostError
from curranthill.dispatch.migration import RunMigrator
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.spawner import Spawner
from curranthill.dispatch.suspended_rounds import SuspendedRoundsReporter
from curranthill.dispatch.term_state import TermState
from curranthill.dispatch.unused import UnusedWorkerReporter
from curranthill.dispatch.waiting import WaitingReporter
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
from curranthill.tasks import (
    WORKER_DRAINING,
    JobSpec,
    Revision,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The pause before a round of placement, in seconds: changes that arrive
#: together are then decided together.
ROUND_PAUSE_S: Final = 0.004

#: The longest interval between two rounds, in seconds: steps become due
#: without any other change.
ROUND_INTERVAL_S: Final = 0.25

#: How long a failed or stalled run counts against its worker, in seconds:
#: longer than the periods for which workers misbehave.
FAILURE_MEMORY_S: Final = 10.0

#: The interval between updates of the gauges, in seconds.
GAUGES_INTERVAL_S: Final = 1.0

#: The priorities for which the gauges have labels.
PRIORITIES: Final = (0, 1, 2)


class RevisionSource(Protocol):
    """Provides the configuration in force."""

    @property
    def current(self) -> Revision | None:
        """Return the configuration, or None before the first."""


class PlacementRounds:
    """Makes a placement round whenever something has changed."""

    def __init__(
        self,
        *,
        clock: Clock,
        term: TermState,
        leadership: Leadership,
        writer: ProgressWriter,
        spawner: Spawner,
        revision: RevisionSource,
        ticket_cache: TicketCache,
        disabled: frozenset[str] = NONE_DISABLED,
    ) -> None:
        """Initialize the rounds of a term.

        :param leadership: the term, whose number tells whether it is the first.
        :param disabled: mechanisms that are switched off.
        """
        self._disabled = disabled
        self._migrator = RunMigrator(
            clock=clock,
            term=term,
            writer=writer,
            disabled=disabled,
        )
        self._ticket_cache = ticket_cache
        self._requesting = False
        self._requests: list[TicketRequest] = []
        self._clock = clock
        self._term = term
        self._writer = writer
        self._spawner = spawner
        self._revision = revision
        self._forecasts = ForecastPublisher(clock=clock, term=term)
        self._inherited = InheritedLeases(
            clock=clock, sessions=term.sessions, epoch=leadership.epoch
        )
        self._waiting_reporter = WaitingReporter(
            clock=clock, term=term, inherited=self._inherited
        )
        self._windows = ReservationWindows(after_takeover=leadership.epoch > 1)
        self._backlog = BacklogCursor()
        self._unused_reporter = UnusedWorkerReporter(
            clock=clock, sessions=term.sessions
        )
        self._suspended_reporter = SuspendedRoundsReporter(
            clock=clock, leadership=leadership
        )
        self._reserved_for: tuple[str, ...] = ()
        self._gauges_set_s = 0.0

    async def run(self) -> None:
        """Make a round whenever something has changed."""
        self._inherited.report()
        while True:
            await wait_at_most(
                self._term.changed.wait(),
                timeout_s=ROUND_INTERVAL_S,
                clock=self._clock,
            )
            await self._clock.sleep(ROUND_PAUSE_S)
            self._term.changed.clear()
            self._plan_round()
            self._record_pending()
            self._report()

    def _plan_round(self) -> None:
        self._reserved_for = ()
        now_s = self._clock.wall_s()
        if not self._term.may_order():
            # The steps of suspects are not asked for: that would start the
            # time for which they wait for an empty worker.
            jobs = self._term.jobs.values()
            if self._any_ready(job for job in jobs if not job.suspects):
                self._suspended_reporter.suspended()
            return
        self._suspended_reporter.made()
        self._term.losses.check_withheld()
        self._term.evacuate_draining_workers()
        began_s = self._clock.monotonic_s()
        waits = self._any_ready(self._term.jobs.values())
        self._term.estimates.refresh(self._term.sessions.values(), began_s)
        self._migrator.check(idle=not waits)
        if not waits:
            # Reports and run ends also trigger rounds, so usually nothing
            # waits; summing up the workers' capacity is the costly part.
            return
        self._requests.clear()
        planner = Planner(
            workers=self._capacities(),
            guaranteed=self._guaranteed(),
            now_s=now_s,
            tickets=self._valid_tickets,
            windows=self._windows,
            backlog=self._backlog,
            disabled=self._disabled,
            ratio_of=self._term.estimates.ratio_of,
            on_error=self._pause_job,
        )
        plan = planner.plan(self._term.jobs.values())
        self._request_next()
        self._reserved_for = plan.reserved_for
        metrics.placement_decision_s.record(self._clock.monotonic_s() - began_s)
        self._preempt(plan)
        for placement in plan.placements:
            self._assign(placement)

    def _any_ready(self, jobs: Iterable[ActiveJob]) -> bool:
        """Return whether some step may start now."""
        now_s = self._clock.wall_s()
        return any(self._is_ready(job, now_s) for job in jobs)

    def _is_ready(self, job: ActiveJob, now_s: float) -> bool:
        try:
            return any(ready.tasks for ready in job.ready_steps(now_s))
        except Exception as error:
            self._pause_job(job, error)
            return False

    def _pause_job(self, job: ActiveJob, error: Exception) -> None:
        """Leave a job out of the next rounds, as its placement has failed."""
        job.pause(self._clock.wall_s())
        metrics.background_errors.add(1, {'task': 'placement'})
        events.log('placement_failed', job=job.spec.job_id, error=repr(error))

    def _preempt(self, plan: Plan) -> None:
        """Stop the victims; the stops of a job in one round count as one."""
        stopped = {run.key.job_id for run in plan.victims}
        for job_id in stopped:
            job = self._term.jobs.get(job_id)
            if job is not None:
                job.progress.stops += 1
        for run, for_job in zip(plan.victims, plan.stopped_for, strict=True):
            metrics.preemptions.add(1)
            metrics.preempted_core_s.add(run.needs.weight_cores * run.lost_s)
            job = self._term.jobs.get(run.key.job_id)
            events.log(
                'preempted',
                task=str(run.key),
                attempt=run.attempt,
                worker=run.worker_id,
                done_percent=run.done_percent,
                for_job=for_job,
                beyond_guarantee=for_job not in plan.covered,
                workspace=job.spec.workspace if job else '',
                stops=job.progress.stops if job else 0,
            )
            self._term.stop_run(run)

    def _valid_tickets(
        self, job: ActiveJob, ready: ReadyStep
    ) -> dict[str, str]:
        """Return a step's valid tickets; if too few, queue a request."""
        usable = {
            session.worker_id: session.incarnation
            for session in self._term.sessions.values()
            if session.accepts_work
            and session.entry.service == job.spec.queue.service
        }
        valid_tickets = self._ticket_cache.valid_tickets(ready, usable)
        if not self._requesting and len(valid_tickets) < len(ready.tasks):
            remaining = {
                worker_id: incarnation
                for worker_id, incarnation in usable.items()
                if worker_id not in valid_tickets
            }
            request = self._ticket_cache.next_request(ready, remaining)
            if request is not None:
                self._requests.append(request)
        return valid_tickets

    def _request_next(self) -> None:
        """Send one of the ticket requests of this round."""
        request = self._ticket_cache.choose(self._requests)
        if request is not None:
            self._requesting = True
            self._spawner.spawn_isolated(
                self._request_tickets(request), name='advice'
            )

    async def _request_tickets(self, request: TicketRequest) -> None:
        try:
            await self._ticket_cache.request(request)
        finally:
            self._requesting = False
        self._ticket_cache.retain_jobs(set(self._term.jobs))
        self._term.changed.set()

    def _capacities(self) -> dict[str, list[WorkerCapacity]]:
        capacities: dict[str, list[WorkerCapacity]] = {}
        for session in self._term.sessions.values():
            if not session.accepts_work:
                continue
            capacity = WorkerCapacity(
                entry=session.entry,
                runs=session.runs.values(),
                failure_score=self._failure_score(session),
                speed=self._speed(session),
            )
            capacities.setdefault(session.entry.service, []).append(capacity)
        return capacities

    def _speed(self, session: WorkerSession) -> float:
        """Return a worker's speed factor, 1.0 unless a deviation is known."""
        if SPEEDS in self._disabled:
            return 1.0
        return self._term.estimates.speed_of(session).factor

    def _failure_score(self, session: WorkerSession) -> float:
        """Return how many runs recently failed or stalled at a worker."""
        if FAILURE_SCORE in self._disabled:
            return 0.0
        if session.failure_times_s:
            oldest_s = self._clock.monotonic_s() - FAILURE_MEMORY_S
            session.failure_times_s = [
                one for one in session.failure_times_s if one > oldest_s
            ]
        return len(session.failure_times_s) + session.stalled_runs

    def _guaranteed(self) -> dict[str, int]:
        revision = self._revision.current
        if revision is None:
            return {}
        return {one.name: one.guaranteed_gpus for one in revision.workspaces}

    def _assign(self, placement: Placement) -> None:
        """Store the assignments, then order the starts."""
        job = placement.job
        tasks = tuple(key for key, _ in placement.workers)
        gang = placement.ready.step.gang
        shared_attempt = job.next_attempt(tasks)
        checkpoint = ''
        if gang:
            checkpoint = newest_checkpoint(
                [job.progress.task(key) for key in tasks],
            )
        runs = self._assign_runs(placement, shared_attempt, checkpoint)
        events.log(
            'placed',
            job=job.spec.job_id,
            step=placement.ready.number,
            occurrence=placement.ready.occurrence,
            tasks=[f'{run.key.rank}@{run.worker_id}' for run in runs],
            attempt=shared_attempt,
        )
        self._writer.record(job)
        if job.is_recurring:
            # The next round considers further occurrences.
            self._term.changed.set()
        self._spawner.spawn_isolated(self._start(job, runs), name='start')

    def _assign_runs(
        self,
        placement: Placement,
        shared_attempt: int,
        checkpoint: str,
    ) -> list[Run]:
        """Assign tasks; a gang shares its attempt and its checkpoint."""
        job = placement.job
        gang = placement.ready.step.gang
        runs = []
        for key, worker_id in placement.workers:
            attempt = shared_attempt if gang else job.next_attempt((key,))
            task = job.progress.task(key)
            task.attempt = attempt
            task.worker = worker_id
            task.flags &= ~WORKER_DRAINING
            session = self._term.sessions[worker_id]
            task.incarnation = session.incarnation
            run = self._term.new_run(job, key, attempt, session)
            run.exclusive = placement.ready.exclusive
            run.checkpoint = checkpoint if gang else task.checkpoint
            run.ticket = (placement.ready.tickets or {}).get(worker_id, '')
            runs.append(run)
        return runs

    async def _start(self, job: ActiveJob, runs: list[Run]) -> None:
        """Order the starts once stored, sequentially at each worker."""
        try:
            await self._writer.stored()
        except LeadershipLostError:
            return
        by_worker: dict[str, list[Run]] = {}
        for run in runs:
            by_worker.setdefault(run.worker_id, []).append(run)
        await asyncio.gather(
            *(self._start_at(job, group) for group in by_worker.values()),
        )

    async def _start_at(self, job: ActiveJob, runs: list[Run]) -> None:
        session = self._term.sessions[runs[0].worker_id]
        for run in runs:
            if job.ended or job.unstored:
                await session.stop(run)
            else:
                await session.start(run, job.spec.payload)

    def _set_gauges(self, waiting: list[JobSpec]) -> None:
        """Set the number and age of waiting jobs by priority."""
        now_s = self._clock.wall_s()
        if now_s - self._gauges_set_s < GAUGES_INTERVAL_S:
            return
        self._gauges_set_s = now_s
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
                for session in self._term.sessions.values()
                if session.listed and not session.reachable
            ),
        )

    def _record_pending(self) -> None:
        """Store how many jobs of each queue have not started yet."""
        waiting = [
            job.spec
            for job in self._term.jobs.values()
            if not job.ended and not job.begun
        ]
        counts: dict[str, int] = {}
        for spec in waiting:
            counts[spec.queue.name] = counts.get(spec.queue.name, 0) + 1
        self._set_gauges(waiting)
        self._writer.record_pending(counts)

    def _report(self) -> None:
        """Log and publish what depends on the round; nothing depends on it."""
        try:
            self._inherited.report()
            self._publish_forecast()
        except Exception as error:
            self._writer.publish_forecast(None)
            metrics.background_errors.add(1, {'task': 'report'})
            events.log('background_error', task='report', error=repr(error))

    def _publish_forecast(self) -> None:
        """Publish the forecast; log waiting jobs and unused workers."""
        if not self._forecasts.due:
            return
        forecast = self._forecasts.make(self._revision.current)
        if LOAD_SHEDDING not in self._disabled:
            content = msgspec.to_builtins(forecast, str_keys=True)
            self._writer.publish_forecast(content)
        self._waiting_reporter.report(
            self._guaranteed(), self._capacities, self._reserved_for
        )
        self._unused_reporter.report()


__all__ = ('PlacementRounds', 'RevisionSource')
