"""Run-time estimates from actual over declared run times of each kind."""

from collections import OrderedDict, deque
from typing import Final

#: The most recent ratios that are kept for each workspace and kind.
MAX_SAMPLES: Final = 64

#: Pairs of workspace and kind that are kept; the least recently updated one is
#: evicted.
MAX_KINDS: Final = 4096

#: The quantile of the ratios used as the estimate: few runs exceed it.
QUANTILE: Final = 0.8


class RunTimeEstimates:
    """Quantiles of actual over declared run time, in bounded memory."""

    def __init__(self) -> None:
        """Initialize without runs: declared run times are used unchanged."""
        self._ratios: OrderedDict[tuple[str, str], deque[float]]
        self._ratios = OrderedDict()
        self._quantiles: dict[tuple[str, str], float] = {}

    def record_run(
        self,
        workspace: str,
        kind: str,
        *,
        declared_s: float,
        actual_s: float,
    ) -> None:
        """Record the declared and actual run time of a finished run."""
        if declared_s <= 0:
            return
        key = (workspace, kind)
        ratios = self._ratios.setdefault(key, deque(maxlen=MAX_SAMPLES))
        self._ratios.move_to_end(key)
        ratios.append(actual_s / declared_s)
        ordered = sorted(ratios)
        index = min(len(ordered) - 1, int(len(ordered) * QUANTILE))
        self._quantiles[key] = ordered[index]
        if len(self._ratios) > MAX_KINDS:
            oldest, _ = self._ratios.popitem(last=False)
            self._quantiles.pop(oldest)

    def run_time_s(
        self,
        workspace: str,
        kind: str,
        declared_s: float,
    ) -> float:
        """Return the run time that most runs of the kind do not exceed."""
        return declared_s * self._quantiles.get((workspace, kind), 1)


__all__ = ('RunTimeEstimates',)
