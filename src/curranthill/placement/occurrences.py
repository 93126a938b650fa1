"""The occurrences of a job: which steps are done, at work, or may start.

A job may have any number of occurrences. Those that are done are kept as
ranges, and those that have not started are not kept at all but counted by
their due times. Only steps with tasks that have started are kept one by one,
and their number is bounded. So neither memory nor the time of a round grow with
the occurrences that are due or done.
"""

from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Final

from curranthill.tasks import JobProgress, JobSpec, RangeSet, Step

#: A job with more occurrences stores those that are done as ranges, which
#: earlier releases can't read.
MAX_LISTED_OCCURRENCES: Final = 16

#: Of the steps of a job that may start, a round considers the first ones with
#: this many tasks together, and at least one occurrence of each step.
FIRST_TASKS: Final = 64

#: Besides them it considers others with this many tasks, different ones in each
#: round: one further back may fit where the first ones do not.
LATER_TASKS: Final = 32

#: No further occurrence of a job starts while this many of its steps, or tasks
#: of these steps, have started and are not done.
MAX_OPEN_STEPS: Final = 1024
MAX_OPEN_TASKS: Final = 4096

#: An occurrence and the number of a step.
StepId = tuple[int, int]


class Occurrences:
    """The occurrences of one job.

    :param current: the first occurrence that is not done, or the last one.
    """

    def __init__(self, *, spec: JobSpec, progress: JobProgress) -> None:
        """Initialize from the stored progress.

        The done steps of a job with many occurrences are converted to ranges.
        """
        self._spec = spec
        self._progress = progress
        self._steps = spec.steps
        self._total = spec.occurrences
        self._are_ranges_stored = self._total > MAX_LISTED_OCCURRENCES
        self._done: dict[int, RangeSet] = {}
        self._taken: dict[int, RangeSet] = {}
        # By step; the values of the inner mapping are not used, its order is.
        self._open: dict[int, dict[int, None]] = {}
        self._unsettled: dict[int, set[int]] = {}
        self._open_steps = 0
        self._rounds = 0
        # By step, the occurrence at which the others of this round begin, and
        # that of the next round.
        self._positions: dict[int, int] = {}
        self._next_positions: dict[int, int] = {}
        self._listed = 0
        self.current = 0
        for number, bounds in progress.done_ranges.items():
            self._done[number] = RangeSet(bounds)
            self._taken[number] = RangeSet(list(bounds))
        self._read_listed()
        if self._are_ranges_stored:
            progress.done_steps.clear()
            self._listed = 0
        self._advance()

    @property
    def all_done(self) -> bool:
        """Return whether all steps of all occurrences are done."""
        return all(
            self._first_undone(number) >= self._total
            for number, _ in enumerate(self._steps)
        )

    def is_done(self, occurrence: int, number: int) -> bool:
        """Return whether a step is recorded as done."""
        if self._listed != len(self._progress.done_steps):
            self._read_listed()
        done = self._done.get(number)
        return done is not None and occurrence in done

    def record_done(self, occurrence: int, number: int) -> None:
        """Record that a step is done, and drop the progress of its tasks."""
        self._add_done(occurrence, number)
        progress = self._progress
        if not self._are_ranges_stored:
            progress.done_steps.append(f'{occurrence}.{number}')
            self._listed += 1
        progress.drop_tasks(occurrence, number, self._steps[number].width)
        if occurrence in self._open.get(number, ()):
            self._open[number].pop(occurrence)
            self._unsettled[number].discard(occurrence)
            self._open_steps -= 1
        self._advance()

    def open(self, occurrence: int, number: int) -> None:
        """Record that a task of a step has started."""
        known = self._open.setdefault(number, {})
        if occurrence in known or self.is_done(occurrence, number):
            return
        known[occurrence] = None
        self._open_steps += 1
        self._unsettled.setdefault(number, set()).add(occurrence)
        self._taken.setdefault(number, RangeSet()).add(occurrence)

    def open_steps(self) -> list[StepId]:
        """Return the steps with tasks that have started and that go on."""
        return [
            (occurrence, number)
            for number, known in self._open.items()
            for occurrence in known
        ]

    def is_open(self, occurrence: int, number: int) -> bool:
        """Return whether a task of a step has started and the step goes on."""
        return occurrence in self._open.get(number, ())

    def settle(self, occurrence: int, number: int) -> None:
        """Leave out a step of which each task is done or has a run."""
        self._unsettled.get(number, set()).discard(occurrence)

    def unsettle(self, occurrence: int, number: int) -> None:
        """Consider an open step again, as one of its runs has ended."""
        if self.is_open(occurrence, number):
            self._unsettled[number].add(occurrence)

    def unsettle_some(self) -> None:
        """Consider some settled steps again, others at each call."""
        for number, known in self._open.items():
            for occurrence in list(islice(known, LATER_TASKS)):
                known[occurrence] = known.pop(occurrence)
                self._unsettled[number].add(occurrence)

    def due_count(self, now_s: float) -> int:
        """Return how many occurrences are due at a wall-clock time."""
        spec = self._spec
        if spec.due_s(0) > now_s:
            return 0
        if self._total == 1 or spec.interval_s <= 0:
            return self._total
        passed = (now_s - spec.start_at_s) / spec.interval_s
        if passed >= self._total:
            return self._total
        count = min(int(passed) + 1, self._total)
        # Times are rounded; none may start before it is due.
        return count if spec.due_s(count - 1) <= now_s else count - 1

    def startable(self, now_s: float) -> Iterable[StepId]:
        """Return the steps that a round considers, in order.

        Each is due and not done, and waits for no other step. All of an only
        occurrence are returned; of several ones those that may have tasks
        without a run, and no more than a bounded number.
        """
        due = self.due_count(now_s)
        if self._total == 1:
            return [
                (0, number)
                for number, step in enumerate(self._steps)
                if due and self._may_start(0, number, step)
            ]
        found: list[StepId] = []
        for number, step in enumerate(self._steps):
            found.extend(
                (occurrence, number)
                for occurrence in self._waiting(number, step, due)
            )
        found.sort()
        return found

    def advance_position(self) -> None:
        """Continue with other steps in the next round."""
        self._rounds += 1
        self._positions.update(self._next_positions)

    def _waiting(self, number: int, step: Step, due: int) -> list[int]:
        """Return the occurrences of a step that a round considers."""
        first, later = self._shares(step)
        unsettled = sorted(self._unsettled.get(number, ()))
        found = unsettled[:first]
        others = unsettled[first:]
        if others:
            start = self._rounds * later % len(others)
            found.extend(others[start : start + later])
        if self._may_open:
            fresh = list(islice(self._fresh(number, step, 0, due), first))
            found.extend(fresh)
            if len(fresh) == first:
                found.extend(self._later(number, step, fresh[-1] + 1, due))
        return found

    def _later(
        self, number: int, step: Step, start: int, due: int
    ) -> list[int]:
        """Return other occurrences than the first ones, in rotation.

        :param start: the occurrence after the first ones.
        """
        _, count = self._shares(step)
        position = max(self._positions.get(number, 0), start)
        later = list(islice(self._fresh(number, step, position, due), count))
        if not later and position > start:
            later = list(islice(self._fresh(number, step, start, due), count))
        self._next_positions[number] = later[-1] + 1 if later else 0
        return later

    @property
    def _may_open(self) -> bool:
        if self._open_steps >= MAX_OPEN_STEPS:
            return False
        return len(self._progress.tasks) < MAX_OPEN_TASKS

    def _shares(self, step: Step) -> tuple[int, int]:
        """Return how many first and other occurrences of a step to consider."""
        tasks = len(self._steps) * step.width
        return max(FIRST_TASKS // tasks, 1), max(LATER_TASKS // tasks, 1)

    def _fresh(
        self, number: int, step: Step, start: int, due: int
    ) -> Iterator[int]:
        """Yield the due occurrences of a step of which no task has started.

        :param start: the first one to consider.
        """
        taken = self._taken.get(number) or RangeSet()
        occurrence = taken.next_absent(start)
        while occurrence < due:
            possible = self._next_possible(occurrence, step)
            if possible is None:
                return
            if possible == occurrence:
                yield occurrence
                possible += 1
            occurrence = taken.next_absent(possible)

    def _next_possible(self, occurrence: int, step: Step) -> int | None:
        """Return the first occurrence in which a step waits for no other.

        It may be before some that still wait; the next call tells.
        """
        for earlier in step.after:
            done = self._done.get(earlier)
            found = done.next_present(occurrence) if done else None
            if found is None or found > occurrence:
                return found
        return occurrence

    def _may_start(self, occurrence: int, number: int, step: Step) -> bool:
        if self.is_done(occurrence, number):
            return False
        return all(self.is_done(occurrence, one) for one in step.after)

    def _read_listed(self) -> None:
        """Add the done steps that are listed and not known yet."""
        listed = self._progress.done_steps
        for name in listed[self._listed :]:
            occurrence, number = map(int, name.split('.'))
            self._add_done(occurrence, number)
        self._listed = len(listed)

    def _add_done(self, occurrence: int, number: int) -> None:
        done = self._done.get(number)
        if done is None:
            done = RangeSet()
            self._done[number] = done
            if self._are_ranges_stored:
                self._progress.done_ranges[number] = done.bounds
        done.add(occurrence)
        self._taken.setdefault(number, RangeSet()).add(occurrence)

    def _advance(self) -> None:
        if self._total > 1:
            first = min(map(self._first_undone, range(len(self._steps))))
            self.current = min(first, self._total - 1)

    def _first_undone(self, number: int) -> int:
        done = self._done.get(number)
        return 0 if done is None else done.next_absent(0)


__all__ = ('MAX_LISTED_OCCURRENCES', 'Occurrences', 'StepId')
