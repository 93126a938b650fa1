"""Urgent jobs that wait for runs that end before a stop would end them."""

import unittest

from curranthill.placement import ActiveJob, Plan, Planner, Run
from curranthill.placement.preemptions import MAX_AWAITED_S
from curranthill.tasks import Step
from tests.domain import SERVICE, make_spec
from tests.test_planner import NOW_S, make_job, make_run, make_worker, needs

URGENT = Step(width=1, needs=needs(8), estimate_s=1.0)
GANG = Step(width=2, needs=needs(8), estimate_s=10.0, gang=True)


def ending_run(worker_id: str, *, percent: float = 98, rank: int = 0) -> Run:
    """Return a run of a gang that has run for nearly 10 s."""
    run = make_run(worker_id, 8, age_s=9.8, job_id='gang', rank=rank)
    run.estimate_s = 10.0
    run.done_percent = percent
    run.percent_changed_s = 9.8
    return run


def plan_round(
    urgent: ActiveJob, *runs: Run, now_s: float = NOW_S, gang: bool = False
) -> Plan:
    """Return the decisions for an urgent job; each run has its worker.

    Another worker runs something that has just started.
    """
    other = make_run('b1', 8, age_s=0.1, job_id='other')
    known = [urgent]
    if gang:
        known.append(make_job(make_spec('gang', GANG, priority=2), runs))
    planner = Planner(
        workers={
            SERVICE: [
                make_worker('b1', 'r1', other),
                *(make_worker(run.worker_id, 'r1', run) for run in runs),
            ]
        },
        guaranteed={},
        now_s=now_s,
        tickets=lambda job, ready: {},
    )
    return planner.plan(known)


class AwaitedEndsTest(unittest.TestCase):
    """One urgent job that no guarantee covers, on a full cluster."""

    def setUp(self) -> None:
        """Submit the job."""
        self.urgent = make_job(make_spec('u', URGENT, priority=0))

    def test_a_gang_ends_with_its_last_member(self) -> None:
        """One that has done its work waits for the others."""
        members = (
            ending_run('a1', percent=100, rank=0),
            ending_run('a2', percent=50, rank=1),
        )
        decided = plan_round(self.urgent, *members, gang=True)
        self.assertEqual([run.worker_id for run in decided.victims], ['b1'])
        members[1].done_percent = 98
        self.assertEqual(
            plan_round(self.urgent, *members, gang=True).victims, ()
        )

    def test_an_end_that_does_not_come_is_not_waited_for_any_longer(
        self,
    ) -> None:
        """Its progress may slow down, and the urgent job has to start."""
        ending = ending_run('a1')
        self.assertEqual(plan_round(self.urgent, ending).victims, ())
        soon_s = NOW_S + 0.9 * MAX_AWAITED_S
        decided = plan_round(self.urgent, ending, now_s=soon_s)
        self.assertEqual(decided.victims, ())
        later_s = NOW_S + 1.1 * MAX_AWAITED_S
        decided = plan_round(self.urgent, ending, now_s=later_s)
        self.assertEqual([run.worker_id for run in decided.victims], ['b1'])


if __name__ == '__main__':
    unittest.main()
