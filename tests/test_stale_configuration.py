"""Tests of hosts that do not know whether their configuration is outdated."""

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
from tests.test_store_return import RECOVERY_S

#: Time within which a change must be in force, in seconds: the shortest of any
#: deployment.
IN_FORCE_S: Final = 2.0

#: The configuration that replaces the first one, without any of its queues.
REPLACED: Final = {**CONFIGURATION, 'version': 8, 'routes': []}

Case = Callable[[Testbed, HostDaemon, aiohttp.ClientSession], Awaitable[None]]


def put(testbed: Testbed, configuration: dict[str, Any]) -> None:
    """Have the operator write a configuration."""
    content = json.dumps(configuration).encode()
    testbed.rows.apply((), (RowPut(TABLE, 'config', content),), ())


def on_host(case: Case, *, in_force_s: float) -> None:
    """Run a test with a ready host and a caller."""

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


class StaleConfigurationTest(unittest.TestCase):
    """Reads of the operators' rows fail while all other calls succeed."""

    def test_requests_are_refused_under_an_outdated_configuration(
        self,
    ) -> None:
        """Neither are removed queues served nor new ones reported missing."""

        async def case(
            testbed: Testbed,
            host: HostDaemon,
            caller: aiohttp.ClientSession,
        ) -> None:
            testbed.store_server.unresponsive_tables.add(TABLE)
            # The read in flight still succeeds.
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
                    document = await response.json()
                    self.assertTrue(document['not_run'])
            self.assertFalse(host.is_ready)
            self.assertNotIn('1111111111111111', str(testbed.rows.rows))
            testbed.store_server.unresponsive_tables.clear()
            await wait_until(lambda: bool(host.is_ready))
            self.assertEqual(await status(caller.get('/quick/')), 404)

        on_host(case, in_force_s=IN_FORCE_S)

    def test_a_healthy_host_always_serves_requests(self) -> None:
        """Nothing changes, so each read returns only after its wait."""

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

    def test_without_a_bound_the_last_known_configuration_is_used(
        self,
    ) -> None:
        """Requests are refused only in deployments that set a bound."""

        async def case(
            testbed: Testbed,
            host: HostDaemon,
            caller: aiohttp.ClientSession,
        ) -> None:
            testbed.store_server.unresponsive_tables.add(TABLE)
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual(await status(caller.get('/quick/')), 200)

        on_host(case, in_force_s=0)

    def test_a_host_serves_again_soon_after_an_outage(self) -> None:
        """Callers that were told to retry after a second are served."""

        async def case(
            testbed: Testbed,
            host: HostDaemon,
            caller: aiohttp.ClientSession,
        ) -> None:
            testbed.store_server.connections.paused = True
            await asyncio.sleep(IN_FORCE_S + FEED_WAIT_S)
            self.assertEqual(await status(caller.get('/quick/')), 503)
            testbed.store_server.connections.paused = False
            await asyncio.sleep(RECOVERY_S)
            self.assertEqual(await status(caller.get('/quick/')), 200)
            self.assertTrue(host.is_ready)

        on_host(case, in_force_s=IN_FORCE_S)
