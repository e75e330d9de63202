"""Selection of the home routers to which callers of a workspace are directed.

Rendezvous hashing assigns a workspace to one router in each zone, so that its tokens, its limits
and the shared prefixes of its prompts stay on the same routers. When a router joins or leaves, only
the workspaces that it gains or loses move.
"""

import hashlib
from collections.abc import Collection, Iterable

from quinceferry_core.membership import Member
from quinceferry_core.models import WorkspaceId


def home_members(
    workspace: WorkspaceId, members: Iterable[Member], count: int
) -> tuple[Member, ...]:
    """Return the home routers of a workspace, highest ranked first.

    The highest ranked router of each zone comes first; others follow until ``count`` is reached.
    There are more than ``count`` homes if there are more zones.

    :param members: routers that accept new requests.
    :param count: minimum number of homes, if there are as many routers.
    """
    ranked = sorted(members, key=lambda member: _score(workspace, member), reverse=True)
    best_by_zone: dict[str, Member] = {}
    for member in ranked:
        best_by_zone.setdefault(member.zone, member)
    homes = list(best_by_zone.values())
    others = (member for member in ranked if best_by_zone[member.zone] is not member)
    homes.extend(others)
    return tuple(homes[: max(count, len(best_by_zone))])


def order_homes_for_caller(
    homes: Collection[Member], caller_zone: str, count: int
) -> tuple[Member, ...]:
    """Return the routers of an address answer, in the order in which a caller should try them.

    :param homes: routers as returned by :func:`home_members`.
    :param caller_zone: zone of the caller; empty when unknown.
    :param count: maximum number of routers.
    """
    same_zone = [member for member in homes if member.zone == caller_zone]
    other_zones = [member for member in homes if member.zone != caller_zone]
    return tuple([*same_zone[:1], *other_zones, *same_zone[1:]][:count])


def _score(workspace: WorkspaceId, member: Member) -> bytes:
    """Return the rank of a router for a workspace.

    It depends on the VM and not on the incarnation, so that a restart does not change it.
    """
    text = f"{workspace}\0{member.vm}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
