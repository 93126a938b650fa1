"""The operator's configuration and callers' jobs, decoded."""

from typing import Any, Final

import msgspec

from curranthill.platform.workers import resources_from
from curranthill.storage.rows import StoredRow
from curranthill.tasks import Limits, Queue, Revision, Step, WorkspacePromise

#: Where the operator writes.
TABLE: Final = 'op'

_KEY: Final = 'config'


def decode_revision(row: StoredRow) -> Revision | None:
    """Return the configuration of a row, or nothing for other rows.

    :raises KeyError: if a field is missing.
    """
    if row.key != _KEY or row.removed:
        return None
    fields = msgspec.json.decode(row.content, type=dict[str, Any])
    limits = fields.get('limits', {})
    return Revision(
        number=fields['version'],
        queues=tuple(_queue(route) for route in fields['routes']),
        workspaces=tuple(_workspace(one) for one in fields.get('tenants', ())),
        limits=Limits(
            body_bytes=limits.get('max_body_bytes', Limits().body_bytes),
        ),
    )


def _queue(route: dict[str, Any]) -> Queue:
    return Queue(
        name=route['name'],
        host=route['host'],
        path_prefix=route['path_prefix'],
        service=route['service'],
        priority=route.get('priority', 0),
        attempts=route.get('attempts', 1),
        slack_factor=route.get('slack_factor', 1.0),
        target_s=route.get('target_completion_ms', 0) / 1000,
        public=route.get('public', False),
        advisor=bool(route.get('placement_advisor')),
    )


def _workspace(tenant: dict[str, Any]) -> WorkspacePromise:
    return WorkspacePromise(
        name=tenant['name'],
        keys=tuple(tenant.get('api_keys', ())),
        guaranteed_gpus=tenant.get('guaranteed', {}).get('gpu', 0),
    )


class SubmittedJob(msgspec.Struct):
    """A caller's job as it comes; absent fields are 0, false or empty."""

    spec: str = ''
    steps: list[dict[str, Any]] = []
    times: int = 0
    start_at_ms: float = 0.0
    interval_ms: float = 0.0


def step_from(fields: dict[str, Any]) -> Step:
    """Return a step from its fields.

    :raises TypeError: if a field has another type.
    """
    return Step(
        width=fields.get('count', 0),
        needs=resources_from(fields),
        estimate_s=fields.get('estimate_ms', 0) / 1000,
        after=tuple(fields.get('after', ())),
        gang=bool(fields.get('gang')),
        same_rack=bool(fields.get('same_rack')),
        near_rack=fields.get('data_rack', ''),
        label=fields.get('required_label', ''),
        # Per worker and occurrence, though named after a server.
        max_per_worker=fields.get('max_per_server', 0),
        checkpointable=bool(fields.get('checkpointable')),
        speculative=bool(fields.get('speculative')),
        perpetual=bool(fields.get('perpetual')),
        may_miss=fields.get('may_miss', 0),
        fills=bool(fields.get('fill_count')),
        image=fields.get('image', ''),
        target_ms=fields.get('target_ms', 0),
    )


__all__ = ('TABLE', 'SubmittedJob', 'decode_revision', 'step_from')
