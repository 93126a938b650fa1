"""Admission of jobs: load shedding and the reasons why jobs wait.

Pure decisions: no input or output, no clock.
"""

from curranthill.admission.forecast import ServiceResources, make_forecast
from curranthill.admission.reasons import RESERVED, waiting_reason
from curranthill.admission.retries import retry_after_s
from curranthill.admission.shedding import (
    FULL,
    MAX_FORECAST_AGE_S,
    MAX_WAITING,
    MAX_WAITING_PER_WORKSPACE,
    TOO_LATE,
    WORKSPACE_FULL,
    Forecast,
    Refusal,
    ServiceForecast,
    check_admission,
)

__all__ = (
    'FULL',
    'MAX_FORECAST_AGE_S',
    'MAX_WAITING',
    'MAX_WAITING_PER_WORKSPACE',
    'RESERVED',
    'TOO_LATE',
    'WORKSPACE_FULL',
    'Forecast',
    'Refusal',
    'ServiceForecast',
    'ServiceResources',
    'check_admission',
    'make_forecast',
    'retry_after_s',
    'waiting_reason',
)
