"""The platform's workers: their entries in the store and their HTTP API."""

from typing import Any, Final, Literal

import msgspec

from curranthill.dispatch import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    RejectedError,
    RunReport,
    StartOrder,
    WorkerReplacedError,
)
from curranthill.dispatch.workers import EndKind, MalformedReplyError
from curranthill.errors import (
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from curranthill.placement import WorkerEntry
from curranthill.platform.decoding import (
    BoundedFloat,
    BoundedInt,
    Fields,
    Name,
    SocketAddress,
    decode_fields,
    is_header_text,
)
from curranthill.platform.http_client import (
    MAX_RESPONSE_BYTES,
    BodyBudget,
    HttpClient,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
    ResponseTooLargeError,
)
from curranthill.storage.rows import MalformedRecordError, StoredRow
from curranthill.tasks import Resources, TaskKey
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The timeout of a start or stop, in seconds. Responses take milliseconds, or
#: some tens of milliseconds from a slow host or worker, so that a response is
#: taken as lost after this time.
ORDER_TIMEOUT_S: Final = 0.6

#: The timeout of a lease renewal beyond the requested wait, in seconds.
RENEWAL_SLACK_S: Final = 0.7

#: The most ends that a worker lists in one response; it lists the others once
#: these are acknowledged.
MAX_LISTED_ENDS: Final = 500

#: The progress of a run that is done, in percent.
MAX_PERCENT: Final = 100.0

#: The most runs that a worker may list in one response.
MAX_LISTED_RUNS: Final = 40_000

#: The most bytes of the response to a renewal: the largest number of ends, each
#: with a checkpoint of 2 KB, and three times as many runs.
MAX_RENEWAL_BYTES: Final = 4_194_304

#: How long the body of a response may take, in seconds: a lease is not renewed
#: in time if its renewal takes longer.
BODY_TIMEOUT_S: Final = 4.0

_OK: Final = 200
_CONFLICT: Final = 409
_OTHER_WORKER: Final = 421

#: Statuses with which a worker rejects a request; it has then done nothing.
_REJECTIONS: Final = frozenset((400, 404, _CONFLICT, 429, 503))


class CapacityFields(msgspec.Struct):
    """The total resources of a worker, used or not."""

    cpu: BoundedInt
    mem_mb: BoundedInt
    gpu: BoundedInt


class EntryFields(msgspec.Struct):
    """A worker's entry, with its required and optional fields.

    :param headroom: the total capacity of the worker, not what is free as the
        name suggests.
    :param born: when the worker started; some platforms do not report it.
    """

    service: Name
    address: SocketAddress
    zone: Name
    version: str
    capacity: BoundedInt
    state: Literal['ready', 'draining']
    cold_remaining_ms: BoundedFloat
    sequence: BoundedInt
    headroom: CapacityFields
    labels: list[str]
    clock_ms: BoundedFloat = 0.0
    remaining_ms: BoundedFloat = 0.0
    born: BoundedInt = 0


class RunRow(msgspec.Struct, array_like=True):
    """A run in the response to a renewal; further elements are ignored."""

    task: str
    run: BoundedInt
    saved: str
    percent: float


class EndRow(msgspec.Struct, array_like=True):
    """A run end in the response to a renewal."""

    number: BoundedInt
    task: str
    run: BoundedInt
    how: EndKind
    saved: str = ''


class RenewalFields(msgspec.Struct):
    """A worker's response to a lease renewal."""

    clock_ms: BoundedFloat
    running: list[RunRow] = []
    ended: list[EndRow] = []
    born: BoundedInt = 0


class ClockFields(msgspec.Struct):
    """A worker's response to a start or stop."""

    clock_ms: BoundedFloat


class RejectionFields(msgspec.Struct):
    """A worker's reason for rejecting a request."""

    reason: str = ''


class RegisteredWorkers:
    """Decodes the entries that workers write under their ids."""

    table = 'servers'

    def decode(self, row: StoredRow) -> WorkerEntry:
        """Return a worker's entry.

        The key is sent as a header. The service, the data centre and the labels
        are only compared, so they may be any text.

        :raises MalformedRecordError: if the row is not a valid entry, or if no
            request can name its key.
        """
        if not is_header_text(row.key):
            raise MalformedRecordError(
                'The key of the entry has characters that no request can have.',
                step='entry',
                peer=row.key,
            )
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
            capacity=Resources(
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
    """Creates clients of the platform's workers."""

    def __init__(self, *, client: HttpClient) -> None:
        """Initialize with the HTTP client that all workers share."""
        self._client = client
        self._budget = BodyBudget()

    def connect(self, entry: WorkerEntry) -> 'PlatformWorker':
        """Return a client of a worker."""
        return PlatformWorker(
            client=self._client,
            address=entry.address,
            worker_id=entry.worker_id,
            budget=self._budget,
        )


class PlatformWorker:
    """A client of one worker over HTTP."""

    def __init__(
        self,
        *,
        client: HttpClient,
        address: str,
        worker_id: str,
        budget: BodyBudget | None = None,
    ) -> None:
        """Initialize with the worker id that each request is addressed to.

        :param budget: what its responses share with those of other workers.
        """
        self._budget = budget
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
        """Stop a run and return the worker's clock in seconds."""
        fields = {
            'task': str(task),
            'attempt': attempt,
            'fencing_token': token,
        }
        return await self._order('run-stop', fields)

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Renew the lease and return the current runs and the run ends."""
        fields = {
            'fencing_token': order.token,
            'acked_through': order.acknowledged,
        }
        if order.deadline_s:
            fields['deadline_ms'] = int(order.deadline_s * 1000)
        if order.wait_s:
            fields['wait_ms'] = int(order.wait_s * 1000)
        response = await self._request(
            'hold',
            fields,
            order.wait_s + RENEWAL_SLACK_S,
            max_bytes=MAX_RENEWAL_BYTES,
        )
        report = self._decode(response, RenewalFields, 'hold')
        listed = len(report.running)
        if listed > MAX_LISTED_RUNS or len(report.ended) > MAX_LISTED_ENDS:
            error = ValueError(f'It lists {listed} runs.')
            raise self._malformed('hold', error)
        try:
            runs = tuple(_run(row) for row in report.running)
            ends = tuple(_end(row) for row in report.ended)
        except ValueError as error:
            raise self._malformed('hold', error) from error
        return LeaseReport(
            clock_s=report.clock_ms / 1000,
            runs=runs,
            ends=ends,
            incarnation=report.born,
            lists_all_ends=len(ends) < MAX_LISTED_ENDS,
        )

    async def _order(self, path: str, fields: dict[str, Any]) -> float:
        """Send an order and return the worker's clock in seconds."""
        response = await self._request(path, fields, ORDER_TIMEOUT_S)
        return self._decode(response, ClockFields, path).clock_ms / 1000

    def _decode(
        self,
        response: HttpResponse,
        kind: type[Fields],
        path: str,
    ) -> Fields:
        """Return the decoded body of a response.

        :raises WorkerReplyLostError: if the body is malformed, because the
            effect of the request is then unknown.
        """
        try:
            return decode_fields(
                response.body,
                kind,
                step=path,
                peer=self._address,
            )
        except MalformedRecordError as error:
            raise self._malformed(path, error) from error

    def _malformed(
        self,
        path: str,
        error: Exception,
    ) -> MalformedReplyError:
        events.log('reply_bad', peer=self._address, step=path, error=str(error))
        metrics.malformed_records.add(1, {'kind': 'reply'})
        return MalformedReplyError(
            f'The response of the worker is malformed: {error}',
            step=path,
            peer=self._address,
        )

    async def _request(
        self,
        path: str,
        fields: dict[str, Any],
        timeout_s: float,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> HttpResponse:
        try:
            response = await self._client.call(
                'POST',
                f'http://{self._address}/curranthill/{path}',
                timeout_s=timeout_s,
                fields=fields,
                headers=self._headers,
                max_bytes=max_bytes,
                body_timeout_s=BODY_TIMEOUT_S,
                budget=self._budget,
            )
        except RequestNotSentError as error:
            raise WorkerUnreachableError(
                f'The worker cannot be reached: {error}.',
                step=path,
                peer=self._address,
            ) from error
        except ResponseTooLargeError as error:
            raise self._malformed(path, error) from error
        except ResponseLostError as error:
            raise WorkerReplyLostError(
                f'The worker did not respond: {error}.',
                step=path,
                peer=self._address,
            ) from error
        if response.status == _OK:
            return response
        raise self._error_of(response, path)

    def _error_of(self, response: HttpResponse, path: str) -> Exception:
        if response.status == _OTHER_WORKER:
            return WorkerReplacedError(
                'Another worker serves this address.',
                step=path,
                peer=self._address,
            )
        if response.status not in _REJECTIONS:
            return MalformedReplyError(
                f'The response has the unknown status {response.status}.',
                step=path,
                peer=self._address,
            )
        reason = str(response.status)
        if response.status == _CONFLICT:
            given_reason = self._decode(response, RejectionFields, path).reason
            reason = given_reason or reason
        return RejectedError(
            f'The worker rejected the request: {reason}.',
            step=path,
            peer=self._address,
            reason=reason,
        )


def _task_of(name: str) -> TaskKey:
    """Return the task of a name.

    :raises ValueError: if it is not exactly the name of a task.
    """
    key = TaskKey.parse(name)
    if str(key) != name or min(key[1:]) < 0:
        raise ValueError(f'{name!r} is not the name of a task.')
    return key


def _run(row: RunRow) -> RunReport:
    return RunReport(
        task=_task_of(row.task),
        attempt=row.run,
        checkpoint=row.saved,
        done_percent=min(max(row.percent, 0.0), MAX_PERCENT),
    )


def _end(row: EndRow) -> EndReport:
    return EndReport(
        number=row.number,
        task=_task_of(row.task),
        attempt=row.run,
        kind=row.how,
        checkpoint=row.saved,
    )


__all__ = ('PlatformConnector', 'PlatformWorker', 'RegisteredWorkers')
