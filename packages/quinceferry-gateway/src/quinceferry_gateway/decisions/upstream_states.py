"""What a gateway believes of each upstream, from its own attempts, reports and peers.

The load: an upstream that dies stays in the list for as long as the store is away, and its address
may soon answer for another one. Every gateway finds out by itself, request by request, so that what
an attempt showed must last until something newer contradicts it.
"""

import math
from collections import defaultdict
from collections.abc import Collection

from quinceferry_core.quarantine import RunStage
from quinceferry_gateway.catalog import Load, Upstream
from quinceferry_gateway.decisions.cached_prefixes import CachedPrefixes
from quinceferry_gateway.decisions.pauses import RequestPause
from quinceferry_gateway.decisions.prefill import PrefillQueue, PrefillTimes
from quinceferry_gateway.decisions.rate_limits import RateLimit

FIRST_SUSPECT_SECONDS = 1.5
"""How long an upstream is avoided after a first failure; its entry lapses after some 3.6 s."""
MAX_SUSPECT_SECONDS = 12.0
"""Longest time that it is avoided after failures in a row, each of which doubles the time: a dead
one costs each gateway four attempts in an outage of 15 s instead of ten."""
MISDIRECTED_SECONDS = 10.0
"""How long an upstream is left out whose address answered for another one; outages of the store, in
which its entry can't lapse, last about as long. It refused 8% of one kind's requests before."""
MAX_LOAD_AGE_SECONDS = 2.0
"""Age at which a load report says nothing any more."""
SLOWDOWN_DECAY_SECONDS = 6.0
"""Time in which a belief that an upstream is slow fades; slow spells last for some seconds, and one
that is avoided shows nothing new."""
SLOWDOWN_SAMPLE_WEIGHT = 0.3
"""How far one first event moves the belief; three late ones make it half of what they show."""
MAX_SLOWDOWN = 8.0
"""Largest factor that one first event may show; beyond it lies silence, not slowness."""
MAX_LEAVING_LIFETIMES = 1_024
"""Largest number of leaving lifetimes kept; the oldest is evicted first."""
MAX_IDLE_BACKLOG_SECONDS = 0.02
"""Backlog up to which a first event shows how long reading takes; a few short prompts."""


class UpstreamState:
    """What is known of one lifetime of an upstream. Times are those of the steady clock.

    ``notified_rate`` is the rate limit that this gateway last sent to its peers or received from
    one, and ``notified_at`` is when it last sent one. ``no_permit_until`` is the earliest time at
    which to request an immediate permit, and ``next_permit_at`` is when the next permit becomes
    valid for a request that waits for it.
    """

    __slots__ = (
        "failures",
        "in_flight",
        "load",
        "load_at",
        "malformed_headers",
        "misdirected_until",
        "next_permit_at",
        "no_permit_until",
        "notified_at",
        "notified_rate",
        "pause",
        "rate_limit",
        "prefill_queue",
        "sent_since_load",
        "slowdown_at",
        "slowdown_sample",
        "started_at",
        "suspect_until",
    )

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.in_flight = 0
        self.load: Load | None = None
        self.load_at = 0.0
        self.sent_since_load = 0
        self.failures = 0
        self.suspect_until = 0.0
        self.misdirected_until = 0.0
        self.rate_limit = RateLimit()
        self.next_permit_at = 0.0
        self.no_permit_until = 0.0
        self.pause = RequestPause()
        self.notified_rate: float | None = None
        self.notified_at = float("-inf")
        self.malformed_headers: tuple[str, ...] = ()
        self.prefill_queue = PrefillQueue()
        self.slowdown_sample = 1.0
        self.slowdown_at = 0.0

    def slowdown(self, now: float) -> float:
        """Return how many times as long as expected first events take."""
        fading = math.exp((self.slowdown_at - now) / SLOWDOWN_DECAY_SECONDS)
        return 1.0 + (self.slowdown_sample - 1.0) * fading

    def record_first_event_time(self, seconds: float, expected: float, now: float) -> None:
        """Note how long a first event took, and how long it should have."""
        shown = min(MAX_SLOWDOWN, max(1.0, seconds / expected))
        state = self.slowdown(now)
        self.slowdown_sample = state + SLOWDOWN_SAMPLE_WEIGHT * (shown - state)
        self.slowdown_at = now

    def current_load(self, now: float) -> Load | None:
        """Return the last report, unless it is too old."""
        valid = self.load is not None and now - self.load_at < MAX_LOAD_AGE_SECONDS
        return self.load if valid else None

    def estimated_running(self, now: float) -> int:
        """Return how many requests the upstream works on, as far as known."""
        load = self.current_load(now)
        if load is None:
            return self.in_flight
        return max(self.in_flight, load.running + load.waiting + self.sent_since_load)


class Attempt:
    """One request at an upstream, from its sending to its end.

    ``uncached_tokens`` are the prompt tokens that the upstream has to read, as far as known;
    ``stage`` is how far the request is known to have come there.
    """

    __slots__ = (
        "_sent_to_idle_engine",
        "_belief",
        "_expected_seconds",
        "_prefill_number",
        "_prefill_times",
        "_sent_at",
        "stage",
        "uncached_tokens",
    )

    def __init__(
        self, state: UpstreamState, prefill_times: PrefillTimes, tokens: int, now: float
    ) -> None:
        self._belief = state
        self._prefill_times = prefill_times
        self.uncached_tokens = tokens
        self.stage = RunStage.SENT
        self._sent_at = now
        backlog, prefill = state.prefill_queue.backlog_seconds(now), prefill_times.estimate_seconds(
            tokens
        )
        self._sent_to_idle_engine = backlog < MAX_IDLE_BACKLOG_SECONDS
        self._expected_seconds = prefill_times.base_seconds + backlog + prefill
        self._prefill_number = state.prefill_queue.add(now, prefill) if tokens else 0
        state.pause.request_sent(now)
        state.in_flight += 1
        state.sent_since_load += 1

    def record_accepted(self) -> None:
        """Note that the upstream works on the request."""
        self.stage = RunStage.BEGUN

    def record_first_event(self, now: float) -> None:
        """Note the first event: the prompt was read."""
        self.stage = RunStage.PRODUCING
        if not self._prefill_number:
            return
        seconds = now - self._sent_at
        if self._prefill_times.base_seconds:
            self._belief.record_first_event_time(seconds, self._expected_seconds, now)
        if self._sent_to_idle_engine:
            self._prefill_times.record_sample(self.uncached_tokens, seconds)
        self._belief.prefill_queue.record_finished(self._prefill_number, now)
        self._prefill_number = 0

    def record_load(self, load: Load, now: float) -> None:
        """Take the report of load that came with the answer."""
        self._belief.load = load
        self._belief.load_at = now
        self._belief.sent_since_load = 0

    def record_success(self) -> None:
        """Note a genuine answer: the upstream is sound."""
        self._belief.failures = 0
        self._belief.suspect_until = 0.0

    def record_failure(self, now: float) -> None:
        """Note that the connection failed, and avoid the upstream for a while."""
        state = self._belief
        if now < state.suspect_until:
            # Requests under way together fail together; only the first of them counts.
            return
        seconds = min(MAX_SUSPECT_SECONDS, FIRST_SUSPECT_SECONDS * 2**state.failures)
        state.failures += 1
        state.suspect_until = now + seconds

    def record_misdirected(self, now: float) -> None:
        """Note that another upstream answered at the address."""
        self._belief.misdirected_until = now + MISDIRECTED_SECONDS

    def finish(self, now: float) -> None:
        """Note that the attempt is over."""
        self._belief.in_flight -= 1
        if self._prefill_number:
            self._belief.prefill_queue.record_finished(self._prefill_number, now)


class UpstreamStates:
    """What is known of all upstreams, and of the engines of each service.

    ``rate_limited_ids`` holds the ids of upstreams that may have a rate limit in force.
    """

    __slots__ = (
        "_by_id",
        "_leaving_lifetimes",
        "_prefill_times_by_service",
        "cached_prefixes",
        "rate_limited_ids",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, UpstreamState] = {}
        self._prefill_times_by_service: defaultdict[str, PrefillTimes] = defaultdict(PrefillTimes)
        self.cached_prefixes = CachedPrefixes()
        self.rate_limited_ids: set[str] = set()
        self._leaving_lifetimes: dict[tuple[str, float], None] = {}

    def get(self, upstream: Upstream) -> UpstreamState:
        """Return what is known of an upstream; nothing when it has started anew."""
        state = self._by_id.get(upstream.id)
        if state is None or state.started_at != upstream.started_at:
            state = self._by_id[upstream.id] = UpstreamState(upstream.started_at)
            self.rate_limited_ids.discard(upstream.id)
            self.cached_prefixes.remove_upstream(upstream.id)
        return state

    def record_leaving(self, upstream_id: str, started_at: float) -> bool:
        """Record that an upstream is leaving, and return whether this is new.

        The record is kept by lifetime, so that a list that lacks the upstream or names it as ready
        does not undo it.
        """
        lifetime = (upstream_id, started_at)
        if lifetime in self._leaving_lifetimes:
            return False
        self._leaving_lifetimes[lifetime] = None
        while len(self._leaving_lifetimes) > MAX_LEAVING_LIFETIMES:
            del self._leaving_lifetimes[next(iter(self._leaving_lifetimes))]
        return True

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether the current lifetime of an upstream is leaving."""
        return (upstream.id, upstream.started_at) in self._leaving_lifetimes

    def prefill_times(self, service: str) -> PrefillTimes:
        """Return how long the engines of a service read."""
        return self._prefill_times_by_service[service]

    def start_attempt(
        self, upstream: Upstream, uncached_tokens: int, key: str, now: float
    ) -> Attempt:
        """Note that a request goes to an upstream.

        :param unread_tokens: prompt tokens that it has to read.
        :param key: name of the shared parts of the prompt, empty without any.
        """
        attempt = Attempt(
            self.get(upstream), self.prefill_times(upstream.service), uncached_tokens, now
        )
        if key:
            self.cached_prefixes.record_send(key, upstream.id, now)
        return attempt

    def record_peer_prompt(
        self, upstream: Upstream, uncached_tokens: int, key: str, now: float
    ) -> None:
        """Take from a peer that it sends a prompt to an upstream."""
        seconds = self.prefill_times(upstream.service).estimate_seconds(uncached_tokens)
        self.get(upstream).prefill_queue.add(now, seconds)
        self.cached_prefixes.record_send(key, upstream.id, now)

    def discard_missing(self, present_ids: Collection[str]) -> None:
        """Drop what is known of upstreams that are gone."""
        for key in [key for key in self._by_id if key not in present_ids]:
            if self._by_id[key].in_flight <= 0:
                del self._by_id[key]
                self.rate_limited_ids.discard(key)
                self.cached_prefixes.remove_upstream(key)
