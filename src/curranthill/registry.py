"""Open registries that decorators fill."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from curranthill.errors import SettingsError

Entry = TypeVar('Entry')


class Registry(Generic[Entry]):
    """Named ways of doing one thing, chosen by settings.

    :param concern: what the entries do, for the message about a wrong name.
    """

    def __init__(self, *, concern: str) -> None:
        """Start empty."""
        self._concern = concern
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that files its target under ``name``."""

        def decorate(entry: Entry) -> Entry:  # noqa: WPS430
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> Entry:
        """Return the entry under ``name``.

        :raises SettingsError: if there is none; the message lists all names.
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
        """Yield the names in order."""
        return iter(sorted(self._entries))


__all__ = ('Registry',)
