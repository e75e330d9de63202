"""HTTP server connections that bound what a client may cost, for uvicorn."""

from quinceferry_http.connections import Connections
from quinceferry_http.descriptors import count_descriptors
from quinceferry_http.limits import ClientLimits
from quinceferry_http.memory import ConnectionMemory
from quinceferry_http.protocol import EXCESS_STATE

__all__ = ["EXCESS_STATE", "ClientLimits", "ConnectionMemory", "Connections", "count_descriptors"]
