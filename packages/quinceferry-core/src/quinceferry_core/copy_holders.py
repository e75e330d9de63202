"""Selection of the routers that hold copies of another router's journal entries."""

from quinceferry_core.membership import Member
from quinceferry_core.models import IncarnationId
from quinceferry_core.routing import rendezvous_order

MAX_COPY_HOLDERS = 3


def choose_holders(own: Member, others: list[Member]) -> tuple[IncarnationId, ...]:
    """Choose the holders of a router's copies, in a stable order.

    One holder is in the router's own zone, in case the zone is partitioned; the others are in other
    zones, in case the zone fails.
    """
    member_by_incarnation = {member.incarnation: member for member in others}
    order = rendezvous_order(own.incarnation, sorted(member_by_incarnation))
    same_zone = [
        incarnation for incarnation in order if member_by_incarnation[incarnation].zone == own.zone
    ][:1]
    other_zones = [
        incarnation for incarnation in order if member_by_incarnation[incarnation].zone != own.zone
    ]
    chosen = same_zone + other_zones[: MAX_COPY_HOLDERS - len(same_zone)]
    remaining = [incarnation for incarnation in order if incarnation not in chosen]
    return tuple((chosen + remaining)[:MAX_COPY_HOLDERS])
