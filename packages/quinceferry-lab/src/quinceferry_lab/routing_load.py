"""Workload and baseline policies of the routing measurement."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from quinceferry_core.clocks import Clock
from quinceferry_core.models import (
    CallerRequest,
    ModelRef,
    Priority,
    RequestId,
    RequestKind,
    UpstreamId,
    UpstreamSpec,
    WorkspaceId,
)
from quinceferry_core.outcomes import Failed
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.outputs import BYTES_PER_TOKEN
from quinceferryd.blackboard import Blackboard
from quinceferryd.scheduling import Permit, Scheduler
from quinceferryd.settings import RoutingSettings
from quinceferryd.tracking import UpstreamTracker

MODEL = ModelRef("ledger")
ENGINES = 10
WORKSPACES = 10
DOCUMENTS_PER_WORKSPACE = 12
"""Ledgers or loss histories that a workspace's callers ask about at the same time."""
WORKSPACE_SKEW = 1.0
"""Exponent of the Zipf distribution of requests over workspaces."""
LONG_SHARE = 0.02
"""Part of the requests that send a whole-year ledger nobody else asks about."""

ENGINE_SETTINGS = EngineSettings(
    models=(MODEL,),
    tokens_per_step=2,
    step_seconds=0.04,
    step_seconds_per_stream=0.001,
    cache_blocks=512,
    max_waiting=100_000,
)
"""Engines of the stand-in's default speed, in steps of two tokens to save measuring time."""


class Policy(Enum):
    """How an upstream is chosen."""

    RANDOM = "random"
    LEAST_REPORTED = "least reported load"
    OURS = "ours"


POLICIES = tuple(Policy)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Size and frequency of one kind of request."""

    priority: Priority
    share: float
    question_tokens: int
    output_tokens: int


CLASSES = (
    RequestClass(Priority.HIGH, 0.2, 60, 40),
    RequestClass(Priority.NORMAL, 0.6, 120, 80),
    RequestClass(Priority.LOW, 0.2, 240, 160),
)
"""Live explanations, ordinary questions, and drafts."""
LONG_CLASS = RequestClass(Priority.LOW, LONG_SHARE, 9000, 160)


@dataclass(slots=True, frozen=True)
class Arrival:
    """One request and when it is sent, in seconds."""

    at: float
    request: CallerRequest
    router: int


def capacity_per_second() -> float:
    """Return the requests a second that the engines serve if every shared prefix is cached."""
    settings = ENGINE_SETTINGS
    full_step = settings.step_seconds + settings.slots * settings.step_seconds_per_stream
    token_seconds = full_step / settings.tokens_per_step / settings.slots
    seconds = 0.0
    classes = [*((kind, kind.share * (1 - LONG_SHARE)) for kind in CLASSES)]
    for kind, share in [*classes, (LONG_CLASS, LONG_SHARE)]:
        prefill = kind.question_tokens * settings.prefill_seconds_per_token
        seconds += share * (prefill + kind.output_tokens * token_seconds)
    return ENGINES / seconds


class Workload:
    """Requests drawn from a seed, the same for every policy.

    :param load: share of the capacity.
    """

    def __init__(self, load: float, seed: int, routers: int) -> None:
        self._rng = random.Random(seed)
        self._rate = load * capacity_per_second()
        self._routers = routers
        self._documents = [
            [self._text(self._rng.randint(800, 1600)) for _ in range(DOCUMENTS_PER_WORKSPACE)]
            for _ in range(WORKSPACES)
        ]
        self._weights = [1 / (rank + 1) ** WORKSPACE_SKEW for rank in range(WORKSPACES)]

    def arrivals(self, seconds: float) -> Iterator[Arrival]:
        """Return the arrivals of a Poisson process."""
        at, number = 0.0, 0
        while (at := at + self._rng.expovariate(self._rate)) < seconds:
            number += 1
            yield Arrival(at, self._request(number), self._rng.randrange(self._routers))

    def _request(self, number: int) -> CallerRequest:
        (workspace,) = self._rng.choices(range(WORKSPACES), self._weights)
        is_long = self._rng.random() < LONG_SHARE
        (kind,) = self._rng.choices(CLASSES, [each.share for each in CLASSES])
        document = self._rng.choice(self._documents[workspace])
        if is_long:
            kind, document = LONG_CLASS, ""
        output = self._rng.randint(kind.output_tokens // 2, kind.output_tokens * 3 // 2)
        return CallerRequest(
            WorkspaceId(f"w{workspace}"),
            RequestId(f"r{number}"),
            RequestKind.COMPLETION,
            MODEL,
            prompt=document + self._text(kind.question_tokens),
            body=b'{"stand_in_output_tokens": %d}' % output,
            max_output_tokens=output,
            priority=kind.priority,
            deadline_seconds=60.0,
        )

    def _text(self, tokens: int) -> str:
        return self._rng.randbytes(tokens * BYTES_PER_TOKEN // 2).hex()


class _IgnoreLeavingTracker(UpstreamTracker):
    """Tracker that does not heed the signs of leaving."""

    def is_leaving(self, spec: UpstreamSpec) -> bool:
        """Return that no upstream leaves."""
        return False


class RandomScheduler(Scheduler):
    """Baseline: admits everything and chooses at random, also what is leaving."""

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        settings: RoutingSettings,
        routers_per_workspace: int = 3,
    ) -> None:
        super().__init__(blackboard, clock, rng, settings, routers_per_workspace)
        self.tracker = _IgnoreLeavingTracker(blackboard, clock, settings)

    async def admit(self, request: CallerRequest, tokens: int) -> Result[Permit, Failed]:
        """Admit at once."""
        return Success(Permit(request, tokens, self))

    def choose(
        self, request: CallerRequest, excluded: frozenset[UpstreamId] = frozenset()
    ) -> Result[UpstreamSpec, Failed]:
        """Choose at random among those that have the model loaded."""
        serving = [
            spec for spec in self.tracker.serving_upstreams(request) if spec.id not in excluded
        ]
        return (
            Success(self.pick(serving)) if serving else Failure(self._no_upstream_refusal(request))
        )

    def pick(self, serving: list[UpstreamSpec]) -> UpstreamSpec:
        """Choose one of several upstreams."""
        return self._rng.choice(serving)


class LeastReportedScheduler(RandomScheduler):
    """Baseline: admits everything and chooses the least load as reported."""

    def pick(self, serving: list[UpstreamSpec]) -> UpstreamSpec:
        """Choose the upstream with the fewest requests in its last report."""
        return min(serving, key=lambda spec: (self._reported(spec), self._rng.random()))

    def _reported(self, spec: UpstreamSpec) -> int:
        report = self.tracker.status(spec.id).report
        return report.running + report.waiting if report else 0


SCHEDULERS_BY_POLICY: dict[Policy, type[Scheduler]] = {
    Policy.RANDOM: RandomScheduler,
    Policy.LEAST_REPORTED: LeastReportedScheduler,
    Policy.OURS: Scheduler,
}
