"""When a caller should come back whose job could not be accepted.

Answers an outage of the store: callers try a few times, so those whose jobs
have time are told to come back later, and their tries reach further; those
whose jobs are urgent come back as soon as that may help.
"""

from typing import Final

from curranthill.tasks import JobSpec

#: The shortest and the longest wait, in seconds. Callers make some four tries
#: more, and outages of 5 s are usual: tries a second apart end before the
#: store is back, tries of 3 s reach over 12 s. The header has whole seconds.
MIN_DELAY_S: Final = 1.0
MAX_DELAY_S: Final = 3.0

#: Of the time that a job can wait without missing its objective, each wait
#: takes this share, so that four of them leave a third of it.
SLACK_SHARE: Final = 1 / 6


def retry_delay_s(spec: JobSpec, *, jitter_s: float) -> float:
    """Return when to come back, in seconds.

    :param jitter_s: added within the bounds, drawn by whoever asks, so that
        callers who were refused together do not come back together.
    """
    objective_s = spec.objective_s - spec.accepted_at_s
    slack_s = objective_s - spec.chain_s
    wait_s = slack_s * SLACK_SHARE + jitter_s
    return min(max(wait_s, MIN_DELAY_S), MAX_DELAY_S)


__all__ = ('MAX_DELAY_S', 'MIN_DELAY_S', 'retry_delay_s')
