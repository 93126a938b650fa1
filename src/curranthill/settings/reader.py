"""JSON with comments, read strictly and checked into records."""

import re
from pathlib import Path
from typing import Any, TypeVar

import json5
from pydantic import TypeAdapter, ValidationError

from curranthill.errors import SettingsError

Record = TypeVar('Record')

_DUPLICATE = re.compile('Duplicate key "(?P<name>.*)" found')


def parse_json5(content: bytes, name: str) -> Any:
    """Return the JSON value of a file's content; comments are allowed.

    :param name: the file's name, for the message.
    :raises SettingsError: with the file and line of the first fault.
    """
    try:
        text = content.decode('utf-8')
    except UnicodeDecodeError as error:
        line = content[: error.start].count(b'\n') + 1
        raise SettingsError(
            f'{name}:{line}: the file is not valid UTF-8.',
            step='parse',
        ) from error
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsError(
            _fault(text, name, str(error)),
            step='parse',
        ) from error


def validate(record_type: type[Record], document: Any, name: str) -> Record:
    """Return a document as a record.

    :param name: the file or document it came from, for the message.
    :raises SettingsError: listing every wrong field with its path, what was
        found and what is allowed.
    """
    try:
        return TypeAdapter(record_type).validate_python(document)
    except ValidationError as error:
        lines = [
            f'{name}: {_path(fault["loc"])}: {fault["msg"]}'
            f' (found {fault["input"]!r:.60})'
            for fault in error.errors()
        ]
        raise SettingsError('\n'.join(lines), step='check') from error


def read_settings(record_type: type[Record], path: Path) -> Record:
    """Return the settings of a process from its file.

    :raises SettingsError: if the file cannot be read or holds faults.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        raise SettingsError(
            f'{path.name}: {error.strerror}.',
            step='read settings',
        ) from error
    return validate(record_type, parse_json5(content, path.name), path.name)


def _path(location: tuple[int | str, ...]) -> str:
    return '.'.join(str(part) for part in location)


def _fault(text: str, name: str, message: str) -> str:
    duplicate = _DUPLICATE.search(message)
    if duplicate is None:
        return f'{name}:{message.removeprefix("<string>:")}'
    key = re.escape(duplicate['name'])
    places = list(re.finditer(rf'["\']?{key}["\']?\s*:', text))
    line = text[: places[-1].start()].count('\n') + 1 if places else 1
    return f'{name}:{line}: the key "{duplicate["name"]}" stands twice.'


__all__ = ('parse_json5', 'read_settings', 'validate')
