"""How many connections each listener accepts.

A process has a fixed number of descriptors. If callers could use all of them, the gateway could
open no connection to the store, to upstreams and to peers, and would serve by lists that grow old.
"""

from dataclasses import dataclass

MAX_FILE_DESCRIPTORS = 200
MAX_FILE_SHARE = 0.25
"""Descriptors left for files, the event loop and libraries: this many, or this share of few."""
CALLER_SHARE = 0.38
"""Share of the others for callers. Each request in progress needs as many again for upstreams."""
DIRECTORY_SHARE = 0.1
PEER_SHARE = 0.08
OTHER_SHARE = 0.02
"""Share for readiness probes, and the same for scrapers of metrics. What remains is for the store,
calls to peers and retries."""


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Maximum number of connections by listener."""

    callers: int
    directory: int
    peers: int
    others: int

    @classmethod
    def within(cls, descriptors: int) -> "ConnectionLimits":
        """Return the limits of a process with that many descriptors."""
        files = min(MAX_FILE_DESCRIPTORS, int(MAX_FILE_SHARE * descriptors))
        shares = (CALLER_SHARE, DIRECTORY_SHARE, PEER_SHARE, OTHER_SHARE)
        return cls(*(max(1, int(share * (descriptors - files))) for share in shares))
