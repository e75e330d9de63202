"""Division of the workspaces' fleet-wide limits among the routers."""

import math
from dataclasses import dataclass, field

from quinceferry_core.addresses import home_members
from quinceferry_core.clocks import Clock
from quinceferry_core.limits import (
    ClaimedShare,
    LimitClaim,
    WorkspaceMeter,
    apportion,
    demand_weights,
)
from quinceferry_core.membership import Member
from quinceferry_core.models import CallerRequest, IncarnationId, Limits, WorkspaceId
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, RefusalReason
from quinceferryd.blackboard import Blackboard

UPDATE_INTERVAL_SECONDS = 0.5
"""Interval at which claims are recomputed; the next heartbeat publishes them."""
CLAIM_WAIT_SECONDS = 6.0
"""Retry delay for callers: a share moves to this router within two heartbeats."""
VM_ABSENCE_SECONDS = 30.0
"""Absence from the VM list after which the VM of a lapsed router counts as terminated."""
DEMAND_HALF_LIFE_SECONDS = 20.0
"""Half-life of the smoothed demand of a workspace without requests."""
MIN_PUBLISHED_DEMAND = 0.02
"""Smoothed demand, in requests per second, below which a router publishes zero."""


@dataclass(slots=True)
class _WorkspaceShare:
    """This router's share of one workspace's rate limits and concurrent streams."""

    rate: ClaimedShare = field(default_factory=ClaimedShare)
    streams: ClaimedShare = field(default_factory=ClaimedShare)
    demand: float = 0.0
    meter: WorkspaceMeter = field(default_factory=WorkspaceMeter)


class LimitShares:
    """Claims shares of the limits and admits requests within them.

    :param home_count: number of routers that the callers of one workspace are directed to.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock, home_count: int = 3) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._home_count = home_count
        self._incarnation = blackboard.identity.incarnation
        self._shares_by_id: dict[WorkspaceId, _WorkspaceShare] = {}
        self._known_members_by_incarnation: dict[IncarnationId, Member] = {}
        self._absent_since: dict[IncarnationId, float] = {}

    def check(self, request: CallerRequest, tokens: int) -> Failed | None:
        """Return a refusal if the request exceeds its workspace's limits here, otherwise None."""
        limits = self._limits(request.workspace)
        if limits == Limits():
            return None
        share = self._share(request.workspace)
        share.demand += math.log(2) / DEMAND_HALF_LIFE_SECONDS
        if limits.concurrent_streams and share.meter.streams >= int(share.streams.in_use):
            return _limit_refusal(RefusalReason.STREAMS_LIMITED, CLAIM_WAIT_SECONDS)
        now = self._clock.monotonic()
        wait = share.meter.rate_wait_seconds(limits, share.rate.in_use, tokens, now)
        if wait > 0:
            return _limit_refusal(RefusalReason.RATE_LIMITED, min(wait, CLAIM_WAIT_SECONDS))
        return None

    def count_admission(self, request: CallerRequest, tokens: int) -> None:
        """Count an admitted request."""
        limits = self._limits(request.workspace)
        if limits != Limits():
            self._share(request.workspace).meter.admit(limits, tokens)

    def revert_admission(self, request: CallerRequest, tokens: int) -> None:
        """Revert the count of an admitted request that was refused later."""
        limits = self._limits(request.workspace)
        share = self._shares_by_id.get(request.workspace)
        if limits != Limits() and share is not None:
            share.meter.refund(limits, tokens)

    def count_completion(self, request: CallerRequest) -> None:
        """Release the concurrent stream of an admitted request that has ended."""
        share = self._shares_by_id.get(request.workspace)
        if share is not None and share.meter.streams:
            share.meter.end_stream()

    def update(self) -> None:
        """Recompute claims and usable shares; called every ``UPDATE_INTERVAL_SECONDS``."""
        self._reset_if_rejoined()
        self._update_known_members()
        claims = self._claims_by_workspace()
        for workspace, spec in self._blackboard.configuration.workspaces_by_id.items():
            if spec.limits != Limits():
                self._update_workspace(workspace, spec.limits, claims.get(workspace, {}))
        for workspace in list(self._shares_by_id):
            if self._limits(workspace) == Limits():
                del self._shares_by_id[workspace]
        claims_here = (self._claim(workspace) for workspace in self._shares_by_id)
        self._blackboard.limit_claims = tuple(claim for claim in claims_here if not claim.is_empty)

    def usable_parts(self, workspace: WorkspaceId) -> tuple[float, int]:
        """Return the share of the rates and the number of streams that this router may use."""
        share = self._share(workspace)
        return share.rate.in_use, int(share.streams.in_use)

    def _update_workspace(
        self, workspace: WorkspaceId, limits: Limits, claims: dict[IncarnationId, LimitClaim]
    ) -> None:
        own_incarnation = self._blackboard.identity.incarnation
        share = self._share(workspace)
        share.demand *= 0.5 ** (UPDATE_INTERVAL_SECONDS / DEMAND_HALF_LIFE_SECONDS)
        share.meter.rate_wait_seconds(limits, share.rate.in_use, 0, self._clock.monotonic())
        other_claims = {
            router: claim for router, claim in claims.items() if router != own_incarnation
        }
        target_shares = self._target_shares(workspace, _quantize_demand(share.demand), other_claims)
        has_precedence = all(own_incarnation < router for router in other_claims)
        published_claim = self._read_published_claim(workspace)
        self._update_rate_share(
            share,
            target_shares.get(own_incarnation, 0.0),
            published_claim,
            other_claims,
            has_precedence,
        )
        streams = max(
            apportion(limits.concurrent_streams, target_shares).get(own_incarnation, 0),
            share.meter.streams,
        )
        self._update_streams_share(
            share, streams, limits, published_claim, other_claims, has_precedence
        )

    def _update_rate_share(
        self,
        share: _WorkspaceShare,
        target: float,
        published_claim: LimitClaim | None,
        other_claims: dict[IncarnationId, LimitClaim],
        has_precedence: bool,
    ) -> None:
        claimed_by_others = sum(claim.share for claim in other_claims.values())
        share.rate.confirm(
            published_claim.share if published_claim else None, claimed_by_others, 1.0
        )
        share.rate.update_claim(target, claimed_by_others, 1.0, has_precedence)

    def _update_streams_share(
        self,
        share: _WorkspaceShare,
        target: int,
        limits: Limits,
        published_claim: LimitClaim | None,
        other_claims: dict[IncarnationId, LimitClaim],
        has_precedence: bool,
    ) -> None:
        fleet_limit = limits.concurrent_streams
        claimed_by_others = sum(claim.streams for claim in other_claims.values())
        share.streams.confirm(
            published_claim.streams if published_claim else None, claimed_by_others, fleet_limit
        )
        share.streams.update_claim(target, claimed_by_others, fleet_limit, has_precedence)

    def _claim(self, workspace: WorkspaceId) -> LimitClaim:
        """Return the claim on a workspace's limits that the next heartbeat publishes."""
        share = self._shares_by_id[workspace]
        streams = int(share.streams.next_claim)
        return LimitClaim(workspace, share.rate.next_claim, streams, _quantize_demand(share.demand))

    def _target_shares(
        self, workspace: WorkspaceId, demand: float, other_claims: dict[IncarnationId, LimitClaim]
    ) -> dict[IncarnationId, float]:
        """Return the target share of each live router, computed from the published demands."""
        own_incarnation = self._blackboard.identity.incarnation
        live = self._blackboard.members_by_incarnation
        demand_by_router = {
            router: claim.demand for router, claim in other_claims.items() if router in live
        }
        demand_by_router[own_incarnation] = demand
        # The routers named in address answers need a share before their first request arrives.
        homes = home_members(workspace, live.values(), self._home_count)
        return demand_weights(
            demand_by_router, [member.incarnation for member in homes] or [own_incarnation]
        )

    def _reset_if_rejoined(self) -> None:
        """Drop all shares after a rejoin: other routers may claim those of the old incarnation."""
        own_incarnation = self._blackboard.identity.incarnation
        if own_incarnation == self._incarnation:
            return
        self._incarnation = own_incarnation
        for share in self._shares_by_id.values():
            share.rate = ClaimedShare()
            share.streams = ClaimedShare()

    def _update_known_members(self) -> None:
        """Keep the last claims of lapsed routers until their VMs are known to have terminated."""
        live = self._blackboard.members_by_incarnation
        self._known_members_by_incarnation.update(live)
        for incarnation, member in list(self._known_members_by_incarnation.items()):
            if incarnation in live or not self._is_claim_void(member):
                continue
            del self._known_members_by_incarnation[incarnation]
            self._absent_since.pop(incarnation, None)

    def _is_claim_void(self, member: Member) -> bool:
        if not member.limit_claims:
            return True
        live = self._blackboard.members_by_incarnation.values()
        if any(m.vm == member.vm and m.fencing > member.fencing for m in live):
            return True
        if member.vm in self._blackboard.vms_by_id:
            self._absent_since.pop(member.incarnation, None)
            return False
        now = self._clock.monotonic()
        absent_since = self._absent_since.setdefault(member.incarnation, now)
        return now - absent_since >= VM_ABSENCE_SECONDS

    def _claims_by_workspace(self) -> dict[WorkspaceId, dict[IncarnationId, LimitClaim]]:
        claims: dict[WorkspaceId, dict[IncarnationId, LimitClaim]] = {}
        for incarnation, member in self._known_members_by_incarnation.items():
            for claim in member.limit_claims:
                claims.setdefault(claim.workspace, {})[incarnation] = claim
        return claims

    def _read_published_claim(self, workspace: WorkspaceId) -> LimitClaim | None:
        """Return this router's claim as last read; empty if the record does not contain it.

        :return: the claim, or None if the record has not been read.
        """
        claims = self._blackboard.published_limit_claims
        if claims is None:
            return None
        empty = LimitClaim(workspace)
        return next((claim for claim in claims if claim.workspace == workspace), empty)

    def _limits(self, workspace: WorkspaceId) -> Limits:
        spec = self._blackboard.configuration.workspaces_by_id.get(workspace)
        return spec.limits if spec else Limits()

    def _share(self, workspace: WorkspaceId) -> _WorkspaceShare:
        if workspace not in self._shares_by_id:
            self._shares_by_id[workspace] = _WorkspaceShare()
        return self._shares_by_id[workspace]


def _quantize_demand(demand: float) -> float:
    """Round a demand to two steps per octave, so that the heartbeat record changes rarely."""
    if demand < MIN_PUBLISHED_DEMAND:
        return 0.0
    return 2.0 ** (round(2.0 * math.log2(demand)) / 2.0)


def _limit_refusal(reason: RefusalReason, retry_after_seconds: float) -> Failed:
    return Failed(
        reason,
        NotRun(NotRunProof.NEVER_SENT),
        retry_after_seconds,
        detail="the workspace is above its limit at this router",
        step="scheduling.enter",
    )
