"""The platform's workers: their entries in the store and their calls."""

from typing import Any, Final, Literal

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
from curranthill.dispatch.workers import EndKind
from curranthill.errors import (
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from curranthill.placement import WorkerEntry
from curranthill.platform.decoding import (
    Count,
    Fields,
    Measure,
    Name,
    SocketAddress,
    decode_fields,
)
from curranthill.platform.http_client import (
    HttpClient,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
)
from curranthill.storage.rows import MalformedRecordError, StoredRow
from curranthill.tasks import Resources, TaskKey
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: A start or stop is answered in milliseconds; a slow host or worker takes
#: some tens of them, so that a reply this late is taken as lost.
ORDER_TIMEOUT_S: Final = 0.6

#: What a renewal may take beyond the wait that was asked for, in seconds.
RENEWAL_SLACK_S: Final = 0.7

_OK: Final = 200
_CONFLICT: Final = 409
_OTHER_WORKER: Final = 421


class RoomFields(msgspec.Struct):
    """What a worker has, used or not."""

    cpu: Count
    mem_mb: Count
    gpu: Count


class EntryFields(msgspec.Struct):
    """A worker's entry: what it always says, and what it says at times.

    :param headroom: all that the worker has, though named like what is left.
    :param born: when it started; not told by all platforms.
    """

    service: Name
    address: SocketAddress
    zone: Name
    version: str
    capacity: Count
    state: Literal['ready', 'draining']
    cold_remaining_ms: Measure
    sequence: Count
    headroom: RoomFields
    labels: list[str]
    clock_ms: Measure = 0.0
    remaining_ms: Measure = 0.0
    born: Count = 0


class RunRow(msgspec.Struct, array_like=True):
    """One run in a list; what may follow is not read."""

    task: str
    run: Count
    saved: str
    percent: float


class EndRow(msgspec.Struct, array_like=True):
    """One end in a list."""

    number: Count
    task: str
    run: Count
    how: EndKind
    saved: str = ''


class ListFields(msgspec.Struct):
    """A worker's answer to a renewal."""

    clock_ms: Measure
    running: list[RunRow] = []
    ended: list[EndRow] = []
    born: Count = 0


class ClockFields(msgspec.Struct):
    """A worker's answer to an order."""

    clock_ms: Measure


class RejectionFields(msgspec.Struct):
    """Why a worker did nothing."""

    reason: str = ''


class RegisteredWorkers:
    """Entries that the workers write under their ids."""

    table = 'servers'

    def decode(self, row: StoredRow) -> WorkerEntry:
        """Return a worker's entry.

        :raises MalformedRecordError: if it is not as workers write them.
        """
        fields = decode_fields(
            row.content,
            EntryFields,
            step='entry',
            peer=row.key,
        )
        return WorkerEntry(
            worker_id=row.key,
            service=fields.service,
            address=fields.address,
            data_centre=fields.zone,
            room=Resources(
                cpu_millis=fields.headroom.cpu,
                memory_mb=fields.headroom.mem_mb,
                gpus=fields.headroom.gpu,
            ),
            labels=tuple(fields.labels),
            leaving=fields.state == 'draining',
            clock_s=fields.clock_ms / 1000,
            remaining_s=fields.remaining_ms / 1000,
            incarnation=fields.born,
        )


class PlatformConnector:
    """Makes clients of the platform's workers."""

    def __init__(self, *, client: HttpClient) -> None:
        """Share the connections."""
        self._client = client

    def connect(self, entry: WorkerEntry) -> 'PlatformWorker':
        """Return a client of a worker."""
        return PlatformWorker(
            client=self._client,
            address=entry.address,
            worker_id=entry.worker_id,
        )


class PlatformWorker:
    """One worker over HTTP."""

    def __init__(
        self,
        *,
        client: HttpClient,
        address: str,
        worker_id: str,
    ) -> None:
        """Name the worker that every call is meant for."""
        self._client = client
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
        return await self._order('run-start', fields)

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Stop a run."""
        fields = {
            'task': str(task),
            'attempt': attempt,
            'fencing_token': token,
        }
        return await self._order('run-stop', fields)

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
        report = self._read(answer, ListFields, 'hold')
        try:
            runs = tuple(_run(row) for row in report.running)
            ends = tuple(_end(row) for row in report.ended)
        except ValueError as error:
            raise self._unreadable('hold', error) from error
        return LeaseReport(
            clock_s=report.clock_ms / 1000,
            runs=runs,
            ends=ends,
            incarnation=report.born,
        )

    async def _order(self, path: str, fields: dict[str, Any]) -> float:
        """Give an order and return the worker's clock in seconds."""
        answer = await self._call(path, fields, ORDER_TIMEOUT_S)
        return self._read(answer, ClockFields, path).clock_ms / 1000

    def _read(
        self,
        answer: HttpResponse,
        kind: type[Fields],
        path: str,
    ) -> Fields:
        """Return an answer's fields; one that can't be read tells nothing."""
        try:
            return decode_fields(
                answer.body,
                kind,
                step=path,
                peer=self._address,
            )
        except MalformedRecordError as error:
            raise self._unreadable(path, error) from error

    def _unreadable(
        self,
        path: str,
        error: Exception,
    ) -> WorkerReplyLostError:
        events.log('reply_bad', peer=self._address, step=path, error=str(error))
        metrics.records_bad.add(1, {'kind': 'reply'})
        return WorkerReplyLostError(
            f'The answer cannot be read: {error}',
            step=path,
            peer=self._address,
        )

    async def _call(
        self,
        path: str,
        fields: dict[str, Any],
        timeout_s: float,
    ) -> HttpResponse:
        try:
            answer = await self._client.call(
                'POST',
                f'http://{self._address}/curranthill/{path}',
                timeout_s=timeout_s,
                fields=fields,
                headers=self._headers,
            )
        except RequestNotSentError as error:
            raise WorkerUnreachableError(
                f'The worker cannot be reached: {error}.',
                step=path,
                peer=self._address,
            ) from error
        except ResponseLostError as error:
            raise WorkerReplyLostError(
                f'The worker did not answer: {error}.',
                step=path,
                peer=self._address,
            ) from error
        if answer.status == _OK:
            return answer
        raise self._error_of(answer, path)

    def _error_of(self, answer: HttpResponse, path: str) -> Exception:
        if answer.status == _OTHER_WORKER:
            return WorkerGoneError(
                'Another worker answered.',
                step=path,
                peer=self._address,
            )
        reason = str(answer.status)
        if answer.status == _CONFLICT:
            told = self._read(answer, RejectionFields, path).reason
            reason = told or reason
        return RejectedError(
            f'The worker rejected the call: {reason}.',
            step=path,
            peer=self._address,
            reason=reason,
        )


def _run(row: RunRow) -> RunReport:
    return RunReport(
        task=TaskKey.parse(row.task),
        attempt=row.run,
        checkpoint=row.saved,
        done_percent=row.percent,
    )


def _end(row: EndRow) -> EndReport:
    return EndReport(
        number=row.number,
        task=TaskKey.parse(row.task),
        attempt=row.run,
        kind=row.how,
        checkpoint=row.saved,
    )


__all__ = ('PlatformConnector', 'PlatformWorker', 'RegisteredWorkers')
