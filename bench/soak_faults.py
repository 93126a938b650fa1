"""What a soak may inject, by name."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from bench.proxy import Mode, Proxy
from bench.soak_workers import DATA_CENTRES, ROOM

if TYPE_CHECKING:
    from bench.soak_hosts import Soak

Fault = Callable[['Soak'], Coroutine[Any, Any, None]]

#: All faults; a name leads to what it does.
FAULTS: Final[dict[str, Fault]] = {}

MODES: Final[tuple[Mode, ...]] = (
    'delay',
    'slow',
    'reset',
    'silent',
    'one_way',
    'mute',
)

#: Tasks of one soak that crash their workers: each takes some down.
MOST_CRASHING: Final = 3

#: The longest times between crashes of workers, in seconds; a soak has one.
CRASH_PAUSES_S: Final = (1.0, 2.0, 6.0)

#: What another writer may put in place of a worker's entry.
BAD_ENTRIES: Final = (b'', b'\xff', b'[]', b'{}', b'{"service": ["calc"]}')


def fault(inject: Fault) -> Fault:
    """Add a fault under the name of its function."""
    FAULTS[inject.__name__] = inject
    return inject


@fault
async def kill(soak: 'Soak') -> None:
    """Kill a host and start it again."""
    number = soak.draw_host()
    soak.signal(number, signal.SIGKILL)
    await soak.restart(number)


@fault
async def stop(soak: 'Soak') -> None:
    """Stop a host as planned and start it again."""
    number = soak.draw_host()
    soak.signal(number, signal.SIGTERM)
    await soak.restart(number)


@fault
async def pause(soak: 'Soak') -> None:
    """Let a host stand still for a while."""
    process = soak.processes[soak.draw_host()]
    if process.returncode is None:
        process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(0.3, 5.0))
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


@fault
async def reload_settings(soak: 'Soak') -> None:
    """Have a host read its settings again."""
    soak.signal(soak.draw_host(), signal.SIGHUP)


@fault
async def store_link(soak: 'Soak') -> None:
    """Disturb one host's link to the store."""
    await _disturb(soak, [soak.random.choice(soak.store_proxies)])


@fault
async def store_away(soak: 'Soak') -> None:
    """Disturb every host's link to the store."""
    await _disturb(soak, soak.store_proxies)


@fault
async def store_history(soak: 'Soak') -> None:
    """Have the store forget its history."""
    soak.rows.truncate_history()


@fault
async def configuration(soak: 'Soak') -> None:
    """Change the configuration, once or in quick succession."""
    for _ in range(soak.random.choice((1, 3))):
        soak.configure()
        await asyncio.sleep(0.05)


@fault
async def large_configuration(soak: 'Soak') -> None:
    """Have the configuration grow by many queues, or shrink again."""
    soak.revisions.padding = soak.random.choice((0, 500, 2000))
    soak.configure()


@fault
async def configuration_unread(soak: 'Soak') -> None:
    """Change the configuration while no host can read it."""
    soak.store.unresponsive_tables.add('op')
    await asyncio.sleep(soak.random.uniform(0.5, 1.5))
    soak.configure()
    await asyncio.sleep(soak.random.uniform(0.5, 6.0))
    soak.store.unresponsive_tables.clear()


@fault
async def worker_link(soak: 'Soak') -> None:
    """Disturb the link to a worker."""
    await _disturb(soak, [soak.workers.proxies[soak.workers.draw()]])


@fault
async def worker_replaced(soak: 'Soak') -> None:
    """Let a worker go, and another id come."""
    await soak.workers.replace(soak.workers.draw())


@fault
async def worker_restarts(soak: 'Soak') -> None:
    """Start again under the id, once or twice, listed at once or late."""
    name = soak.workers.draw()
    model = soak.workers.model(name)
    for _ in range(soak.random.choice((1, 1, 2))):
        model.restart()
        await asyncio.sleep(soak.random.choice((0.0, 0.02, 0.4)))
        soak.workers.list_again(name)


@fault
async def worker_restarts_behind_a_cut(soak: 'Soak') -> None:
    """Start again unseen, listed meanwhile or not."""
    name = soak.workers.draw()
    model = soak.workers.model(name)
    proxy = soak.workers.proxies[name]
    proxy.change('silent')
    await asyncio.sleep(soak.random.uniform(0.1, 2.0))
    model.restart()
    if soak.random.choice((True, False)):
        soak.workers.list_again(name)
    await asyncio.sleep(soak.random.uniform(0.1, 2.0))
    proxy.change('pass')
    soak.workers.list_again(name)


@fault
async def worker_fails(soak: 'Soak') -> None:
    """Have a worker fail all that it runs for a while."""
    model = soak.workers.model(soak.workers.draw())
    model.failing = True
    await asyncio.sleep(soak.random.uniform(0.1, 2.0))
    model.failing = False


@fault
async def task_crashes_workers(soak: 'Soak') -> None:
    """Have a task that runs crash its worker, and all that start it."""
    name = soak.workers.draw()
    model = soak.workers.model(name)
    if model.down or len(soak.workers.crashing) >= MOST_CRASHING:
        return
    for task, _ in list(model.runs)[:1]:
        soak.workers.crashing.add(task)
        model.crash_after_s = soak.random.choice((0.0, 0.5, 1.5))
        model.crashes.append(task)
        model.crash()


@fault
async def worker_shrinks(soak: 'Soak') -> None:
    """Take accelerators from a worker and give them back, once or more."""
    name = soak.workers.draw()
    for _ in range(soak.random.choice((1, 3))):
        soak.workers.resize(name, soak.random.randrange(ROOM.gpus))
        await asyncio.sleep(soak.random.uniform(0.05, 2.0))
        soak.workers.resize(name, ROOM.gpus)
        await asyncio.sleep(soak.random.uniform(0.05, 0.5))


@fault
async def data_centre_closes(soak: 'Soak') -> None:
    """Evacuate a data centre for a while, at times past the bound."""
    name = soak.random.choice(DATA_CENTRES)
    soak.closings.close(name)
    await asyncio.sleep(soak.random.uniform(0.1, 9.0))
    soak.closings.open(name)


@fault
async def bad_entry(soak: 'Soak') -> None:
    """Write what no worker writes, for a worker or for nobody."""
    name = soak.random.choice((soak.workers.draw(), 'nobody'))
    soak.workers.write_entry(name, soak.random.choice(BAD_ENTRIES))
    await asyncio.sleep(soak.random.uniform(0.1, 3.0))
    soak.workers.list_again(name)


async def crash_workers(soak: 'Soak', drawn: random.Random) -> None:
    """Crash some worker again and again, until cancelled."""
    longest_s = drawn.choice(CRASH_PAUSES_S)
    while True:
        await asyncio.sleep(drawn.uniform(0, longest_s))
        model = drawn.choice(soak.workers.listed())
        if not model.down:
            model.crash()


async def lose_power(soak: 'Soak') -> None:
    """Kill all hosts at once and start them again."""
    hosts = range(len(soak.processes))
    for number in hosts:
        soak.signal(number, signal.SIGKILL)
    await asyncio.gather(*(soak.restart(number) for number in hosts))


async def _disturb(soak: 'Soak', proxies: list[Proxy]) -> None:
    mode = soak.random.choice(MODES)
    for proxy in proxies:
        proxy.change(mode)
    await asyncio.sleep(soak.random.uniform(0.3, 4.0))
    for proxy in proxies:
        proxy.change('pass')


__all__ = ('FAULTS', 'Fault', 'crash_workers', 'fault', 'lose_power')
