"""What operators see of jobs that wait, and of those turned away."""

import unittest
from typing import Any
from unittest.mock import patch

from curranthill.admission import waiting_reason
from curranthill.commands.trace import told
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
from tests.test_door import GANG, RUN_S, gang, is_refused, overload


def worker(gpus: int, rack: str = 'r1') -> WorkerCapacity:
    """Return a worker with some accelerators free."""
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
    *rooms: WorkerCapacity,
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
    free = [room.free for room in rooms]
    found = waiting_reason(
        ready._replace(exclusive=exclusive),
        rooms,
        beyond_guarantee=beyond,
        reserved=reserved,
        advised=advised,
        wait_for_rack=wait_for_rack,
    )
    assert [room.free for room in rooms] == free
    return found


class ReasonTest(unittest.TestCase):
    """What a step waits for."""

    def test_room_that_nobody_has(self) -> None:
        """Not even idle: too large, or of another kind."""
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

    def test_room_that_others_have(self) -> None:
        """A gang needs all of it, a plain step some."""
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

    def test_room_in_one_rack(self) -> None:
        """Enough in two racks, in none of them."""
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
        """It was told to wait for one rack, though any would do by then."""
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
        """Free capacity beside others does not do."""
        step = Step(width=1, needs=ONE_GPU, estimate_s=1.0)
        self.assertEqual(
            reason(step, worker(3), exclusive=True),
            'an empty worker, as a suspect',
        )
        self.assertEqual(reason(step, worker(0), exclusive=True), 'no room')

    def test_room_that_is_kept_for_nobody(self) -> None:
        """It fits: the advisor has not allowed it, or it is not its turn."""
        self.assertEqual(
            reason(GANG, worker(8), reserved=False, advised=True),
            'workers that its advisor allows',
        )
        self.assertEqual(
            reason(GANG, worker(8), reserved=False),
            'its turn, it fits and no room is kept',
        )


class LabelsTest(unittest.TestCase):
    """However many workspaces there are."""

    def test_names_past_the_most_share_a_label(self) -> None:
        """The first ones keep theirs."""
        labels = BoundedLabels(most=2)
        given = [labels.label(name) for name in ('a', 'b', 'c', 'a', 'd')]
        self.assertEqual(given, ['a', 'b', OTHERS, 'a', OTHERS])


class Lines:
    """Keeps events instead of writing them."""

    def __init__(self) -> None:
        """Start without lines."""
        self.lines: list[dict[str, Any]] = []

    def log(self, kind: str, **fields: Any) -> None:
        """Keep one."""
        self.lines.append({'event': kind, 't_s': 0.0, 'host': 'h', **fields})

    def of(self, kind: str) -> list[dict[str, Any]]:
        """Return the lines of one kind."""
        return [line for line in self.lines if line['event'] == kind]


class Gauge:
    """Keeps the newest value of each label."""

    def __init__(self) -> None:
        """Start without values."""
        self.values: dict[str, float] = {}

    def set(self, amount: float, labels: dict[str, str]) -> None:
        """Keep one."""
        self.values[labels['workspace']] = amount


class BoardTest(unittest.TestCase):
    """A full cluster as its operators see it."""

    def test_the_oldest_waiting_jobs_are_told_with_their_reason(self) -> None:
        """Two of each priority in a second; a trace tells it in words."""

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
            self.assertIn('waits for no room', told(last[0], 0.0))
            # The outlook's first second is 2 s after the term's begin.
            self.assertLessEqual(len(lines.of('waiting')), 2 * 4)

        in_domain(case, workers=4, run_s=RUN_S)

    def test_the_job_that_room_is_kept_for_is_named(self) -> None:
        """A gang of three workers waits; a small job waits for it."""

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
            told_of = {line['job']: line for line in lines.of('waiting')}
            small = told_of['small']
            self.assertEqual(
                small['waits_for'],
                'room that is kept for others',
            )
            self.assertEqual(small['kept_for'], ('wide',))
            self.assertEqual(told_of['wide']['waits_for'], 'no room')
            self.assertEqual(told_of['wide']['kept_for'], ())
            counts = [
                small[f'workers_{name}']
                for name in ('listed', 'usable', 'empty', 'with_suspect')
            ]
            self.assertEqual(counts, [3, 3, 2, 0])
            sentence = told(small, 0.0)
            self.assertIn('kept for others (wide)', sentence)
            self.assertIn('of 3 workers 3 usable, 2 empty', sentence)

        in_domain(case, workers=3, run_s=RUN_S)

    def test_a_job_that_waits_since_the_clock_was_set_back_is_told(
        self,
    ) -> None:
        """It was accepted in what is the future now, and was passed over."""

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
            told_of = {line['job'] for line in lines.of('waiting')}
            self.assertEqual(told_of, {'late'})

        in_domain(case, run_s=RUN_S)

    def test_workers_with_a_suspect_are_counted(self) -> None:
        """Of two workers one leaves; the other has a suspect."""

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

    def test_workspaces_are_counted_and_forgotten(self) -> None:
        """The largest by name, the rest as one; nobody stays on the board."""

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
        """With the outlook's age and the expected wait."""

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
            self.assertIn('turned away: too late', told(line, 0.0))

        in_domain(case, workers=4, run_s=RUN_S)


if __name__ == '__main__':
    unittest.main()
