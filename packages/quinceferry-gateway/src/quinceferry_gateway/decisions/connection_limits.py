"""How many connections each listener accepts.

A process has a fixed number of descriptors. If callers could use all of them, the gateway could
open no connection to the store, to upstreams and to peers, and would serve by lists that grow old.
"""

from dataclasses import dataclass

MAX_FILE_DESCRIPTORS = 200
MAX_FILE_SHARE = 0.25
"""Descriptors left for files, the event loop and libraries: this many, or this share of few."""
SHARES_BY_LISTENER = {
    "callers": 0.38,
    "directory": 0.1,
    "peers": 0.08,
    "readiness": 0.02,
    "metrics": 0.02,
}
"""Shares of the other descriptors. Each request in progress needs as many again for upstreams; what
remains is for the store, calls to peers and retries."""


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Maximum number of connections of each listener.

    ``connections`` is the number of descriptors for connections of any kind.
    """

    connections: int

    @classmethod
    def within(cls, descriptors: int) -> "ConnectionLimits":
        """Return the limits of a process with that many descriptors."""
        return cls(descriptors - min(MAX_FILE_DESCRIPTORS, int(MAX_FILE_SHARE * descriptors)))

    def limit(self, listener: str) -> int:
        """Return the maximum number of connections of a listener."""
        return max(1, int(SHARES_BY_LISTENER[listener] * self.connections))
