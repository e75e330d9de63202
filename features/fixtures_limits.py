"""Routers that share limits through an ordered log of heartbeat records, seen late."""

import random
from dataclasses import dataclass, field, replace

from fixtures_routing import request

from quinceferry_core.membership import Member
from quinceferry_core.models import (
    Configuration,
    IncarnationId,
    Limits,
    VmId,
    VmRecord,
    WorkspaceId,
    WorkspaceSpec,
)
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.shares import UPDATE_INTERVAL_SECONDS, LimitShares

WORKSPACE = WorkspaceId("choir")


class StepClock:
    """Clock that a test moves."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> float:
        """Return the time set by the test."""
        return self.seconds


@dataclass
class LimitRouter:
    """One router's shares, with how much of the log it has seen."""

    name: str
    limits: Limits
    clock: StepClock
    seen: int = 0

    def __post_init__(self) -> None:
        self.blackboard = _blackboard(self.name, self.limits)
        self.shares = LimitShares(self.blackboard, self.clock)
        self.member = _member(self.name)

    @property
    def in_use(self) -> tuple[float, int]:
        """Return the part of the rates and the streams that may be used."""
        return self.shares.usable_parts(WORKSPACE)

    def see(self, member: Member) -> None:
        """Take in one record of the log."""
        if member.incarnation == self.blackboard.identity.incarnation:
            self.blackboard.published_limit_claims = member.limit_claims
        self.blackboard.members_by_incarnation[member.incarnation] = member

    def rejoin(self, name: str) -> None:
        """Take a new incarnation."""
        self.blackboard.identity.incarnation = IncarnationId(name)
        self.blackboard.identity.fencing += 1
        self.blackboard.published_limit_claims = None
        self.member = _member(name)


@dataclass
class LimitFleet:
    """Routers over one log of heartbeat records, in the order of the writes."""

    rng: random.Random
    limits: Limits
    prompt: bool = False
    log: list[Member] = field(default_factory=list)
    highest: tuple[float, int] = (0.0, 0)
    moves: int = 0

    def __post_init__(self) -> None:
        self.clock = StepClock()
        self.routers = [LimitRouter(f"r{n}", self.limits, self.clock) for n in range(4)]
        self.stopped: list[LimitRouter] = []

    def run(self, steps: int, demand) -> None:
        """Let routers update, write and read; ``demand`` names who gets a request at a step."""
        for step in range(steps):
            self.clock.seconds += UPDATE_INTERVAL_SECONDS
            self._ask(demand(step))
            for router in self._order():
                before = router.in_use
                router.shares.update()
                self.moves += router.in_use != before
                self._check()
                self._write(router)
                self._read(router)

    def read_all(self, router: LimitRouter) -> None:
        """Have a router see the whole log."""
        for member in self.log[router.seen :]:
            router.see(member)
        router.seen = len(self.log)

    def _ask(self, router: LimitRouter | None) -> None:
        if router is not None:
            router.shares.check(request(), 1)

    def _order(self) -> list[LimitRouter]:
        if self.prompt:
            return list(self.routers)
        return [router for router in self.routers if self.rng.random() < 0.7]

    def _write(self, router: LimitRouter) -> None:
        """Hand claims to the heartbeat; its write may happen later or never."""
        if self.prompt or self.rng.random() < 0.5:
            claims = router.blackboard.limit_claims
            router.member = replace(router.member, limit_claims=claims)
        if self.prompt or self.rng.random() < 0.5:
            self.log.append(router.member)

    def _read(self, router: LimitRouter) -> None:
        waiting = len(self.log) - router.seen
        count = waiting if self.prompt else self.rng.randint(0, min(6, waiting))
        for member in self.log[router.seen : router.seen + count]:
            router.see(member)
        router.seen += count

    def _check(self) -> None:
        everyone = self.routers + self.stopped
        rate = sum(router.in_use[0] for router in everyone)
        streams = sum(router.in_use[1] for router in everyone)
        self.highest = (max(self.highest[0], rate), max(self.highest[1], streams))


def lone_router(limits: Limits) -> LimitFleet:
    """Return a fleet of one router that holds the whole of the limits."""
    fleet = LimitFleet(random.Random(0), limits, prompt=True)
    del fleet.routers[1:]
    fleet.run(30, lambda step: None)
    return fleet


def _member(name: str) -> Member:
    vm = VmId(f"vm-{name.split('.')[0]}")
    return Member(IncarnationId(name), vm, "a", name, 1 + name.count("."))


def _blackboard(name: str, limits: Limits) -> Blackboard:
    identity = Identity(VmId(f"vm-{name}"), "a", name, IncarnationId(name), 1)
    spec = WorkspaceSpec(WORKSPACE, limits=limits)
    vms = {VmId(f"vm-r{n}"): VmRecord(VmId(f"vm-r{n}"), "a") for n in range(4)}
    configuration = Configuration(1, {WORKSPACE: spec})
    return Blackboard(identity, configuration=configuration, vms_by_id=vms)
