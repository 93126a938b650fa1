"""When a caller should retry whose job could not be accepted.

During an outage of the store callers retry a few times. Callers of jobs with
slack are asked to retry later, so that their attempts cover a longer outage;
those of urgent jobs retry as soon as that may help.
"""

from typing import Final

from curranthill.tasks import JobSpec

#: The shortest and the longest delay, in seconds. Callers make about four more
#: attempts, and outages of 5 s are usual: attempts one second apart end before
#: the store is back, attempts 3 s apart cover 12 s. The header has whole
#: seconds.
MIN_DELAY_S: Final = 1.0
MAX_DELAY_S: Final = 3.0

#: The share of a job's slack (the time that it can wait without missing its
#: objective) that each delay takes, so that four of them leave a third.
SLACK_SHARE: Final = 1 / 6


def retry_after_s(spec: JobSpec, *, jitter_s: float) -> float:
    """Return the time until a caller should retry, in seconds.

    :param jitter_s: a random part drawn by the caller of this function and
        added within the bounds, so that callers who were refused at the same
        time do not retry at the same time.
    """
    objective_s = spec.objective_s - spec.accepted_at_s
    slack_s = objective_s - spec.critical_path_s
    wait_s = slack_s * SLACK_SHARE + jitter_s
    return min(max(wait_s, MIN_DELAY_S), MAX_DELAY_S)


__all__ = ('MAX_DELAY_S', 'MIN_DELAY_S', 'retry_after_s')
