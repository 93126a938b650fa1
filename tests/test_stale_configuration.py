"""Hosts that cannot tell whether their configuration is still in force."""

import asyncio
import json
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import aiohttp

from curranthill.platform import HostDaemon, read_platform_settings
from curranthill.platform.configuration import TABLE
from curranthill.storage.follower import FEED_WAIT_S
from curranthill.storage.rows import RowPut
from tests.test_platform import (
    CONFIGURATION,
    JOB,
    Testbed,
    on_testbed,
    settings_of,
    status,
    wait_until,
)
from tests.test_store_return import KNOWN_S

#: How soon a change must be in force, in seconds: the least that any
#: deployment asks for.
IN_FORCE_S: Final = 2.0

#: What the operator writes while a host cannot read it: no queue of before.
REPLACED: Final = {**CONFIGURATION, 'version': 8, 'routes': []}

Case = Callable[[Testbed, HostDaemon, aiohttp.ClientSession], Awaitable[None]]


def put(testbed: Testbed, configuration: dict[str, Any]) -> None:
    """Have the operator write a configuration."""
    content = json.dumps(configuration).encode()
    testbed.rows.apply((), (RowPut(TABLE, 'config', content),), ())


def on_host(case: Case, *, in_force_s: float) -> None:
    """Run a test with a host that is ready and a caller of it."""

    async def main(testbed: Testbed) -> None:
        put(testbed, CONFIGURATION)
        settings = settings_of(testbed)
        settings['bounds']['config_apply_ms'] = in_force_s * 1000
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'local.json'
            path.write_text(json.dumps(settings), 'utf-8')
            host = HostDaemon(
                read_settings=lambda: read_platform_settings(path)
            )
            await host.app.start()
            testbed.closers.append(host.app.stop)
        await wait_until(lambda: bool(host.is_ready))
        async with aiohttp.ClientSession(
            f'http://{host.callers_address}',
            headers={
                'Host': 'jobs.example',
                'Authorization': 'Bearer key-of-alpha',
            },
        ) as caller:
            await case(testbed, host, caller)

    on_testbed(main)


class StaleTest(unittest.TestCase):
    """The operators' rows go unread while all other calls are answered."""

    def test_nothing_is_decided_by_a_configuration_of_unknown_age(
        self,
    ) -> None:
        """Neither by a queue that is gone, nor against one that is new."""

        async def case(
            testbed: Testbed,
            host: HostDaemon,
            caller: aiohttp.ClientSession,
        ) -> None:
            testbed.store_server.unresponsive_tables.add(TABLE)
            # The reading under way is still answered.
            await asyncio.sleep(1.2 * FEED_WAIT_S)
            put(testbed, REPLACED)
            await asyncio.sleep(IN_FORCE_S)
            for call in (
                caller.post('/quick/1111111111111111', json=JOB),
                caller.get('/quick/'),
                caller.get('/new/'),
                caller.get('/quick/', headers={'Authorization': 'Bearer new'}),
            ):
                async with call as response:
                    self.assertEqual(response.status, 503)
                    self.assertIn('Retry-After', response.headers)
                    told = await response.json()
                    self.assertTrue(told['not_run'])
            self.assertFalse(host.is_ready)
            self.assertNotIn('1111111111111111', str(testbed.rows.rows))
            testbed.store_server.unresponsive_tables.clear()
            await wait_until(lambda: bool(host.is_ready))
            self.assertEqual(await status(caller.get('/quick/')), 404)

        on_host(case, in_force_s=IN_FORCE_S)

    def test_a_host_in_good_health_always_decides(self) -> None:
        """Nothing changes, so each reading is answered after its wait."""

        async def case(
            testbed: Testbed,
            host: HostDaemon,
            caller: aiohttp.ClientSession,
        ) -> None:
            for _ in range(80):
                await asyncio.sleep(0.05)
                self.assertEqual(await status(caller.get('/quick/')), 200)
                self.assertTrue(host.is_ready)

        on_host(case, in_force_s=IN_FORCE_S)

    def test_without_a_bound_the_newest_known_configuration_counts(
        self,
    ) -> None:
        """No deployment that does not ask for it is refused."""

        async def case(
            testbed: Testbed,
            host: HostDaemon,
            caller: aiohttp.ClientSession,
        ) -> None:
            testbed.store_server.unresponsive_tables.add(TABLE)
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual(await status(caller.get('/quick/')), 200)

        on_host(case, in_force_s=0)

    def test_a_host_decides_again_soon_after_the_stores_return(self) -> None:
        """Callers that were told to come back in a second are served."""

        async def case(
            testbed: Testbed,
            host: HostDaemon,
            caller: aiohttp.ClientSession,
        ) -> None:
            testbed.store_server.connections.paused = True
            await asyncio.sleep(IN_FORCE_S + FEED_WAIT_S)
            self.assertEqual(await status(caller.get('/quick/')), 503)
            testbed.store_server.connections.paused = False
            await asyncio.sleep(KNOWN_S)
            self.assertEqual(await status(caller.get('/quick/')), 200)
            self.assertTrue(host.is_ready)

        on_host(case, in_force_s=IN_FORCE_S)
