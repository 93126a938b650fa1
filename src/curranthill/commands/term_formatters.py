"""Formats the events that concern a leader's term, besides those of jobs."""

from curranthill.commands.formatters import LogLine, event_formatters


@event_formatters.register('held_jobs')
def _format_held_jobs(line: LogLine) -> str:
    if not line['jobs']:
        return 'no job is held any more'
    names = line['jobs_by_workspace']
    named = ', '.join(f'{name or "-"} {names[name]}' for name in names)
    inherited = line['by_inherited_lease']
    return (
        f'{line["jobs"]} jobs of {line["workspaces"]} workspaces ({named}) '
        f'are not ready, for up to {line["longest_s"]} s; {line["by_lease"]} '
        f'of them by leases of {line["silent_workers"]} silent workers, for '
        f'at most {line["longest_lease_s"]} s more; {inherited} by leases of '
        'an earlier leader'
    )


@event_formatters.register('inherited_leases')
def _format_inherited_leases(line: LogLine) -> str:
    named = ', '.join(line['named'])
    if not line['silent']:
        return f'leader of term {line["epoch"]} awaits no earlier lease'
    return (
        f'leader of term {line["epoch"]} awaits earlier leases of '
        f'{line["silent"]} of {line["workers"]} workers, which hold '
        f'{line["held_runs"]} runs, for at most {line["longest_s"]} s '
        f'({named})'
    )


@event_formatters.register('rounds_suspended')
def _format_suspended_rounds(line: LogLine) -> str:
    reason = 'it resigns' if line['resigning'] else 'that is too old'
    return (
        f'leader of term {line["epoch"]} has placed nothing for '
        f'{line["suspended_s"]} s although work waits: its last write is '
        f'{line["last_write_age_s"]} s old, {reason}'
    )


@event_formatters.register('rounds_resumed')
def _format_resumed_rounds(line: LogLine) -> str:
    return (
        f'leader of term {line["epoch"]} places again after '
        f'{line["suspended_s"]} s'
    )


@event_formatters.register('loss_revoked')
def _format_revoked_loss(line: LogLine) -> str:
    return (
        f'{line["worker"]} did not crash under {line["task"]}: '
        f'{line["losses"]} losses'
    )


@event_formatters.register('loss_confirmed')
def _format_confirmed_loss(line: LogLine) -> str:
    return (
        f'{line["worker"]} crashed under {line["task"]}: '
        f'{line["losses"]} losses, {line["prompt_crashes"]} right after a start'
    )


@event_formatters.register('progress_spread')
def _format_spread_progress(line: LogLine) -> str:
    rows = line['task_rows'] + line['step_rows']
    return f'progress of {line["tasks"]} tasks is stored in {rows} rows'


@event_formatters.register('row_rejected')
def _format_rejected_row(line: LogLine) -> str:
    return (
        f'the store rejects {line["table"]} {line["key"]} '
        f'({line["size_bytes"]} bytes): {line["error"]}'
    )


__all__ = ('LogLine', 'event_formatters')
