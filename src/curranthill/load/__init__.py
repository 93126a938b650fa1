"""Load and its measures: tests, demo and load only."""

from curranthill.load.measures import GANG_SIZES, fragmentation, percentile

__all__ = ('GANG_SIZES', 'fragmentation', 'percentile')
