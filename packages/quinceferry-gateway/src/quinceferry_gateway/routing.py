"""Choice of an upstream: where the prompt was read before, unless others are much less loaded."""

import random
from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass

from quinceferry_core.clocks import Clock
from quinceferry_gateway.catalog import Call, Load, Upstream
from quinceferry_gateway.rendezvous import ranked

SUSPECT_SECONDS = 1.5
"""How long an upstream that failed is avoided; its entry in the store lapses after some 3.6 s."""
LOAD_VALID_SECONDS = 2.0
"""Age at which a load report says nothing any more."""
PREFILL_TOKENS_PER_SECOND = 40_000
"""Prompt tokens that an engine reads in a second; the engines in use read 39,300 and 41,400."""
PREFILL_VALID_SECONDS = 1.0
"""How long a sent prompt counts as work in progress at its upstream."""
MOVE_SECONDS = 0.3
"""How much longer the wait at the preferred upstream must be before a prompt is read anew at
another; reading a shared part of 4,000 tokens again takes 0.1 s there and delays all others."""
CROWDED_SHARE = 0.85
"""Share of slots in use beyond which an upstream counts as crowded."""


@dataclass(slots=True)
class UpstreamState:
    """What this gateway knows of one upstream's condition."""

    in_flight: int = 0
    load: Load | None = None
    load_at: float = 0.0
    sent_since_load: int = 0
    suspect_until: float = 0.0
    prefill_until: float = 0.0


class Router:
    """Chooses upstreams, from reports, its own sends and a stable order by prompt.

    :param zone: availability zone of this gateway; breaks ties.
    """

    def __init__(self, zone: str, clock: Clock, source: random.Random) -> None:
        self._zone = zone
        self._clock = clock
        self._random = source
        self._states_by_id: defaultdict[str, UpstreamState] = defaultdict(UpstreamState)

    def choose(
        self, call: Call, candidates: Collection[Upstream], excluded: Collection[str]
    ) -> Upstream | None:
        """Return the upstream for the next attempt of a request, or None if there is none.

        :param candidates: upstreams of the service.
        :param excluded: identifiers of upstreams that the request has tried.
        """
        usable = [item for item in candidates if not item.draining and item.id not in excluded]
        sound = [item for item in usable if not self._suspect(item.id)]
        usable = sound or usable
        if not usable:
            return None
        if call.prompt_parts:
            return self._by_prompt(call, usable)
        return min(usable, key=self._busyness)

    def sent(self, upstream_id: str, prompt_tokens: int) -> None:
        """Note that an attempt goes to an upstream."""
        state = self._states_by_id[upstream_id]
        state.in_flight += 1
        state.sent_since_load += 1
        now = self._clock.monotonic()
        work = prompt_tokens / PREFILL_TOKENS_PER_SECOND
        state.prefill_until = max(now, state.prefill_until) + work

    def ended(self, upstream_id: str) -> None:
        """Note that an attempt is over."""
        self._states_by_id[upstream_id].in_flight -= 1

    def reported(self, upstream_id: str, load: Load) -> None:
        """Take an upstream's report of its load."""
        state = self._states_by_id[upstream_id]
        state.load = load
        state.load_at = self._clock.monotonic()
        state.sent_since_load = 0

    def failed(self, upstream_id: str) -> None:
        """Avoid an upstream for a while."""
        self._states_by_id[upstream_id].suspect_until = self._clock.monotonic() + SUSPECT_SECONDS

    def forget(self, present: Collection[str]) -> None:
        """Drop what is known of upstreams that are gone."""
        for key in [key for key in self._states_by_id if key not in present]:
            if self._states_by_id[key].in_flight <= 0:
                del self._states_by_id[key]

    def _by_prompt(self, call: Call, usable: list[Upstream]) -> Upstream:
        """Return the upstream that likely keeps the shared parts, unless it is much busier."""
        by_id = {item.id: item for item in usable}
        first, *others = ranked(_shared_key(call), by_id)
        if not others:
            return by_id[first]
        wait = self._wait_seconds(by_id[first])
        best = min(others[:2], key=lambda key: self._wait_seconds(by_id[key]))
        if wait - self._wait_seconds(by_id[best]) > MOVE_SECONDS:
            return by_id[best]
        return by_id[first]

    def _wait_seconds(self, upstream: Upstream) -> float:
        """Estimate how long a new prompt waits at an upstream."""
        state = self._states_by_id[upstream.id]
        now = self._clock.monotonic()
        wait = max(0.0, state.prefill_until - now)
        if state.load is not None and now - state.load_at < LOAD_VALID_SECONDS:
            wait += 0.1 * state.load.waiting
            if state.load.running + state.sent_since_load > CROWDED_SHARE * state.load.slots:
                wait += 1.0
        return wait

    def _busyness(self, upstream: Upstream) -> tuple[float, bool, float]:
        """Return a key that orders upstreams of a plain service, least busy first."""
        state = self._states_by_id[upstream.id]
        busy = float(state.in_flight)
        if state.load is not None and self._clock.monotonic() - state.load_at < LOAD_VALID_SECONDS:
            reported = state.load.running + state.load.waiting + state.sent_since_load
            busy = max(busy, float(reported))
        return busy, upstream.zone != self._zone, self._random.random()

    def _suspect(self, upstream_id: str) -> bool:
        """Tell whether an upstream failed a short while ago."""
        return self._states_by_id[upstream_id].suspect_until > self._clock.monotonic()


def _shared_key(call: Call) -> str:
    """Return the parts of the prompt that other requests are likely to share.

    The last part belongs to the request itself, unless it is the only one.
    """
    parts = call.prompt_parts[:-1] or call.prompt_parts
    return ",".join(part.id for part in parts)
