"""The runs that may exist at one worker, judged by what the worker lists."""

from typing import TYPE_CHECKING, Final

from curranthill.clock import Clock
from curranthill.dispatch.crashes import WORKER_RESTARTED
from curranthill.dispatch.ends import EndLog
from curranthill.dispatch.owner import SessionOwner
from curranthill.dispatch.workers import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    RunReport,
)
from curranthill.placement import ASSIGNED, ORDERED, RUNNING, UNKNOWN, Run
from curranthill.tasks import Resources, TaskKey
from curranthill.telemetry.events import events

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession

#: How soon an unanswered stop is sent again, in seconds.
STOP_REPEAT_S: Final = 0.5

#: An end tells how long a run took only if the report before is no older, in
#: seconds: twice as long as a renewal waits for an end.
PROMPT_S: Final = 3.0


class RunList:
    """All runs that may exist at a worker, and which of its ends are noted.

    :param runs: by task and attempt.
    :param ends: of the worker's present incarnation.
    :param unproven: runs whose start was answered and that no list has shown.
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
        self.unproven: set[tuple[TaskKey, int]] = set()
        self._outlived: set[tuple[TaskKey, int]] = set()
        self._clock_s = 0.0
        self._session = session
        self._owner = owner
        self._clock = clock
        self.ends = EndLog(saved=owner.ends_saved, clock=clock)

    @property
    def any_unproven(self) -> bool:
        """Return whether some start may have reached another incarnation."""
        if self.unproven:
            return True
        return any(run.state == ORDERED for run in self.runs.values())

    def fits(self, run: Run, room: Resources) -> bool:
        """Return whether a room holds one more run beside those sent there.

        What is being stopped still takes its room.
        """
        taken = run.needs
        for one in self.runs.values():
            if one is not run and one.state != ASSIGNED:
                taken = taken.plus(one.needs)
        return room.covers(taken)

    def start_answered(self, run: Run) -> None:
        """Wait for a list to show a run, unless one has shown its end."""
        if self.runs.get(run.name) is run:
            self.unproven.add(run.name)

    def begin_anew(self, *, restarted: bool = True) -> None:
        """Forget the numbers of ends: another incarnation counts anew.

        Taken for those of the former one, its first ends would pass for known
        and be acknowledged unread: tasks that are done would run again. Runs
        are judged by the lists of the new incarnation.

        :param restarted: whether there was a former one that was known.
        """
        self.ends.close()
        self.ends = EndLog(saved=self._owner.ends_saved, clock=self._clock)
        if restarted:
            self._outlived.update(self.runs)

    def take(
        self,
        report: LeaseReport,
        order: LeaseOrder,
        sent_s: float,
    ) -> None:
        """Take in a list that answers an order sent at a moment."""
        seen = {(one.task, one.attempt) for one in report.runs}
        new_ends = self.ends.new_of(report.ends)
        self._tell_passed_over(report.ends)
        seen.update((end.task, end.attempt) for end in new_ends)
        self.unproven.difference_update(seen)
        self._outlived.difference_update(seen)
        for one in report.runs:
            self._take_run(one, report.clock_s)
        for run in list(self.runs.values()):
            if run.name not in seen:
                self._check_absent(run, order, sent_s)
        self._take_ends(new_ends, report.clock_s)

    def doubt_ordered(self) -> None:
        """Take it as unknown whether starts under way took effect."""
        for run in self.runs.values():
            if run.state == ORDERED:
                run.state = UNKNOWN

    def vanish(self, run: Run, reason: str) -> None:
        """Give up a run that will never exist again."""
        if self.runs.get(run.name) is not run:
            return
        self.runs.pop(run.name)
        self.unproven.discard(run.name)
        self._outlived.discard(run.name)
        self._owner.run_vanished(self._session, run, reason)

    def vanish_all(self, reason: str) -> None:
        """Give up all runs."""
        for run in list(self.runs.values()):
            self.vanish(run, reason)

    def _take_run(self, report: RunReport, clock_s: float) -> None:
        run = self.runs.get((report.task, report.attempt))
        now_s = self._clock.monotonic_s()
        if run is None:
            run = self._adopt_stray(report, now_s)
        if run.state in {ORDERED, UNKNOWN}:
            run.state = RUNNING
            run.confirmed_s = now_s
        if report.done_percent != run.done_percent:
            run.percent_changed_s = now_s
        run.done_percent = report.done_percent
        run.age_s = now_s - run.started_s
        if report.checkpoint:
            run.checkpoint = report.checkpoint
        run.update_progress_rate(clock_s)
        if run.stop_wanted:
            if now_s - run.stop_sent_s > STOP_REPEAT_S:
                run.stop_sent_s = now_s
                self._owner.stop_again(self._session, run)
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
        outlived = self._is_outlived(run)
        if run.state == UNKNOWN:
            if run.ordered_token < order.token:
                reason = WORKER_RESTARTED if outlived else 'never started'
                self.vanish(run, reason)
        elif run.state == RUNNING and run.confirmed_s < sent_s:
            self.vanish(run, WORKER_RESTARTED if outlived else 'not listed')

    def _is_outlived(self, run: Run) -> bool:
        """Return whether a run was placed in a former life of the worker."""
        if run.incarnation and self._session.incarnation:
            return run.incarnation != self._session.incarnation
        return run.name in self._outlived

    def _tell_passed_over(self, ends: tuple[EndReport, ...]) -> None:
        """Tell of an end that passes for known though its run is not over."""
        for end in ends:
            known = end.number <= self.ends.noted
            if known and (end.task, end.attempt) in self.runs:
                events.log(
                    'end_passed_over',
                    task=str(end.task),
                    attempt=end.attempt,
                    how=end.kind,
                    worker=self._session.worker_id,
                    number=end.number,
                    noted=self.ends.noted,
                )

    def _take_ends(self, ends: list[EndReport], clock_s: float) -> None:
        prompt = clock_s - self._clock_s < PROMPT_S
        self._clock_s = clock_s
        if not ends:
            return
        for end in ends:
            run = self.runs.get((end.task, end.attempt))
            if run is not None and prompt:
                run.update_final_rate(clock_s)
            self._owner.run_ended(self._session, end)
            self.runs.pop((end.task, end.attempt), None)
            self.ends.note(end)
        self._owner.session_changed(self._session)


__all__ = ('RunList',)
