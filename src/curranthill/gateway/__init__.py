"""Callers' HTTP: admission, the quick lane, jobs and their results."""

from curranthill.gateway.daemon import GatewayDaemon
from curranthill.gateway.server import CallerServer

__all__ = ('CallerServer', 'GatewayDaemon')
