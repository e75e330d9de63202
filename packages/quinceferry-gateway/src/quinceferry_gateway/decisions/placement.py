"""Placement of requests on upstreams.

Long prompts arrive in clusters, and each one delays the streams of the engine that prefills it. If
only the shared prefix decided, two or three of them would meet at one engine while other engines
are idle, and all streams there would pause for longer than their callers accept. An engine can
fetch a shared prefix from another one that caches it, which takes some milliseconds and no prefill,
so a prompt may be placed where it delays others least.

A few prompts are so long that prefilling one alone makes every stream of its engine pause too long.
These are placed where the fewest streams run.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass

from quinceferry_gateway.catalog import Call, Upstream
from quinceferry_gateway.decisions.cached_prefixes import hash_prefix
from quinceferry_gateway.decisions.upstream_states import UpstreamState, UpstreamStates
from quinceferry_gateway.rendezvous import rank_candidates

DEFAULT_MAX_PAUSE_SECONDS = 0.5
"""Longest acceptable pause if the configuration has none."""


@dataclass(slots=True, frozen=True)
class PlacementPolicy:
    """Weights of the placement costs, in seconds of waiting of the request that is placed.

    The shares of pauses refer to the longest pause between events that callers accept.
    """

    undelayed_pause_share: float = 0.5
    """A prefill backlog up to this share of the pause delays no stream too long; the tokens of one
    event take the rest."""
    delayed_pause_share: float = 1.0
    """A prefill backlog of at least this share of the pause delays every stream of the engine too
    long."""
    stream_delay_cost_seconds: float = 0.1
    """Cost of one stream that pauses too long."""
    cache_miss_cost_seconds: float = 0.05
    """Cost of an engine that does not cache the shared prefix: a fetch over the network, or the
    prefill of some thousand tokens if the fetch fails."""
    fetches_prefixes: bool = True
    """Whether an engine fetches a shared prefix from one that caches it."""
    other_zone_cost_seconds: float = 0.01
    """Cost of an engine in another availability zone, small so that it only breaks ties."""
    max_normal_slowdown: float = 1.5
    """Slowdown up to which an engine counts as healthy. Prompts of which no gateway was notified
    cause that much, and their cost would outweigh that of the zone."""
    slowdown_cost_seconds: float = 0.1
    """Cost per unit of slowdown above ``max_normal_slowdown``."""
    unranked_cost_seconds: float = 0.005
    """Cost, for a prefix that no engine caches, of any engine but the first of the prefix's
    ranking, where other gateways look for the prefix first."""
    max_ranked_candidates: int = 12
    """Engines considered for one prompt besides those that cache its prefix, taken from the start
    of a ranking that all gateways share. Considering a hundred takes 0.4 ms of processor time,
    twelve 0.2 ms."""
    overload_slot_share: float = 0.85
    """Share of slots in use beyond which an upstream counts as overloaded."""
    overload_cost_seconds: float = 1.0
    """Cost of an overloaded upstream, whose preempted streams pause for some hundred milliseconds.
    """


DEFAULT_POLICY = PlacementPolicy()


@dataclass(slots=True, frozen=True)
class Demand:
    """What a request requires of an engine.

    ``prefix_key`` identifies the part of the prompt that other requests are likely to share, empty
    for a request without a prompt. ``prefix_tokens`` and ``suffix_tokens`` are the tokens of that
    part and of the rest. ``max_pause_seconds`` is the longest acceptable pause between events of a
    stream.
    """

    prefix_key: str = ""
    prefix_tokens: int = 0
    suffix_tokens: int = 0
    max_pause_seconds: float = DEFAULT_MAX_PAUSE_SECONDS

    @classmethod
    def from_call(cls, call: Call, max_pause_seconds: float) -> "Demand":
        """Return what a call requires of an engine."""
        if not call.prompt_parts:
            return cls()
        # Only the last part is not shared with other requests, unless it is the only one.
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
    """Where a request is sent.

    ``uncached_tokens`` are those that the upstream must prefill. ``fetch_from`` is an engine that
    likely caches the shared prefix if the chosen one does not. ``backlog_seconds`` is the estimated
    prefill time of the prompts that the chosen engine received before, ``prefill_seconds`` that of
    this prompt.
    """

    upstream: Upstream
    uncached_tokens: int = 0
    fetch_from: Upstream | None = None
    backlog_seconds: float = 0.0
    prefill_seconds: float = 0.0


@dataclass(slots=True)
class _Candidates:
    """The usable upstreams for one prompt and what the choice among them depends on.

    ``ranked_ids`` are ordered by rendezvous hashing of the shared prefix. ``caching_by_id`` maps
    the engines that likely cache it to the time of the last send.
    """

    demand: Demand
    upstreams_by_id: dict[str, Upstream]
    ranked_ids: list[str]
    caching_by_id: dict[str, float]
    uncached_tokens: int
    prefill_seconds: float
    now: float


class Placer:
    """Chooses upstreams by their observed state.

    :param zone: availability zone of this gateway.
    :param tie_breaker: chooses among equally loaded upstreams for requests without a prompt.
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
        """Return where to send the next attempt of a request, None if no upstream is usable.

        :param candidates: upstreams of the service.
        :param excluded: identifiers of upstreams that the request has tried.
        """
        usable = self._filter_usable(candidates, excluded, now)
        if not usable:
            return None
        if not demand.prefix_key:
            return Placement(min(usable, key=lambda item: self._load_order(item, now)))
        return self._place_prompt(demand, usable, now)

    def _filter_usable(
        self, candidates: Collection[Upstream], excluded: Collection[str], now: float
    ) -> list[Upstream]:
        """Return the upstreams that may get the request; suspect ones only if there is no other."""
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
        """Return the placement of a prompt with the lowest cost."""
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
        """Return the candidates for a prompt."""
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
        """Return the cost of a prompt at an engine, in seconds of waiting of the request itself."""
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
        """Return whether an upstream has few free slots."""
        load = state.current_load(now)
        if load is None:
            return False
        return load.running + state.sent_since_load > self._policy.overload_slot_share * load.slots

    def _stream_delay_share(self, backlog_seconds: float, demand: Demand) -> float:
        """Return the share of an engine's streams that such a backlog makes pause too long."""
        undelayed_seconds = self._policy.undelayed_pause_share * demand.max_pause_seconds
        delayed_seconds = self._policy.delayed_pause_share * demand.max_pause_seconds
        return min(
            1.0,
            max(0.0, (backlog_seconds - undelayed_seconds) / (delayed_seconds - undelayed_seconds)),
        )

    def _load_order(self, upstream: Upstream, now: float) -> tuple[int, bool, float]:
        """Return a sort key that orders upstreams without prompts by load, lowest first."""
        running = self._upstream_states.get(upstream).estimated_running(now)
        return running, upstream.zone != self._zone, self._tie_breaker.random()


def _fetch_from(candidates: _Candidates, chosen: str) -> Upstream | None:
    """Return the engine that last received the shared prefix, None if the chosen one caches it."""
    if chosen in candidates.caching_by_id:
        return None
    if candidates.caching_by_id:
        return candidates.upstreams_by_id[
            max(
                candidates.caching_by_id,
                key=lambda upstream_id: candidates.caching_by_id[upstream_id],
            )
        ]
    # Gateways do not notify peers of short prompts, so a prefix that a peer sent is likely at the
    # first engine of the ranking.
    return (
        candidates.upstreams_by_id[candidates.ranked_ids[0]]
        if chosen != candidates.ranked_ids[0]
        else None
    )
