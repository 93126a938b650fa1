"""Which workers a scheduler uses, by the host list, polls and operators."""

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

ACTIVE = HostEntry('w', 'worker', 'dc', 'a', 'r', 8)
DRAINING = ACTIVE._replace(leaving=True)


class RosterFixture:
    """A roster of one worker, whose listing and polls tests control."""

    def __init__(self) -> None:
        """Initialize with the worker listed."""
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
        self.roster.update([ACTIVE])

    @property
    def usable(self) -> bool:
        """Return whether the worker may take work."""
        return self.state.cluster.workers['w'].usable

    def hold(self) -> None:
        """Place a job on the worker, so that it is not removed."""
        waiting = enqueue_job(self.state, make_job('held'))
        self.state.place(
            waiting,
            members_on(('w', 1)),
            non_preemptible=True,
            now_s=0,
            reason='test',
        )

    def contact(self, *, responds: bool = True, draining: bool = False) -> None:
        """Simulate a poll with or without a response."""
        listener = self.roster.watches['w']._listener  # noqa: SLF001
        listener.on_contact('w', responds, draining)

    def _count(self) -> None:
        self.changes += 1


class DrainingTest(unittest.TestCase):
    """A worker drains and may return under its name."""

    def test_a_worker_that_is_listed_as_active_again_is_used(self) -> None:
        """Its host restarted while a job held slots on it."""
        fixture = RosterFixture()
        fixture.hold()
        fixture.roster.update([DRAINING])
        self.assertFalse(fixture.usable)
        fixture.roster.update([ACTIVE])
        self.assertTrue(fixture.usable)
        self.assertEqual(fixture.changes, 2)

    def test_a_worker_that_reports_itself_active_again_is_used(self) -> None:
        """Only its responses reported that it was draining."""
        fixture = RosterFixture()
        fixture.contact(draining=True)
        self.assertFalse(fixture.usable)
        fixture.contact()
        self.assertTrue(fixture.usable)

    def test_a_draining_worker_that_is_not_listed_any_more_is_not_used(
        self,
    ) -> None:
        """A job still holds slots on it."""
        fixture = RosterFixture()
        fixture.hold()
        fixture.roster.update([DRAINING])
        fixture.roster.update([])
        self.assertFalse(fixture.usable)

    def test_an_outdated_list_does_not_revoke_a_report(self) -> None:
        """The worker reports that it drains, the list does not yet."""
        fixture = RosterFixture()
        fixture.contact(draining=True)
        fixture.roster.update([ACTIVE])
        self.assertFalse(fixture.usable)
        fixture.contact(responds=False)
        self.assertFalse(fixture.usable)

    def test_a_report_does_not_revoke_the_list(self) -> None:
        """The platform drains the worker without notifying it."""
        fixture = RosterFixture()
        fixture.roster.update([DRAINING])
        fixture.contact()
        self.assertFalse(fixture.usable)

    def test_a_worker_that_an_operator_drained_stays_drained(self) -> None:
        """Neither the list nor the worker reports the drain."""
        fixture = RosterFixture()
        self.assertTrue(fixture.roster.drain('w'))
        fixture.roster.update([ACTIVE])
        fixture.contact()
        self.assertFalse(fixture.usable)

    def test_an_unresponsive_worker_that_responds_again_is_used(self) -> None:
        """It was not draining."""
        fixture = RosterFixture()
        fixture.contact(responds=False)
        self.assertFalse(fixture.usable)
        fixture.contact()
        self.assertTrue(fixture.usable)


if __name__ == '__main__':
    unittest.main()
