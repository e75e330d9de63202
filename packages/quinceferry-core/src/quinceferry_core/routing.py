"""Selection of an upstream from lagging load reports, own requests and estimated cache content.

All functions are pure. :class:`InFlightTracker` keeps the requests that this router sent.
"""

import hashlib
import math
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import lru_cache

from quinceferry_core.adapters import LoadReport
from quinceferry_core.journals import RequestKey
from quinceferry_core.models import ModelRef, UpstreamId

ENDED_RETENTION_SECONDS = 10.0
"""How long ended requests are kept, for comparison with late reports."""
MAX_YIELDED_SHARE = 0.25
"""Fraction of the slots that a router above its equal share leaves to the others."""
LOAD_UNCERTAINTY = 0.1
"""Fraction of the slots that others may have taken since the report."""
MAX_CACHED_RANKINGS = 1024
"""Number of cached rankings of upstreams, which waiting requests need repeatedly."""
GROWTH_SMOOTHING = 0.3
"""Weight of the latest report in the smoothed growth of the other routers' load."""


@dataclass(slots=True)
class SentRequest:
    """A request that this router sent; times are in seconds of the monotonic clock.

    ``prefill_tokens`` are the prompt tokens not expected in the engine's cache; ``sent_at`` is
    infinite until the request is sent.
    """

    prefill_tokens: int
    sent_at: float
    first_token_at: float | None = None
    ended_at: float | None = None

    def in_flight_at(self, instant: float) -> bool:
        """Return whether the request was at the upstream at that time."""
        return self.sent_at <= instant and (self.ended_at is None or self.ended_at > instant)

    def prefilling_at(self, instant: float) -> bool:
        """Return whether the request was waiting for its first token at that time."""
        started = self.first_token_at is not None and self.first_token_at <= instant
        return self.in_flight_at(instant) and not started


@dataclass(slots=True)
class InFlightTracker:
    """Requests of this router at one upstream, now and at the time of a late report."""

    in_flight_by_key: dict[RequestKey, SentRequest] = field(default_factory=dict)
    _recently_ended: deque[SentRequest] = field(default_factory=deque)

    def record_placement(self, key: RequestKey, prefill_tokens: int) -> None:
        """Record a request that will be sent; it occupies a slot from now on."""
        self.in_flight_by_key[key] = SentRequest(prefill_tokens, math.inf)

    def record_sent(self, key: RequestKey, now: float) -> None:
        """Record that a placed request was sent; load reports may include it from now on."""
        request = self.in_flight_by_key.get(key)
        if request is not None:
            request.sent_at = now

    def record_first_token(self, key: RequestKey, now: float) -> None:
        """Record the first token of an answer; later tokens have no effect."""
        request = self.in_flight_by_key.get(key)
        if request is not None and request.first_token_at is None:
            request.first_token_at = now

    def record_end(self, key: RequestKey, now: float) -> None:
        """Record that a request is no longer at the upstream."""
        request = self.in_flight_by_key.pop(key, None)
        if request is None:
            return
        request.ended_at = now
        self._recently_ended.append(request)
        while (
            self._recently_ended
            and now - (self._recently_ended[0].ended_at or now) > ENDED_RETENTION_SECONDS
        ):
            self._recently_ended.popleft()

    def in_flight(self) -> int:
        """Return the number of requests at the upstream."""
        return len(self.in_flight_by_key)

    def in_flight_at(self, instant: float) -> int:
        """Return the number of requests at the upstream at an earlier time."""
        return sum(request.in_flight_at(instant) for request in self._all_requests())

    def prefill_tokens(self) -> int:
        """Return the uncached prompt tokens of the requests without a first token."""
        waiting = (r for r in self.in_flight_by_key.values() if r.first_token_at is None)
        return sum(request.prefill_tokens for request in waiting)

    def prefill_tokens_at(self, instant: float) -> int:
        """Return the uncached prompt tokens without a first token at an earlier time."""
        return sum(r.prefill_tokens for r in self._all_requests() if r.prefilling_at(instant))

    def _all_requests(self) -> list[SentRequest]:
        return [*self.in_flight_by_key.values(), *self._recently_ended]


@dataclass(slots=True, frozen=True)
class CorrectedLoad:
    """Estimate of an upstream's current load.

    ``others`` and ``others_tokens`` are the requests and tokens of other routers in the report.
    """

    slots: int
    occupied: int
    queued_tokens: int
    others: int = 0
    others_tokens: int = 0


def correct_load(
    report: LoadReport | None,
    sampled_at: float,
    now: float,
    tracker: InFlightTracker,
    *,
    routers: int,
    prefill_rate: float,
    default_slots: int,
) -> CorrectedLoad:
    """Correct a late report by the requests that this router has sent and that ended since.

    A report of less than half of this router's own requests is wrong. All routers are then assumed
    to have sent as much as this one.

    :param sampled_at: when the engine sampled its load, in seconds of the monotonic clock.
    :param routers: number of live routers, including this one.
    :param prefill_rate: prompt tokens that the engine prefills per second.
    :param default_slots: number of slots of an upstream that reports none.
    """
    own_now = tracker.in_flight()
    own_tokens_now = tracker.prefill_tokens()
    if report is None:
        return CorrectedLoad(default_slots, own_now, own_tokens_now)
    own_at_sample = tracker.in_flight_at(sampled_at)
    reported = report.running + report.waiting
    slots = max(1, report.running + report.free_slots) if _has_slots(report) else default_slots
    if reported < own_at_sample // 2:
        return CorrectedLoad(slots, own_now * routers, own_tokens_now * routers)
    others = max(0, reported - own_at_sample)
    drained = prefill_rate * max(0.0, now - sampled_at)
    others_tokens = max(0, report.queued_tokens - tracker.prefill_tokens_at(sampled_at))
    others_tokens_now = int(max(0.0, others_tokens - drained))
    return CorrectedLoad(
        slots, others + own_now, others_tokens_now + own_tokens_now, others, others_tokens_now
    )


def smoothed_growth(previous: float, before: int, after: int, elapsed: float) -> float:
    """Return the smoothed growth of other routers' requests at an upstream, in requests per second.

    A decrease counts as no growth, since any router may take the freed slots.
    """
    latest = max(0.0, (after - before) / elapsed) if elapsed > 0 else 0.0
    return previous + GROWTH_SMOOTHING * (latest - previous)


def available_slots(
    load: CorrectedLoad,
    usable_slots: float,
    own_requests: int,
    routers: int,
    growth_since_report: float,
) -> float:
    """Return how many more requests this router may send to an upstream.

    These are the free slots minus those that others are expected to have taken since the report. A
    router above its equal share leaves some of them to others. A router below its equal share may
    use the rest of it in any case, so that it does not starve behind faster routers.

    :param usable_slots: slots that the request's class may fill, more or fewer than there are.
    :param own_requests: number of this router's requests at the upstream.
    :param growth_since_report: requests that others are expected to have added.
    """
    free = usable_slots - load.occupied - growth_since_report
    unused_share = usable_slots / max(1, routers) - own_requests
    if unused_share <= 0:
        return free - MAX_YIELDED_SHARE * load.slots * (routers > 1)
    return max(free, unused_share)


@dataclass(slots=True, frozen=True)
class Candidate:
    """An upstream that can run the request, with the inputs of its cost."""

    upstream: UpstreamId
    load: CorrectedLoad
    cached_tokens: int = 0
    home_rank: int = 0
    same_zone: bool = True
    failing: bool = False


@dataclass(slots=True, frozen=True)
class CostModel:
    """Estimates the cost of a candidate as the expected time to the first token, in seconds."""

    prefill_rate: float
    other_zone_penalty_seconds: float
    slot_wait_seconds: float = 0.35
    batch_delay_weight: float = 3.0
    urgent_batch_delay_weight: float = 0.0
    home_rank_penalty_seconds: float = 0.1
    failing_penalty_seconds: float = 10.0

    def cost_seconds(
        self, candidate: Candidate, prompt_tokens: int, *, urgent: bool = False
    ) -> float:
        """Return the expected seconds to the first token, including the delay caused to others.

        :param urgent: whether the request's own wait outweighs the delay of others' tokens.
        """
        load = candidate.load
        uncached = max(1, prompt_tokens - candidate.cached_tokens)
        seconds = load.queued_tokens / self.prefill_rate
        busy = min(1.0, load.occupied / load.slots)
        weight = self.urgent_batch_delay_weight if urgent else self.batch_delay_weight
        seconds += uncached / self.prefill_rate * (1.0 + weight * busy)
        if not candidate.cached_tokens:
            seconds += self.home_rank_penalty_seconds * candidate.home_rank
        seconds += self.slot_wait_seconds * expected_waiting_requests(load)
        if not candidate.same_zone:
            seconds += self.other_zone_penalty_seconds
        if candidate.failing:
            seconds += self.failing_penalty_seconds
        return seconds


def expected_waiting_requests(load: CorrectedLoad) -> float:
    """Return how many requests, including one more, are expected to wait for a slot.

    Requests that others sent since the report are unknown, so that the expected number rises before
    all slots are occupied.
    """
    margin = LOAD_UNCERTAINTY * load.slots
    return max(0.0, load.occupied + 1 + margin - load.slots) / (1.0 + margin)


def sample_candidates(
    candidates: Sequence[Candidate],
    home_order: Sequence[UpstreamId],
    count: int,
    rng: random.Random,
) -> list[Candidate]:
    """Sample the candidates to compare: random ones, the best cached one and the prefix's homes.

    Random samples prevent routers that read the same report from all choosing the same upstream.
    The homes of a prefix are the same on every router, so that all routers find where it is cached
    without communication.

    :param home_order: the first upstreams in the ranking of the prefix.
    :param count: number of random candidates.
    """
    chosen = {c.upstream: c for c in rng.sample(list(candidates), min(count, len(candidates)))}
    best_cached = max(candidates, key=lambda candidate: candidate.cached_tokens)
    if best_cached.cached_tokens:
        chosen[best_cached.upstream] = best_cached
    for candidate in candidates:
        if candidate.upstream in home_order:
            chosen[candidate.upstream] = candidate
    return list(chosen.values())


def rendezvous_order(key: str, upstreams: Sequence[UpstreamId]) -> list[UpstreamId]:
    """Rank upstreams by rendezvous hashing with a key.

    The order is the same on every router and stable when upstreams are added or removed.
    """
    return list(_rendezvous_order(key, tuple(upstreams)))


def model_is_loaded(wanted: ModelRef, loaded: Sequence[ModelRef]) -> bool:
    """Return whether a loaded model serves the wanted one; without a version, any matches."""
    return any(
        loaded_model.model == wanted.model
        and loaded_model.adapter == wanted.adapter
        and (not wanted.version or loaded_model.version == wanted.version)
        for loaded_model in loaded
    )


def _has_slots(report: LoadReport) -> bool:
    return report.running + report.free_slots > 0


@lru_cache(maxsize=MAX_CACHED_RANKINGS)
def _rendezvous_order(key: str, upstreams: tuple[UpstreamId, ...]) -> tuple[UpstreamId, ...]:
    return tuple(sorted(upstreams, key=lambda upstream: _rank_hash(key, upstream)))


def _rank_hash(key: str, upstream: UpstreamId) -> bytes:
    return hashlib.blake2b(f"{key}\0{upstream}".encode(), digest_size=8).digest()
