"""The leader of a scheduling domain during one term.

All state of the leader is in the store or at the workers, so that any host can
take over. An assignment is stored before its start is ordered, and the end of
a run is stored before it is acknowledged.
"""

from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.advice import Advisor, TicketCache
from curranthill.dispatch.cleanup import IntakeCleanup
from curranthill.dispatch.consistency import ConsistencyCheck
from curranthill.dispatch.feeds import Feeds, WorkerFeed
from curranthill.dispatch.leadership import Leadership, LeadershipLostError
from curranthill.dispatch.owner import ClosedDataCentreSource
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.dispatch.rounds import PlacementRounds, RevisionSource
from curranthill.dispatch.spawner import Spawner
from curranthill.dispatch.term_state import TermState
from curranthill.dispatch.workers import WorkerConnector
from curranthill.placement import NONE_DISABLED
from curranthill.storage.limits import MAX_ROW_BYTES
from curranthill.storage.rows import RowStore
from curranthill.tasks import Timing
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Rows of ended jobs are kept longer than guaranteed by this time, in seconds.
RETENTION_MARGIN_S: Final = 30.0

#: The interval at which rows of ended jobs are removed, in seconds.
SWEEP_INTERVAL_S: Final = 10.0


class Leader:
    """Runs one term of leadership."""

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        leadership: Leadership,
        connector: WorkerConnector,
        worker_feed: WorkerFeed,
        timing: Timing,
        revision: RevisionSource,
        closed_data_centres: ClosedDataCentreSource,
        advisor: Advisor,
        disabled: frozenset[str] = NONE_DISABLED,
        row_bytes: int = MAX_ROW_BYTES,
    ) -> None:
        """Initialize a term whose state has not been read yet.

        :param disabled: mechanisms of placement that are switched off.
        :param row_bytes: the most bytes of a row of the store.
        """
        self._clock = clock
        self._leadership = leadership
        self._timing = timing
        self._spawner = Spawner()
        self._writer = ProgressWriter(
            leadership=leadership, clock=clock, row_bytes=row_bytes
        )
        self._cleanup = IntakeCleanup(
            store=store,
            clock=clock,
            writer=self._writer,
        )
        self._term = TermState(
            clock=clock,
            leadership=leadership,
            writer=self._writer,
            spawner=self._spawner,
            cleanup=self._cleanup,
        )
        self._feeds = Feeds(
            store=store,
            clock=clock,
            term=self._term,
            writer=self._writer,
            spawner=self._spawner,
            connector=connector,
            worker_feed=worker_feed,
            timing=timing,
            leadership=leadership,
            closed_data_centres=closed_data_centres,
        )
        self._consistency = ConsistencyCheck(
            clock=clock,
            term=self._term,
            writer=self._writer,
            recover=self._feeds.recover,
        )
        self._rounds = PlacementRounds(
            clock=clock,
            term=self._term,
            leadership=leadership,
            writer=self._writer,
            spawner=self._spawner,
            revision=revision,
            ticket_cache=TicketCache(advisor=advisor, clock=clock),
            disabled=disabled,
        )

    @property
    def term(self) -> TermState:
        """Return the jobs, runs and worker sessions of this term."""
        return self._term

    async def run(self) -> None:
        """Lead until the term is over or the task is cancelled."""
        metrics.takeovers.add(1)
        events.log('leading', epoch=self._leadership.epoch)
        try:
            await self._run_tasks()
        finally:
            events.log('term_over', epoch=self._leadership.epoch)
            self._leadership.abandon()
            await self._spawner.end()

    async def _run_tasks(self) -> None:
        self._spawner.spawn(self._writer.run())
        await self._feeds.start()
        self._spawner.spawn(self._rounds.run())
        self._spawner.spawn(self._consistency.run())
        self._spawner.spawn(self._sweep())
        self._spawner.spawn(self._cleanup.run())
        await self._spawner.over.wait()

    async def step_down(self) -> None:
        """Store all pending changes, then vacate the leader's row."""
        try:
            await self._writer.stored()
            await self._leadership.resign()
        except LeadershipLostError as lost:
            events.log('step_down_needless', reason=str(lost))
        self._spawner.over.set()

    async def _sweep(self) -> None:
        """Remove the rows of jobs that ended long ago."""
        kept_s = self._timing.status_s + RETENTION_MARGIN_S
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            oldest_s = self._clock.wall_s() - kept_s
            ended = list(self._term.ended_at_s.items())
            for job_id, ended_at_s in ended:
                if ended_at_s < oldest_s:
                    self._term.forget(job_id)


__all__ = ('Leader',)
