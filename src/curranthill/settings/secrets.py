"""Reads secrets from a file or the environment; they are never logged."""

import os
from pathlib import Path

from curranthill.errors import SettingsError

KEY_VARIABLE = 'CURRANTHILL_KEY'


def read_shared_key(key_file: str) -> str:
    """Return the key that all processes share to authenticate each other.

    :param key_file: the path of its file; the environment variable has
        precedence.
    :raises SettingsError: if neither is set, or the file cannot be read.
    """
    from_environment = os.environ.get(KEY_VARIABLE)
    if from_environment:
        return from_environment
    if not key_file:
        raise SettingsError(
            f'Set membership.key_file or {KEY_VARIABLE}.',
            step='read key',
        )
    try:
        return Path(key_file).read_text('utf-8').strip()
    except OSError as error:
        raise SettingsError(
            f'The key file cannot be read: {error.strerror}.',
            step='read key',
        ) from error


__all__ = ('KEY_VARIABLE', 'read_shared_key')
