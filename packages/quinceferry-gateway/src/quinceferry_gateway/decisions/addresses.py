"""Which addresses callers are told to connect to.

The load: what callers send and get is the most that crosses between availability zones, and
costs there. A caller that connects within its own zone sends it across at most once, on the way to
an upstream. It needs a second address there, for when the first one fails.
"""

from collections.abc import Collection

from quinceferry_gateway.blackboard import Member

FEWEST_IN_ZONE = 2
"""Gateways that a zone must have for its callers to be told these alone; with a single one, the
loss of a vm would leave them without any address until they ask again."""


def addresses_for(zone: str, members: Collection[Member], most: int) -> list[str]:
    """Return the addresses for a caller of a zone.

    :param members: gateways that answer and stay.
    :param most: how many addresses an answer holds at most.
    """
    near = [member for member in members if member.zone == zone]
    chosen = near if len(near) >= FEWEST_IN_ZONE else members
    return [member.caller_address for member in chosen][:most]
