"""The runs that may exist at one worker, judged by what the worker lists."""

from typing import TYPE_CHECKING, Final

from curranthill.clock import Clock
from curranthill.dispatch.crashes import WORKER_RESTARTED
from curranthill.dispatch.ends import EndTracker
from curranthill.dispatch.owner import SessionOwner
from curranthill.dispatch.workers import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    RunReport,
)
from curranthill.placement import MARKED, ORDERED, RUNNING, UNKNOWN, Run
from curranthill.tasks import Resources, TaskKey
from curranthill.telemetry.events import events

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession

#: How soon an unanswered stop is sent again, in seconds.
STOP_REPEAT_S: Final = 0.5

#: An end tells how long a run took only if the report before is no older, in
#: seconds: twice as long as a renewal waits for an end.
MAX_REPORT_GAP_S: Final = 3.0


class RunList:
    """All runs that may exist at a worker, and which of its ends are noted.

    :param runs: by task and attempt.
    :param ends: of the worker's present incarnation.
    :param unconfirmed: runs whose start was answered and that no list has shown.
    """

    def __init__(
        self,
        *,
        session: 'WorkerSession',
        owner: SessionOwner,
        clock: Clock,
    ) -> None:
        """Start with nothing known of the worker."""
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.unconfirmed: set[tuple[TaskKey, int]] = set()
        self._previous_runs: set[tuple[TaskKey, int]] = set()
        self._reported_clock_s = 0.0
        self._session = session
        self._owner = owner
        self._clock = clock
        self.ends = EndTracker(wait_stored=owner.ends_stored, clock=clock)

    @property
    def any_unconfirmed(self) -> bool:
        """Return whether some start may have reached another incarnation."""
        if self.unconfirmed:
            return True
        return any(run.state == ORDERED for run in self.runs.values())

    def fits(self, run: Run, room: Resources) -> bool:
        """Return whether a room holds one more run beside those sent there.

        What is being stopped still takes its room.
        """
        taken = run.needs
        for one in self.runs.values():
            if one is not run and one.state != MARKED:
                taken = taken.plus(one.needs)
        return room.covers(taken)

    def start_answered(self, run: Run) -> None:
        """Wait for a list to show a run, unless one has shown its end."""
        if self.runs.get(run.name) is run:
            self.unconfirmed.add(run.name)

    def reset(self, *, restarted: bool = True) -> None:
        """Forget the numbers of ends: another incarnation counts anew.

        Taken for those of the former one, its first ends would pass for known
        and be acknowledged unread: tasks that are done would run again. Runs
        are judged by the lists of the new incarnation.

        :param restarted: whether there was a former one that was known.
        """
        self.ends.close()
        self.ends = EndTracker(
            wait_stored=self._owner.ends_stored, clock=self._clock
        )
        if restarted:
            self._previous_runs.update(self.runs)

    def apply(
        self,
        report: LeaseReport,
        order: LeaseOrder,
        sent_s: float,
    ) -> None:
        """Take in a list that answers an order sent at a moment."""
        seen = {(one.task, one.attempt) for one in report.runs}
        new_ends = self.ends.unrecorded(report.ends)
        self._log_skipped_ends(report.ends)
        seen.update((end.task, end.attempt) for end in new_ends)
        self.unconfirmed.difference_update(seen)
        self._previous_runs.difference_update(seen)
        for one in report.runs:
            self._apply_run(one, report.clock_s)
        for run in list(self.runs.values()):
            if run.name not in seen:
                self._check_absent(run, order, sent_s)
        self._apply_ends(new_ends, report.clock_s)

    def invalidate_ordered(self) -> None:
        """Take it as unknown whether starts under way took effect."""
        for run in self.runs.values():
            if run.state == ORDERED:
                run.state = UNKNOWN

    def drop_absent(self, run: Run, reason: str) -> None:
        """Give up a run that will never exist again."""
        if self.runs.get(run.name) is not run:
            return
        self.runs.pop(run.name)
        self.unconfirmed.discard(run.name)
        self._previous_runs.discard(run.name)
        self._owner.run_absent(self._session, run, reason)

    def drop_all(self, reason: str) -> None:
        """Give up all runs."""
        for run in list(self.runs.values()):
            self.drop_absent(run, reason)

    def _apply_run(self, report: RunReport, clock_s: float) -> None:
        run = self.runs.get((report.task, report.attempt))
        now_s = self._clock.monotonic_s()
        if run is None:
            run = self._adopt_stray(report, now_s)
        if run.state in {ORDERED, UNKNOWN}:
            run.state = RUNNING
            run.settled_s = now_s
        if report.done_percent != run.done_percent:
            run.percent_changed_s = now_s
        run.done_percent = report.done_percent
        run.age_s = now_s - run.started_s
        if report.checkpoint:
            run.checkpoint = report.checkpoint
        run.read_pace(clock_s)
        if run.stop_wanted:
            if now_s - run.stop_sent_s > STOP_REPEAT_S:
                run.stop_sent_s = now_s
                self._owner.resend_stop(self._session, run)
            return
        self._owner.run_reported(self._session, run)

    def _adopt_stray(self, report: RunReport, now_s: float) -> Run:
        """Take in a run that no row names; it is stopped."""
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
        return run

    def _check_absent(self, run: Run, order: LeaseOrder, sent_s: float) -> None:
        """Give up a run that an answer should have listed and did not."""
        previous = self._is_previous(run)
        if run.state == UNKNOWN:
            if run.ordered_token < order.token:
                reason = WORKER_RESTARTED if previous else 'never started'
                self.drop_absent(run, reason)
        elif run.state == RUNNING and run.settled_s < sent_s:
            self.drop_absent(
                run, WORKER_RESTARTED if previous else 'not listed'
            )

    def _is_previous(self, run: Run) -> bool:
        """Return whether a run was placed in a former life of the worker."""
        if run.incarnation and self._session.incarnation:
            return run.incarnation != self._session.incarnation
        return run.name in self._previous_runs

    def _log_skipped_ends(self, ends: tuple[EndReport, ...]) -> None:
        """Tell of an end that passes for known though its run is not over."""
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

    def _apply_ends(self, ends: list[EndReport], clock_s: float) -> None:
        prompt = clock_s - self._reported_clock_s < MAX_REPORT_GAP_S
        self._reported_clock_s = clock_s
        if not ends:
            return
        for end in ends:
            run = self.runs.get((end.task, end.attempt))
            if run is not None and prompt:
                run.read_end(clock_s)
            self._owner.run_ended(self._session, end)
            self.runs.pop((end.task, end.attempt), None)
            self.ends.note(end)
        self._owner.session_changed(self._session)


__all__ = ('RunList',)
