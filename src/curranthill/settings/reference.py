"""Generates the settings page from the doc comments of the records.

``python -m curranthill.settings.reference > docs/operations/settings.md``
"""

import inspect
import re
from collections.abc import Iterator
from typing import Any, Final

from curranthill.settings import records

_INTRODUCTION: Final = """\
# Settings

Generated from the records in `curranthill.settings.records`; a test compares
the two. Each process reads one JSON5 file. Unknown fields are refused, and
`--check-settings` lists every invalid field.
"""

_PARAMETER: Final = re.compile(
    r':param (\w+):\s+(.*?)(?=\n\s*:param|\Z)',
    re.DOTALL,
)


def render_page() -> str:
    """Return the page as Markdown."""
    return '\n'.join((_INTRODUCTION, *_sections()))


def _sections() -> Iterator[str]:
    for name in records.__all__:
        record: Any = getattr(records, name)
        text = inspect.getdoc(record) or ''
        summary = text.partition(':param')[0].strip()
        notes = {
            field: ' '.join(note.split())
            for field, note in _PARAMETER.findall(text)
        }
        yield f'## {name}\n\n{summary}\n'
        yield '| field | default | |\n| --- | --- | --- |'
        for field in record._fields:
            note = notes.get(field, '')
            yield f'| `{field}` | {_default(record, field)} | {note} |'
        yield ''


def _default(record: Any, field: str) -> str:
    if field not in record._field_defaults:
        return 'required'
    default = record._field_defaults[field]
    if hasattr(default, '_fields'):
        return f'see {type(default).__name__}'
    return f'`{default!r}`'


if __name__ == '__main__':
    print(render_page(), end='')  # noqa: WPS421
