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
from quinceferry_gateway.decisions.beliefs import Belief, Beliefs
from quinceferry_gateway.decisions.kept_parts import key_of
from quinceferry_gateway.rendezvous import ranked

UNBOUNDED_PAUSE_SECONDS = 0.5
"""Accepted pause where the configuration names none."""


@dataclass(slots=True, frozen=True)
class PlacementPolicy:
    """What is weighed, and how much. Costs are in seconds of waiting of the request that is placed.

    The shares of pauses refer to the longest pause that callers accept.
    """

    harmless_share: float = 0.5
    """Reading in a row up to this share harms no stream: the tokens of one event take the rest."""
    harmful_share: float = 1.0
    """Reading in a row from this share on makes every stream of the engine late."""
    harm_seconds: float = 0.1
    """One stream that is held up too long. On the load of the tank book-keeping the model earns
    0.90 of the worth with it, 0.87 without; on that of the fleet underwriting as much either way.
    """
    away_seconds: float = 0.05
    """Leaving the engines that keep the shared parts: a fetch over the engines' links, or reading
    some thousand tokens again where it fails."""
    fetches: bool = True
    """Whether shared parts are fetched from an engine that keeps them."""
    far_seconds: float = 0.01
    """An engine of another zone, a tie-breaker: in a model of six engines in four zones, 0.47 of
    the requests cross zones instead of 0.74, and 0.01 less of the worth is earned."""
    sound_slowness: float = 1.5
    """How many times as long as expected first events may take at a sound engine; that much comes
    from prompts of which no gateway was told, and would outweigh the zone."""
    slow_seconds: float = 0.1
    """Each further time that first events take longer. With one engine of five slow for 7 of 24 s,
    0.91 of the worth is earned in the model, 0.90 without."""
    new_parts_seconds: float = 0.005
    """Reading new parts elsewhere than where other gateways look for them first."""
    most_considered: int = 12
    """Engines weighed for one prompt besides those that keep its parts; the first of an order that
    all gateways share. Weighing all of a hundred takes 0.4 ms of processor time, twelve 0.2 ms."""
    crowded_share: float = 0.85
    """Share of slots in use beyond which an upstream counts as crowded."""
    crowded_seconds: float = 1.0
    """A crowded upstream; preempted streams pause for some hundred milliseconds."""


DEFAULT_POLICY = PlacementPolicy()


@dataclass(slots=True, frozen=True)
class Demand:
    """What a request asks of an engine.

    ``shared_key`` names the parts of the prompt that other requests are likely to share, empty for
    a request without a prompt. ``pause_seconds`` is the longest pause that streams may make.
    """

    shared_key: str = ""
    shared_tokens: int = 0
    own_tokens: int = 0
    pause_seconds: float = UNBOUNDED_PAUSE_SECONDS

    @classmethod
    def of(cls, call: Call, pause_seconds: float) -> "Demand":
        """Return what a call asks of an engine."""
        if not call.prompt_parts:
            return cls()
        # The last part belongs to the request itself, unless it is the only one.
        shared = call.prompt_parts[:-1] or call.prompt_parts
        shared_tokens = min(sum(part.tokens for part in shared), call.prompt_tokens)
        return cls(
            shared_key=key_of([part.id for part in shared]),
            shared_tokens=shared_tokens,
            own_tokens=call.prompt_tokens - shared_tokens,
            pause_seconds=pause_seconds or UNBOUNDED_PAUSE_SECONDS,
        )


@dataclass(slots=True, frozen=True)
class Placement:
    """Where a request goes.

    ``unread_tokens`` are those that the upstream has to read; ``fetch_from`` is an engine that
    likely keeps the shared parts, when the chosen one does not; ``backlog_seconds`` is how long the
    chosen one is believed to read before, ``reading_seconds`` how long it reads this prompt.
    """

    upstream: Upstream
    unread_tokens: int = 0
    fetch_from: Upstream | None = None
    backlog_seconds: float = 0.0
    reading_seconds: float = 0.0


@dataclass(slots=True)
class _Search:
    """What the choice for one prompt depends on; ``order`` ranks upstreams by the shared parts."""

    demand: Demand
    by_id: dict[str, Upstream]
    order: list[str]
    keepers: dict[str, float]
    unread_tokens: int
    reading_seconds: float
    now: float


class Placer:
    """Chooses upstreams by what is believed of them.

    :param zone: availability zone of this gateway.
    :param source: breaks the ties that are left among upstreams without prompts.
    """

    def __init__(
        self,
        zone: str,
        beliefs: Beliefs,
        source: random.Random,
        policy: PlacementPolicy = DEFAULT_POLICY,
    ) -> None:
        self._policy = policy
        self._zone = zone
        self._beliefs = beliefs
        self._random = source

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
        if not demand.shared_key:
            return Placement(min(usable, key=lambda item: self._busyness(item, now)))
        return self._by_prompt(demand, usable, now)

    def _usable(
        self, candidates: Collection[Upstream], excluded: Collection[str], now: float
    ) -> list[Upstream]:
        """Return the upstreams that may take the request; suspects only when there is no other."""
        usable = [
            item
            for item in candidates
            if not item.draining
            and item.id not in excluded
            and not self._beliefs.is_leaving(item)
            and self._beliefs.of(item).misdirected_until <= now
            and self._beliefs.of(item).pause.blocked_until <= now
        ]
        sound = [item for item in usable if self._beliefs.of(item).suspect_until <= now]
        return sound or usable

    def _by_prompt(self, demand: Demand, usable: list[Upstream], now: float) -> Placement:
        """Return the engine where a prompt costs least."""
        search = self._search(demand, usable, now)
        considered = dict.fromkeys([*search.order[: self._policy.most_considered], *search.keepers])
        chosen = min(considered, key=lambda key: self._cost(search, key))
        upstream = search.by_id[chosen]
        return Placement(
            upstream,
            search.unread_tokens,
            fetch_from=_fetch_from(search, chosen) if self._policy.fetches else None,
            backlog_seconds=self._beliefs.of(upstream).reading.backlog_seconds(now),
            reading_seconds=search.reading_seconds,
        )

    def _search(self, demand: Demand, usable: list[Upstream], now: float) -> _Search:
        """Collect what the choice depends on."""
        by_id = {item.id: item for item in usable}
        known = self._beliefs.kept.keepers(demand.shared_key, now)
        keepers = {key: at for key, at in known.items() if key in by_id}
        unread = demand.own_tokens if keepers else demand.own_tokens + demand.shared_tokens
        rates = self._beliefs.rates(usable[0].service)
        order = ranked(demand.shared_key, by_id)
        return _Search(demand, by_id, order, keepers, unread, rates.seconds(unread), now)

    def _cost(self, search: _Search, key: str) -> float:
        """Return what a prompt costs at an engine, in seconds of its own waiting."""
        policy = self._policy
        belief = self._beliefs.of(search.by_id[key])
        wait = belief.reading.backlog_seconds(search.now)
        after = wait + search.reading_seconds
        more_harm = self._harm(after, search.demand) - self._harm(wait, search.demand)
        cost = wait + policy.harm_seconds * more_harm * belief.running(search.now)
        slowness = belief.slowness(search.now)
        cost += policy.slow_seconds * max(0.0, slowness - policy.sound_slowness)
        if search.by_id[key].zone != self._zone:
            cost += policy.far_seconds
        if search.keepers:
            cost += policy.away_seconds * (key not in search.keepers)
        else:
            cost += policy.new_parts_seconds * (key != search.order[0])
        if self._crowded(belief, search.now):
            cost += policy.crowded_seconds
        return cost

    def _crowded(self, belief: Belief, now: float) -> bool:
        """Tell whether an upstream has few slots left."""
        load = belief.current_load(now)
        if load is None:
            return False
        return load.running + belief.sent_since_load > self._policy.crowded_share * load.slots

    def _harm(self, backlog_seconds: float, demand: Demand) -> float:
        """Return how likely a stream pauses too long at an engine that reads for so long."""
        harmless = self._policy.harmless_share * demand.pause_seconds
        harmful = self._policy.harmful_share * demand.pause_seconds
        return min(1.0, max(0.0, (backlog_seconds - harmless) / (harmful - harmless)))

    def _busyness(self, upstream: Upstream, now: float) -> tuple[int, bool, float]:
        """Return a key that orders upstreams of a plain service, least busy first."""
        running = self._beliefs.of(upstream).running(now)
        return running, upstream.zone != self._zone, self._random.random()


def _fetch_from(search: _Search, chosen: str) -> Upstream | None:
    """Return the engine that kept the shared parts last, unless the chosen one has them."""
    if chosen in search.keepers:
        return None
    if search.keepers:
        return search.by_id[max(search.keepers, key=lambda key: search.keepers[key])]
    # Short prompts are not told to peers; what others sent lies where the order begins.
    return search.by_id[search.order[0]] if chosen != search.order[0] else None
