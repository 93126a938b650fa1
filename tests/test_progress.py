"""Storage of a job's progress."""

import random
import unittest

from curranthill.placement import ActiveJob
from curranthill.tasks import (
    JobProgress,
    Step,
    TaskKey,
    TaskProgress,
    decode,
    encode,
    validation_errors,
)
from curranthill.tasks.validation import MAX_STEPS, MAX_TASKS
from tests.domain import ONE_GPU, make_spec

#: The maximum size of a row of the platform, in bytes.
ROW_BYTES = 65_536


class SizeTest(unittest.TestCase):
    """Progress stays within one row."""

    def test_the_widest_job_with_checkpoints_fits_a_row(self) -> None:
        """Random checkpoints, 176 workers."""
        draw = random.Random(1)
        tasks = {
            f'0.0.{rank}': TaskProgress(
                attempt=draw.randint(1, 3),
                worker=f'i-{draw.randint(1, 176):010x}',
                checkpoint=f'{draw.getrandbits(64):016x}',
            )
            for rank in range(MAX_TASKS)
        }
        progress = JobProgress(queue='batch', tasks=tasks)
        content = encode(progress)
        self.assertLess(len(content), ROW_BYTES)
        self.assertEqual(decode(content, JobProgress), progress)

    def test_the_longest_job_fits_a_row(self) -> None:
        """The maximum number of steps, each after the first one."""
        steps = tuple(
            Step(
                width=1,
                needs=ONE_GPU,
                estimate_s=1.234,
                after=(0,) if number else (),
                label='some-label',
                near_rack='r1-3',
            )
            for number in range(MAX_STEPS)
        )
        self.assertEqual(validation_errors('x' * 4000, steps, times=0), ())
        spec = make_spec('a1', *steps)._replace(payload='x' * 4000)
        self.assertLess(len(encode(spec)), ROW_BYTES)

    def test_larger_jobs_are_refused(self) -> None:
        """Too many tasks at once, and too many steps."""
        wide = Step(width=MAX_TASKS + 1, needs=ONE_GPU)
        self.assertTrue(validation_errors('', (wide,), times=0))
        one = Step(width=1, needs=ONE_GPU)
        self.assertTrue(
            validation_errors('', (one,) * (MAX_STEPS + 1), times=0)
        )
        recurring = Step(width=MAX_TASKS // 2, needs=ONE_GPU)
        self.assertFalse(validation_errors('', (recurring,), times=4))

    def test_tasks_of_a_done_step_are_not_stored(self) -> None:
        """Of a recurring job only the occurrences that are not done are."""
        step = Step(width=2, needs=ONE_GPU)
        spec = make_spec('a1', step)._replace(times=2)
        progress = JobProgress(queue='batch', tasks={})
        job = ActiveJob(spec=spec, progress=progress)
        for rank in range(2):
            progress.task(TaskKey('a1', 0, 0, rank)).done = True
        self.assertFalse(job.check_completed(1.0))
        self.assertEqual(progress.tasks, {})
        again = ActiveJob(
            spec=spec,
            progress=decode(encode(progress), JobProgress),
        )
        self.assertTrue(again.begun)
        self.assertTrue(again.step_done(0, 0))
        self.assertFalse(again.step_done(1, 0))
        ready = [one.occurrence for one in again.ready_steps(1e12)]
        self.assertEqual(ready, [1])
