"""The wait for a reply follows the replies."""

import unittest

from curranthill.storage.timeouts import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    ReplyTimeout,
)


class ReplyTimeoutTest(unittest.TestCase):
    """Longer for a slow store, doubled by lost replies, within bounds."""

    def test_quick_replies_keep_it_short(self) -> None:
        """A store that replies in 5 ms."""
        timeout = ReplyTimeout()
        for _ in range(20):
            timeout.record_reply(0.005)
        self.assertEqual(timeout.timeout_s, MIN_TIMEOUT_S)

    def test_slow_replies_lengthen_it(self) -> None:
        """A store that replies in 0.4 s is not given up on at 0.4 s."""
        timeout = ReplyTimeout()
        for _ in range(5):
            timeout.record_reply(0.4)
        self.assertGreater(timeout.timeout_s, 0.5)

    def test_lost_replies_double_it_up_to_the_longest(self) -> None:
        """And one reply ends the doubling."""
        timeout = ReplyTimeout()
        timeout.record_reply(0.005)
        waits = []
        for _ in range(5):
            timeout.record_loss()
            waits.append(timeout.timeout_s)
        self.assertEqual(waits[:2], [2 * MIN_TIMEOUT_S, 4 * MIN_TIMEOUT_S])
        self.assertEqual(waits[-1], MAX_TIMEOUT_S)
        timeout.record_reply(0.005)
        self.assertEqual(timeout.timeout_s, MIN_TIMEOUT_S)
