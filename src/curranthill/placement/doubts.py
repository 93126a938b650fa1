"""How far workers are trusted, by what became of their starts of late.

Answers workers that fail much of what they start for some seconds while their
health is good: each run placed there spends one of its task's attempts. Told
apart from it are tasks that fail wherever they run, which say nothing of the
workers that ran them.
"""

from collections import deque
from typing import Final, Literal, NamedTuple

from curranthill.tasks import TaskKey

#: How long an end counts for or against its worker, in seconds: some two times
#: as long as workers were seen to misbehave.
MEMORY_S: Final = 14.0

#: What one start that held makes up for, in failed ones: a worker that fails
#: half of what it starts holds the other half.
HELD_WEIGHT: Final = 0.2

#: A run that works for so long has started well, in seconds: workers that fail
#: what they start do so within moments, and an end is listed at once.
HELD_S: Final = 0.5

#: Failures from which on a worker that has held nothing since is on trial;
#: runs fail by themselves now and then.
TRIAL_FROM: Final = 2

#: A wave of failures is told by the starts of so many seconds: short beside
#: the spells of a worker, and long enough for some starts.
WAVE_S: Final = 3.0

#: So many workers that were not doubted fail in a wave, at least.
WAVE_WORKERS: Final = 2

#: The same as a share of those that were given something to start: runs that
#: fail by themselves stay under it.
WAVE_SHARE: Final = 0.05

#: How far a worker is trusted. ``proven``: it has held a start since a wave of
#: failures began, and failed nothing since. ``unproven``: nothing is known.
#: ``doubted``: it failed something. ``on trial``: repeatedly, and held nothing
#: since; it is given one task at a time.
Trust = Literal['proven', 'unproven', 'doubted', 'on trial']

PROVEN: Final = 'proven'
UNPROVEN: Final = 'unproven'
DOUBTED: Final = 'doubted'
ON_TRIAL: Final = 'on trial'


class Standing(NamedTuple):
    """What is thought of a worker at one moment.

    :param doubt: runs that failed or stood still, less starts held since.
    """

    doubt: float = 0.0
    trust: Trust = UNPROVEN


class Trouble(NamedTuple):
    """A run that failed or stood still.

    :param task: what ran; a gang is told by its first member.
    """

    at_s: float
    task: TaskKey


class WorkerRecord:
    """What one incarnation of a worker made of its starts of late.

    All times are of one steady clock, in seconds.

    :param troubles: the oldest first.
    """

    __slots__ = ('_held_s', 'troubles')

    def __init__(self) -> None:
        """Start with nothing known."""
        self.troubles: list[Trouble] = []
        self._held_s: list[float] = []

    def clear(self) -> None:
        """Forget all, as for another incarnation."""
        self.troubles.clear()
        self._held_s.clear()

    def note_held(self, started_s: float, now_s: float) -> None:
        """Take note of a start that held, by the moment it was made.

        What was started before a failure tells nothing of the time since.
        """
        self._forget_old(now_s)
        if not self._held_s or started_s > self._held_s[-1]:
            self._held_s.append(started_s)

    def note_trouble(self, task: TaskKey, now_s: float) -> bool:
        """Take note of a failure; return whether it is the first of late."""
        self._forget_old(now_s)
        self.troubles.append(Trouble(now_s, task))
        return len(self.troubles) == 1

    def excuse(self, task: TaskKey) -> None:
        """Forget a task's failures: it fails elsewhere just the same."""
        self.troubles = [one for one in self.troubles if one.task != task]

    def is_sound_but_for(self, task: TaskKey, now_s: float) -> bool:
        """Return whether a worker holds its starts, this task left out."""
        self._forget_old(now_s)
        others = any(one.task != task for one in self.troubles)
        return bool(self._held_s) and not others

    def standing(
        self,
        now_s: float,
        wave_began_s: float | None = None,
    ) -> Standing:
        """Return how far the worker is trusted now.

        :param wave_began_s: when a wave of failures began, if there is one.
        """
        self._forget_old(now_s)
        newest_held_s = self._held_s[-1] if self._held_s else 0.0
        if not self.troubles:
            proven = newest_held_s and newest_held_s >= (wave_began_s or 0.0)
            return Standing(trust=PROVEN if proven else UNPROVEN)
        oldest_s = self.troubles[0].at_s
        held = sum(1 for one in self._held_s if one > oldest_s)
        doubt = max(0.0, len(self.troubles) - HELD_WEIGHT * held)
        enough = TRIAL_FROM if wave_began_s is None else 1
        recovered = newest_held_s > self.troubles[-1].at_s
        if not recovered and len(self.troubles) >= enough:
            return Standing(doubt, ON_TRIAL)
        return Standing(doubt, DOUBTED) if doubt else Standing()

    def _forget_old(self, now_s: float) -> None:
        oldest_s = now_s - MEMORY_S
        if self.troubles and self.troubles[0].at_s <= oldest_s:
            self.troubles = [
                one for one in self.troubles if one.at_s > oldest_s
            ]
        if self._held_s and self._held_s[0] <= oldest_s:
            self._held_s = [one for one in self._held_s if one > oldest_s]


class StartWatch:
    """Tells a wave of failures, by the starts on workers of one service.

    All times are of one steady clock, in seconds.

    :param is_wave: whether there is a wave now.
    :param wave_began_s: when the first failure of the newest wave came; nothing
        once it has been over for long.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.is_wave = False
        self.wave_began_s: float | None = None
        self._wave_seen_s = 0.0
        self._started_s: deque[float] = deque()
        self._surprised_s: deque[float] = deque()

    def note_start(self, now_s: float) -> None:
        """Take note that a worker without doubt is given something."""
        self._started_s.append(now_s)

    def note_surprise(self, now_s: float) -> None:
        """Take note that a worker without doubt has failed something."""
        self._surprised_s.append(now_s)

    def look(self, now_s: float) -> None:
        """Find out whether there is a wave now."""
        for times_s in (self._started_s, self._surprised_s):
            while times_s and times_s[0] <= now_s - WAVE_S:
                times_s.popleft()
        surprised = len(self._surprised_s)
        least = max(WAVE_WORKERS, WAVE_SHARE * len(self._started_s))
        if surprised < least:
            self.is_wave = False
            if now_s - self._wave_seen_s >= MEMORY_S:
                self.wave_began_s = None
            return
        if not self.is_wave:
            self.wave_began_s = self._surprised_s[0]
        self.is_wave = True
        self._wave_seen_s = now_s


__all__ = (
    'DOUBTED',
    'HELD_S',
    'MEMORY_S',
    'ON_TRIAL',
    'PROVEN',
    'UNPROVEN',
    'Standing',
    'StartWatch',
    'Trouble',
    'Trust',
    'WorkerRecord',
)
