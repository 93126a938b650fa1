"""Generated load and its measures, for tests, demos and load tests only."""

from curranthill.load.measures import GANG_SIZES, fragmentation, percentile

__all__ = ('GANG_SIZES', 'fragmentation', 'percentile')
