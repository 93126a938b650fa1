"""What a job with many errors costs its host."""

import unittest

import msgspec

from curranthill.platform.configuration import SubmittedJob, decode_step
from curranthill.tasks import Resources, Step, validation_errors
from curranthill.tasks.validation import MAX_STEP_ERRORS

NEEDS = Resources(cpu_millis=1, memory_mb=1, gpus=0)


class ValidationTest(unittest.TestCase):
    """The first errors of a job are enough."""

    def test_the_errors_of_steps_are_bounded(self) -> None:
        """Each of 400 steps requires itself."""
        steps = tuple(
            Step(width=1, needs=NEEDS, estimate_s=1.0, after=(number,))
            for number in range(1, 401)
        )
        errors = validation_errors('', steps, times=0)
        self.assertEqual(len(errors), MAX_STEP_ERRORS)

    def test_more_requirements_than_steps_are_one_error(self) -> None:
        """They are not visited one by one."""
        step = Step(width=1, needs=NEEDS, estimate_s=1.0, after=(9,) * 130_000)
        errors = validation_errors('', (step,), times=0)
        self.assertEqual(len(errors), 1)
        self.assertLess(len(errors[0]), 100)

    def test_steps_are_decoded_one_by_one(self) -> None:
        """So their number is known before."""
        body = b'{"steps":[{"count":2},{"count":"x"}]}'
        submitted = msgspec.json.decode(body, type=SubmittedJob)
        self.assertEqual(len(submitted.steps), 2)
        self.assertEqual(decode_step(submitted.steps[0]).width, 2)
        with self.assertRaises(msgspec.ValidationError):
            decode_step(submitted.steps[1])


if __name__ == '__main__':
    unittest.main()
