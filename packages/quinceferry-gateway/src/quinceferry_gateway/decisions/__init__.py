"""Decisions on requests, apart from input and output.

Nothing here opens a connection, waits or reads a clock: times are passed in, in seconds of a steady
clock. Each module answers one question and opens with the load that it is made for.
"""

from quinceferry_gateway.decisions.placement import Demand, Placement, PlacementPolicy, Placer
from quinceferry_gateway.decisions.upstream_states import Attempt, UpstreamStates

__all__ = ["Attempt", "UpstreamStates", "Demand", "Placement", "PlacementPolicy", "Placer"]
