"""How far workers are trusted, and on whom attempts are spent."""

import unittest
from curranthill.placement import Room, WorkerRecord
from curranthill.placement.doubts import (
    DOUBTED,
    MEMORY_S,
    ON_TRIAL,
    PROVEN,
    UNPROVEN,
    Standing,
    StartWatch,
    Trust,
)
from curranthill.placement.mechanisms import ATTEMPT_CARE
from curranthill.tasks import Step, TaskKey
from tests.domain import make_spec
from tests.test_planner import make_job, make_room, make_run, needs, placed
from tests.test_planner import plan as plan_specs

TASK = TaskKey('a1', 0, 0, 0)
OTHER = TaskKey('b1', 0, 0, 0)


def trusted(room: Room, trust: Trust) -> Room:
    """Return a room whose worker is trusted so far."""
    room.trust = trust
    return room


class WorkerRecordTest(unittest.TestCase):
    """Starts for and against one worker."""

    def test_nothing_is_known_of_a_worker_without_starts(self) -> None:
        """It is neither doubted nor proven."""
        self.assertEqual(WorkerRecord().standing(100), Standing())

    def test_what_was_started_before_a_wave_proves_nothing(self) -> None:
        """Only a start since it began does, and not for ever."""
        record = WorkerRecord()
        record.note_held(100, now_s=105)
        self.assertEqual(record.standing(105, 101).trust, UNPROVEN)
        record.note_held(102, now_s=105)
        self.assertEqual(record.standing(105, 101).trust, PROVEN)
        late_s = 102 + MEMORY_S
        self.assertEqual(record.standing(late_s, 101).trust, UNPROVEN)

    def test_what_was_started_before_a_failure_clears_nothing(self) -> None:
        """It ends well, as it would have on a worker that fails all since."""
        record = WorkerRecord()
        record.note_trouble(TASK, 100)
        record.note_trouble(OTHER, 101)
        record.note_held(99, now_s=102)
        self.assertEqual(record.standing(102), Standing(2.0, ON_TRIAL))
        record.note_held(102, now_s=103)
        self.assertEqual(record.standing(103).trust, DOUBTED)
        self.assertLess(record.standing(103).doubt, 2.0)

    def test_one_failure_is_a_trial_only_in_a_wave(self) -> None:
        """Runs fail by themselves now and then."""
        record = WorkerRecord()
        record.note_trouble(TASK, 100)
        self.assertEqual(record.standing(101).trust, DOUBTED)
        self.assertEqual(record.standing(101, 99).trust, ON_TRIAL)

    def test_starts_that_hold_end_the_doubt(self) -> None:
        """Five make up for one failure."""
        record = WorkerRecord()
        record.note_trouble(TASK, 100)
        for at_s in (101, 102, 103, 104, 105):
            self.assertEqual(record.standing(at_s).trust, DOUBTED)
            record.note_held(at_s, now_s=at_s)
        self.assertEqual(record.standing(105), Standing())

    def test_failures_are_forgotten_in_time(self) -> None:
        """Workers that fail are sound again after some seconds."""
        record = WorkerRecord()
        record.note_trouble(TASK, 100)
        self.assertEqual(record.standing(100 + MEMORY_S), Standing())

    def test_an_excused_task_leaves_the_others(self) -> None:
        """It fails wherever it runs; what else failed here counts on."""
        record = WorkerRecord()
        record.note_trouble(TASK, 100)
        record.note_trouble(OTHER, 100)
        self.assertFalse(record.is_sound_but_for(TASK, 101))
        record.excuse(TASK)
        self.assertEqual([one.task for one in record.troubles], [OTHER])
        record.excuse(OTHER)
        record.note_held(101, now_s=102)
        self.assertTrue(record.is_sound_but_for(TASK, 103))


class StartWatchTest(unittest.TestCase):
    """Waves of failures."""

    def test_some_failures_among_many_starts_are_no_wave(self) -> None:
        """Three workers of a hundred fail something."""
        watch = StartWatch()
        for _ in range(100):
            watch.note_start(100)
        for at_s in (100, 101, 102):
            watch.note_surprise(at_s)
        watch.look(102)
        self.assertIsNone(watch.wave_began_s)

    def test_a_wave_lasts_until_starts_hold(self) -> None:
        """It began with the first failure."""
        watch = StartWatch()
        for _ in range(10):
            watch.note_start(100)
        watch.note_surprise(100)
        watch.note_surprise(101)
        for at_s in (101, 102, 103):
            watch.look(at_s)
        self.assertFalse(watch.is_wave)
        watch.note_surprise(103)
        watch.look(103)
        self.assertEqual(watch.wave_began_s, 101)
        watch.look(107)
        self.assertFalse(watch.is_wave)
        watch.look(103 + MEMORY_S)
        self.assertIsNone(watch.wave_began_s)


class AttemptTest(unittest.TestCase):
    """On whom attempts are spent in a round."""

    def test_a_task_avoids_the_rack_in_which_it_failed(self) -> None:
        """The rack with least room left would be taken otherwise."""
        rooms = [
            make_room('a1', 'r1', make_run('a1', 4)),
            make_room('a2', 'r1', make_run('a2', 4)),
            make_room('b1', 'r2'),
        ]
        spec = make_spec('a1', Step(width=1, needs=needs(4)), attempts=3)
        job = make_job(spec)
        job.progress.task(TASK).failures = 1
        job.note_failure(TASK, 'a1')
        decided = plan_specs(rooms, running=[job])
        self.assertEqual(placed(decided), {'a1': ['b1']})

    def test_a_covered_urgent_job_takes_what_there_is(self) -> None:
        """A guarantee doesn't wait for trust."""
        rooms = [trusted(make_room('a1', 'r1', doubt=3), ON_TRIAL)]
        step = Step(width=1, needs=needs(8), gang=True)
        spec = make_spec('a1', step, priority=0)
        decided = plan_specs(rooms, spec, guaranteed={'alpha': 8})
        self.assertEqual(placed(decided), {'a1': ['a1']})

    def test_without_care_attempts_are_spent_anywhere(self) -> None:
        """The mechanism can be switched off."""
        rooms = [trusted(make_room('a1', 'r1', doubt=3), ON_TRIAL)]
        step = Step(width=1, needs=needs(8), gang=True)
        spec = make_spec('a1', step, attempts=1)
        self.assertEqual(placed(plan_specs(rooms, spec)), {})
        decided = plan_specs(rooms, spec, without=[ATTEMPT_CARE])
        self.assertEqual(placed(decided), {'a1': ['a1']})
