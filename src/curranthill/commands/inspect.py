"""``curranthill status``, ``jobs``, ``explain`` and ``drain``."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

import typer

from curranthill.clock import SystemClock
from curranthill.commands.configuration import AsJson, OperatorPath
from curranthill.commands.daemons import (
    EPILOG,
    EXIT_FAILURE,
    fail,
    read_settings_or_exit,
)
from curranthill.commands.tables import print_table
from curranthill.errors import CurranthillError, PeerError
from curranthill.jobs import JobStore, accepting_data_centre
from curranthill.protocol import Channels, inner_pb2
from curranthill.protocol.methods import (
    drain_method,
    explain_method,
    status_method,
)
from curranthill.settings import OperatorSettings, read_shared_key
from curranthill.storage import Platform, platforms

CALL_TIMEOUT_S = 2.0
#: Statuses of a member, by their numbers in the inner protocol.
_STATUSES = ('alive', 'suspect', 'dead', 'left')

Result = TypeVar('Result')


class OperatorContext(NamedTuple):
    """The settings and clients of an operator's command."""

    settings: OperatorSettings
    platform: Platform
    channels: Channels


def register(app: typer.Typer) -> None:
    """Add the commands of this module to an application."""
    for command in (status, jobs, explain, drain):
        app.command(epilog=EPILOG)(command)


def status(settings: OperatorPath, *, as_json: AsJson = False) -> None:
    """Show all processes with their status, revision and leadership."""
    members = _run_with_context(settings, _read_members)
    print_table(
        ('name', 'data_centre', 'status', 'revision', 'leads_epoch', 'address'),
        [
            (
                member.name,
                member.data_centre,
                _STATUSES[member.status],
                member.revision,
                member.leading_epoch or '-',
                member.address,
            )
            for member in sorted(members, key=_member_name)
        ],
        as_json=as_json,
    )


def jobs(
    data_centre: Annotated[str, typer.Argument(help='The data centre.')],
    settings: OperatorPath,
    *,
    as_json: AsJson = False,
) -> None:
    """List the open jobs of a data centre."""

    async def read_rows(context: OperatorContext) -> list[Any]:  # noqa: WPS430
        store = JobStore(table=context.platform.table, clock=SystemClock())
        return [
            (
                stored.job.job_id,
                stored.job.workspace,
                stored.job.kind,
                stored.job.state,
                stored.job.slots,
                stored.job.preemptions,
            )
            for stored in await store.scan_open(data_centre)
        ]

    print_table(
        ('job', 'workspace', 'kind', 'state', 'accelerators', 'preemptions'),
        _run_with_context(settings, read_rows),
        as_json=as_json,
    )


def explain(
    job: Annotated[str, typer.Argument(help='The id of the job.')],
    settings: OperatorPath,
) -> None:
    """Show a job's state: why it waits and what would let it start."""

    async def read_lines(context: OperatorContext) -> list[str]:  # noqa: WPS430
        store = JobStore(table=context.platform.table, clock=SystemClock())
        stored = await store.load(job)
        home = stored.job.home if stored else accepting_data_centre(job)
        scheduler = await _find_leader(context, home)
        reply = await context.channels.call(
            scheduler.address,
            explain_method,
            inner_pb2.ExplainRequest(job_id=job),
            CALL_TIMEOUT_S,
        )
        lines = list(reply.lines)
        if not lines and stored is not None:
            lines = [f'{job} is {stored.job.state}. {stored.job.reason}']
        return lines

    lines = _run_with_context(settings, read_lines)
    if not lines:
        fail('There is no such job.', EXIT_FAILURE)
    for line in lines:
        typer.echo(line)


def drain(
    worker: Annotated[str, typer.Argument(help='The name of the worker.')],
    data_centre: Annotated[
        str, typer.Argument(help="The worker's data centre.")
    ],
    settings: OperatorPath,
) -> None:
    """Place no new work on a worker; what runs there continues to its end."""

    async def request_drain(context: OperatorContext) -> bool:  # noqa: WPS430
        scheduler = await _find_leader(context, data_centre)
        reply = await context.channels.call(
            scheduler.address,
            drain_method,
            inner_pb2.DrainRequest(host=worker),
            CALL_TIMEOUT_S,
        )
        return bool(reply.accepted)

    if not _run_with_context(settings, request_drain):
        fail(f'{data_centre} has no worker named {worker}.', EXIT_FAILURE)
    typer.echo(f'{worker} takes no new work.')


async def _read_members(context: OperatorContext) -> list[inner_pb2.Member]:
    for address in context.settings.entry_hosts:
        try:
            reply = await context.channels.call(
                address,
                status_method,
                inner_pb2.StatusRequest(),
                CALL_TIMEOUT_S,
            )
        except PeerError:
            continue
        return list(reply.members)
    raise PeerError(
        'None of the entry hosts in the settings responds.',
        step='status',
        peer=', '.join(context.settings.entry_hosts),
    )


async def _find_leader(
    context: OperatorContext, data_centre: str
) -> inner_pb2.Member:
    leaders = [
        member
        for member in await _read_members(context)
        if member.data_centre == data_centre and member.leading_epoch
    ]
    if not leaders:
        raise PeerError(
            f'No leading scheduler of {data_centre} is known.',
            step='find scheduler',
        )
    return max(leaders, key=_leading_epoch)


def _run_with_context(
    path: Path, operation: Callable[[OperatorContext], Awaitable[Result]]
) -> Result:
    settings = read_settings_or_exit(OperatorSettings, path)

    async def run() -> Result:  # noqa: WPS430
        context = OperatorContext(
            settings=settings,
            platform=platforms.get(settings.platform.client)(
                settings.platform.url,
            ),
            channels=Channels(key=read_shared_key(settings.key_file)),
        )
        try:
            return await operation(context)
        finally:
            await context.channels.close()
            await context.platform.close()

    try:
        return asyncio.run(run())
    except CurranthillError as error:
        fail(str(error))


def _member_name(member: inner_pb2.Member) -> str:
    return member.name


def _leading_epoch(member: inner_pb2.Member) -> int:
    return member.leading_epoch


__all__ = ('register',)
