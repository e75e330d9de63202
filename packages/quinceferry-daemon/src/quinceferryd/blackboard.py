"""Shared state of one router, read and written by its controllers.

Only the controllers documented at a field write it; all others only read it.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from quinceferry_core.adapters import LoadReport
from quinceferry_core.limits import LimitClaim
from quinceferry_core.membership import Member, QuarantinedContent
from quinceferry_core.models import (
    Configuration,
    IncarnationId,
    UpstreamId,
    VmId,
    VmRecord,
)


class RouterState(Enum):
    """Life-cycle state of this router.

    A stopping router is not named in address answers but still accepts requests that are due before
    its stop ends. A router that has left accepts none and is about to terminate. A fenced router's
    incarnation has been closed.
    """

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    FENCED = "fenced"
    LEFT = "left"


@dataclass(slots=True)
class Identity:
    """Identity of this router; the incarnation is empty until the router has joined."""

    vm: VmId
    zone: str
    address: str
    incarnation: IncarnationId = IncarnationId("")
    fencing: int = 0


@dataclass(slots=True)
class KvHealth:
    """Availability of the key-value service; ``changed_at`` is in monotonic seconds."""

    available: bool = True
    changed_at: float = 0.0


@dataclass(slots=True)
class UpstreamStatus:
    """State of one upstream as observed by this router; times are in monotonic seconds.

    ``leaving`` is read from the VM list, ``reported_leaving`` from the heartbeats of other routers.
    """

    report: LoadReport | None = None
    reported_at: float = 0.0
    leaving: bool = False
    leaving_since: float = 0.0
    reported_leaving: bool = False
    failures: int = 0
    failed_at: float = 0.0


@dataclass(slots=True)
class Blackboard:
    """State shared by the controllers of one router."""

    identity: Identity
    """Written by the membership controller."""
    state: RouterState = RouterState.STARTING
    """Written by the membership and shutdown controllers."""
    stop_deadline: float = math.inf
    """Time at which open requests are aborted, in monotonic seconds; infinite unless this router
    stops. Written by the shutdown controller."""
    configuration: Configuration = field(default_factory=Configuration)
    """Written by the configuration controller."""
    accepted_revision: int = 0
    """Written by the configuration controller."""
    members_by_incarnation: dict[IncarnationId, Member] = field(default_factory=dict)
    """Routers with a valid lease; written by the membership controller."""
    vms_by_id: dict[VmId, VmRecord] = field(default_factory=dict)
    """Written by the VM list controller."""
    upstreams_by_id: dict[UpstreamId, UpstreamStatus] = field(default_factory=dict)
    """Written by the load controller; ``leaving`` by the VM list controller."""
    leaving_upstreams: set[UpstreamId] = field(default_factory=set)
    """Upstreams that this router itself has observed leaving, for its heartbeat record; written by
    the load controller."""
    quarantined: tuple[QuarantinedContent, ...] = ()
    """Content that this router has quarantined because it crashes engines, for its heartbeat
    record; written by the crash watch."""
    limit_claims: tuple[LimitClaim, ...] = ()
    """Claims on limits for the heartbeat record; written by the limit share controller."""
    published_limit_claims: tuple[LimitClaim, ...] | None = None
    """Claims in this router's own heartbeat record, read from the key-value service together with
    all records written before it; None until read; written by the membership controller."""
    kv: KvHealth = field(default_factory=KvHealth)
    """Written by the KV health wrapper."""

    @property
    def is_stopping(self) -> bool:
        """Return whether this router's stop has begun, in whatever state it is."""
        return self.stop_deadline < math.inf

    def serves_until(self, due_at: float) -> bool:
        """Return whether this router's stop, if any, leaves time for a request.

        :param due_at: deadline of the request, in monotonic seconds.
        """
        return self.state is not RouterState.LEFT and due_at <= self.stop_deadline
