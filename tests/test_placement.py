"""Placement: guarantees hold after each decision and no job starves."""

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from curranthill.configuration import validate_document
from curranthill.load import fragmentation
from curranthill.scheduler import SchedulerState, policies
from curranthill.scheduler.estimates import (
    MAX_SAMPLES,
    QUANTILE,
    RunTimeEstimates,
)
from curranthill.scheduler.quick import QuickReserve
from curranthill.scheduler.search import find_placement
from curranthill.scheduler.victims import choose_victims
from tests.support import (
    ManualClock,
    enqueue_job,
    make_job,
    make_state,
    members_on,
)

SHAPES = {
    'single': {'accelerators': 1, 'adjacent': 'worker'},
    'quad': {'accelerators': 4, 'adjacent': 'worker'},
    'block': {'accelerators': 8, 'adjacent': 'worker'},
    'pair': {'accelerators': 16, 'adjacent': 'rack'},
    'rack': {'accelerators': 32, 'adjacent': 'rack'},
}
GUARANTEES = {
    'audit': [('pair', 1), ('quad', 2)],
    'ledger': [('rack', 1)],
    'casework': [],
}


def document(guarantees: dict[str, list[tuple[str, int]]]) -> Any:
    """Return a checked configuration with guarantees by workspace."""
    return validate_document(
        {
            'shapes': SHAPES,
            'data_centres': {
                'dc': {
                    'region': 'r',
                    'racks': {
                        'r0': {'workers': 4, 'slots': 8},
                        'r1': {'workers': 4, 'slots': 8},
                    },
                },
            },
            'workspaces': {
                name: {
                    'token_digests': [],
                    'guarantees': [
                        {'shape': shape, 'count': count, 'data_centre': 'dc'}
                        for shape, count in shapes
                    ],
                }
                for name, shapes in guarantees.items()
            },
        },
    )


def guaranteed_state(
    guarantees: dict[str, list[tuple[str, int]]] | None = None,
) -> SchedulerState:
    """Return a scheduler state that holds guarantees."""
    state = make_state()
    state.plan.configure(document(guarantees or GUARANTEES), 'dc')
    return state


def shaped(job_id: str, workspace: str, shape: str, **fields: Any) -> Any:
    """Return a job of a named shape."""
    size = SHAPES[shape]
    return make_job(
        job_id,
        workspace=workspace,
        shape=shape,
        slots=size['accelerators'],
        adjacent=size['adjacent'],
        **fields,
    )


class SchedulerStateMachine(RuleBasedStateMachine):
    """Arrivals, ends, worker losses and reclaimed guarantees in any order."""

    def __init__(self) -> None:
        """Initialize an empty state with guarantees."""
        super().__init__()
        self.state = guaranteed_state()
        self.policy = policies.get('guarantees')(2)
        self.now_s = 0.0
        self.number = 0

    @initialize(quick=st.integers(min_value=0, max_value=3))
    def reserve_quick_slots(self, quick: int) -> None:
        """Reserve some slots for quick work."""
        reserve = QuickReserve(
            state=self.state,
            clock=ManualClock(),
            min_slots=quick,
        )
        reserve.adjust()

    @rule(
        workspace=st.sampled_from(sorted(GUARANTEES)),
        shape=st.sampled_from(sorted(SHAPES)),
        idempotent=st.booleans(),
        checkpointable=st.booleans(),
        preemptions=st.integers(min_value=0, max_value=3),
    )
    def arrive(
        self,
        workspace: str,
        shape: str,
        idempotent: bool,
        checkpointable: bool,
        preemptions: int,
    ) -> None:
        """Add a job and place what can be placed."""
        self.number += 1
        job = shaped(
            f'dc-{self.number}',
            workspace,
            shape,
            idempotent=idempotent,
            checkpointable=checkpointable,
            preemptions=preemptions,
        )
        enqueue_job(self.state, job, self.now_s)
        self.decide()

    @rule(index=st.integers(min_value=0, max_value=99))
    def end(self, index: int) -> None:
        """End a placed job."""
        names = sorted(self.state.placed)
        if names:
            self.state.release(names[index % len(names)])
        self.decide()

    @rule(index=st.integers(min_value=0, max_value=7), usable=st.booleans())
    def change_worker(self, index: int, usable: bool) -> None:
        """Lose a worker with its jobs, or make it usable again."""
        names = sorted(self.state.cluster.workers)
        worker = self.state.cluster.workers[names[index]]
        self.state.cluster.set_usable(worker, usable)
        if not usable:
            for job_id in list(worker.jobs):
                self.state.release(job_id)
        self.state.plan.repair()
        self.decide()

    def decide(self) -> None:
        """Place what can be placed and queue the victims again."""
        self.now_s += 1
        before = {
            job_id: placed.job for job_id, placed in self.state.placed.items()
        }
        for decision in self.policy.decide(self.state, self.now_s):
            before[decision.job.job_id] = decision.job
            for victim in decision.victims:
                job = before[victim]
                enqueue_job(
                    self.state,
                    job._replace(preemptions=job.preemptions + 1),
                    self.now_s,
                )

    @invariant()
    def every_guarantee_can_be_restored(self) -> None:
        """Non-preemptible, planned and quick slots fit on each worker."""
        for worker in self.state.cluster.workers.values():
            if worker.usable:
                committed = (
                    worker.non_preemptible + worker.planned + worker.quick
                )
                assert committed <= worker.slots, worker

    @invariant()
    def plans_respect_adjacency(self) -> None:
        """Each plan is complete and uses usable workers of one rack."""
        for unit in self.state.plan:
            if not unit.planned:
                continue
            assert sum(part.slots for part in unit.planned) == unit.slots
            workers = [
                self.state.cluster.workers[part.worker] for part in unit.planned
            ]
            assert all(worker.usable for worker in workers)
            assert len({worker.rack for worker in workers}) == 1
            if unit.adjacent == 'worker':
                assert len(workers) == 1

    @invariant()
    def a_unit_at_risk_fits_nowhere(self) -> None:
        """Only a unit that fits nowhere has no planned placement."""
        for unit in self.state.plan:
            if unit.at_risk:
                placement = find_placement(
                    self.state.cluster,
                    unit.slots,
                    unit.adjacent,
                    'open',
                )
                assert placement is None, (unit, placement)

    @invariant()
    def counts_match_placed_jobs(self) -> None:
        """The slots in use on a worker are those of its jobs' members."""
        held: dict[str, int] = {}
        for placed in self.state.placed.values():
            assert (
                sum(part.slots for part in placed.members) == placed.job.slots
            )
            for part in placed.members:
                held[part.worker] = held.get(part.worker, 0) + part.slots
        for worker in self.state.cluster.workers.values():
            assert worker.non_preemptible + worker.preemptible == held.get(
                worker.name,
                0,
            )
            if worker.usable:
                assert (
                    worker.non_preemptible + worker.preemptible + worker.quick
                    <= worker.slots
                )

    @invariant()
    def no_job_with_a_free_guarantee_waits(self) -> None:
        """A guaranteed job waits only while its unit is at risk or in use."""
        for key, _ in self.state.queue.heads():
            unit = self.state.plan.free_unit(key.workspace, key.shape)
            assert unit is None or unit.at_risk


class PropertyTest(unittest.TestCase):
    """Invariants over generated inputs."""

    def test_invariants_hold_over_any_sequence(self) -> None:
        """Run the state machine with the settings of the profile."""
        run_state_machine_as_test(SchedulerStateMachine)

    @given(
        st.lists(
            st.lists(st.integers(min_value=0, max_value=8), min_size=1),
            min_size=1,
            max_size=4,
        ),
    )
    def test_fragmentation_is_a_share(
        self,
        free: list[list[int]],
    ) -> None:
        """Shares are between 0 and 1, and 0 for a gang of one."""
        shares = fragmentation(
            {str(number): workers for number, workers in enumerate(free)},
        )
        self.assertTrue(all(0 <= share <= 1 for share in shares.values()))
        self.assertEqual(shares[1], 0)


class GuaranteeTest(unittest.TestCase):
    """Restoring guarantees one by one and all at once."""

    def test_a_guarantee_is_restored_from_borrowers(self) -> None:
        """Only as much borrowed work is preempted as needed."""
        state = guaranteed_state()
        policy = policies.get('guarantees')(5)
        for number in range(8):
            enqueue_job(state, shaped(f'dc-{number}', 'casework', 'block'))
        self.assertEqual(len(policy.decide(state, 1)), 8)
        enqueue_job(state, shaped('dc-audit', 'audit', 'pair'))
        (decision,) = policy.decide(state, 2)  # noqa: WPS460
        self.assertTrue(decision.guaranteed)
        self.assertEqual(len(decision.victims), 2)

    def test_all_workspaces_reclaim_at_once(self) -> None:
        """All guarantees are restored in one pass."""
        state = guaranteed_state()
        policy = policies.get('guarantees')(5)
        for number in range(64):
            enqueue_job(state, shaped(f'dc-{number}', 'casework', 'single'))
        policy.decide(state, 1)
        for number, (workspace, shape) in enumerate(
            [('audit', 'pair'), ('audit', 'quad'), ('ledger', 'rack')],
        ):
            enqueue_job(state, shaped(f'dc-g{number}', workspace, shape))
        restored = {
            decision.job.job_id
            for decision in policy.decide(state, 2)
            if decision.guaranteed
        }
        self.assertEqual(restored, {'dc-g0', 'dc-g1', 'dc-g2'})

    def test_non_preemptible_work_avoids_guaranteed_slots(self) -> None:
        """Non-preemptible borrowed work takes only unguaranteed slots."""
        state = guaranteed_state()
        policy = policies.get('guarantees')(5)
        for number in range(64):
            job = shaped(f'dc-{number}', 'casework', 'single', idempotent=False)
            enqueue_job(state, job)
        # 64 slots less 16, 8 and 32 guaranteed ones.
        self.assertEqual(len(policy.decide(state, 1)), 8)

    def test_victims_lose_the_least_work(self) -> None:
        """A checkpointable job is preempted before one that loses work."""
        state = make_state(racks=1, workers=1)
        policy = policies.get('guarantees')(5)
        enqueue_job(state, shaped('dc-1', 'casework', 'quad'))
        enqueue_job(
            state, shaped('dc-2', 'casework', 'quad', checkpointable=True)
        )
        policy.decide(state, 1)
        victims = choose_victims(state, members_on(('r0-w0', 4)), 100)
        self.assertEqual(victims, ('dc-2',))

    def test_a_job_that_was_preempted_before_is_spared(self) -> None:
        """Of two equal jobs the same one would be preempted each time."""
        state = make_state(racks=1, workers=1)
        policy = policies.get('guarantees')(5)
        enqueue_job(state, shaped('dc-1', 'casework', 'quad', preemptions=2))
        enqueue_job(state, shaped('dc-2', 'casework', 'quad'))
        policy.decide(state, 1)
        victims = choose_victims(state, members_on(('r0-w0', 4)), 100)
        self.assertEqual(victims, ('dc-2',))

    def test_a_lost_rack_puts_guarantees_at_risk_until_it_returns(self) -> None:
        """Plans that still fit stay; the one of the lost rack is at risk."""
        state = guaranteed_state()
        rack = state.cluster.racks['r0'].workers
        for worker in rack:
            state.cluster.set_usable(worker, usable=False)
        state.plan.repair()
        at_risk = [unit.unit_id.shape for unit in state.plan if unit.at_risk]
        self.assertEqual(at_risk, ['rack'])
        for worker in rack:
            state.cluster.set_usable(worker, usable=True)
        state.plan.repair()
        self.assertFalse([unit for unit in state.plan if unit.at_risk])

    def test_a_unit_at_risk_is_planned_when_non_preemptible_work_ends(
        self,
    ) -> None:
        """Borrowed non-preemptible work ends and frees slots for it."""
        state = guaranteed_state({'ledger': [('rack', 1)]})
        policy = policies.get('guarantees')(5)
        enqueue_job(state, shaped('dc-1', 'audit', 'rack', idempotent=False))
        policy.decide(state, 1)
        lost = next(
            worker
            for worker in state.cluster.workers.values()
            if worker.planned
        )
        state.cluster.set_usable(lost, usable=False)
        state.plan.repair()
        self.assertEqual(len(state.plan.at_risk), 1)
        state.release('dc-1')
        self.assertEqual(state.plan.at_risk, set())

    def test_a_job_that_was_preempted_often_still_runs(self) -> None:
        """It is preemptible again if guarantees leave no other slots."""
        state = guaranteed_state()
        policy = policies.get('guarantees')(2)
        for number in range(8):
            job = shaped(f'dc-{number}', 'casework', 'block', preemptions=2)
            enqueue_job(state, job)
        placed = policy.decide(state, 1)
        self.assertEqual(len(placed), 8)
        non_preemptible = [
            one for one in state.placed.values() if one.non_preemptible
        ]
        self.assertEqual(len(non_preemptible), 1)


class OrderTest(unittest.TestCase):
    """Order among large gangs and small jobs."""

    def test_a_large_gang_does_not_starve_behind_small_jobs(self) -> None:
        """Workers are reserved for it while small jobs keep arriving."""
        state = make_state(racks=1)
        policy = policies.get('guarantees')(5)
        number = 0
        ends: dict[str, int] = {}
        for second in range(200):
            for _ in range(3):
                number += 1
                job = shaped(f'dc-{number}', 'casework', 'single')
                enqueue_job(state, job._replace(run_time_s=10), second)
            if second == 20:
                gang = shaped('dc-gang', 'foundations', 'rack')
                enqueue_job(state, gang._replace(run_time_s=5), second)
            for job_id, end in list(ends.items()):
                if end <= second:
                    state.release(job_id)
                    ends.pop(job_id)
            for decision in policy.decide(state, second):
                ends[decision.job.job_id] = second + int(
                    decision.job.run_time_s,
                )
                if decision.job.job_id == 'dc-gang':
                    # It waits sixteen run times before workers are reserved.
                    self.assertLess(second, 20 + 16 * 5 + 20)
                    return
        self.fail('the gang did not start')

    def test_small_jobs_backfill_reserved_workers(self) -> None:
        """A job that ends before the gang is expected to start runs."""
        state = make_state(racks=1)
        policy = policies.get('guarantees')(5)
        enqueue_job(state, shaped('dc-1', 'a', 'block', run_time_s=1000))
        policy.decide(state, 0)
        enqueue_job(state, shaped('dc-2', 'b', 'rack', run_time_s=10))
        enqueue_job(state, shaped('dc-3', 'c', 'single', run_time_s=10), 1)
        enqueue_job(state, shaped('dc-4', 'd', 'single', run_time_s=9000), 1)
        placed = {decision.job.job_id for decision in policy.decide(state, 161)}
        self.assertEqual(placed, {'dc-3'})

    def test_no_worker_is_reserved_for_guaranteed_slots(self) -> None:
        """A gang that only fits on guaranteed slots leaves no worker idle."""
        state = make_state(racks=1)
        one_rack = document({'ledger': [('pair', 1)]})
        state.plan.configure(one_rack, 'dc')
        policy = policies.get('guarantees')(5)
        enqueue_job(state, shaped('dc-1', 'ledger', 'pair', run_time_s=1000))
        policy.decide(state, 1)
        enqueue_job(state, shaped('dc-2', 'audit', 'rack', run_time_s=1), 1)
        policy.decide(state, 500)
        enqueue_job(state, shaped('dc-3', 'casework', 'block'), 500)
        placed = [one.job.job_id for one in policy.decide(state, 502)]
        self.assertEqual(placed, ['dc-3'])

    def test_estimates_follow_actual_run_times(self) -> None:
        """The estimate is the quantile of actual over declared times."""
        estimates = RunTimeEstimates()
        self.assertEqual(estimates.run_time_s('w', 'k', 10), 10)
        for actual in range(MAX_SAMPLES):
            estimates.record_run('w', 'k', declared_s=10, actual_s=10 + actual)
        expected_s = 10 + int(MAX_SAMPLES * QUANTILE)
        self.assertAlmostEqual(estimates.run_time_s('w', 'k', 10), expected_s)

    def test_fifo_first_fit_lets_the_head_block(self) -> None:
        """Later jobs pass one that does not fit only with skipping."""
        state = make_state(racks=1, workers=1)
        enqueue_job(state, shaped('dc-1', 'a', 'quad'), 1)
        enqueue_job(state, shaped('dc-2', 'a', 'block'), 2)
        enqueue_job(state, shaped('dc-3', 'a', 'quad'), 3)
        strict = policies.get('fifo_first_fit')(5)
        self.assertEqual(len(strict.decide(state, 4)), 1)
        skipping = policies.get('fifo_skipping')(5)
        self.assertEqual(len(skipping.decide(state, 5)), 1)
