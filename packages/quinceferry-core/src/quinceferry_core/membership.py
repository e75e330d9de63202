"""Records by which routers know each other."""

from dataclasses import dataclass
from enum import Enum

from quinceferry_core.models import IncarnationId, VmId

MEMBER_PREFIX = "members/"
"""Keys bound to the lease of a live incarnation."""
INCARNATION_PREFIX = "incarnations/"
"""Keys that outlive the lease, until the incarnation is retired."""
FENCING_KEY = "fencing"
"""Counter from which each incarnation draws its fencing number."""


class MemberState(Enum):
    """Whether a member takes new requests."""

    SERVING = "serving"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class Member:
    """Heartbeat record of a live incarnation, stored under its lease."""

    incarnation: IncarnationId
    vm: VmId
    zone: str
    address: str
    fencing: int
    state: MemberState = MemberState.SERVING
    applied_revision: int = 0


@dataclass(slots=True, frozen=True)
class IncarnationRecord:
    """Lasting record of an incarnation, kept until its allotments and bills are settled.

    ``closed_by`` names the incarnation that closed its journal, or is empty while it is open.
    """

    incarnation: IncarnationId
    vm: VmId
    zone: str
    fencing: int
    closed_by: IncarnationId = IncarnationId("")
