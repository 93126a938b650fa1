"""When callers come back whose jobs were turned away.

A replayed outage: callers hand jobs in all through it, make four tries more
and come back when they are told to. Told to come back after a second, whoever
came in the first part of a long outage gave up before the store was back.
"""

import unittest

from curranthill.admission import retry_delay_s
from curranthill.tasks import JobSpec, Step
from tests.domain import ONE_GPU, make_spec

#: Tries after the first one.
TRIES: int = 4

#: The longest outage that a job with time must get over, in seconds.
OUTAGE_S = 8.0


def patient_job() -> JobSpec:
    """Return a job whose objective leaves it nine seconds."""
    step = Step(width=1, needs=ONE_GPU, estimate_s=8.0)
    return make_spec('a1', step)


def urgent_job() -> JobSpec:
    """Return a job whose objective leaves it two seconds."""
    step = Step(width=1, needs=ONE_GPU, estimate_s=1.0)
    return make_spec('b2', step, priority=0)


def tries_s(spec: JobSpec, sent_s: float) -> list[float]:
    """Return the moments of all tries of a job that is refused each time."""
    moments = [sent_s]
    for _ in range(TRIES):
        wait_s = retry_delay_s(spec, jitter_s=0.0)
        moments.append(moments[-1] + max(1, round(wait_s)))
    return moments


class OutageTest(unittest.TestCase):
    """Jobs handed in each tenth of a second of an outage."""

    def test_jobs_with_time_get_over_it(self) -> None:
        """And none of them misses its objective by the waits it is told."""
        spec = patient_job()
        slack_s = spec.objective_s - spec.accepted_at_s - spec.chain_s
        for tenth in range(int(OUTAGE_S * 10)):
            moments = tries_s(spec, tenth / 10)
            accepted = [one for one in moments if one >= OUTAGE_S]
            self.assertTrue(accepted, f'sent at {tenth / 10} s')
            if tenth / 10 >= OUTAGE_S - slack_s:
                self.assertLessEqual(accepted[0] - tenth / 10, slack_s)

    def test_urgent_jobs_come_back_at_once(self) -> None:
        """A second is what the header tells at least."""
        self.assertEqual(tries_s(urgent_job(), 0.0), [0, 1, 2, 3, 4])

    def test_waits_are_bounded_and_spread(self) -> None:
        """Whatever the objective; the spread tells callers apart."""
        spec = patient_job()
        huge = make_spec(
            'c3',
            Step(width=1, needs=ONE_GPU, estimate_s=9999.0),
        )
        waits = {
            retry_delay_s(spec, jitter_s=jitter_s)
            for jitter_s in (-0.5, 0.0, 0.5)
        }
        self.assertEqual(len(waits), 3)
        for one in (spec, huge, urgent_job()):
            for jitter_s in (-0.5, 0.5):
                wait_s = retry_delay_s(one, jitter_s=jitter_s)
                self.assertGreaterEqual(wait_s, 1.0)
                self.assertLessEqual(wait_s, 3.0)


if __name__ == '__main__':
    unittest.main()
