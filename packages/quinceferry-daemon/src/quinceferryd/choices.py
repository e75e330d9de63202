"""Choice of one upstream for a request."""

import random
from dataclasses import dataclass

from quinceferry_core.models import CallerRequest, Priority, UpstreamId, UpstreamSpec
from quinceferry_core.prefixes import prefix_hashes
from quinceferry_core.routing import Candidate, CostModel, rendezvous_order, sample_candidates
from quinceferryd.settings import RoutingSettings
from quinceferryd.tracking import UpstreamTracker
from quinceferryd.upstream_views import prompt_tokens

HOMES_PER_PREFIX = 2
"""Upstreams on which routers that never met agree for one prompt prefix."""
BUSY_SHARE = 0.6
"""Part of all slots from which on the fleet counts as busy."""
MIN_ROOM = 0.5
"""Room that counts as one free place; expected growth makes it a fraction."""


@dataclass(slots=True, frozen=True)
class Openings:
    """Upstreams that may get a request, and those of them that have room for it.

    ``busy`` is the part of all their slots that is taken, from zero to one.
    """

    eligible: list[UpstreamSpec]
    roomy: list[UpstreamSpec]
    busy: float


class UpstreamChooser:
    """Compares sampled upstreams by the expected time to the first token.

    :param tracker: what is known of the upstreams.
    :param rng: source of the samples.
    :param zone: this router's availability zone.
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
        """Return the cheapest of the sampled upstreams, or None if none may get the request."""
        eligible = self._tracker.eligible(request, excluded)
        hashes = prefix_hashes(request.target, request.prompt)
        homes = self._homes(request, hashes, eligible)
        if self._tracker.is_long(request):
            eligible = self._held(eligible, hashes) or self._first_for_long(eligible, eligible)
        return self._cheapest(request, hashes, homes, eligible)

    def openings(self, request: CallerRequest) -> Openings:
        """Return the upstreams that have room for requests of this target, class and length."""
        eligible = self._tracker.eligible(request)
        roomy = [s for s in eligible if self._tracker.room_for(request, s.id) >= MIN_ROOM]
        loads = [self._tracker.load(spec.id) for spec in eligible]
        slots = sum(load.slots for load in loads)
        taken = sum(min(load.slots, load.occupied) for load in loads)
        return Openings(eligible, roomy, taken / max(1, slots))

    def place(
        self,
        request: CallerRequest,
        hashes: tuple[int, ...],
        openings: Openings,
        *,
        anywhere: bool,
    ) -> UpstreamSpec | None:
        """Return an upstream with room for a request, or None if it should wait.

        :param hashes: the prompt's prefix hashes.
        :param anywhere: whether an upstream that does not hold the prefix will do.
        """
        if not openings.roomy:
            return None
        homes = self._homes(request, hashes, openings.eligible)
        roomy = openings.roomy
        if self._tracker.is_long(request):
            roomy = self._roomy_for_long(hashes, openings, anywhere=anywhere)
        if homes and not anywhere:
            homes_now = _open_homes(homes, openings)[:1]
            roomy = [spec for spec in roomy if self._holds_prefix(spec, hashes, homes_now)]
        return self._cheapest(request, hashes, homes, roomy)

    def _roomy_for_long(
        self, hashes: tuple[int, ...], openings: Openings, *, anywhere: bool
    ) -> list[UpstreamSpec]:
        """Return the upstreams with room for a long prompt.

        Where its prefix is cached, or is being computed, it costs little; so it waits a while for
        room there. Elsewhere it fills only a part of the slots of a part of the upstreams.
        """
        held = self._held(openings.eligible, hashes)
        roomy_ids = {spec.id for spec in openings.roomy}
        roomy_held = [spec for spec in held if spec.id in roomy_ids]
        if roomy_held or (held and not anywhere):
            return roomy_held
        takers = [spec for spec in openings.roomy if self._tracker.takes_long(spec.id)]
        return self._first_for_long(takers, openings.eligible)

    def _first_for_long(
        self, takers: list[UpstreamSpec], eligible: list[UpstreamSpec]
    ) -> list[UpstreamSpec]:
        """Return those upstreams for long work that have room, or else those it spills to."""
        for_long_work = self._tracker.long_work_upstreams(eligible)
        spill = self._tracker.spill_upstreams(eligible)
        first = [spec for spec in takers if spec.id in for_long_work]
        return first or [spec for spec in takers if spec.id in spill]

    def _held(self, specs: list[UpstreamSpec], hashes: tuple[int, ...]) -> list[UpstreamSpec]:
        if not hashes:
            return []
        return [spec for spec in specs if self._tracker.holds_prefix(spec.id, hashes)]

    def _holds_prefix(
        self, spec: UpstreamSpec, hashes: tuple[int, ...], homes: list[UpstreamId]
    ) -> bool:
        """Return whether a prompt's prefix is believed to be there, or should come to be there."""
        return spec.id in homes or self._tracker.holds_prefix(spec.id, hashes)

    def _cheapest(
        self,
        request: CallerRequest,
        hashes: tuple[int, ...],
        homes: list[UpstreamId],
        specs: list[UpstreamSpec],
    ) -> UpstreamSpec | None:
        if not specs:
            return None
        tokens = prompt_tokens(request)
        candidates = [self._candidate(spec, hashes, tokens, homes) for spec in specs]
        sampled = sample_candidates(candidates, homes, self._settings.sampled_candidates, self._rng)
        urgent = request.priority is Priority.HIGH
        best = min(sampled, key=lambda each: self._costs.cost(each, tokens, urgent=urgent))
        return next(spec for spec in specs if spec.id == best.upstream)

    def _candidate(
        self, spec: UpstreamSpec, hashes: tuple[int, ...], tokens: int, homes: list[UpstreamId]
    ) -> Candidate:
        return Candidate(
            spec.id,
            self._tracker.load(spec.id),
            self._tracker.cached_tokens(spec.id, hashes, tokens),
            homes.index(spec.id) if spec.id in homes else len(homes),
            spec.zone == self._zone,
            self._tracker.is_failing(spec.id),
        )

    def _homes(
        self, request: CallerRequest, hashes: tuple[int, ...], eligible: list[UpstreamSpec]
    ) -> list[UpstreamId]:
        """Return the upstreams that should cache a prompt, the first one first."""
        if not hashes or not eligible or self._tracker.is_long(request):
            return []
        for_long_work = self._tracker.long_work_upstreams(eligible)
        others = [spec.id for spec in eligible if spec.id not in for_long_work]
        ranked = rendezvous_order(str(hashes[0]), others or [spec.id for spec in eligible])
        return ranked[:HOMES_PER_PREFIX]


def _open_homes(homes: list[UpstreamId], openings: Openings) -> list[UpstreamId]:
    """Return the homes that a prefix may be copied to now, the first one first.

    While much capacity is idle a full home is passed over; else copies would only crowd the caches.
    """
    if openings.busy >= BUSY_SHARE:
        return homes
    roomy = {spec.id for spec in openings.roomy}
    return [home for home in homes if home in roomy]
