"""The leader's term: takes in jobs, places tasks, notes ends, stores all.

Whatever the leader believes is in the store or at the workers, so that any
host can take over. A start is stored before it is ordered, and an end is
stored before it is acknowledged.
"""

from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.advice import Advisor, TicketOffice
from curranthill.dispatch.cleanup import IntakeCleanup
from curranthill.dispatch.consistency import ConsistencyCheck
from curranthill.dispatch.feeds import Feeds, WorkerFeed
from curranthill.dispatch.journal import Journal
from curranthill.dispatch.leadership import Leadership, LeadershipLostError
from curranthill.dispatch.owner import ClosureSource
from curranthill.dispatch.rounds import RevisionSource, Rounds
from curranthill.dispatch.spawner import Spawner
from curranthill.dispatch.work import Work
from curranthill.dispatch.workers import WorkerConnector
from curranthill.placement import NONE_DISABLED
from curranthill.storage.rows import RowStore
from curranthill.tasks import Timing
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Rows of ended jobs are kept so much longer than promised, in seconds.
KEEP_MARGIN_S: Final = 30.0

#: How often rows of ended jobs are looked for, in seconds.
SWEEP_INTERVAL_S: Final = 10.0


class Leader:
    """One term of leadership."""

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
        closures: ClosureSource,
        advisor: Advisor,
        disabled: frozenset[str] = NONE_DISABLED,
    ) -> None:
        """Start with nothing known.

        :param disabled: mechanisms of placement that are switched off.
        """
        self._clock = clock
        self._leadership = leadership
        self._timing = timing
        self._spawner = Spawner()
        self._journal = Journal(leadership=leadership, clock=clock)
        self._cleanup = IntakeCleanup(
            store=store,
            clock=clock,
            journal=self._journal,
        )
        self._work = Work(
            clock=clock,
            leadership=leadership,
            journal=self._journal,
            spawner=self._spawner,
            cleanup=self._cleanup,
        )
        self._feeds = Feeds(
            store=store,
            clock=clock,
            work=self._work,
            spawner=self._spawner,
            connector=connector,
            worker_feed=worker_feed,
            timing=timing,
            leadership=leadership,
            closures=closures,
        )
        self._consistency = ConsistencyCheck(
            clock=clock,
            work=self._work,
            journal=self._journal,
            recover=self._feeds.recover,
        )
        self._rounds = Rounds(
            clock=clock,
            work=self._work,
            journal=self._journal,
            spawner=self._spawner,
            revision=revision,
            office=TicketOffice(advisor=advisor, clock=clock),
            disabled=disabled,
        )

    @property
    def work(self) -> Work:
        """Return the jobs, runs and workers of this term."""
        return self._work

    async def run(self) -> None:
        """Lead until the term is over or the task is cancelled."""
        metrics.takeovers.add(1)
        events.log('leading', epoch=self._leadership.epoch)
        try:
            await self._run_parts()
        finally:
            events.log('term_over', epoch=self._leadership.epoch)
            self._leadership.abandon()
            await self._spawner.end()

    async def _run_parts(self) -> None:
        self._spawner.spawn(self._journal.run())
        await self._feeds.start()
        self._spawner.spawn(self._rounds.run())
        self._spawner.spawn(self._consistency.run())
        self._spawner.spawn(self._sweep())
        self._spawner.spawn(self._cleanup.run())
        await self._spawner.over.wait()

    async def step_down(self) -> None:
        """Store what is known and give leadership to whoever comes first."""
        try:
            await self._journal.saved()
            await self._leadership.resign()
        except LeadershipLostError as lost:
            events.log('step_down_needless', reason=str(lost))
        self._spawner.over.set()

    async def _sweep(self) -> None:
        """Remove the rows of jobs that ended long ago."""
        kept_s = self._timing.status_s + KEEP_MARGIN_S
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            oldest_s = self._clock.wall_s() - kept_s
            ended = list(self._work.ended_at_s.items())
            for job_id, ended_at_s in ended:
                if ended_at_s < oldest_s:
                    self._work.forget(job_id)


__all__ = ('Leader',)
