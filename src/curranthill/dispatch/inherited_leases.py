"""Logs the leases of earlier leaders that a term still awaits.

Until a worker has answered, its session assumes the longest lease that an
earlier leader may have granted, and nothing that may run there is started
elsewhere.
"""

from collections.abc import Mapping
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.session import WorkerSession
from curranthill.telemetry.events import events

#: The shortest interval between two log lines, in seconds.
LOG_INTERVAL_S: Final = 2.0

#: The interval between two checks of all sessions, in seconds.
CHECK_INTERVAL_S: Final = 0.25

#: The most workers named in one log line, those with the most runs first.
MAX_NAMED_WORKERS: Final = 5


class InheritedLeases:
    """Tracks which workers have answered in this term.

    :param sessions: the worker sessions by worker id.
    :param epoch: the number of the term, for the log.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
        epoch: int,
    ) -> None:
        """Initialize the tracker of a term in which no worker has answered."""
        self._clock = clock
        self._sessions = sessions
        self._epoch = epoch
        self._answered: dict[str, WorkerSession] = {}
        self._began_s = clock.monotonic_s()
        self._checked_s = self._began_s - CHECK_INTERVAL_S
        self._logged_s = self._began_s - LOG_INTERVAL_S
        self._logged = 0

    def is_awaited(self, worker_id: str) -> bool:
        """Return whether earlier leaders' grants are awaited at a worker."""
        session = self._sessions.get(worker_id)
        if session is None or session.removed:
            return False
        answered = self._answered.get(worker_id) is session
        return not answered and bool(session.lease_remaining_s)

    def report(self) -> None:
        """Log the silent workers at the start of a term, and on changes.

        The first line counts all workers, as none has answered by then.
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        for worker_id, session in self._sessions.items():
            if session.reachable:
                self._answered[worker_id] = session
        silent = [
            session
            for worker_id, session in self._sessions.items()
            if self.is_awaited(worker_id)
        ]
        is_due = now_s - self._logged_s >= LOG_INTERVAL_S
        if is_due and len(silent) != self._logged:
            self._logged_s = now_s
            self._logged = len(silent)
            self._log(silent)

    def _log(self, silent: list[WorkerSession]) -> None:
        silent.sort(key=_run_count, reverse=True)
        events.log(
            'inherited_leases',
            epoch=self._epoch,
            term_s=round(self._clock.monotonic_s() - self._began_s, 1),
            workers=len(self._sessions),
            silent=len(silent),
            silent_with_runs=sum(1 for one in silent if one.runs),
            held_runs=sum(map(_run_count, silent)),
            longest_s=round(
                max((one.lease_remaining_s for one in silent), default=0.0), 1
            ),
            named=[one.worker_id for one in silent[:MAX_NAMED_WORKERS]],
        )


def _run_count(session: WorkerSession) -> int:
    return len(session.runs)


__all__ = ('InheritedLeases',)
