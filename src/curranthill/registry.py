"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from curranthill.errors import SettingsError

Entry = TypeVar('Entry')


class Registry(Generic[Entry]):
    """Named implementations of one interface, selected by settings.

    :param concern: what the entries are, for the error about an unknown name.
    """

    def __init__(self, *, concern: str) -> None:
        """Initialize without entries."""
        self._concern = concern
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that registers its target under ``name``."""

        def decorate(entry: Entry) -> Entry:  # noqa: WPS430
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> Entry:
        """Return the entry under ``name``.

        :raises SettingsError: if there is none; it lists the known names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ', '.join(sorted(self._entries))
            raise SettingsError(
                f'There is no {self._concern} named {name!r}; known: {known}.',
                step='settings',
            ) from None

    def __iter__(self) -> Iterator[str]:
        """Yield the names in alphabetical order."""
        return iter(sorted(self._entries))


__all__ = ('Registry',)
