"""How work is turned away: decisions only, no input or output, no clock."""

from curranthill.admission.forecast import ServiceResources, outlook_of
from curranthill.admission.outlook import (
    FULL,
    MOST_OF_WORKSPACE,
    MOST_WAITING,
    OLD_S,
    TOO_LATE,
    WORKSPACE_FULL,
    Outlook,
    Refusal,
    ServiceOutlook,
    may_accept,
)
from curranthill.admission.reasons import KEPT, waits_for
from curranthill.admission.returns import return_after_s

__all__ = (
    'FULL',
    'KEPT',
    'MOST_OF_WORKSPACE',
    'MOST_WAITING',
    'OLD_S',
    'TOO_LATE',
    'WORKSPACE_FULL',
    'Outlook',
    'Refusal',
    'ServiceOutlook',
    'ServiceResources',
    'may_accept',
    'outlook_of',
    'return_after_s',
    'waits_for',
)
