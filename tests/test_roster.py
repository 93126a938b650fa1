"""Which workers a data centre's own scheduler uses, by what is said of them."""

import unittest
from types import SimpleNamespace
from typing import Any

from curranthill.scheduler.roster import Roster
from curranthill.settings import PlacementSettings
from curranthill.storage import HostEntry
from tests.support import (
    ManualClock,
    enqueue_job,
    make_job,
    make_state,
    members_on,
)

STAYING = HostEntry('w', 'worker', 'dc', 'a', 'r', 8)
LEAVING = STAYING._replace(leaving=True)


class Lister:
    """A roster of one worker, which is listed and polled by tests."""

    def __init__(self) -> None:
        """List the worker."""
        self.state = make_state(racks=1, workers=0)
        context: Any = SimpleNamespace(
            clock=ManualClock(),
            placement=PlacementSettings(),
            worker_at=lambda address: None,
        )
        self.changes = 0
        self.roster = Roster(
            context=context,
            state=self.state,
            spawn=lambda work: None,
            on_member=lambda update: True,
            on_orphan=lambda worker, lease: None,
            on_change=self._count,
        )
        self.roster.update([STAYING])

    @property
    def usable(self) -> bool:
        """Return whether the worker may take work."""
        return self.state.cluster.workers['w'].usable

    def hold(self) -> None:
        """Have a job hold the worker, so that it is not removed."""
        waiting = enqueue_job(self.state, make_job('held'))
        self.state.place(
            waiting,
            members_on(('w', 1)),
            non_preemptible=True,
            now_s=0,
            reason='test',
        )

    def contact(self, *, answers: bool = True, leaving: bool = False) -> None:
        """Have the worker answer a poll, or not."""
        listener = self.roster.watches['w']._listener  # noqa: SLF001
        listener.on_contact('w', answers, leaving)

    def _count(self) -> None:
        self.changes += 1


class LeavingTest(unittest.TestCase):
    """A worker leaves, and may come back under its name."""

    def test_a_worker_that_is_listed_as_staying_again_is_used(self) -> None:
        """Its host started again while a job held it."""
        lister = Lister()
        lister.hold()
        lister.roster.update([LEAVING])
        self.assertFalse(lister.usable)
        lister.roster.update([STAYING])
        self.assertTrue(lister.usable)
        self.assertEqual(lister.changes, 2)

    def test_a_worker_that_says_that_it_stays_again_is_used(self) -> None:
        """Its answers say so; the list never told that it leaves."""
        lister = Lister()
        lister.contact(leaving=True)
        self.assertFalse(lister.usable)
        lister.contact()
        self.assertTrue(lister.usable)

    def test_a_leaving_worker_that_is_listed_no_more_is_not_used(self) -> None:
        """A job holds it still."""
        lister = Lister()
        lister.hold()
        lister.roster.update([LEAVING])
        lister.roster.update([])
        self.assertFalse(lister.usable)

    def test_a_list_that_lags_takes_nothing_back(self) -> None:
        """The worker said that it leaves; the list does not know yet."""
        lister = Lister()
        lister.contact(leaving=True)
        lister.roster.update([STAYING])
        self.assertFalse(lister.usable)
        lister.contact(answers=False)
        self.assertFalse(lister.usable)

    def test_an_answer_does_not_take_the_list_back(self) -> None:
        """The platform takes the worker away without telling it."""
        lister = Lister()
        lister.roster.update([LEAVING])
        lister.contact()
        self.assertFalse(lister.usable)

    def test_a_worker_that_an_operator_drained_stays_so(self) -> None:
        """Neither the list nor the worker knows of it."""
        lister = Lister()
        self.assertTrue(lister.roster.drain('w'))
        lister.roster.update([STAYING])
        lister.contact()
        self.assertFalse(lister.usable)

    def test_a_silent_worker_that_answers_again_is_used(self) -> None:
        """It was not to leave."""
        lister = Lister()
        lister.contact(answers=False)
        self.assertFalse(lister.usable)
        lister.contact()
        self.assertTrue(lister.usable)


if __name__ == '__main__':
    unittest.main()
