"""Faults that a run can suffer."""

from dataclasses import dataclass

from quinceferry_core.models import UpstreamId, VmId
from quinceferry_lab.gates import CallKind


@dataclass(slots=True, frozen=True)
class PartitionZone:
    """The routers of a zone reach neither the key-value service nor other zones' routers.

    A top-up on the other side follows. ``engines_too`` cuts them off the other zones' engines.
    """

    zone: str
    seconds: float
    engines_too: bool


@dataclass(slots=True, frozen=True)
class CutRouters:
    """Nothing passes from one router to another; the way back may still work."""

    source: VmId
    target: VmId
    seconds: float
    both_ways: bool


@dataclass(slots=True, frozen=True)
class KillRouter:
    """A router process dies with its streams open.

    ``silent`` leaves its connections without any sign. ``restart_seconds`` is when the VM starts
    another process; None removes the VM instead and adds another.
    """

    vm: VmId
    silent: bool
    restart_seconds: float | None


@dataclass(slots=True, frozen=True)
class PauseRouter:
    """A router stands still, perhaps beyond its lease; ``at`` waits for its next such call."""

    vm: VmId
    seconds: float
    at: CallKind | None


@dataclass(slots=True, frozen=True)
class KvDown:
    """The key-value service answers nobody."""

    seconds: float


@dataclass(slots=True, frozen=True)
class KvSlow:
    """Calls of the key-value service take long."""

    mean_seconds: float
    seconds: float


@dataclass(slots=True, frozen=True)
class LoseKvAnswers:
    """Writes take effect, but some answers are lost."""

    probability: float
    key_prefix: str
    seconds: float


@dataclass(slots=True, frozen=True)
class RefuseKvWrites:
    """Some writes are refused without effect."""

    probability: float
    seconds: float


@dataclass(slots=True, frozen=True)
class VmListDown:
    """The VM list answers nobody."""

    seconds: float


@dataclass(slots=True, frozen=True)
class SilenceStreams:
    """The open connections to an upstream go silent for good; ``vm`` None means those of all."""

    vm: VmId | None
    upstream: UpstreamId


@dataclass(slots=True, frozen=True)
class BreakStreams:
    """The open connections to an upstream break; it runs on. ``vm`` None means those of all."""

    vm: VmId | None
    upstream: UpstreamId


@dataclass(slots=True, frozen=True)
class FlakyStreams:
    """A share of new connections to an upstream breaks, goes silent, doubles or swaps pieces."""

    upstream: UpstreamId
    share: float
    seconds: float


@dataclass(slots=True, frozen=True)
class SilencePeers:
    """The open connections of a router to another go silent; for a while, new ones too."""

    source: VmId
    target: VmId
    seconds: float


@dataclass(slots=True, frozen=True)
class BreakRouterConnections:
    """All open connections of callers and routers with a router break."""

    vm: VmId


@dataclass(slots=True, frozen=True)
class CrashEngine:
    """An engine dies with its streams and comes back empty."""

    upstream: UpstreamId
    seconds: float


@dataclass(slots=True, frozen=True)
class EngineLeaves:
    """An engine announces that it leaves, and ends later."""

    upstream: UpstreamId
    seconds: float


@dataclass(slots=True, frozen=True)
class StopRouter:
    """A router stops gracefully; its VM starts another process later.

    ``by_operator`` has the operator order it through another router, else its host tells it.
    """

    vm: VmId
    restart_seconds: float
    by_operator: bool


Fault = (
    PartitionZone
    | CutRouters
    | KillRouter
    | PauseRouter
    | KvDown
    | KvSlow
    | LoseKvAnswers
    | RefuseKvWrites
    | VmListDown
    | SilenceStreams
    | BreakStreams
    | FlakyStreams
    | SilencePeers
    | BreakRouterConnections
    | CrashEngine
    | EngineLeaves
    | StopRouter
)
