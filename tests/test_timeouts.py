"""Tests of timeouts that follow the reply times."""

import unittest

from curranthill.storage.timeouts import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    ReplyTimeout,
)


class ReplyTimeoutTest(unittest.TestCase):
    """The timeout adapts to reply times and backs off, within bounds."""

    def test_quick_replies_keep_the_timeout_short(self) -> None:
        """A store that replies in 5 ms."""
        timeout = ReplyTimeout()
        for _ in range(20):
            timeout.record_reply(0.005)
        self.assertEqual(timeout.timeout_s, MIN_TIMEOUT_S)

    def test_slow_replies_lengthen_the_timeout(self) -> None:
        """Calls to a store that replies in 0.4 s do not time out at 0.4 s."""
        timeout = ReplyTimeout()
        for _ in range(5):
            timeout.record_reply(0.4)
        self.assertGreater(timeout.timeout_s, 0.5)

    def test_lost_replies_double_the_timeout_up_to_the_maximum(self) -> None:
        """One reply ends the backoff."""
        timeout = ReplyTimeout()
        timeout.record_reply(0.005)
        timeouts = []
        for _ in range(5):
            timeout.record_loss()
            timeouts.append(timeout.timeout_s)
        self.assertEqual(timeouts[:2], [2 * MIN_TIMEOUT_S, 4 * MIN_TIMEOUT_S])
        self.assertEqual(timeouts[-1], MAX_TIMEOUT_S)
        timeout.record_reply(0.005)
        self.assertEqual(timeout.timeout_s, MIN_TIMEOUT_S)
