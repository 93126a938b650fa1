"""Labels whose number is bounded, however many names there are."""

from typing import Final

#: Names that a process tells apart; all further ones share a label.
MAX_NAMES: Final = 16

#: The label of all that is not told apart.
OTHERS: Final = 'others'


class BoundedLabels:
    """Gives the first names a label each, and the rest one together."""

    def __init__(self, *, most: int = MAX_NAMES) -> None:
        """Start with no name seen."""
        self._most = most
        self._names: set[str] = set()

    def label(self, name: str) -> str:
        """Return the label of a name."""
        if name not in self._names:
            if len(self._names) >= self._most:
                return OTHERS
            self._names.add(name)
        return name


#: The workspaces that this process tells apart in its counters.
workspace_labels: Final = BoundedLabels()


__all__ = ('MAX_NAMES', 'OTHERS', 'BoundedLabels', 'workspace_labels')
