"""Which gateway grants permits and admissions for an upstream."""

from collections.abc import Collection

from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.rendezvous import rank_candidates

Lifetime = tuple[str, float]
"""Identifier and start time of an upstream."""


def permit_issuer(blackboard: Blackboard, upstream_id: str, silent: Collection[str] = ()) -> Member:
    """Return the gateway that grants permits for an upstream.

    Ranking by vm keeps the assignment when a gateway restarts on the same vm.

    :param silent: incarnations that do not answer; the next one of the ranking stands in for them.
    """
    members_by_vm = {
        member.vm: member
        for member in blackboard.usable_members()
        if member.incarnation not in silent
    }
    if not members_by_vm:
        return blackboard.own
    return members_by_vm[rank_candidates(upstream_id, members_by_vm)[0]]
