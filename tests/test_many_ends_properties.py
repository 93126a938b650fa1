"""Properties of ends that a worker holds back, for random faults."""

import asyncio
import unittest
from typing import Final
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from curranthill.dispatch.crashes import LEASE_EXPIRED
from curranthill.dispatch.ends import MIN_OVERDUE_ENDS
from curranthill.dispatch.session import WorkerSession
from curranthill.placement import Run, WorkerEntry
from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import TaskKey
from tests.domain import WORKER_CAPACITY
from tests.support import ManualClock, run
from tests.test_restarted_workers import (
    DelayedStoreOwner,
    SlowReportWorker,
    SlowResponseWorker,
    SteadyWorker,
)
from tests.test_session import assigned_run, open_session

#: The time in which all ends drain once there are no faults, in seconds.
DRAIN_S: Final = 10.0

#: The examples of a profile; each of these is short.
EXAMPLES: Final = settings().max_examples

#: Starts that one step orders together.
BURST: Final = 6

ACTIONS: Final = (
    'start',
    'start',
    'start_many',
    'lose_answer',
    'restart',
    'restart',
    'cut',
    'hold_store',
    'open_store',
    'open_store',
)

STEPS: Final = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.sampled_from((0.0, 0.001, 0.004, 0.02, 0.3, 1.1)),
    ),
    min_size=1,
    max_size=30,
)


class RecordingOwner(DelayedStoreOwner):
    """Records which runs were dropped while they could still exist.

    :param absent: the tasks of the runs that reports showed to be absent.
    """

    def __init__(self) -> None:
        """Initialize an owner whose store responds."""
        super().__init__()
        self.stored.set()
        self.absent: list[TaskKey] = []

    def run_absent(self, session: WorkerSession, run: Run, reason: str) -> None:
        """Record the task, unless its worker's lease has expired."""
        if reason != LEASE_EXPIRED:
            self.absent.append(run.key)


KINDS: Final = (
    TaskWorkerModel,
    SteadyWorker,
    SlowReportWorker,
    SlowResponseWorker,
)


class Play:
    """One worker that lists few ends at a time, its session, and faults."""

    def __init__(
        self, *, kind: type[TaskWorkerModel], max_listed: int, run_s: float
    ) -> None:
        """Initialize a worker that the session has not reached yet."""
        self.clock = ManualClock()
        entry = WorkerEntry('w1', 'calc', '10.0.0.1:80', 'dc', WORKER_CAPACITY)
        self.model = kind(entry=entry, clock=self.clock, run_s=run_s)
        self.model.max_listed_ends = max_listed
        self.owner = RecordingOwner()
        self.session = open_session(self.model, self.owner, self.clock, 1)
        self._starts = 0
        self._orders: set[asyncio.Future[None]] = set()

    async def run(self, steps: list[tuple[str, float]]) -> None:
        """Play the steps, then end all faults."""
        serving = asyncio.ensure_future(self.session.run())
        await self.clock.advance(0.1)
        for action, wait_s in steps:
            getattr(self, action)()
            await self.clock.advance(wait_s)
        self.open_store()
        self.model.disconnected = False
        self.model.late_starts = 0
        await self.clock.advance(DRAIN_S)
        serving.cancel()
        await asyncio.gather(serving, *self._orders, return_exceptions=True)

    def start(self) -> None:
        """Order the start of one more task."""
        self._starts += 1
        key = TaskKey(f'a{self._starts}', 0, 0, 0)
        one = assigned_run(self.clock, key, self.session.incarnation)
        self.session.runs[one.name] = one
        order = asyncio.ensure_future(self.session.start(one, 'text'))
        self._orders.add(order)

    def start_many(self) -> None:
        """Order several starts."""
        for _ in range(BURST):
            self.start()

    def lose_answer(self) -> None:
        """Lose the response of the next start, which takes effect."""
        self.model.late_starts = 1
        self.model.late_s = 0.0

    def restart(self) -> None:
        """Restart the worker under its id."""
        self.model.restart()

    def cut(self) -> None:
        """Toggle whether the worker is cut off."""
        self.model.disconnected = not self.model.disconnected

    def hold_store(self) -> None:
        """Have the store respond to nothing."""
        self.owner.stored.clear()

    def open_store(self) -> None:
        """Have the store respond again."""
        self.owner.stored.set()


class HeldBackEndsTest(unittest.TestCase):
    """No end is lost, whichever part of them a report lists."""

    @settings(max_examples=EXAMPLES * 5)
    @given(
        STEPS,
        st.sampled_from(KINDS),
        st.sampled_from((1, 2, 5)),
        st.sampled_from((0.0, 0.01, 0.2)),
        st.sampled_from((1, 3, MIN_OVERDUE_ENDS)),
    )
    def test_each_end_is_recorded_before_it_is_acknowledged(
        self,
        steps: list[tuple[str, float]],
        kind: type[TaskWorkerModel],
        max_listed: int,
        run_s: float,
        min_overdue: int,
    ) -> None:
        """Neither pages nor a new incarnation between them lose one.

        With few overdue ends starts pause often; each is carried out later.
        """
        play = Play(kind=kind, max_listed=max_listed, run_s=run_s)
        with patch('curranthill.dispatch.ends.MIN_OVERDUE_ENDS', min_overdue):
            run(play.run(steps))
        ended = play.owner.ended
        acknowledged = {end.task for end in play.model.acknowledged}
        self.assertLessEqual(acknowledged, set(ended))
        self.assertEqual(set(ended) & set(play.owner.absent), set())
        self.assertEqual(play.model.ends, [])
        self.assertEqual(play.session.runs, {})


if __name__ == '__main__':
    unittest.main()
