"""Logs, events and metrics."""

from curranthill.telemetry.logs import LogStyle, configure_logs
from curranthill.telemetry.metrics import (
    Metrics,
    install_metric_reader,
    metrics,
)

__all__ = (
    'LogStyle',
    'Metrics',
    'configure_logs',
    'install_metric_reader',
    'metrics',
)
