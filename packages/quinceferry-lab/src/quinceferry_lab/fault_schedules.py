"""Schedules of faults, drawn from a seed."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from quinceferry_core.models import UpstreamId, VmId
from quinceferry_lab.faults import (
    BreakRouterConnections,
    BreakStreams,
    CrashEngine,
    CutRouters,
    EngineLeaves,
    Fault,
    FlakyStreams,
    KillRouter,
    KvDown,
    KvSlow,
    LoseKvAnswers,
    PartitionZone,
    PauseRouter,
    RefuseKvWrites,
    SilencePeers,
    SilenceStreams,
    StopRouter,
    VmListDown,
)
from quinceferry_lab.fleets import ZONES, Fleet
from quinceferry_lab.gates import CallKind

Draw = Callable[["_Drawer"], Fault]


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """A fault and when it begins, in seconds of the faulty part of a run."""

    at: float
    fault: Fault


class _Drawer:
    """Draws faults for one fleet."""

    def __init__(self, rng: Random, fleet: Fleet) -> None:
        self.rng = rng
        self.vms = list(fleet.zones_by_vm)
        self.engines = list(fleet.engines_by_id)
        self.upstreams = list(fleet.upstreams_by_id)

    def vm(self) -> VmId:
        """Draw a router."""
        return self.rng.choice(self.vms)

    def engine(self) -> UpstreamId:
        """Draw an engine."""
        return self.rng.choice(self.engines)

    def upstream(self) -> UpstreamId:
        """Draw an engine or a plain service."""
        return self.rng.choice(self.upstreams)

    def one_or_all(self) -> VmId | None:
        """Draw a router, or None for all."""
        return self.vm() if self.chance() else None

    def seconds(self, low: float = 3.0, high: float = 40.0) -> float:
        """Draw a duration; short ones are as likely as long ones."""
        return low * (high / low) ** self.rng.random()

    def chance(self, probability: float = 0.5) -> bool:
        """Draw a yes or no."""
        return self.rng.random() < probability

    def pair(self) -> tuple[VmId, VmId]:
        """Draw two routers."""
        source, target = self.rng.sample(self.vms, 2)
        return source, target


def _partition_zone(draw: _Drawer) -> Fault:
    return PartitionZone(draw.rng.choice(ZONES), draw.seconds(8.0, 70.0), draw.chance())


def _cut_routers(draw: _Drawer) -> Fault:
    return CutRouters(*draw.pair(), draw.seconds(), draw.chance())


def _kill_router(draw: _Drawer) -> Fault:
    restart = draw.seconds(0.5, 40.0) if draw.chance(0.6) else None
    return KillRouter(draw.vm(), draw.chance(), restart)


def _pause_router(draw: _Drawer) -> Fault:
    kinds = (None, CallKind.RUN, CallKind.KV_WRITE, CallKind.PEER, CallKind.UPSTREAM)
    return PauseRouter(draw.vm(), draw.seconds(2.0, 90.0), draw.rng.choice(kinds))


def _long_pause(draw: _Drawer) -> Fault:
    return PauseRouter(draw.vm(), draw.seconds(50.0, 80.0), None)


def _kv_down(draw: _Drawer) -> Fault:
    return KvDown(draw.seconds(3.0, 60.0))


def _kv_slow(draw: _Drawer) -> Fault:
    return KvSlow(draw.seconds(0.05, 2.0), draw.seconds())


def _lose_kv_answers(draw: _Drawer) -> Fault:
    prefixes = ("", "budgets/", "journals/", "topups/", "members/", "incarnations/", "config/")
    return LoseKvAnswers(draw.rng.uniform(0.1, 0.6), draw.rng.choice(prefixes), draw.seconds())


def _refuse_kv_writes(draw: _Drawer) -> Fault:
    return RefuseKvWrites(draw.rng.uniform(0.1, 0.7), draw.seconds())


def _vm_list_down(draw: _Drawer) -> Fault:
    return VmListDown(draw.seconds(10.0, 120.0))


def _silence_streams(draw: _Drawer) -> Fault:
    return SilenceStreams(draw.one_or_all(), draw.upstream())


def _break_streams(draw: _Drawer) -> Fault:
    return BreakStreams(draw.one_or_all(), draw.upstream())


def _flaky_streams(draw: _Drawer) -> Fault:
    return FlakyStreams(draw.upstream(), draw.rng.uniform(0.1, 0.6), draw.seconds())


def _silence_peers(draw: _Drawer) -> Fault:
    return SilencePeers(*draw.pair(), draw.seconds(1.0, 30.0))


def _break_router_connections(draw: _Drawer) -> Fault:
    return BreakRouterConnections(draw.vm())


def _crash_engine(draw: _Drawer) -> Fault:
    return CrashEngine(draw.engine(), draw.seconds(1.0, 30.0))


def _engine_leaves(draw: _Drawer) -> Fault:
    return EngineLeaves(draw.engine(), draw.seconds(10.0, 30.0))


def _stop_router(draw: _Drawer) -> Fault:
    return StopRouter(draw.vm(), draw.seconds(1.0, 30.0), draw.chance())


DRAWS_BY_NAME: dict[str, Draw] = {
    "partition": _partition_zone,
    "cut": _cut_routers,
    "kill": _kill_router,
    "pause": _pause_router,
    "long-pause": _long_pause,
    "kv-down": _kv_down,
    "kv-slow": _kv_slow,
    "lost-answers": _lose_kv_answers,
    "refused-writes": _refuse_kv_writes,
    "vm-list-down": _vm_list_down,
    "silence-streams": _silence_streams,
    "break-streams": _break_streams,
    "flaky-streams": _flaky_streams,
    "silence-peers": _silence_peers,
    "break-connections": _break_router_connections,
    "engine-crash": _crash_engine,
    "engine-leaves": _engine_leaves,
    "stop": _stop_router,
}
"""How each kind of fault is drawn."""


def draw_schedule(
    rng: Random, fleet: Fleet, names: tuple[str, ...], seconds: float
) -> list[ScheduledFault]:
    """Draw between five and twelve faults, several of which may be in force at once.

    :param names: kinds to draw from; empty for all.
    :param seconds: length of the faulty part of the run.
    """
    drawer = _Drawer(rng, fleet)
    kinds = names or tuple(DRAWS_BY_NAME)
    count = rng.randint(5, 12)
    # A common moment makes faults meet.
    moment = rng.uniform(0.2, 0.7) * seconds
    schedule = []
    for _ in range(count):
        is_meeting = rng.random() < 0.4
        at = moment + rng.uniform(0.0, 5.0) if is_meeting else rng.uniform(0.0, seconds)
        schedule.append(ScheduledFault(at, DRAWS_BY_NAME[rng.choice(kinds)](drawer)))
    return sorted(schedule, key=lambda planned: planned.at)
