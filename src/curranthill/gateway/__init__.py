"""The gateway: callers' HTTP API for quick requests and for jobs."""

from curranthill.gateway.daemon import GatewayDaemon
from curranthill.gateway.server import CallerServer

__all__ = ('CallerServer', 'GatewayDaemon')
