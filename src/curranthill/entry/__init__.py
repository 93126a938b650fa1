"""Services of every host: job requests, configuration, peers, suspension."""

from curranthill.entry.closed_data_centres import (
    ClosedDataCentre,
    ClosedDataCentres,
)
from curranthill.entry.job_handler import JobHandler
from curranthill.entry.peers import PeerList
from curranthill.entry.revisions import RevisionFollower
from curranthill.entry.suspension import SuspensionDetector

__all__ = (
    'ClosedDataCentre',
    'ClosedDataCentres',
    'JobHandler',
    'PeerList',
    'RevisionFollower',
    'SuspensionDetector',
)
