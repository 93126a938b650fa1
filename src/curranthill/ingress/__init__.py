"""Serves HTTP to callers that keep no limits.

What all connections together may hold is bounded by the memory and descriptors
of the machine, and each stage of a request has an end in time and size.
"""

from curranthill.ingress.limits import (
    IngressLimits,
    MachineLimits,
    limits_of,
)
from curranthill.ingress.server import IngressServer, read_body

__all__ = (
    'IngressLimits',
    'IngressServer',
    'MachineLimits',
    'limits_of',
    'read_body',
)
