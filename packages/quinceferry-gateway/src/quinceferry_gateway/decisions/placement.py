"""Where a request goes.

The load: long prompts arrive in clusters, and each one holds up the streams of the engine that
reads it. Placed by the shared parts of their prompts alone, two or three meet at one engine while
others read nothing, and all streams there pause for longer than their callers accept. Shared parts
can be fetched from the engine that keeps them, which costs some milliseconds and no reading, so
that a prompt may go wherever it does least harm.

A few prompts are so long that reading one alone makes every stream of its engine pause too long.
These go where the fewest streams run.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass

from quinceferry_gateway.catalog import Call, Upstream
from quinceferry_gateway.decisions.cached_prefixes import hash_prefix
from quinceferry_gateway.decisions.upstream_states import UpstreamState, UpstreamStates
from quinceferry_gateway.rendezvous import rank_candidates

DEFAULT_MAX_PAUSE_SECONDS = 0.5
"""Accepted pause where the configuration names none."""


@dataclass(slots=True, frozen=True)
class PlacementPolicy:
    """What is weighed, and how much. Costs are in seconds of waiting of the request that is placed.

    The shares of pauses refer to the longest pause that callers accept.
    """

    undelayed_pause_share: float = 0.5
    """Reading in a row up to this share harms no stream: the tokens of one event take the rest."""
    delayed_pause_share: float = 1.0
    """Reading in a row from this share on makes every stream of the engine late."""
    stream_delay_cost_seconds: float = 0.1
    """One stream that is held up too long. On the load of the tank book-keeping the model earns
    0.90 of the worth with it, 0.87 without; on that of the fleet underwriting as much either way.
    """
    cache_miss_cost_seconds: float = 0.05
    """Leaving the engines that keep the shared parts: a fetch over the engines' links, or reading
    some thousand tokens again where it fails."""
    fetches_prefixes: bool = True
    """Whether shared parts are fetched from an engine that keeps them."""
    other_zone_cost_seconds: float = 0.01
    """An engine of another zone, a tie-breaker: in a model of six engines in four zones, 0.47 of
    the requests cross zones instead of 0.74, and 0.01 less of the worth is earned."""
    max_normal_slowdown: float = 1.5
    """How many times as long as expected first events may take at a sound engine; that much comes
    from prompts of which no gateway was told, and would outweigh the zone."""
    slowdown_cost_seconds: float = 0.1
    """Each further time that first events take longer. With one engine of five slow for 7 of 24 s,
    0.91 of the worth is earned in the model, 0.90 without."""
    unranked_cost_seconds: float = 0.005
    """Reading new parts elsewhere than where other gateways look for them first."""
    max_ranked_candidates: int = 12
    """Engines weighed for one prompt besides those that keep its parts; the first of an order that
    all gateways share. Weighing all of a hundred takes 0.4 ms of processor time, twelve 0.2 ms."""
    overload_slot_share: float = 0.85
    """Share of slots in use beyond which an upstream counts as crowded."""
    overload_cost_seconds: float = 1.0
    """A crowded upstream; preempted streams pause for some hundred milliseconds."""


DEFAULT_POLICY = PlacementPolicy()


@dataclass(slots=True, frozen=True)
class Demand:
    """What a request asks of an engine.

    ``prefix_key`` names the parts of the prompt that other requests are likely to share, empty for
    a request without a prompt. ``max_pause_seconds`` is the longest pause that streams may make.
    """

    prefix_key: str = ""
    prefix_tokens: int = 0
    suffix_tokens: int = 0
    max_pause_seconds: float = DEFAULT_MAX_PAUSE_SECONDS

    @classmethod
    def from_call(cls, call: Call, max_pause_seconds: float) -> "Demand":
        """Return what a call asks of an engine."""
        if not call.prompt_parts:
            return cls()
        # The last part belongs to the request itself, unless it is the only one.
        shared = call.prompt_parts[:-1] or call.prompt_parts
        prefix_tokens = min(sum(part.tokens for part in shared), call.prompt_tokens)
        return cls(
            prefix_key=hash_prefix([part.id for part in shared]),
            prefix_tokens=prefix_tokens,
            suffix_tokens=call.prompt_tokens - prefix_tokens,
            max_pause_seconds=max_pause_seconds or DEFAULT_MAX_PAUSE_SECONDS,
        )


@dataclass(slots=True, frozen=True)
class Placement:
    """Where a request goes.

    ``uncached_tokens`` are those that the upstream has to read; ``fetch_from`` is an engine that
    likely keeps the shared parts, when the chosen one does not; ``backlog_seconds`` is how long the
    chosen one is believed to read before, ``prefill_seconds`` how long it reads this prompt.
    """

    upstream: Upstream
    uncached_tokens: int = 0
    fetch_from: Upstream | None = None
    backlog_seconds: float = 0.0
    prefill_seconds: float = 0.0


@dataclass(slots=True)
class _Candidates:
    """What the choice for one prompt depends on; ``ranked_ids`` are ordered by rendezvous hash."""

    demand: Demand
    upstreams_by_id: dict[str, Upstream]
    ranked_ids: list[str]
    caching_by_id: dict[str, float]
    uncached_tokens: int
    prefill_seconds: float
    now: float


class Placer:
    """Chooses upstreams by what is believed of them.

    :param zone: availability zone of this gateway.
    :param source: breaks the ties that are left among upstreams without prompts.
    """

    def __init__(
        self,
        zone: str,
        upstream_states: UpstreamStates,
        tie_breaker: random.Random,
        policy: PlacementPolicy = DEFAULT_POLICY,
    ) -> None:
        self._policy = policy
        self._zone = zone
        self._upstream_states = upstream_states
        self._tie_breaker = tie_breaker

    def place(
        self,
        demand: Demand,
        candidates: Collection[Upstream],
        excluded: Collection[str],
        now: float,
    ) -> Placement | None:
        """Return where the next attempt of a request goes, or None if nowhere.

        :param candidates: upstreams of the service.
        :param excluded: identifiers of upstreams that the request has tried.
        """
        usable = self._usable(candidates, excluded, now)
        if not usable:
            return None
        if not demand.prefix_key:
            return Placement(min(usable, key=lambda item: self._load_order(item, now)))
        return self._place_prompt(demand, usable, now)

    def _usable(
        self, candidates: Collection[Upstream], excluded: Collection[str], now: float
    ) -> list[Upstream]:
        """Return the upstreams that may take the request; suspects only when there is no other."""
        usable = [
            item
            for item in candidates
            if not item.draining
            and item.id not in excluded
            and not self._upstream_states.is_leaving(item)
            and self._upstream_states.get(item).misdirected_until <= now
            and self._upstream_states.get(item).pause.blocked_until <= now
        ]
        healthy = [item for item in usable if self._upstream_states.get(item).suspect_until <= now]
        return healthy or usable

    def _place_prompt(self, demand: Demand, usable: list[Upstream], now: float) -> Placement:
        """Return the engine where a prompt costs least."""
        candidates = self._collect_candidates(demand, usable, now)
        considered = dict.fromkeys(
            [
                *candidates.ranked_ids[: self._policy.max_ranked_candidates],
                *candidates.caching_by_id,
            ]
        )
        chosen = min(considered, key=lambda upstream_id: self._cost(candidates, upstream_id))
        upstream = candidates.upstreams_by_id[chosen]
        return Placement(
            upstream,
            candidates.uncached_tokens,
            fetch_from=(_fetch_from(candidates, chosen) if self._policy.fetches_prefixes else None),
            backlog_seconds=self._upstream_states.get(upstream).prefill_queue.backlog_seconds(now),
            prefill_seconds=candidates.prefill_seconds,
        )

    def _collect_candidates(
        self, demand: Demand, usable: list[Upstream], now: float
    ) -> _Candidates:
        """Collect what the choice depends on."""
        upstreams_by_id = {item.id: item for item in usable}
        caching = self._upstream_states.cached_prefixes.caching_upstreams(demand.prefix_key, now)
        caching_by_id = {
            upstream_id: at for upstream_id, at in caching.items() if upstream_id in upstreams_by_id
        }
        uncached = (
            demand.suffix_tokens if caching_by_id else demand.suffix_tokens + demand.prefix_tokens
        )
        prefill_times = self._upstream_states.prefill_times(usable[0].service)
        ranked_ids = rank_candidates(demand.prefix_key, upstreams_by_id)
        return _Candidates(
            demand,
            upstreams_by_id,
            ranked_ids,
            caching_by_id,
            uncached,
            prefill_times.estimate_seconds(uncached),
            now,
        )

    def _cost(self, candidates: _Candidates, upstream_id: str) -> float:
        """Return what a prompt costs at an engine, in seconds of its own waiting."""
        policy = self._policy
        state = self._upstream_states.get(candidates.upstreams_by_id[upstream_id])
        wait = state.prefill_queue.backlog_seconds(candidates.now)
        wait_after = wait + candidates.prefill_seconds
        added_delay_share = self._stream_delay_share(
            wait_after, candidates.demand
        ) - self._stream_delay_share(wait, candidates.demand)
        cost = (
            wait
            + policy.stream_delay_cost_seconds
            * added_delay_share
            * state.estimated_running(candidates.now)
        )
        slowdown = state.slowdown(candidates.now)
        cost += policy.slowdown_cost_seconds * max(0.0, slowdown - policy.max_normal_slowdown)
        if candidates.upstreams_by_id[upstream_id].zone != self._zone:
            cost += policy.other_zone_cost_seconds
        if candidates.caching_by_id:
            cost += policy.cache_miss_cost_seconds * (upstream_id not in candidates.caching_by_id)
        else:
            cost += policy.unranked_cost_seconds * (upstream_id != candidates.ranked_ids[0])
        if self._is_overloaded(state, candidates.now):
            cost += policy.overload_cost_seconds
        return cost

    def _is_overloaded(self, state: UpstreamState, now: float) -> bool:
        """Tell whether an upstream has few slots left."""
        load = state.current_load(now)
        if load is None:
            return False
        return load.running + state.sent_since_load > self._policy.overload_slot_share * load.slots

    def _stream_delay_share(self, backlog_seconds: float, demand: Demand) -> float:
        """Return how likely a stream pauses too long at an engine that reads for so long."""
        undelayed_seconds = self._policy.undelayed_pause_share * demand.max_pause_seconds
        delayed_seconds = self._policy.delayed_pause_share * demand.max_pause_seconds
        return min(
            1.0,
            max(0.0, (backlog_seconds - undelayed_seconds) / (delayed_seconds - undelayed_seconds)),
        )

    def _load_order(self, upstream: Upstream, now: float) -> tuple[int, bool, float]:
        """Return a key that orders upstreams of a plain service, least busy first."""
        running = self._upstream_states.get(upstream).estimated_running(now)
        return running, upstream.zone != self._zone, self._tie_breaker.random()


def _fetch_from(candidates: _Candidates, chosen: str) -> Upstream | None:
    """Return the engine that kept the shared parts last, unless the chosen one has them."""
    if chosen in candidates.caching_by_id:
        return None
    if candidates.caching_by_id:
        return candidates.upstreams_by_id[
            max(
                candidates.caching_by_id,
                key=lambda upstream_id: candidates.caching_by_id[upstream_id],
            )
        ]
    # Short prompts are not told to peers; what others sent lies where the order begins.
    return (
        candidates.upstreams_by_id[candidates.ranked_ids[0]]
        if chosen != candidates.ranked_ids[0]
        else None
    )
