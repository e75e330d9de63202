"""Decisions on requests, without I/O.

Nothing here opens a connection, waits or reads a clock: callers pass times in, in seconds of a
monotonic clock.
"""

from quinceferry_gateway.decisions.placement import Demand, Placement, PlacementPolicy, Placer
from quinceferry_gateway.decisions.upstream_states import Attempt, UpstreamStates

__all__ = ["Attempt", "UpstreamStates", "Demand", "Placement", "PlacementPolicy", "Placer"]
