"""Whatever the leader waits for at a worker ends after a bounded time."""

import unittest
from typing import Final

from curranthill.tasks import TaskKey
from tests.domain import Domain, in_domain, make_spec

TASK: Final = TaskKey('a1', 0, 0, 0)

#: A lease, its margin, and some missed renewals.
LAPSE_S: Final = 9.0


class RejectedStartTest(unittest.TestCase):
    """A start that is rejected is made again."""

    def test_a_start_that_was_fenced_off_once_is_made_again(self) -> None:
        """The worker restarts and accepts the token that it rejected."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.rejecting = 'fence'
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(worker.rejections))
            worker.rejecting = ''
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(len(domain.starts(TASK)), 1)

        in_domain(case, workers=1)


if __name__ == '__main__':
    unittest.main()
