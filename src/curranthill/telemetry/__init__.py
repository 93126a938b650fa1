"""Logs and metrics."""

from curranthill.telemetry.logs import LogStyle, configure_logs
from curranthill.telemetry.metrics import Metrics, metrics, provide

__all__ = ('LogStyle', 'Metrics', 'configure_logs', 'metrics', 'provide')
