"""The platform's workers: their entries in the store and their calls."""

from typing import Any, Final

import msgspec

from curranthill.dispatch import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    RejectedError,
    RunReport,
    StartOrder,
    WorkerGoneError,
)
from curranthill.errors import WorkerReplyLostError, WorkerUnreachableError
from curranthill.placement import WorkerEntry
from curranthill.platform.calls import (
    Answer,
    Caller,
    CallNotSentError,
    CallUnansweredError,
)
from curranthill.storage.rows import StoredRow
from curranthill.tasks import Resources, TaskKey

#: A start or stop is answered in milliseconds; a slow host or worker takes
#: some tens of them, so that a reply this late is taken as lost.
ORDER_TIMEOUT_S: Final = 0.6

#: What a renewal may take beyond the wait that was asked for, in seconds.
RENEWAL_SLACK_S: Final = 0.7

_OK: Final = 200
_CONFLICT: Final = 409
_OTHER_WORKER: Final = 421


class RegisteredWorkers:
    """Entries that the workers write under their ids."""

    table = 'servers'

    def decode(self, row: StoredRow) -> WorkerEntry:
        """Return a worker's entry.

        :raises KeyError: if a field is missing.
        """
        fields = msgspec.json.decode(row.content, type=dict[str, Any])
        return WorkerEntry(
            worker_id=row.key,
            service=fields['service'],
            address=fields['address'],
            data_centre=fields['zone'],
            # All that the worker has, though named like what is left.
            room=resources_from(fields.get('headroom', {})),
            labels=tuple(fields.get('labels', ())),
            leaving=fields.get('state') == 'draining',
            clock_s=fields.get('clock_ms', 0) / 1000,
            remaining_s=fields.get('remaining_ms', 0) / 1000,
            incarnation=fields.get('born', 0),
        )


class PlatformConnector:
    """Makes clients of the platform's workers."""

    def __init__(self, *, caller: Caller) -> None:
        """Share the connections."""
        self._caller = caller

    def connect(self, entry: WorkerEntry) -> 'PlatformWorker':
        """Return a client of a worker."""
        return PlatformWorker(
            caller=self._caller,
            address=entry.address,
            worker_id=entry.worker_id,
        )


class PlatformWorker:
    """One worker over HTTP."""

    def __init__(
        self,
        *,
        caller: Caller,
        address: str,
        worker_id: str,
    ) -> None:
        """Name the worker that every call is meant for."""
        self._caller = caller
        self._address = address
        self._headers = {'Target-Instance': worker_id}

    async def start(self, order: StartOrder) -> float:
        """Start a task and return the worker's clock in seconds."""
        fields: dict[str, Any] = {
            'task': str(order.task),
            'attempt': order.attempt,
            'spec': order.payload,
            'deadline_ms': int(order.deadline_s * 1000),
            'fencing_token': order.token,
        }
        if order.checkpoint:
            fields['checkpoint_at'] = order.checkpoint
        if order.ticket:
            fields['ticket'] = order.ticket
        answer = await self._call('run-start', fields, ORDER_TIMEOUT_S)
        return _clock_s(answer.fields())

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Stop a run."""
        fields = {
            'task': str(task),
            'attempt': attempt,
            'fencing_token': token,
        }
        answer = await self._call('run-stop', fields, ORDER_TIMEOUT_S)
        return _clock_s(answer.fields())

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Renew the lease and return what runs and what ended."""
        fields = {
            'fencing_token': order.token,
            'acked_through': order.acknowledged,
        }
        if order.deadline_s:
            fields['deadline_ms'] = int(order.deadline_s * 1000)
        if order.wait_s:
            fields['wait_ms'] = int(order.wait_s * 1000)
        answer = await self._call(
            'hold',
            fields,
            order.wait_s + RENEWAL_SLACK_S,
        )
        report = answer.fields()
        return LeaseReport(
            clock_s=_clock_s(report),
            runs=tuple(_run(row) for row in report.get('running', ())),
            ends=tuple(_end(row) for row in report.get('ended', ())),
            incarnation=report.get('born', 0),
        )

    async def _call(
        self,
        path: str,
        fields: dict[str, Any],
        timeout_s: float,
    ) -> Answer:
        try:
            answer = await self._caller.call(
                'POST',
                f'http://{self._address}/curranthill/{path}',
                timeout_s=timeout_s,
                fields=fields,
                headers=self._headers,
            )
        except CallNotSentError as error:
            raise WorkerUnreachableError(
                f'The worker cannot be reached: {error}.',
                step=path,
                peer=self._address,
            ) from error
        except CallUnansweredError as error:
            raise WorkerReplyLostError(
                f'The worker did not answer: {error}.',
                step=path,
                peer=self._address,
            ) from error
        if answer.status == _OK:
            return answer
        raise self._error_of(answer, path)

    def _error_of(self, answer: Answer, path: str) -> Exception:
        if answer.status == _OTHER_WORKER:
            return WorkerGoneError(
                'Another worker answered.',
                step=path,
                peer=self._address,
            )
        reason = str(answer.status)
        if answer.status == _CONFLICT:
            reason = str(answer.fields().get('reason', reason))
        return RejectedError(
            f'The worker rejected the call: {reason}.',
            step=path,
            peer=self._address,
            reason=reason,
        )


def resources_from(fields: dict[str, Any]) -> Resources:
    """Return an amount from its fields; absent ones are 0."""
    return Resources(
        cpu_millis=fields.get('cpu', 0),
        memory_mb=fields.get('mem_mb', 0),
        gpus=fields.get('gpu', 0),
    )


def _clock_s(fields: dict[str, Any]) -> float:
    return float(fields['clock_ms']) / 1000


def _run(row: list[Any]) -> RunReport:
    task, attempt, checkpoint, percent = row[:4]
    return RunReport(TaskKey.parse(task), attempt, checkpoint, percent)


def _end(row: list[Any]) -> EndReport:
    number, task, *rest = row
    attempt, kind, checkpoint = rest[:3]
    return EndReport(number, TaskKey.parse(task), attempt, kind, checkpoint)


__all__ = (
    'PlatformConnector',
    'PlatformWorker',
    'RegisteredWorkers',
    'resources_from',
)
