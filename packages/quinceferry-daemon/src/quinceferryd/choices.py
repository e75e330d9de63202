"""Choice of an upstream for a request by prefix cache, load and zone."""

import random
from dataclasses import dataclass

from quinceferry_core.models import CallerRequest, Priority, UpstreamId, UpstreamSpec
from quinceferry_core.prefixes import prefix_hashes
from quinceferry_core.routing import Candidate, CostModel, rendezvous_order, sample_candidates
from quinceferryd.settings import RoutingSettings
from quinceferryd.tracking import UpstreamTracker
from quinceferryd.upstream_views import estimate_prompt_tokens

PREFERRED_UPSTREAMS_PER_PREFIX = 2
"""Upstreams preferred for a prompt prefix; all routers derive the same ones independently."""
BUSY_SLOT_SHARE = 0.6
"""Share of occupied slots from which the fleet counts as busy."""
MIN_FREE_SLOTS = 0.5
"""Free slots from which an upstream accepts a request; expected growth makes them fractional."""


@dataclass(slots=True, frozen=True)
class Availability:
    """Upstreams eligible for a request, and those of them that have a free slot for it.

    ``utilization`` is the share of all their slots that is occupied, from zero to one.
    """

    eligible: list[UpstreamSpec]
    with_free_slots: list[UpstreamSpec]
    utilization: float


class UpstreamChooser:
    """Compares sampled upstreams by the expected time to the first token.

    :param tracker: observed state of the upstreams.
    :param rng: random generator for the sampling.
    :param zone: availability zone of this router.
    """

    def __init__(
        self, tracker: UpstreamTracker, rng: random.Random, settings: RoutingSettings, zone: str
    ) -> None:
        self._tracker = tracker
        self._rng = rng
        self._settings = settings
        self._zone = zone
        self._costs = CostModel(
            settings.prefill_tokens_per_second, settings.other_zone_penalty_seconds
        )

    def choose(
        self, request: CallerRequest, excluded: frozenset[UpstreamId]
    ) -> UpstreamSpec | None:
        """Return the cheapest of the sampled upstreams, or None if none is eligible."""
        eligible = self._tracker.eligible_upstreams(request, excluded)
        hashes = prefix_hashes(request.target, request.prompt)
        preferred = self._preferred_upstreams(request, hashes, eligible)
        if self._tracker.is_long(request):
            eligible = self._with_cached_prefix(
                eligible, hashes
            ) or self._prefer_long_work_upstreams(eligible, eligible)
        return self._select_cheapest(request, hashes, preferred, eligible)

    def availability(self, request: CallerRequest) -> Availability:
        """Return the upstreams with free slots for requests of this target, priority and length."""
        eligible = self._tracker.eligible_upstreams(request)
        with_free_slots = [
            spec
            for spec in eligible
            if self._tracker.free_slots_for(request, spec.id) >= MIN_FREE_SLOTS
        ]
        loads = [self._tracker.load(spec.id) for spec in eligible]
        slots = sum(load.slots for load in loads)
        occupied = sum(min(load.slots, load.occupied) for load in loads)
        return Availability(eligible, with_free_slots, occupied / max(1, slots))

    def choose_with_free_slots(
        self,
        request: CallerRequest,
        hashes: tuple[int, ...],
        availability: Availability,
        *,
        allow_cache_miss: bool,
    ) -> UpstreamSpec | None:
        """Return an upstream with a free slot for a request, or None if the request should wait.

        :param hashes: prefix hashes of the prompt.
        :param availability: upstreams that are eligible for the request.
        :param allow_cache_miss: whether an upstream that does not cache the prefix is acceptable.
        """
        if not availability.with_free_slots:
            return None
        preferred = self._preferred_upstreams(request, hashes, availability.eligible)
        with_free_slots = availability.with_free_slots
        if self._tracker.is_long(request):
            with_free_slots = self._select_for_long_prompt(
                hashes, availability, allow_cache_miss=allow_cache_miss
            )
        if preferred and not allow_cache_miss:
            available_preferred = _available_preferred(preferred, availability)[:1]
            with_free_slots = [
                spec
                for spec in with_free_slots
                if self._caches_or_should_cache(spec, hashes, available_preferred)
            ]
        return self._select_cheapest(request, hashes, preferred, with_free_slots)

    def _select_for_long_prompt(
        self, hashes: tuple[int, ...], availability: Availability, *, allow_cache_miss: bool
    ) -> list[UpstreamSpec]:
        """Return the upstreams with a free slot for a long prompt.

        An upstream that caches the prefix, or is prefilling it, runs the prompt at little cost, so
        the request first waits for a slot there. Of the other upstreams only some accept long
        prompts, and only in a share of their slots.
        """
        cached = self._with_cached_prefix(availability.eligible, hashes)
        ids_with_free_slots = {spec.id for spec in availability.with_free_slots}
        cached_with_free_slots = [spec for spec in cached if spec.id in ids_with_free_slots]
        if cached_with_free_slots or (cached and not allow_cache_miss):
            return cached_with_free_slots
        accepting = [
            spec
            for spec in availability.with_free_slots
            if self._tracker.accepts_long_prompt(spec.id)
        ]
        return self._prefer_long_work_upstreams(accepting, availability.eligible)

    def _prefer_long_work_upstreams(
        self, accepting: list[UpstreamSpec], eligible: list[UpstreamSpec]
    ) -> list[UpstreamSpec]:
        """Return the accepting upstreams for long work, or else those that take its overflow."""
        for_long_work = self._tracker.long_work_upstreams(eligible)
        overflow = self._tracker.overflow_upstreams(eligible)
        preferred_for_long = [spec for spec in accepting if spec.id in for_long_work]
        return preferred_for_long or [spec for spec in accepting if spec.id in overflow]

    def _with_cached_prefix(
        self, specs: list[UpstreamSpec], hashes: tuple[int, ...]
    ) -> list[UpstreamSpec]:
        if not hashes:
            return []
        return [spec for spec in specs if self._tracker.has_cached_prefix(spec.id, hashes)]

    def _caches_or_should_cache(
        self, spec: UpstreamSpec, hashes: tuple[int, ...], preferred: list[UpstreamId]
    ) -> bool:
        """Return whether an upstream is estimated to cache the prefix, or is preferred for it."""
        return spec.id in preferred or self._tracker.has_cached_prefix(spec.id, hashes)

    def _select_cheapest(
        self,
        request: CallerRequest,
        hashes: tuple[int, ...],
        preferred: list[UpstreamId],
        specs: list[UpstreamSpec],
    ) -> UpstreamSpec | None:
        if not specs:
            return None
        tokens = estimate_prompt_tokens(request)
        candidates = [self._candidate(spec, hashes, tokens, preferred) for spec in specs]
        sampled = sample_candidates(
            candidates, preferred, self._settings.sampled_candidates, self._rng
        )
        urgent = request.priority is Priority.HIGH
        cheapest = min(
            sampled,
            key=lambda candidate: self._costs.cost_seconds(candidate, tokens, urgent=urgent),
        )
        return next(spec for spec in specs if spec.id == cheapest.upstream)

    def _candidate(
        self, spec: UpstreamSpec, hashes: tuple[int, ...], tokens: int, preferred: list[UpstreamId]
    ) -> Candidate:
        return Candidate(
            spec.id,
            self._tracker.load(spec.id),
            self._tracker.cached_tokens(spec.id, hashes, tokens),
            preferred.index(spec.id) if spec.id in preferred else len(preferred),
            spec.zone == self._zone,
            self._tracker.is_failing(spec.id),
        )

    def _preferred_upstreams(
        self, request: CallerRequest, hashes: tuple[int, ...], eligible: list[UpstreamSpec]
    ) -> list[UpstreamId]:
        """Return the upstreams that should cache a prompt's prefix, most preferred first."""
        if not hashes or not eligible or self._tracker.is_long(request):
            return []
        for_long_work = self._tracker.long_work_upstreams(eligible)
        other_ids = [spec.id for spec in eligible if spec.id not in for_long_work]
        ranked = rendezvous_order(str(hashes[0]), other_ids or [spec.id for spec in eligible])
        return ranked[:PREFERRED_UPSTREAMS_PER_PREFIX]


def _available_preferred(
    preferred: list[UpstreamId], availability: Availability
) -> list[UpstreamId]:
    """Return the preferred upstreams that may cache a prefix now, most preferred first.

    Preferred upstreams without a free slot are skipped only while the fleet is not busy. When it is
    busy, further copies of a prefix would evict other prefixes from the caches.
    """
    if availability.utilization >= BUSY_SLOT_SHARE:
        return preferred
    ids_with_free_slots = {spec.id for spec in availability.with_free_slots}
    return [upstream for upstream in preferred if upstream in ids_with_free_slots]
