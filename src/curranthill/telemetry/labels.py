"""Metric labels of bounded cardinality."""

from typing import Final

#: The number of names that get a label of their own in one process.
MAX_NAMES: Final = 16

#: The label that all further names share.
OTHERS: Final = 'others'


class BoundedLabels:
    """Gives each of the first names its own label, and all others one.

    :param max_names: the number of names with a label of their own.
    """

    def __init__(self, *, max_names: int = MAX_NAMES) -> None:
        """Initialize without names."""
        self._max_names = max_names
        self._names: set[str] = set()

    def label(self, name: str) -> str:
        """Return the label of a name."""
        if name not in self._names:
            if len(self._names) >= self._max_names:
                return OTHERS
            self._names.add(name)
        return name


#: The labels of workspaces in the metrics of this process.
workspace_labels: Final = BoundedLabels()


__all__ = ('MAX_NAMES', 'OTHERS', 'BoundedLabels', 'workspace_labels')
