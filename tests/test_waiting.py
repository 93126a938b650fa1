"""How waiting jobs and refused jobs are reported to operators."""

import unittest
from typing import Any
from unittest.mock import patch

from curranthill.admission import waiting_reason
from curranthill.commands.trace import describe_event
from curranthill.dispatch import waiting
from curranthill.entry import job_handler
from curranthill.placement import (
    RUNNING,
    ActiveJob,
    Run,
    WorkerCapacity,
    WorkerEntry,
)
from curranthill.tasks import JobProgress, Resources, Step, TaskKey
from curranthill.telemetry import metrics
from curranthill.telemetry.labels import OTHERS, BoundedLabels
from tests.domain import (
    ONE_GPU,
    SERVICE,
    WORKER_CAPACITY,
    Domain,
    in_domain,
    make_spec,
)
from tests.test_load_shedding import GANG, RUN_S, gang, is_refused, overload


def worker(gpus: int, rack: str = 'r1') -> WorkerCapacity:
    """Return a worker with some free accelerators."""
    entry = WorkerEntry(
        worker_id=rack,
        service=SERVICE,
        address='',
        data_centre='dc',
        capacity=WORKER_CAPACITY,
        labels=('a', rack),
    )
    run = Run(
        key=TaskKey('other', 0, 0, 0),
        attempt=1,
        worker_id=rack,
        needs=Resources(gpus=8 - gpus),
        priority=0,
        checkpointable=False,
        state=RUNNING,
        now_s=0.0,
    )
    return WorkerCapacity(entry=entry, runs=(run,), failure_score=0.0)


def reason(
    step: Step,
    *capacities: WorkerCapacity,
    beyond: bool = False,
    exclusive: bool = False,
    reserved: bool = True,
    advised: bool = False,
    wait_for_rack: bool = True,
) -> str:
    """Return what a step waits for."""
    spec = make_spec('a1', step)
    job = ActiveJob(spec=spec, progress=JobProgress('q', tasks={}))
    ready = next(job.ready_steps(spec.accepted_at_s))
    free = [capacity.free for capacity in capacities]
    found = waiting_reason(
        ready._replace(exclusive=exclusive),
        capacities,
        beyond_guarantee=beyond,
        reserved=reserved,
        advised=advised,
        wait_for_rack=wait_for_rack,
    )
    assert [capacity.free for capacity in capacities] == free
    return found


class ReasonTest(unittest.TestCase):
    """What a step waits for."""

    def test_no_worker_is_large_enough(self) -> None:
        """Even an idle one does not fit: too small, or of another kind."""
        wide = GANG._replace(width=3)
        self.assertEqual(
            reason(wide, worker(8), worker(8)),
            'no worker is large enough',
        )
        other = GANG._replace(label='b')
        self.assertEqual(
            reason(other, worker(8)),
            'no worker is large enough',
        )

    def test_capacity_used_by_others(self) -> None:
        """A gang needs capacity for all tasks, a plain step for some."""
        step = Step(width=2, needs=ONE_GPU, estimate_s=1.0)
        self.assertEqual(reason(step, worker(0)), 'no room')
        self.assertEqual(
            reason(step._replace(gang=True), worker(1), worker(0)),
            'no room',
        )
        self.assertEqual(
            reason(GANG, worker(7), beyond=True),
            'no room, and beyond its guarantee',
        )

    def test_capacity_in_one_rack(self) -> None:
        """Two racks have enough together, neither has alone."""
        pair = GANG._replace(width=2, same_rack=True)
        full = (worker(0, 'r1'), worker(0, 'r2'))
        workers = (worker(8, 'r1'), worker(8, 'r2'), *full)
        idle = (worker(8, 'r1'), worker(8, 'r1'))
        self.assertEqual(reason(pair, *workers), 'room in one rack')
        near = GANG._replace(near_rack='r1')
        busy = (worker(7, 'r1'), worker(8, 'r2'))
        self.assertEqual(reason(near, *busy), 'room in one rack')
        self.assertEqual(reason(pair, *idle), 'room that is kept for others')

    def test_a_gang_that_has_waited_for_its_rack_waits_for_others(
        self,
    ) -> None:
        """It must not be reported as waiting for a rack: any would do."""
        pair = GANG._replace(width=2, same_rack=True)
        full = (worker(0, 'r1'), worker(0, 'r2'))
        workers = (worker(8, 'r1'), worker(8, 'r2'), *full)
        self.assertEqual(
            reason(pair, *workers, wait_for_rack=False),
            'room that is kept for others',
        )
        self.assertEqual(
            reason(pair, *workers, wait_for_rack=False, reserved=False),
            'its turn, it fits and no room is kept',
        )

    def test_an_empty_worker_for_a_suspect(self) -> None:
        """Free capacity beside other runs does not suffice."""
        step = Step(width=1, needs=ONE_GPU, estimate_s=1.0)
        self.assertEqual(
            reason(step, worker(3), exclusive=True),
            'an empty worker, as a suspect',
        )
        self.assertEqual(reason(step, worker(0), exclusive=True), 'no room')

    def test_free_capacity_that_is_not_reserved(self) -> None:
        """The step fits, but lacks a ticket or waits for a later round."""
        self.assertEqual(
            reason(GANG, worker(8), reserved=False, advised=True),
            'workers that its advisor allows',
        )
        self.assertEqual(
            reason(GANG, worker(8), reserved=False),
            'its turn, it fits and no room is kept',
        )


class LabelsTest(unittest.TestCase):
    """The number of labels is bounded, whatever the number of workspaces."""

    def test_names_beyond_the_limit_share_a_label(self) -> None:
        """The first names keep labels of their own."""
        labels = BoundedLabels(max_names=2)
        given = [labels.label(name) for name in ('a', 'b', 'c', 'a', 'd')]
        self.assertEqual(given, ['a', 'b', OTHERS, 'a', OTHERS])


class Lines:
    """Records log events instead of writing them."""

    def __init__(self) -> None:
        """Initialize a log without lines."""
        self.lines: list[dict[str, Any]] = []

    def log(self, kind: str, **fields: Any) -> None:
        """Record an event."""
        self.lines.append({'event': kind, 't_s': 0.0, 'host': 'h', **fields})

    def of(self, kind: str) -> list[dict[str, Any]]:
        """Return the lines of one kind."""
        return [line for line in self.lines if line['event'] == kind]


class Gauge:
    """Records the newest value of each label."""

    def __init__(self) -> None:
        """Initialize a gauge without values."""
        self.values: dict[str, float] = {}

    def set(self, amount: float, labels: dict[str, str]) -> None:
        """Record a value."""
        self.values[labels['workspace']] = amount


class ReporterTest(unittest.TestCase):
    """What is reported to operators of a full cluster."""

    def test_the_oldest_waiting_jobs_are_logged_with_their_reason(self) -> None:
        """Two of each priority in a second; a trace puts it in words."""

        async def case(domain: Domain) -> None:
            lines = Lines()
            with patch.object(waiting, 'events', lines):
                await overload(domain)
            last = lines.of('waiting')[-2:]
            self.assertEqual(
                [line['waits_for'] for line in last],
                ['no room', 'no room'],
            )
            self.assertEqual(len({line['job'] for line in last}), 2)
            self.assertIn('waits for no room', describe_event(last[0], 0.0))
            # The first forecast is made 2 s after the start of the term.
            self.assertLessEqual(len(lines.of('waiting')), 2 * 4)

        in_domain(case, workers=4, run_s=RUN_S)

    def test_the_job_with_reserved_capacity_is_named(self) -> None:
        """A gang of three workers waits, and a small job waits for it."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(gang('busy', domain))
            await domain.clock.advance(1.0)
            wide = GANG._replace(width=3)
            await host.accept(gang('wide', domain)._replace(steps=(wide,)))
            await host.accept(gang('small', domain, priority=2))
            lines = Lines()
            with patch.object(waiting, 'events', lines):
                await domain.clock.advance(3.0)
            logged = {line['job']: line for line in lines.of('waiting')}
            small = logged['small']
            self.assertEqual(
                small['waits_for'],
                'room that is kept for others',
            )
            self.assertEqual(small['kept_for'], ('wide',))
            self.assertEqual(logged['wide']['waits_for'], 'no room')
            self.assertEqual(logged['wide']['kept_for'], ())
            counts = [
                small[f'workers_{name}']
                for name in ('listed', 'usable', 'empty', 'with_suspect')
            ]
            self.assertEqual(counts, [3, 3, 2, 0])
            sentence = describe_event(small, 0.0)
            self.assertIn('kept for others (wide)', sentence)
            self.assertIn('of 3 workers 3 usable, 2 empty', sentence)

        in_domain(case, workers=3, run_s=RUN_S)

    def test_a_job_that_waits_since_the_clock_was_set_back_is_logged(
        self,
    ) -> None:
        """Its acceptance lies in the future now, for which it was skipped."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            wide = GANG._replace(width=3)
            spec = gang('late', domain)._replace(steps=(wide,))
            ahead_s = spec.accepted_at_s + 60.0
            await host.accept(spec._replace(accepted_at_s=ahead_s))
            lines = Lines()
            with patch.object(waiting, 'events', lines):
                await domain.clock.advance(4.0)
            logged = {line['job'] for line in lines.of('waiting')}
            self.assertEqual(logged, {'late'})

        in_domain(case, run_s=RUN_S)

    def test_workers_with_a_suspect_are_counted(self) -> None:
        """Of two workers one drains; the other has a suspect."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            one_gpu = Step(width=1, needs=ONE_GPU, estimate_s=RUN_S)
            await host.accept(make_spec('alone', one_gpu))
            await domain.clock.advance(1.0)
            leader = host.leader
            assert leader is not None
            for run in leader.term.jobs['alone'].runs.values():
                run.exclusive = True
                name = run.worker_id
            other = next(one for one in domain.workers if one != name)
            entry = domain.workers[other].entry
            domain.list_worker(entry._replace(leaving=True))
            await domain.clock.advance(1.0)
            await host.accept(gang('whole', domain))
            lines = Lines()
            with patch.object(waiting, 'events', lines):
                await domain.clock.advance(3.0)
            line = lines.of('waiting')[-1]
            counts = [
                line[f'workers_{name}']
                for name in ('listed', 'usable', 'empty', 'with_suspect')
            ]
            self.assertEqual(counts, [2, 1, 0, 1])

        in_domain(case, run_s=30.0)

    def test_workspaces_are_counted_and_reset(self) -> None:
        """The largest by name, the rest together; in the end all are zero."""

        async def case(domain: Domain) -> None:
            gauge = Gauge()
            with patch.object(
                metrics,
                'workspace_waiting_jobs',
                gauge,
            ):
                host = domain.start_host('h1')
                await domain.leader()
                for number in range(18):
                    spec = gang(f'w{number}', domain)
                    # Twelve workspaces, of which four have two jobs.
                    team = f'team-{max(number - 6, 0):02}'
                    await host.accept(spec._replace(workspace=team))
                await domain.clock.advance(3.0)
                self.assertIn(OTHERS, gauge.values)
                self.assertEqual(len(gauge.values), 11)
                self.assertEqual(sum(gauge.values.values()), 16)
                for number in range(18):
                    await host.during(host.handler.cancel(f'w{number}'))
                await domain.clock.advance(3.0)
                self.assertEqual(sum(gauge.values.values()), 0)

        in_domain(case, run_s=RUN_S)

    def test_each_refusal_is_one_line(self) -> None:
        """It has the age of the forecast and the expected wait."""

        async def case(domain: Domain) -> None:
            _, second = await overload(domain)
            lines = Lines()
            with patch.object(job_handler, 'events', lines):
                self.assertTrue(await is_refused(second, gang('a1', domain)))
            line = lines.of('turned_away')[0]
            self.assertEqual(len(lines.of('turned_away')), 1)
            self.assertEqual(line['reason'], 'too late')
            self.assertGreater(line['expected_wait_s'], 90.0)
            self.assertLess(line['outlook_age_s'], 2.5)
            self.assertIn(
                'refused by load shedding: too late; expected wait ',
                describe_event(line, 0.0),
            )

        in_domain(case, workers=4, run_s=RUN_S)


if __name__ == '__main__':
    unittest.main()
