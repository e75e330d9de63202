"""Choice of the routers that callers of a workspace are sent to.

Rendezvous hashing gathers a workspace on one router in each zone, so that its tokens, its limits
and the prompt prefixes that its requests share stay together. A router that joins or leaves moves
only the workspaces that it gains or had.
"""

import hashlib
from collections.abc import Collection, Iterable

from quinceferry_core.membership import Member
from quinceferry_core.models import WorkspaceId


def home_members(
    workspace: WorkspaceId, members: Iterable[Member], count: int
) -> tuple[Member, ...]:
    """Return the routers on which a workspace is gathered, best first.

    The best router of each zone comes first; the others follow until ``count`` is reached. There
    are more than ``count`` homes if there are more zones.

    :param workspace: the workspace.
    :param members: routers that take new requests.
    :param count: how many homes a workspace has at least, if there are as many routers.
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
    """Return the routers to name in an answer, in the order in which a caller should try them.

    :param homes: as :func:`home_members` returned them.
    :param caller_zone: zone of the caller; empty when unknown.
    :param count: how many to name.
    """
    near = [member for member in homes if member.zone == caller_zone]
    far = [member for member in homes if member.zone != caller_zone]
    return tuple([*near[:1], *far, *near[1:]][:count])


def _score(workspace: WorkspaceId, member: Member) -> bytes:
    """Return the rank of a router for a workspace; it depends on the VM, not on the incarnation."""
    text = f"{workspace}\0{member.vm}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
