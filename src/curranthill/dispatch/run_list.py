"""The runs that may exist at one worker, reconciled with its reports."""

from typing import TYPE_CHECKING, Final

from curranthill.clock import Clock
from curranthill.dispatch.crashes import UNLISTED, WORKER_RESTARTED
from curranthill.dispatch.ends import EndTracker
from curranthill.dispatch.owner import SessionOwner
from curranthill.dispatch.workers import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    RunReport,
)
from curranthill.placement import ASSIGNED, ORDERED, RUNNING, UNKNOWN, Run
from curranthill.tasks import Resources, TaskKey, total
from curranthill.telemetry.events import events

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession

#: The most runs without a stored assignment that are tracked at a worker, in
#: order to stop them. Others are ignored until some of these have ended.
MAX_STRAYS: Final = 100

#: The pause after a report that lists more of them, in seconds.
STRAYS_PAUSE_S: Final = 1.0

#: The least time between two renewals that wait for an end, in seconds, unless
#: one is listed.
LEAST_INTERVAL_S: Final = 0.25

#: A stop without effect is sent again after this time, in seconds.
STOP_REPEAT_S: Final = 0.5

#: The maximum age of the previous report, in seconds, for the end of a run to
#: show its duration: twice as long as a renewal waits for a run to end.
MAX_REPORT_GAP_S: Final = 3.0


class RunList:
    """The runs that may exist at a worker, and which of its ends are recorded.

    :param runs: by task and attempt.
    :param ends: of the worker's current incarnation.
    :param pause_s: how long the worker is not asked again, in seconds, as it
        responds at once without need or lists too many strays.
    :param unconfirmed: runs whose start got a response that no report has
        confirmed to come from the worker's current incarnation or a previous
        one.
    """

    def __init__(
        self,
        *,
        session: 'WorkerSession',
        owner: SessionOwner,
        clock: Clock,
    ) -> None:
        """Initialize the list of a worker that has not reported yet."""
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.unconfirmed: set[tuple[TaskKey, int]] = set()
        self._previous_runs: set[tuple[TaskKey, int]] = set()
        self._reported_clock_s = 0.0
        self._strays: set[tuple[TaskKey, int]] = set()
        self.pause_s = 0.0
        self._session = session
        self._owner = owner
        self._clock = clock
        self.ends = EndTracker(
            wait_stored=owner.ends_stored,
            is_stored=owner.is_stored,
            clock=clock,
        )

    @property
    def any_unconfirmed(self) -> bool:
        """Return whether some start may have reached another incarnation."""
        if self.unconfirmed:
            return True
        return any(run.state == ORDERED for run in self.runs.values())

    def next_acknowledgement(self, *, synced: bool) -> int:
        """Return the number of an end that this incarnation has listed, or 0.

        A start that no report has confirmed may have reached a new incarnation
        and have ended there under that number: acknowledged, that end would be
        forgotten without having been read.

        :param synced: whether the worker has reported under the newest token.
        """
        if synced and not self.any_unconfirmed:
            return self.ends.acknowledged
        self.ends.withhold()
        return 0

    def fits(self, run: Run, capacity: Resources) -> bool:
        """Return whether a run fits into a capacity beside those sent there.

        Runs that are being stopped still use capacity.
        """
        others = [
            one.needs
            for one in self.runs.values()
            if one is not run and one.state != ASSIGNED
        ]
        return capacity.covers(total((run.needs, *others)))

    def confirm_start(self, run: Run, clock_s: float) -> None:
        """Record that the worker has confirmed the start of a run.

        :param clock_s: the worker's clock.
        """
        run.confirmed_s = self._clock.monotonic_s()
        run.set_start_clock(clock_s)
        run.percent_changed_s = run.confirmed_s
        if run.state == ORDERED:
            run.state = RUNNING
        self._owner.run_started(run.key.job_id)
        self.expect_confirmation(run)

    def expect_confirmation(self, run: Run) -> None:
        """Expect a report to confirm a start, unless one has listed its end."""
        if self.runs.get(run.name) is run:
            self.unconfirmed.add(run.name)

    def reset(self, *, restarted: bool = True) -> None:
        """Count ends from zero again, as another incarnation does.

        With the old count, its first ends would be taken for known ones and be
        acknowledged unread, so tasks that are done would run again. Runs are
        checked against the reports of the new incarnation.

        :param restarted: whether a previous incarnation was known.
        """
        self.ends.close()
        self.ends = EndTracker(
            wait_stored=self._owner.ends_stored,
            is_stored=self._owner.is_stored,
            clock=self._clock,
        )
        if restarted:
            self._previous_runs.update(self.runs)

    def apply(
        self,
        report: LeaseReport,
        order: LeaseOrder,
        sent_s: float,
    ) -> None:
        """Apply the report that responds to an order sent at the given time."""
        seen = {(one.task, one.attempt) for one in report.runs}
        new_ends = self.ends.unrecorded(report.ends)
        self._log_skipped_ends(report.ends)
        seen.update((end.task, end.attempt) for end in new_ends)
        self._confirm_starts(seen, sent_s)
        self._previous_runs.difference_update(seen)
        self._strays.intersection_update(self.runs)
        tracked = [one for one in report.runs if self._is_tracked(one)]
        for one in tracked:
            self._apply_run(one, report.clock_s)
        if len(tracked) < len(report.runs):
            self.pause_s = STRAYS_PAUSE_S
        elif order.wait_s and not report.ends:
            waited_s = self._clock.monotonic_s() - sent_s
            least_s = min(order.wait_s, LEAST_INTERVAL_S)
            self.pause_s = max(least_s - waited_s, 0.0)
        unlisted = [run for run in self.runs.values() if run.name not in seen]
        if new_ends and not report.lists_all_ends:
            self._log_held_back(report.ends, unlisted)
        if report.lists_all_ends:
            for run in unlisted:
                self._check_absent(run, order, sent_s)
        self._apply_ends(new_ends, report.clock_s)

    def invalidate_ordered(self) -> None:
        """Set starts under way to unknown: they may or may not take effect."""
        for run in self.runs.values():
            if run.state == ORDERED:
                run.state = UNKNOWN

    def drop_absent(self, run: Run, reason: str) -> None:
        """Drop a run that does not exist and never will."""
        if self.runs.get(run.name) is not run:
            return
        self.runs.pop(run.name)
        self.unconfirmed.discard(run.name)
        self._previous_runs.discard(run.name)
        self._owner.run_absent(self._session, run, reason)

    def drop_all(self, reason: str) -> None:
        """Drop all runs as absent."""
        for run in list(self.runs.values()):
            self.drop_absent(run, reason)

    def _confirm_starts(
        self, seen: set[tuple[TaskKey, int]], sent_s: float
    ) -> None:
        """Confirm the starts that a report shows to precede it.

        These are the runs that it lists and those whose start had a response
        when the report was requested, though their ends may be held back.
        """
        self.unconfirmed = {
            run.name
            for run in self.runs.values()
            if run.name in self.unconfirmed and run.confirmed_s >= sent_s
        }
        self.unconfirmed -= seen

    def _is_tracked(self, report: RunReport) -> bool:
        """Return whether a listed run is tracked; adopt it if there is room."""
        name = (report.task, report.attempt)
        if name in self.runs:
            return True
        if len(self._strays) >= MAX_STRAYS:
            return False
        self._strays.add(name)
        self._adopt_stray(report, self._clock.monotonic_s())
        return True

    def _apply_run(self, report: RunReport, clock_s: float) -> None:
        run = self.runs[report.task, report.attempt]
        now_s = self._clock.monotonic_s()
        if run.state in {ORDERED, UNKNOWN}:
            run.state = RUNNING
            run.confirmed_s = now_s
            self._owner.run_started(run.key.job_id)
        if report.done_percent != run.done_percent:
            run.percent_changed_s = now_s
        run.done_percent = report.done_percent
        run.age_s = now_s - run.started_s
        if report.checkpoint:
            run.checkpoint = report.checkpoint
        run.update_progress_rate(clock_s)
        if run.stop_wanted:
            overdue = now_s - run.stop_sent_s > STOP_REPEAT_S
            if overdue and not run.is_stop_queued:
                run.is_stop_queued = True
                run.stop_sent_s = now_s
                self._owner.resend_stop(self._session, run)
            return
        self._owner.run_reported(self._session, run)

    def _adopt_stray(self, report: RunReport, now_s: float) -> None:
        """Track a run without a stored assignment, in order to stop it."""
        self._owner.run_started(report.task.job_id)
        events.log(
            'stray_run',
            task=str(report.task),
            attempt=report.attempt,
            worker=self._session.worker_id,
        )
        run = Run(
            key=report.task,
            attempt=report.attempt,
            worker_id=self._session.worker_id,
            needs=self._owner.needs_of(report.task),
            priority=0,
            checkpointable=False,
            state=RUNNING,
            now_s=now_s,
        )
        run.stop_wanted = True
        self.runs[run.name] = run

    def _check_absent(self, run: Run, order: LeaseOrder, sent_s: float) -> None:
        """Drop a run that a report should have listed and did not."""
        previous = self._is_previous(run)
        if run.state == UNKNOWN:
            if run.ordered_token < order.token:
                reason = WORKER_RESTARTED if previous else 'never started'
                self.drop_absent(run, reason)
        elif run.state == RUNNING and run.confirmed_s < sent_s:
            self.drop_absent(run, WORKER_RESTARTED if previous else UNLISTED)

    def _is_previous(self, run: Run) -> bool:
        """Return whether a run was placed in a previous incarnation."""
        if run.incarnation and self._session.incarnation:
            return run.incarnation != self._session.incarnation
        return run.name in self._previous_runs

    def _log_skipped_ends(self, ends: tuple[EndReport, ...]) -> None:
        """Log ends that count as recorded although their runs are tracked."""
        for end in ends:
            known = end.number <= self.ends.recorded
            if known and (end.task, end.attempt) in self.runs:
                events.log(
                    'end_passed_over',
                    task=str(end.task),
                    attempt=end.attempt,
                    how=end.kind,
                    worker=self._session.worker_id,
                    number=end.number,
                    noted=self.ends.recorded,
                )

    def _log_held_back(
        self, ends: tuple[EndReport, ...], unlisted: list[Run]
    ) -> None:
        """Log that the worker may have more ends than it has listed."""
        events.log(
            'ends_held_back',
            worker=self._session.worker_id,
            listed=len(ends),
            through=ends[-1].number,
            unlisted_runs=len(unlisted),
        )

    def _apply_ends(self, ends: list[EndReport], clock_s: float) -> None:
        prompt = clock_s - self._reported_clock_s < MAX_REPORT_GAP_S
        self._reported_clock_s = clock_s
        if not ends:
            return
        for end in ends:
            run = self.runs.get((end.task, end.attempt))
            if run is not None and prompt:
                run.update_final_rate(clock_s)
            self._owner.run_ended(self._session, end)
            self.runs.pop((end.task, end.attempt), None)
            self.ends.record(end)
        self._owner.session_changed(self._session)


__all__ = ('RunList',)
