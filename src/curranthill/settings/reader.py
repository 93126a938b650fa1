"""Parses JSON5 and validates it into records."""

import re
from pathlib import Path
from typing import Any, TypeVar

import json5
from pydantic import TypeAdapter, ValidationError

from curranthill.errors import SettingsError

Record = TypeVar('Record')

_DUPLICATE = re.compile('Duplicate key "(?P<name>.*)" found')


def parse_json5(content: bytes, name: str) -> Any:
    """Return the value of a JSON5 document; duplicate keys are refused.

    :param name: the file's name, for error messages.
    :raises SettingsError: with the file and line of the first error.
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
            _syntax_error(text, name, str(error)),
            step='parse',
        ) from error


def validate(record_type: type[Record], document: Any, name: str) -> Record:
    """Return a document as a record.

    :param name: the file or document that it came from, for error messages.
    :raises SettingsError: listing every invalid field with its path, what was
        found and what is allowed.
    """
    try:
        return TypeAdapter(record_type).validate_python(document)
    except ValidationError as error:
        lines = [
            f'{name}: {_path(detail["loc"])}: {detail["msg"]}'
            f' (found {detail["input"]!r:.60})'
            for detail in error.errors()
        ]
        raise SettingsError('\n'.join(lines), step='check') from error


def read_settings(record_type: type[Record], path: Path) -> Record:
    """Return the settings of a process from its file.

    :raises SettingsError: if the file cannot be read or is invalid.
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


def _syntax_error(text: str, name: str, message: str) -> str:
    """Return a parser's message with the file's name and the line.

    The parser gives no line for a duplicate key, so the text is searched for
    the last occurrence of the key.
    """
    duplicate = _DUPLICATE.search(message)
    if duplicate is None:
        return f'{name}:{message.removeprefix("<string>:")}'
    key = re.escape(duplicate['name'])
    matches = list(re.finditer(rf'["\']?{key}["\']?\s*:', text))
    line = text[: matches[-1].start()].count('\n') + 1 if matches else 1
    return f'{name}:{line}: the key "{duplicate["name"]}" is a duplicate.'


__all__ = ('parse_json5', 'read_settings', 'validate')
