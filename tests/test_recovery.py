"""Attempts run completely and as often as allowed, despite failures."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from hypothesis import given
from hypothesis import strategies as st

from curranthill.errors import ConflictError, FencedError, NotSentError
from curranthill.jobs import ENDED, KeyRecord, accepting_data_centre, new_job_id
from curranthill.standin import FaultSettings
from curranthill.storage import Transaction, WriteRateLimiter
from curranthill.workers import AttemptId, FencingToken, LeaseRequest, Task
from tests.harness import Site
from tests.support import make_job, run

GANG = {'slots': 16, 'shape': 'pair'}
ONCE = {'idempotent': False}


def on_site(test: Callable[[Site], Awaitable[None]]) -> None:
    """Run a test on a new site and close it."""

    async def main() -> None:
        site = Site()
        try:
            await test(site)
        finally:
            await site.close()

    run(main())


def writes_start_record(transaction: Transaction) -> bool:
    """Return whether a transaction writes a start record."""
    documents = [write.document or {} for write in transaction.writes]
    return any(document.get('state') == 'marked' for document in documents)


async def ended(site: Site, job_id: str, within_s: float = 120) -> str:
    """Advance time until a job has ended; return its state."""
    state = ''
    for _ in range(int(within_s * 2)):
        await site.clock.advance(0.5)
        state = (await site.job(job_id)).state
        if state in ENDED:
            return state
    raise AssertionError(f'still {state} after {within_s} s')


class GangTest(unittest.TestCase):
    """All members of a gang run or none."""

    def test_a_gang_runs_and_its_result_is_stored(self) -> None:
        """Sixteen accelerators on two workers, one result, slots released."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1')
            await site.accept(**GANG)
            self.assertEqual(await ended(site, 'dc-1'), 'finished')
            job = await site.job('dc-1')
            self.assertEqual(list(site.starts('dc-1').values()), [2])
            body = site.objects.objects[job.result_name]
            self.assertEqual(len(body), job.result_bytes)
            await site.clock.advance(1)
            free = [worker.free_slots() for worker in site.workers.values()]
            self.assertEqual(free, [8, 8])

        on_site(scenario)

    def test_a_lost_member_stops_the_rest_within_one_term(self) -> None:
        """A partial gang stops within the member term."""

        async def scenario(site: Site) -> None:
            scheduler = await site.scheduler('s1')
            await site.accept(**GANG, body='{"run_s": 500}')
            await site.clock.until(
                lambda: sum(site.running('dc-1').values()) == 2,
            )
            attempt = min(site.running('dc-1'))
            site.workers['w0'].faults.settings = FaultSettings(down=True)
            bound_s = scheduler.leases.member_term_s
            await site.clock.advance(bound_s + scheduler.leases.poll_wait_s + 2)
            self.assertNotIn(attempt, site.running('dc-1'))

        on_site(scenario)

    def test_two_gangs_that_want_the_same_workers_both_end(self) -> None:
        """They run sequentially."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1')
            await site.accept(job_id='dc-1', **GANG)
            await site.accept(job_id='dc-2', **GANG)
            self.assertEqual(await ended(site, 'dc-1'), 'finished')
            self.assertEqual(await ended(site, 'dc-2'), 'finished')

        on_site(scenario)

    def test_a_job_that_fails_on_different_workers_ends(self) -> None:
        """A job that always fails is not retried indefinitely."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1', failures=2)
            await site.accept(body='{"run_s": 1, "fail": true}')
            self.assertEqual(await ended(site, 'dc-1'), 'failed')
            job = await site.job('dc-1')
            self.assertEqual(len(job.failed_on), 2)

        on_site(scenario)


class FenceTest(unittest.TestCase):
    """A suspended holder has no effect after its lease has expired."""

    def test_lower_epoch_and_second_holder_are_refused(self) -> None:
        """The worker stores the highest epoch and its first holder."""

        async def scenario(site: Site) -> None:
            worker = site.workers['w0']
            worker.fence(FencingToken(5, 'a'))
            for token in (FencingToken(4, 'a'), FencingToken(5, 'b')):
                with self.assertRaises(FencedError):
                    worker.fence(token)

        on_site(scenario)

    def test_holder_suspended_between_check_and_effect(self) -> None:
        """The start is rejected although its lease check had passed."""

        async def scenario(site: Site) -> None:
            old = await site.scheduler('s1')
            await site.clock.until(lambda: old.active)
            old.election.require('start')
            token, worker = old.election.token, site.workers['w0']
            attempt = AttemptId('dc-9', 1)
            worker.reserve(token, LeaseRequest(attempt, 1, 60))
            await old.kill()
            new = await site.scheduler('s2')
            await site.clock.until(lambda: new.active)
            with self.assertRaises(FencedError):
                worker.start(token, attempt, Task('s', 'k', '{}', 0, 1))
            self.assertEqual(site.starts('dc-9'), {})

        on_site(scenario)

    def test_a_replaced_holder_cannot_write_a_start_record(self) -> None:
        """The start record checks the leader row in the same transaction."""

        async def scenario(site: Site) -> None:
            old = await site.scheduler('s1')
            await site.clock.until(lambda: old.active)
            check = old.election.check()
            await old.kill()
            new = await site.scheduler('s2')
            await site.clock.until(lambda: new.active)
            stored = await site.store.accept(make_job('dc-7'), None)
            with self.assertRaises(ConflictError):
                await site.store.change(
                    stored,
                    stored.job._replace(state='marked', attempt=1),
                    (check,),
                )

        on_site(scenario)

    def test_a_start_after_release_never_runs(self) -> None:
        """The worker records a released attempt as ended."""

        async def scenario(site: Site) -> None:
            worker = site.workers['w0']
            token, attempt = FencingToken(1, 'a'), AttemptId('dc-1', 1)
            worker.reserve(token, LeaseRequest(attempt, 1, 60))
            self.assertFalse(worker.release(token, attempt))
            with self.assertRaises(Exception):
                worker.start(token, attempt, Task('s', 'k', '{}', 0, 1))
            with self.assertRaises(Exception):
                worker.reserve(token, LeaseRequest(attempt, 1, 60))
            self.assertEqual(worker.starts, [])

        on_site(scenario)


class TakeoverTest(unittest.TestCase):
    """Another scheduler becomes active and takes over."""

    def test_running_work_is_adopted_not_run_again(self) -> None:
        """A non-idempotent gang survives the crash of its scheduler."""

        async def scenario(site: Site) -> None:
            old = await site.scheduler('s1')
            await site.accept(**GANG, **ONCE, body='{"run_s": 60}')
            await site.clock.until(
                lambda: sum(site.running('dc-1').values()) == 2,
            )
            await site.scheduler('s2')
            await old.kill()
            self.assertEqual(await ended(site, 'dc-1'), 'finished')
            self.assertEqual(list(site.starts('dc-1').values()), [2])

        on_site(scenario)

    def test_a_start_record_without_any_start_is_requeued(self) -> None:
        """The scheduler crashes after the start record, before any start."""

        async def scenario(site: Site) -> None:
            old = await site.scheduler('s1')
            await site.clock.until(lambda: old.active)
            start_recorded = asyncio.Event()

            def stop_at_start_record(transaction: Transaction) -> None:
                if not writes_start_record(transaction):
                    return
                start_recorded.set()
                for worker in site.workers.values():
                    worker.faults.settings = FaultSettings(down=True)

            site.table.before_write = stop_at_start_record
            await site.accept(**GANG, **ONCE)
            old.leader.term.notify(['dc-1'])  # type: ignore[union-attr]
            await site.clock.until(start_recorded.is_set)
            await old.kill()
            site.table.before_write = None
            await site.clock.advance(30)
            for worker in site.workers.values():
                worker.faults.settings = FaultSettings()
            await site.scheduler('s2')
            self.assertEqual(await ended(site, 'dc-1'), 'finished')
            self.assertEqual(list(site.starts('dc-1').values()), [2])

        on_site(scenario)

    def test_orphans_are_released(self) -> None:
        """A lease that belongs to no open job is released."""

        async def scenario(site: Site) -> None:
            worker = site.workers['w0']
            worker.reserve(
                FencingToken(0, ''),
                LeaseRequest(AttemptId('dc-8', 1), 8, 1000),
            )
            scheduler = await site.scheduler('s1')
            await site.clock.until(lambda: scheduler.active)
            await site.clock.advance(1)
            self.assertEqual(worker.free_slots(), 8)

        on_site(scenario)

    def test_a_job_that_loses_its_workers_fails(self) -> None:
        """The job may crash them, which its reason for failing states."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1')
            await site.accept(body='{"run_s": 500}')
            for _ in range(8):
                await crash_running_worker(site)
            self.assertEqual(await ended(site, 'dc-1', 200), 'failed')
            job = await site.job('dc-1')
            self.assertIn('lost 5 times', job.reason)
            self.assertEqual(sum(site.starts('dc-1').values()), 5)

        on_site(scenario)

    def test_work_whose_worker_crashed_is_not_run_again(self) -> None:
        """The worker restarts at once and has no record of the start."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1')
            await site.accept(**ONCE, body='{"run_s": 500}')
            await crash_running_worker(site)
            self.assertEqual(await ended(site, 'dc-1', 200), 'unknown')
            self.assertEqual(sum(site.starts('dc-1').values()), 1)

        on_site(scenario)

    def test_lost_non_idempotent_work_ends_as_unknown(self) -> None:
        """It is not started again, and the state of the job shows it."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1')
            await site.accept(**ONCE, body='{"run_s": 500}')
            await site.clock.until(lambda: bool(site.running('dc-1')))
            lost_worker = next(
                worker for worker in site.workers.values() if worker.running()
            )
            lost_worker.faults.settings = FaultSettings(down=True)
            self.assertEqual(await ended(site, 'dc-1', 200), 'unknown')
            self.assertEqual(sum(site.starts('dc-1').values()), 1)

        on_site(scenario)


async def crash_running_worker(site: Site) -> None:
    """Crash and restart the worker that runs a member."""
    if (await site.job('dc-1')).state == 'failed':
        return
    await site.clock.until(lambda: bool(site.running('dc-1')))
    worker = next(one for one in site.workers.values() if one.running())
    worker.crash()
    await site.clock.advance(20)


class PlatformOutageTest(unittest.TestCase):
    """Long outages of the table or the object store."""

    def test_running_work_is_finalized_after_the_outage(self) -> None:
        """Ten minutes without the table cost no lease and no result."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1')
            await site.accept(**GANG, **ONCE, body='{"run_s": 300}')
            await site.clock.until(
                lambda: sum(site.running('dc-1').values()) == 2,
            )
            site.table.faults.settings = FaultSettings(down=True)
            await site.clock.advance(600)
            site.table.faults.settings = FaultSettings()
            self.assertEqual(await ended(site, 'dc-1'), 'finished')
            self.assertEqual(list(site.starts('dc-1').values()), [2])

        on_site(scenario)

    def test_a_result_waits_for_the_object_store(self) -> None:
        """The worker holds the result until it is stored."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1')
            site.objects.faults.settings = FaultSettings(down=True)
            await site.accept(**GANG)
            await site.clock.advance(120)
            self.assertEqual((await site.job('dc-1')).state, 'marked')
            site.objects.faults.settings = FaultSettings()
            self.assertEqual(await ended(site, 'dc-1'), 'finished')

        on_site(scenario)


class NotifyTest(unittest.TestCase):
    """Notifications of many jobs at once."""

    def test_a_burst_is_read_although_the_table_is_slow(self) -> None:
        """Notifications are accepted at once; rows are read concurrently."""

        async def scenario(site: Site) -> None:
            scheduler = await site.scheduler('s1', scan_interval_s=1000)
            await site.clock.until(lambda: scheduler.active)
            jobs = [f'dc-{number}' for number in range(64)]
            for job_id in jobs:
                await site.accept(job_id=job_id, body='{"run_s": 1000}')
            site.table.faults.settings = FaultSettings(slow_s=0.1)
            term = scheduler.leader.term
            assert term is not None
            term.notify(jobs)
            term.notify(jobs)
            await site.clock.advance(1)
            known = len(term.state.queue) + len(term.gangs)
            self.assertEqual(known, 64)

        on_site(scenario)


class KeyTest(unittest.TestCase):
    """Idempotency keys and the expiry of jobs."""

    def test_concurrent_requests_with_one_key_accept_one_job(self) -> None:
        """Of five concurrent requests one is accepted; the others conflict."""

        async def scenario(site: Site) -> None:
            key_row = 'keys/audit/k'
            outcomes = await asyncio.gather(
                *(
                    site.store.accept(
                        make_job(f'dc-{number}', key_row=key_row),
                        KeyRecord(f'dc-{number}', 'digest'),
                    )
                    for number in range(5)
                ),
                return_exceptions=True,
            )
            accepted = [
                one for one in outcomes if not isinstance(one, BaseException)
            ]
            self.assertEqual(len(accepted), 1)
            found = await site.store.key_record(key_row)
            first = accepted[0].job.job_id
            self.assertEqual(found, KeyRecord(first, 'digest'))

        on_site(scenario)

    def test_keys_and_jobs_expire_together_with_concurrent_cleanups(
        self,
    ) -> None:
        """Two concurrent cleanups delete each row once, and none is left."""

        async def scenario(site: Site) -> None:
            await site.scheduler('s1')
            await site.store.accept(
                make_job('dc-1', key_row='keys/audit/k'),
                KeyRecord('dc-1', 'digest'),
            )
            await ended(site, 'dc-1')
            await site.clock.advance(86400 + 3600)
            counts = await asyncio.gather(
                site.store.delete_expired(10),
                site.store.delete_expired(10),
            )
            self.assertLessEqual(sum(counts), 1)
            self.assertIsNone(await site.store.load('dc-1'))
            self.assertIsNone(await site.store.key_record('keys/audit/k'))

        on_site(scenario)

    @given(st.sampled_from(['shah-alam', 'a', 'a-b-c']))
    def test_a_job_id_contains_the_accepting_data_centre(
        self,
        data_centre: str,
    ) -> None:
        """Data centre names may hold dashes."""
        self.assertEqual(
            accepting_data_centre(new_job_id(data_centre)), data_centre
        )


class CancellationTest(unittest.TestCase):
    """Many cancellations at once."""

    def test_concurrent_cancellations_end_each_job_once(self) -> None:
        """Cancelled or finished, never both; none starts afterwards."""

        async def scenario(site: Site) -> None:
            scheduler = await site.scheduler('s1')
            await site.clock.until(lambda: scheduler.active)
            jobs = [f'dc-{number}' for number in range(60)]
            for job_id in jobs:
                await site.accept(job_id=job_id, body='{"run_s": 3}')
            scheduler.leader.term.notify(jobs)  # type: ignore[union-attr]
            await site.clock.advance(2)
            acknowledged = await asyncio.gather(
                *(site.store.request_cancel(job_id) for job_id in jobs),
            )
            before = {
                stored.job.job_id: site.starts(stored.job.job_id)
                for stored in acknowledged
                if stored and stored.job.state == 'cancelled'
            }
            self.assertGreater(len(before), 20)
            scheduler.leader.term.notify(jobs)  # type: ignore[union-attr]
            await site.clock.advance(30)
            for job_id in jobs:
                state = (await site.job(job_id)).state
                self.assertIn(state, {'cancelled', 'finished'})
            for job_id, starts in before.items():
                self.assertEqual(site.starts(job_id), starts)

        on_site(scenario)


class WriteRateLimiterTest(unittest.TestCase):
    """A burst of jobs must neither cost the lease nor overload the table."""

    def test_writes_pass_at_the_limiters_rate(self) -> None:
        """After a burst of one second's worth, writes pass at that rate."""

        async def scenario(site: Site) -> None:
            limiter = WriteRateLimiter(clock=site.clock, per_s=10)
            passed: list[float] = []

            async def write() -> None:
                await limiter.acquire()
                passed.append(site.clock.monotonic_s())

            begun_s = site.clock.monotonic_s()
            tasks = [asyncio.create_task(write()) for _ in range(40)]
            await site.clock.until(lambda: all(task.done() for task in tasks))
            for second in range(4):
                by_then = [one for one in passed if one <= begun_s + second]
                self.assertLessEqual(len(by_then), 10 * (second + 1))

        on_site(scenario)

    def test_a_write_that_would_wait_too_long_is_refused_as_not_sent(
        self,
    ) -> None:
        """The caller learns at once that nothing was written."""

        async def scenario(site: Site) -> None:
            limiter = WriteRateLimiter(clock=site.clock, per_s=1)
            tasks = [asyncio.create_task(limiter.acquire()) for _ in range(10)]
            await site.clock.advance(20)
            refused = [task for task in tasks if task.exception()]
            self.assertEqual(len(refused), 4)
            self.assertIsInstance(refused[0].exception(), NotSentError)

        on_site(scenario)


class UsageTest(unittest.TestCase):
    """Workers report the usage of tasks with a delay."""

    def test_overuse_is_reported_only_after_the_lag(self) -> None:
        """A lease that uses more slots than it holds is reported."""

        async def scenario(site: Site) -> None:
            worker = site.workers['w0']
            token, attempt = FencingToken(1, 'a'), AttemptId('dc-1', 1)
            worker.reserve(token, LeaseRequest(attempt, 1, 60))
            body = '{"run_s": 50, "use_slots": 3}'
            worker.start(token, attempt, Task('s', 'k', body, 0, 1))
            await site.clock.advance(0.5)
            early = await worker.poll(token, 60, 0, [attempt], [])
            self.assertEqual(early.leases, ())
            await site.clock.advance(1)
            late = await worker.poll(token, 60, 0, None, [])
            self.assertEqual([one.used_slots for one in late.leases], [3])

        on_site(scenario)
