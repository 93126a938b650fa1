"""Logs workers that are listed but can't be used."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Final, Literal

from curranthill.clock import Clock
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession

#: Why a worker accepts no work, as logged for operators.
UnusedReason = Literal[
    'gone',
    'leaving',
    'unreadable entry',
    'rejected a start',
    'an error in its session',
    'entry of another incarnation',
    'data centre not known to be open',
    'not listed',
    'unreachable',
    'stored as silent',
    'not synced',
]

REMOVED: Final = 'gone'
DRAINING: Final = 'leaving'
UNREADABLE: Final = 'unreadable entry'
REJECTED: Final = 'rejected a start'
ERROR: Final = 'an error in its session'
OTHER_INCARNATION: Final = 'entry of another incarnation'
CLOSED: Final = 'data centre not known to be open'
NOT_LISTED: Final = 'not listed'
UNREACHABLE: Final = 'unreachable'
STORED_AS_SILENT: Final = 'stored as silent'
NOT_SYNCED: Final = 'not synced'

#: A worker is logged once it has accepted no work for this long, in seconds.
LOGGED_FROM_S: Final = 5.0

#: The shortest interval between two log lines, in seconds.
LOG_INTERVAL_S: Final = 5.0

#: The most workers named in one log line; the others are counted.
MAX_NAMED_WORKERS: Final = 40


class UnusedWorkerReporter:
    """Logs the listed workers that accept no work whenever they change.

    :param sessions: the worker sessions by worker id.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sessions: Mapping[str, 'WorkerSession'],
    ) -> None:
        """Initialize the reporter without unused workers."""
        self._clock = clock
        self._sessions = sessions
        self._since_s: dict[str, float] = {}
        self._logged: dict[str, UnusedReason] = {}
        self._logged_s = clock.monotonic_s() - LOG_INTERVAL_S

    def report(self) -> None:
        """Set the gauge, and log the unused workers if they have changed."""
        unused = self._unused()
        metrics.workers_unused.set(len(unused))
        now_s = self._clock.monotonic_s()
        if unused == self._logged or now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged = unused
        self._logged_s = now_s
        named: dict[str, list[str]] = {}
        for worker_id in sorted(unused)[:MAX_NAMED_WORKERS]:
            named.setdefault(unused[worker_id], []).append(worker_id)
        events.log(
            'workers_unused',
            unused=len(unused),
            listed=sum(1 for one in self._sessions.values() if one.listed),
            workers=named,
        )

    def _unused(self) -> dict[str, UnusedReason]:
        """Return the reasons of workers that have been unused long enough."""
        now_s = self._clock.monotonic_s()
        reasons: dict[str, UnusedReason] = {}
        for worker_id, session in self._sessions.items():
            reason = session.unused_reason
            if session.listed and reason is not None:
                reasons[worker_id] = reason
        self._since_s = {
            worker_id: self._since_s.get(worker_id, now_s)
            for worker_id in reasons
        }
        return {
            worker_id: reason
            for worker_id, reason in reasons.items()
            if now_s - self._since_s[worker_id] > LOGGED_FROM_S
        }


__all__ = (
    'CLOSED',
    'DRAINING',
    'ERROR',
    'NOT_LISTED',
    'NOT_SYNCED',
    'OTHER_INCARNATION',
    'REJECTED',
    'REMOVED',
    'STORED_AS_SILENT',
    'UNREACHABLE',
    'UNREADABLE',
    'UnusedReason',
    'UnusedWorkerReporter',
)
