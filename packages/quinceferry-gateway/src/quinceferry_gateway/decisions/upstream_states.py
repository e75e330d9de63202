"""State of each upstream as one gateway observes it: from its own attempts, load reports and peers.

While the store is unreachable, an upstream that has crashed stays in the list, and its address may
be reassigned to another upstream. Each gateway detects this from its own requests, so an
observation stays valid until a newer one contradicts it.
"""

import math
from collections import defaultdict
from collections.abc import Collection

from quinceferry_core.eviction import evict_oldest
from quinceferry_core.quarantine import RunStage
from quinceferry_gateway.catalog import Load, Upstream
from quinceferry_gateway.decisions.cached_prefixes import CachedPrefixes
from quinceferry_gateway.decisions.cold_starts import ColdPeriod
from quinceferry_gateway.decisions.pauses import RequestPause
from quinceferry_gateway.decisions.peer_notices import NotifiedValue
from quinceferry_gateway.decisions.prefill import PrefillQueue, PrefillTimes
from quinceferry_gateway.decisions.rate_limits import RateLimit

FIRST_SUSPECT_SECONDS = 1.5
"""How long an upstream is avoided after its first failure. The store removes its entry after about
3.6 s."""
MAX_SUSPECT_SECONDS = 12.0
"""Upper bound of that time, which doubles with each consecutive failure. In a store outage of 15 s,
a crashed upstream costs each gateway four attempts; with a constant time it would cost ten."""
MISDIRECTED_SECONDS = 10.0
"""How long an upstream is excluded after another one answered at its address. This is about as long
as an outage of the store, during which its entry can't expire. Without the exclusion, 8% of the
requests of one kind were rejected."""
MAX_LOAD_AGE_SECONDS = 2.0
"""Age at which a load report is ignored."""
SLOWDOWN_DECAY_SECONDS = 6.0
"""Time constant with which an estimated slowdown decays. Upstreams are slow for a few seconds at a
time, and one that is avoided yields no new samples."""
SLOWDOWN_SAMPLE_WEIGHT = 0.3
"""Weight of one first event in the estimate. After three late ones the estimate is about half of
what they show."""
MAX_SLOWDOWN = 8.0
"""Largest slowdown that one first event may show. An upstream that takes longer counts as not
responding, not as slow."""
MAX_LEAVING_LIFETIMES = 1_024
"""Most leaving lifetimes that are kept; the oldest is evicted first."""
EARLY_OUTPUT_SECONDS = 1.0
"""Time from the first event of an answer in which the request counts as one that may have made its
upstream crash by beginning the answer."""
MIN_PERMIT_PAUSE_SECONDS = 0.02
"""Shortest time for which no permit is expected after a failed request for one."""
MAX_IDLE_BACKLOG_SECONDS = 0.02
"""Backlog, of a few short prompts, up to which an engine counts as idle, so that the time to the
first event is a sample of its prefill time."""


class UpstreamState:
    """What is known of one lifetime of an upstream. Times are those of the monotonic clock.

    ``max_rejections`` is how many requests the upstream can reject in a second without failing,
    None if it states no number, and ``fragility_stated_at`` is when the answer that stated it
    arrived at any gateway. ``notified_rate`` and ``notified_max_rejections`` are what the peers
    know. ``rejections`` counts the requests that were rejected for want of room, and
    ``pending_admissions`` has the numbers of requests that wait for their admission.
    ``no_permit_until`` is the earliest time at which to request an immediate permit, and
    ``next_permit_at`` is when the next permit becomes valid for a request that waits for it.
    ``silent_at`` is when nobody was last found to listen at the address of the upstream, None if
    that has not happened.
    """

    __slots__ = (
        "cold_period",
        "consecutive_failures",
        "in_flight",
        "load",
        "load_received_at",
        "fragility_stated_at",
        "malformed_headers",
        "max_rejections",
        "misdirected_until",
        "next_permit_at",
        "no_permit_until",
        "notified_max_rejections",
        "notified_rate",
        "pause",
        "pending_admissions",
        "rate_limit",
        "prefill_queue",
        "rejections",
        "sent_since_load",
        "silent_at",
        "slowdown_at",
        "last_slowdown",
        "started_at",
        "suspect_until",
    )

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.in_flight = 0
        self.load: Load | None = None
        self.load_received_at = 0.0
        self.sent_since_load = 0
        self.consecutive_failures = 0
        self.suspect_until = 0.0
        self.silent_at: float | None = None
        self.misdirected_until = 0.0
        self.cold_period = ColdPeriod()
        self.rate_limit = RateLimit()
        self.next_permit_at = 0.0
        self.no_permit_until = 0.0
        self.pause = RequestPause()
        self.notified_rate = NotifiedValue()
        self.max_rejections: float | None = None
        self.rejections = 0
        self.pending_admissions: set[int] = set()
        self.notified_max_rejections = NotifiedValue()
        self.fragility_stated_at = float("-inf")
        self.malformed_headers: tuple[str, ...] = ()
        self.prefill_queue = PrefillQueue()
        self.last_slowdown = 1.0
        self.slowdown_at = 0.0

    @property
    def has_answered(self) -> bool:
        """Return whether any gateway is known to have had an answer."""
        return self.fragility_stated_at > float("-inf")

    def record_denied_permit(self, wait_seconds: float, retry_seconds: float, now: float) -> None:
        """Record that no permit was granted.

        :param wait_seconds: time until the next one, for a request that waits for it.
        :param retry_seconds: time before the next request for an immediate one.
        """
        self.next_permit_at = now + max(MIN_PERMIT_PAUSE_SECONDS, wait_seconds)
        self.no_permit_until = now + max(MIN_PERMIT_PAUSE_SECONDS, retry_seconds)

    def slowdown(self, now: float) -> float:
        """Return the estimated ratio of actual to expected time to the first event."""
        decay = math.exp((self.slowdown_at - now) / SLOWDOWN_DECAY_SECONDS)
        return 1.0 + (self.last_slowdown - 1.0) * decay

    def record_first_event_time(self, seconds: float, expected: float, now: float) -> None:
        """Update the slowdown with the actual and the expected time to a first event."""
        sample = min(MAX_SLOWDOWN, max(1.0, seconds / expected))
        current = self.slowdown(now)
        self.last_slowdown = current + SLOWDOWN_SAMPLE_WEIGHT * (sample - current)
        self.slowdown_at = now

    def forget_failures(self) -> None:
        """Discard failed connections, which were not caused by the upstream."""
        self.consecutive_failures = 0
        self.suspect_until = 0.0

    def current_load(self, now: float) -> Load | None:
        """Return the last load report, None if there is none or it is too old."""
        valid = self.load is not None and now - self.load_received_at < MAX_LOAD_AGE_SECONDS
        return self.load if valid else None

    def estimated_running(self, now: float) -> int:
        """Return the estimated number of requests in progress at the upstream."""
        load = self.current_load(now)
        if load is None:
            return self.in_flight
        return max(self.in_flight, load.running + load.waiting + self.sent_since_load)


class Attempt:
    """One request at an upstream, from sending it until its end.

    ``uncached_tokens`` are the prompt tokens that the upstream is estimated to prefill.
    """

    __slots__ = (
        "_sent_to_idle_engine",
        "_state",
        "_expected_seconds",
        "_prefill_number",
        "_prefill_times",
        "_sent_at",
        "_accepted",
        "_first_event_at",
        "uncached_tokens",
    )

    def __init__(
        self, state: UpstreamState, prefill_times: PrefillTimes, uncached_tokens: int, now: float
    ) -> None:
        self._state = state
        self._prefill_times = prefill_times
        self.uncached_tokens = uncached_tokens
        self._accepted = False
        self._first_event_at: float | None = None
        self._sent_at = now
        backlog_seconds, prefill_seconds = (
            state.prefill_queue.backlog_seconds(now),
            prefill_times.estimate_seconds(uncached_tokens),
        )
        self._sent_to_idle_engine = backlog_seconds < MAX_IDLE_BACKLOG_SECONDS
        self._expected_seconds = prefill_times.base_seconds + backlog_seconds + prefill_seconds
        self._prefill_number = (
            state.prefill_queue.add(now, prefill_seconds) if uncached_tokens else 0
        )
        state.pause.request_sent(now)
        state.in_flight += 1
        state.sent_since_load += 1

    def record_accepted(self) -> None:
        """Record that the upstream has started the request."""
        self._accepted = True

    def stage(self, now: float) -> RunStage:
        """Return how far the upstream is known to have come with the request."""
        if self.has_survived(now):
            return RunStage.PRODUCING
        return RunStage.BEGUN if self._accepted else RunStage.SENT

    def has_survived(self, now: float) -> bool:
        """Return whether the upstream has produced output for so long that the beginning of the
        answer can't make it crash any more."""
        first_event_at = self._first_event_at
        return first_event_at is not None and now - first_event_at >= EARLY_OUTPUT_SECONDS

    def record_first_event(self, now: float) -> None:
        """Record the first event of the answer, which ends the prefill."""
        if self._first_event_at is None:
            self._first_event_at = now
        if not self._prefill_number:
            return
        seconds = now - self._sent_at
        if self._prefill_times.base_seconds:
            self._state.record_first_event_time(seconds, self._expected_seconds, now)
        if self._sent_to_idle_engine:
            self._prefill_times.record_sample(self.uncached_tokens, seconds)
        self._state.prefill_queue.record_finished(self._prefill_number, now)
        self._prefill_number = 0

    def record_load(self, load: Load, now: float) -> None:
        """Store the load report that came with the answer."""
        self._state.load = load
        self._state.load_received_at = now
        self._state.sent_since_load = 0

    def record_success(self) -> None:
        """Record a genuine answer: the upstream is healthy."""
        self._state.consecutive_failures = 0
        self._state.suspect_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record a failed connection, and avoid the upstream for a while."""
        state = self._state
        if now < state.suspect_until:
            # Concurrent requests fail together; only the first failure counts.
            return
        seconds = min(MAX_SUSPECT_SECONDS, FIRST_SUSPECT_SECONDS * 2**state.consecutive_failures)
        state.consecutive_failures += 1
        state.suspect_until = now + seconds

    def record_misdirected(self, now: float) -> None:
        """Record that another upstream answered at the address."""
        self._state.misdirected_until = now + MISDIRECTED_SECONDS

    def finish(self, now: float) -> None:
        """End the attempt, and remove its prompt from the prefill queue if it is still there."""
        self._state.in_flight -= 1
        if self._prefill_number:
            self._state.prefill_queue.record_finished(self._prefill_number, now)


class UpstreamStates:
    """States of all upstreams, and prefill times of the engines of each service.

    ``cached_prefixes`` estimates which engines cache a shared prefix. ``rate_limited_ids`` holds
    the identifiers of upstreams that may have a rate limit in force, or may be cold, and
    ``fragile_ids`` those of upstreams that state how many rejections they tolerate.
    """

    __slots__ = (
        "_by_id",
        "_leaving_lifetimes",
        "_prefill_times_by_service",
        "cached_prefixes",
        "fragile_ids",
        "rate_limited_ids",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, UpstreamState] = {}
        self._prefill_times_by_service: defaultdict[str, PrefillTimes] = defaultdict(PrefillTimes)
        self.cached_prefixes = CachedPrefixes()
        self.rate_limited_ids: set[str] = set()
        self.fragile_ids: set[str] = set()
        self._leaving_lifetimes: dict[tuple[str, float], None] = {}

    def get(self, upstream: Upstream) -> UpstreamState:
        """Return the state of an upstream, a new one if the upstream has restarted."""
        state = self._by_id.get(upstream.id)
        if state is None or state.started_at != upstream.started_at:
            state = self._by_id[upstream.id] = UpstreamState(upstream.started_at)
            self._discard_lifetime(upstream.id)
        return state

    def record_leaving(self, upstream_id: str, started_at: float) -> bool:
        """Record that an upstream is leaving, and return whether this is new.

        The record is kept by lifetime, so that a list that lacks the upstream or contains it as
        ready does not undo it.
        """
        lifetime = (upstream_id, started_at)
        if lifetime in self._leaving_lifetimes:
            return False
        self._leaving_lifetimes[lifetime] = None
        evict_oldest(self._leaving_lifetimes, MAX_LEAVING_LIFETIMES)
        return True

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether the current lifetime of an upstream is leaving."""
        return (upstream.id, upstream.started_at) in self._leaving_lifetimes

    def prefill_times(self, service: str) -> PrefillTimes:
        """Return the estimated prefill times of the engines of a service."""
        return self._prefill_times_by_service[service]

    def start_attempt(
        self, upstream: Upstream, uncached_tokens: int, prefix_key: str, now: float
    ) -> Attempt:
        """Record that a request is sent to an upstream, and return the attempt.

        :param uncached_tokens: prompt tokens that the upstream is estimated to prefill.
        :param prefix_key: key of the shared prefix of the prompt, empty without one.
        """
        attempt = Attempt(
            self.get(upstream), self.prefill_times(upstream.service), uncached_tokens, now
        )
        if prefix_key:
            self.cached_prefixes.record_send(prefix_key, upstream.id, now)
        return attempt

    def record_peer_prompt(
        self, upstream: Upstream, uncached_tokens: int, prefix_key: str, now: float
    ) -> None:
        """Record that a peer sends a prompt to an upstream."""
        seconds = self.prefill_times(upstream.service).estimate_seconds(uncached_tokens)
        self.get(upstream).prefill_queue.add(now, seconds)
        self.cached_prefixes.record_send(prefix_key, upstream.id, now)

    def discard_missing(self, present_ids: Collection[str]) -> None:
        """Remove the states of upstreams that are not listed, unless requests are in progress."""
        for upstream_id in [
            upstream_id for upstream_id in self._by_id if upstream_id not in present_ids
        ]:
            if self._by_id[upstream_id].in_flight <= 0:
                del self._by_id[upstream_id]
                self._discard_lifetime(upstream_id)

    def _discard_lifetime(self, upstream_id: str) -> None:
        """Remove what is kept by identifier of a lifetime that has ended."""
        self.rate_limited_ids.discard(upstream_id)
        self.fragile_ids.discard(upstream_id)
        self.cached_prefixes.remove_upstream(upstream_id)
