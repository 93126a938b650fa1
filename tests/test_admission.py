"""When callers retry whose jobs were refused during an outage.

Callers submit jobs all through an outage of the store, and retry four times
after the given delays. With a fixed delay of one second, those who called in
the first part of a long outage gave up before the store was back.
"""

import unittest

from curranthill.admission import retry_after_s
from curranthill.tasks import JobSpec, Step
from tests.domain import ONE_GPU, make_spec

#: Attempts after the first one.
RETRIES: int = 4

#: The longest outage that a job with slack must survive, in seconds.
OUTAGE_S = 8.0


def job_with_slack() -> JobSpec:
    """Return a job whose objective leaves nine seconds of slack."""
    step = Step(width=1, needs=ONE_GPU, estimate_s=8.0)
    return make_spec('a1', step)


def urgent_job() -> JobSpec:
    """Return a job whose objective leaves two seconds of slack."""
    step = Step(width=1, needs=ONE_GPU, estimate_s=1.0)
    return make_spec('b2', step, priority=0)


def attempt_times_s(spec: JobSpec, sent_s: float) -> list[float]:
    """Return the times of all attempts of a job that is always refused."""
    moments = [sent_s]
    for _ in range(RETRIES):
        delay_s = retry_after_s(spec, jitter_s=0.0)
        moments.append(moments[-1] + max(1, round(delay_s)))
    return moments


class OutageTest(unittest.TestCase):
    """Jobs submitted in each tenth of a second of an outage."""

    def test_jobs_with_slack_are_accepted_after_it(self) -> None:
        """And none of them misses its objective because of the delays."""
        spec = job_with_slack()
        slack_s = spec.objective_s - spec.accepted_at_s - spec.critical_path_s
        for tenth in range(int(OUTAGE_S * 10)):
            moments = attempt_times_s(spec, tenth / 10)
            accepted = [one for one in moments if one >= OUTAGE_S]
            self.assertTrue(accepted, f'sent at {tenth / 10} s')
            if tenth / 10 >= OUTAGE_S - slack_s:
                self.assertLessEqual(accepted[0] - tenth / 10, slack_s)

    def test_urgent_jobs_retry_at_once(self) -> None:
        """One second is the least that the header can express."""
        self.assertEqual(attempt_times_s(urgent_job(), 0.0), [0, 1, 2, 3, 4])

    def test_delays_are_bounded_and_vary(self) -> None:
        """For any objective; the jitter separates callers."""
        spec = job_with_slack()
        huge = make_spec(
            'c3',
            Step(width=1, needs=ONE_GPU, estimate_s=9999.0),
        )
        delays = {
            retry_after_s(spec, jitter_s=jitter_s)
            for jitter_s in (-0.5, 0.0, 0.5)
        }
        self.assertEqual(len(delays), 3)
        for one in (spec, huge, urgent_job()):
            for jitter_s in (-0.5, 0.5):
                delay_s = retry_after_s(one, jitter_s=jitter_s)
                self.assertGreaterEqual(delay_s, 1.0)
                self.assertLessEqual(delay_s, 3.0)


if __name__ == '__main__':
    unittest.main()
