"""Choice of the routers that hold copies of another's journal entries."""

from quinceferry_core.membership import Member
from quinceferry_core.models import IncarnationId
from quinceferry_core.routing import rendezvous_order

MAX_HOLDERS = 3


def choose_holders(own: Member, others: list[Member]) -> tuple[IncarnationId, ...]:
    """Choose the routers that hold copies for one, in a stable order.

    One is in its own availability zone, for the case that the zone is cut off; the others are
    elsewhere, for the case that it fails.
    """
    by_name = {member.incarnation: member for member in others}
    order = rendezvous_order(own.incarnation, sorted(by_name))
    near = [name for name in order if by_name[name].zone == own.zone][:1]
    far = [name for name in order if by_name[name].zone != own.zone]
    chosen = near + far[: MAX_HOLDERS - len(near)]
    rest = [name for name in order if name not in chosen]
    return tuple((chosen + rest)[:MAX_HOLDERS])
