"""Reads the folder of configuration files and merges them by RFC 7396."""

import hashlib
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

from curranthill.configuration.records import Json
from curranthill.errors import ConfigurationError, SettingsError
from curranthill.settings.reader import parse_json5

#: Larger files are refused: the configuration is split into small files.
MAX_FILE_BYTES: Final = 256 * 1024

_SUFFIX: Final = '.json'
_BACKUP_ENDINGS: Final = ('~', '.bak', '.orig', '.swp', '.tmp')


class Folder(NamedTuple):
    """The contents of a folder.

    :param contents: file name -> content.
    :param ignored: one message for each entry that was ignored.
    """

    contents: dict[str, bytes]
    ignored: tuple[str, ...]


def read_folder(path: Path) -> Folder:
    """Read the files of a folder, in the byte order of their names.

    :raises ConfigurationError: listing each file that is refused.
    """
    if not path.is_dir():
        raise ConfigurationError(f'{path} is not a folder.', step='read folder')
    contents: dict[str, bytes] = {}
    ignored: list[str] = []
    errors: list[str] = []
    for entry in sorted(path.iterdir(), key=_byte_order):
        reason = _reason_to_ignore(entry)
        if reason:
            ignored.append(f'{entry.name}: ignored, {reason}.')
            continue
        refusal = _reason_to_refuse(entry, path)
        if refusal:
            errors.append(f'{entry.name}: {refusal}.')
        else:
            contents[entry.name] = entry.read_bytes()
    if errors:
        raise ConfigurationError('\n'.join(errors), step='read folder')
    return Folder(contents=contents, ignored=tuple(ignored))


def merge(contents: Mapping[str, bytes]) -> Json:
    """Merge file contents in the byte order of their names.

    :raises ConfigurationError: listing the error of each invalid file.
    """
    merged: Json = {}
    errors: list[str] = []
    for name in sorted(contents, key=_name_bytes):
        try:
            patch = parse_json5(contents[name], name)
        except SettingsError as error:
            errors.append(error.message)
            continue
        if isinstance(patch, dict):
            merged = _merge_patch(merged, patch)
        else:
            errors.append(f'{name}:1: the file must contain an object.')
    if errors:
        raise ConfigurationError('\n'.join(errors), step='merge')
    return merged


def canonical_json(document: Any) -> bytes:
    """Return JSON with sorted keys and no spaces, equal for equal documents."""
    text = json.dumps(
        document,
        sort_keys=True,
        separators=(',', ':'),
        ensure_ascii=False,
    )
    return text.encode()


def sha256_hex(content: bytes) -> str:
    """Return the SHA-256 of the content in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def _merge_patch(target: Any, patch: Any) -> Any:
    """Apply one JSON Merge Patch as RFC 7396 defines it."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, change in patch.items():
        if change is None:
            merged.pop(key, None)
        else:
            merged[key] = _merge_patch(merged.get(key), change)
    return merged


def _byte_order(entry: Path) -> bytes:
    return _name_bytes(entry.name)


def _name_bytes(name: str) -> bytes:
    return name.encode('utf-8', 'surrogateescape')


def _reason_to_ignore(entry: Path) -> str:
    if entry.name.startswith('.'):
        return 'a hidden file'
    if entry.is_dir() and not entry.is_symlink():
        return 'a sub-folder'
    if entry.name.endswith(_BACKUP_ENDINGS):
        return 'a backup file'
    if entry.suffix != _SUFFIX:
        return f'its name does not end in {_SUFFIX}'
    return ''


def _reason_to_refuse(entry: Path, folder: Path) -> str:
    try:
        resolved = entry.resolve(strict=True)
    except OSError:
        return 'the link is broken'
    if not resolved.is_relative_to(folder.resolve()):
        return 'the link leads out of the folder'
    if not resolved.is_file():
        return 'it is not a regular file'
    size_bytes = resolved.stat().st_size
    if size_bytes > MAX_FILE_BYTES:
        return f'{size_bytes} bytes; at most {MAX_FILE_BYTES} are allowed'
    return ''


__all__ = (
    'MAX_FILE_BYTES',
    'Folder',
    'canonical_json',
    'merge',
    'read_folder',
    'sha256_hex',
)
