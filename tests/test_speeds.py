"""Speeds of workers, learnt from gangs, and who is placed where by them."""

import unittest
from collections.abc import Sequence

from curranthill.placement import Room, Run, Speeds
from curranthill.tasks import Step
from tests.domain import make_spec
from tests.test_planner import (
    make_job,
    make_room,
    make_run,
    needs,
    placed,
    plan,
)

#: The interval at which workers report, in seconds.
REPORTED_EVERY_S = 1.5


def reported(
    rates: Sequence[float],
    *,
    seconds: int = 9,
    gang: bool = True,
    near_rack: str = '',
) -> tuple[Speeds, list[Run]]:
    """Return what is learnt of workers w0, w1 and so on from one step.

    :param rates: each worker's progress in percent a second.
    """
    step = Step(
        width=len(rates),
        needs=needs(8),
        gang=gang,
        near_rack=near_rack,
    )
    runs = [
        make_run(f'w{rank}', 8, job_id='g', rank=rank)
        for rank in range(len(rates))
    ]
    job = make_job(make_spec('g', step), runs)
    speeds = Speeds()
    now_s = 0.0
    while now_s < seconds:
        now_s += REPORTED_EVERY_S
        for run, rate in zip(runs, rates, strict=True):
            run.note_progress(min(int(rate * now_s), 100), now_s)
        speeds.learn([job])
    return speeds, runs


def grades(speeds: Speeds, count: int) -> list[int]:
    """Return the grades of workers w0, w1 and so on."""
    return [speeds.grade_of(f'w{number}') for number in range(count)]


class LearningTest(unittest.TestCase):
    """What progress tells of workers."""

    def test_members_of_a_gang_tell_their_workers_apart(self) -> None:
        """Four fifths, the ordinary and five quarters of its speed."""
        speeds, _ = reported([8, 10, 10, 12.5])
        slow, one, other, fast = grades(speeds, 4)
        self.assertEqual([one, other], [0, 0])
        self.assertAlmostEqual(slow, -2, delta=1)
        self.assertAlmostEqual(fast, 2, delta=1)

    def test_a_worker_that_stands_still_moves_no_other(self) -> None:
        """Its fellows stay ordinary; it becomes the slowest by far."""
        speeds, _ = reported([0, 10, 10, 10])
        self.assertEqual(grades(speeds, 4)[1:], [0, 0, 0])
        self.assertLess(speeds.grade_of('w0'), -10)

    def test_tasks_that_differ_in_length_tell_nothing(self) -> None:
        """The members of a step that is no gang."""
        speeds, _ = reported([8, 10, 12], gang=False)
        self.assertEqual(grades(speeds, 3), [0, 0, 0])

    def test_members_near_and_far_from_their_data_tell_nothing(self) -> None:
        """Away from it they are slower by a factor that is not the worker's."""
        speeds, _ = reported([4, 10, 12], near_rack='r1')
        self.assertEqual(grades(speeds, 3), [0, 0, 0])

    def test_a_reading_counts_once(self) -> None:
        """Looked at again without a new report, nothing changes."""
        speeds, runs = reported([8, 10, 10], seconds=3)
        before = grades(speeds, 3)
        step = Step(width=3, needs=needs(8), gang=True)
        job = make_job(make_spec('g', step), runs)
        for _ in range(20):
            speeds.learn([job])
        self.assertEqual(grades(speeds, 3), before)

    def test_a_worker_that_turns_slow_is_known_after_a_few_reports(
        self,
    ) -> None:
        """It was ordinary for nine seconds and then takes five times longer."""
        speeds, runs = reported([5, 5, 5])
        job = make_job(
            make_spec('g', Step(width=3, needs=needs(8), gang=True)),
            runs,
        )
        for number in range(1, 4):
            spent_s = number * REPORTED_EVERY_S
            for run, rate in zip(runs, (1, 5, 5), strict=True):
                run.note_progress(45 + rate * spent_s, 9 + spent_s)
            speeds.learn([job])
        self.assertLess(speeds.grade_of('w0'), -8)
        self.assertEqual(grades(speeds, 3)[1:], [0, 0])

    def test_a_member_that_waits_for_the_others_is_not_slow(self) -> None:
        """It is through after four seconds, its fellows after ten."""
        speeds, _ = reported([25, 10, 10])
        self.assertGreater(speeds.grade_of('w0'), 0)

    def test_workers_that_are_gone_are_forgotten(self) -> None:
        """Another life of the machine may be of another kind."""
        speeds, _ = reported([8, 10, 10])
        speeds.forget_except(['w1', 'w2'])
        self.assertEqual(speeds.grade_of('w0'), 0)


class PlacingTest(unittest.TestCase):
    """Who gets the fast workers."""

    gang = Step(width=2, needs=needs(8), gang=True, same_rack=True)

    def rooms(self, *busy: Run) -> list[Room]:
        """Return a slow, an ordinary and a fast rack of two workers each."""
        grade_of_rack = {'r1': -2, 'r2': 0, 'r3': 2}
        return [
            make_room(
                f'{rack}-{number}',
                rack,
                *(run for run in busy if run.worker_id == f'{rack}-{number}'),
                speed_grade=grade,
            )
            for rack, grade in grade_of_rack.items()
            for number in range(2)
        ]

    def test_an_urgent_gang_takes_the_fastest_rack(self) -> None:
        """All three have room."""
        decided = plan(self.rooms(), make_spec('a', self.gang, priority=0))
        self.assertEqual(placed(decided), {'a': ['r3-0', 'r3-1']})

    def test_a_gang_is_as_fast_as_its_slowest_worker(self) -> None:
        """A rack of two ordinary workers beats one of a fast and a slow."""
        rooms = [
            make_room('a1', 'r1', speed_grade=2),
            make_room('a2', 'r1', speed_grade=-2),
            make_room('b1', 'r2'),
            make_room('b2', 'r2'),
        ]
        decided = plan(rooms, make_spec('a', self.gang, priority=0))
        self.assertEqual(placed(decided), {'a': ['b1', 'b2']})

    def test_doubt_goes_before_speed(self) -> None:
        """A fast worker that fails what it starts is no help."""
        rooms = [
            make_room('a1', 'r1', speed_grade=2, doubt=1),
            make_room('a2', 'r1', speed_grade=2),
            make_room('b1', 'r2'),
            make_room('b2', 'r2'),
        ]
        decided = plan(rooms, make_spec('a', self.gang, priority=0))
        self.assertEqual(placed(decided), {'a': ['b1', 'b2']})

    def test_long_work_leaves_the_fast_of_two_like_workers(self) -> None:
        """Both are idle."""
        rooms = [
            make_room('a1', 'r1', speed_grade=2),
            make_room('a2', 'r1', speed_grade=-2),
        ]
        step = Step(width=1, needs=needs(8))
        decided = plan(rooms, make_spec('a', step, priority=2))
        self.assertEqual(placed(decided), {'a': ['a2']})

    def test_room_is_made_on_the_faster_of_two_workers(self) -> None:
        """Stopping costs the same at both."""
        rooms = [
            make_room('a1', 'r1', make_run('a1', 8), speed_grade=-2),
            make_room('a2', 'r1', make_run('a2', 8, job_id='b')),
        ]
        step = Step(width=1, needs=needs(8))
        decided = plan(rooms, make_spec('a', step, priority=0))
        self.assertEqual([one.worker_id for one in decided.victims], ['a2'])
