"""Gateway for opaque requests with prepaid tokens, on a platform that an adapter connects."""

from quinceferry_gateway.application import Application
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.server import HttpListener
from quinceferry_gateway.settings import Settings
from quinceferry_gateway.transport import HttpClient

__all__ = ["Application", "HttpClient", "HttpListener", "Metrics", "Settings"]
