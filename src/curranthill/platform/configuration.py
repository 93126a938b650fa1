"""Decodes the operator's configuration and submitted jobs."""

from typing import Any, Final

import msgspec

from curranthill.platform.decoding import (
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    decode_fields,
)
from curranthill.storage.rows import MalformedRecordError, StoredRow
from curranthill.tasks import (
    Limits,
    Queue,
    Resources,
    Revision,
    Step,
    WorkspaceGuarantee,
)

#: The table that the operator writes to.
TABLE: Final = 'op'

_KEY: Final = 'config'

#: The key prefix of rows that close a data centre: no task starts there.
_CLOSED_PREFIX: Final = 'evacuate/'


class LimitFields(msgspec.Struct, frozen=True):
    """Limits on callers' requests."""

    max_body_bytes: NonNegativeInt = Limits().body_bytes


class RouteFields(msgspec.Struct):
    """A queue as the operator writes it."""

    name: Name
    host: Name
    path_prefix: Name
    service: Name
    priority: NonNegativeInt = 0
    attempts: NonNegativeInt = 1
    slack_factor: NonNegativeFloat = 1.0
    target_completion_ms: NonNegativeFloat = 0.0
    public: bool = False
    placement_advisor: Any = None


class TenantFields(msgspec.Struct):
    """A workspace as the operator writes it."""

    name: Name
    api_keys: list[str] = []
    guaranteed: dict[str, NonNegativeFloat] = {}


class ConfigurationFields(msgspec.Struct):
    """The whole configuration as the operator writes it."""

    version: NonNegativeInt
    routes: list[RouteFields]
    tenants: list[TenantFields] = []
    limits: LimitFields = LimitFields()


def decode_revision(row: StoredRow) -> Revision | None:
    """Return the configuration in a row, or nothing for other rows.

    :raises MalformedRecordError: if the configuration is malformed.
    """
    if row.key != _KEY or row.removed:
        return None
    fields = decode_fields(
        row.content,
        ConfigurationFields,
        step='configuration',
        peer=row.key,
    )
    return Revision(
        number=fields.version,
        queues=tuple(_queue(route) for route in fields.routes),
        workspaces=tuple(_workspace(tenant) for tenant in fields.tenants),
        limits=Limits(body_bytes=fields.limits.max_body_bytes),
    )


def decode_closure(row: StoredRow) -> str | None:
    """Return the data centre that a row closes, or nothing for other rows.

    Only the key matters; the row closes the data centre whatever its content.

    :raises MalformedRecordError: if the key names no data centre.
    """
    if not row.key.startswith(_CLOSED_PREFIX):
        return None
    name = row.key.removeprefix(_CLOSED_PREFIX)
    if not name:
        raise MalformedRecordError(
            'The record names no data centre.',
            step='closure',
            peer=row.key,
        )
    return name


def _queue(route: RouteFields) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        attempts=route.attempts,
        slack_factor=route.slack_factor,
        target_s=route.target_completion_ms / 1000,
        public=route.public,
        advisor=bool(route.placement_advisor),
    )


def _workspace(tenant: TenantFields) -> WorkspaceGuarantee:
    return WorkspaceGuarantee(
        name=tenant.name,
        keys=tuple(tenant.api_keys),
        guaranteed_gpus=int(tenant.guaranteed.get('gpu', 0)),
    )


class StepFields(msgspec.Struct):
    """A step of a submitted job; absent fields are 0, false or empty.

    :param max_per_server: limit of tasks per worker and occurrence.
    """

    count: NonNegativeInt = 0
    cpu: NonNegativeInt = 0
    mem_mb: NonNegativeInt = 0
    gpu: NonNegativeInt = 0
    estimate_ms: NonNegativeFloat = 0.0
    after: list[NonNegativeInt] = []
    gang: bool = False
    same_rack: bool = False
    data_rack: str = ''
    required_label: str = ''
    max_per_server: NonNegativeInt = 0
    checkpointable: bool = False
    speculative: bool = False
    perpetual: bool = False
    may_miss: NonNegativeInt = 0
    fill_count: Any = False
    image: str = ''
    target_ms: NonNegativeFloat = 0.0


class SubmittedJob(msgspec.Struct):
    """A job as a caller submits it; absent fields are 0, false or empty.

    :param steps: the encoded steps; :func:`decode_step` decodes one.
    """

    spec: str = ''
    steps: list[msgspec.Raw] = []
    times: int = 0
    start_at_ms: float = 0.0
    interval_ms: float = 0.0


def decode_step(encoded: msgspec.Raw) -> Step:
    """Return a submitted step.

    :raises msgspec.MsgspecError: if it is malformed.
    """
    return step_from(msgspec.json.decode(encoded, type=StepFields))


def step_from(fields: StepFields) -> Step:
    """Return a step from its submitted fields."""
    return Step(
        width=fields.count,
        needs=Resources(
            cpu_millis=fields.cpu,
            memory_mb=fields.mem_mb,
            gpus=fields.gpu,
        ),
        estimate_s=fields.estimate_ms / 1000,
        after=tuple(fields.after),
        gang=fields.gang,
        same_rack=fields.same_rack,
        near_rack=fields.data_rack,
        label=fields.required_label,
        max_per_worker=fields.max_per_server,
        checkpointable=fields.checkpointable,
        speculative=fields.speculative,
        perpetual=fields.perpetual,
        may_miss=fields.may_miss,
        fills=bool(fields.fill_count),
        image=fields.image,
        target_ms=fields.target_ms,
    )


__all__ = (
    'TABLE',
    'SubmittedJob',
    'decode_closure',
    'decode_revision',
    'decode_step',
    'step_from',
)
