"""State of each upstream as observed by this router: load, cached prefixes and failures."""

from dataclasses import dataclass, field

from quinceferry_core.adapters import CacheEvent, LoadReport
from quinceferry_core.clocks import Clock
from quinceferry_core.journals import RequestKey
from quinceferry_core.models import (
    CallerRequest,
    Priority,
    UpstreamId,
)
from quinceferry_core.prefills import PrefillBacklog
from quinceferry_core.prefixes import PrefixIndex, prefix_hashes
from quinceferry_core.routing import (
    CorrectedLoad,
    InFlightTracker,
    available_slots,
    correct_load,
    smoothed_growth,
)
from quinceferryd.blackboard import Blackboard, UpstreamStatus
from quinceferryd.settings import RoutingSettings
from quinceferryd.upstream_views import UpstreamView, estimate_prompt_tokens

HEADROOM_SHARE_BY_PRIORITY = {Priority.HIGH: 0.125, Priority.NORMAL: -0.1875, Priority.LOW: -0.25}
"""Share of an engine's slots that a priority may exceed, or, if negative, must leave free."""
RETENTION_SECONDS = 60.0
"""How long the state of an upstream is kept after its last report or failure."""
LOAD_CACHE_SECONDS = 0.02
"""How long a corrected load is cached, unless a request or report invalidates it."""
IDLE_SLOT_SHARE = 0.05
"""Share of occupied slots below which an engine with an empty queue counts as idle."""
MIN_CACHED_BLOCK_SHARE = 0.6
"""Share of a prompt's blocks that must be cached for its prefix to count as cached."""


@dataclass(slots=True)
class _UpstreamHistory:
    """This router's own requests to one upstream, and estimates derived from them.

    Times are in monotonic seconds. ``others_load`` is the number of requests that other routers
    had at the upstream in its last report.
    """

    backlog: PrefillBacklog
    in_flight_tracker: InFlightTracker = field(default_factory=InFlightTracker)
    prefix_index: PrefixIndex = field(default_factory=PrefixIndex)
    growth_per_second: float = 0.0
    others_load: int = 0
    corrected_load: CorrectedLoad | None = None
    corrected_at: float = 0.0
    long_prompt_keys: set[RequestKey] = field(default_factory=set)


class UpstreamTracker(UpstreamView):
    """Combines the blackboard's view of each upstream with this router's own requests there."""

    def __init__(self, blackboard: Blackboard, clock: Clock, settings: RoutingSettings) -> None:
        super().__init__(blackboard, clock, settings)
        self._histories_by_id: dict[UpstreamId, _UpstreamHistory] = {}

    def load(self, upstream: UpstreamId) -> CorrectedLoad:
        """Return the current load of an upstream: its last report, corrected by own requests."""
        history = self._history(upstream)
        now = self._clock.monotonic()
        if history.corrected_load is None or now - history.corrected_at > LOAD_CACHE_SECONDS:
            history.corrected_load = self._correct_load(upstream, history, now)
            history.corrected_at = now
        return history.corrected_load

    def _correct_load(
        self, upstream: UpstreamId, history: _UpstreamHistory, now: float
    ) -> CorrectedLoad:
        status = self.status(upstream)
        return correct_load(
            status.report,
            status.reported_at - self._settings.load_report_lag_seconds,
            now,
            history.in_flight_tracker,
            routers=self.router_count(),
            prefill_rate=self._settings.prefill_tokens_per_second,
            default_slots=self._settings.default_slots,
        )

    def free_slots(self, upstream: UpstreamId, headroom_share: float, is_long: bool) -> float:
        """Return how many more requests this router may send to an upstream.

        The result is zero while the prefill backlog of the upstream is full. The backlog is ignored
        for a positive headroom, and for short prompts at an idle engine.

        :param headroom_share: share of the slots that may be exceeded; a negative share stays free.
        :param is_long: whether the request has a long prompt.
        """
        load = self.load(upstream)
        history = self._history(upstream)
        age_seconds = self._clock.monotonic() - self.status(upstream).reported_at
        expected_growth = history.growth_per_second * min(
            age_seconds, self._settings.max_report_age_seconds
        )
        usable_slots = load.slots * (1.0 + headroom_share)
        free_slots = available_slots(
            load,
            usable_slots,
            history.in_flight_tracker.in_flight(),
            self.router_count(),
            expected_growth,
        )
        if headroom_share > 0 or (not is_long and self._is_idle(upstream, load)):
            return free_slots
        uncached_tokens = max(
            history.backlog.estimated_tokens(self._clock.monotonic()),
            self._reported_uncached_tokens(upstream),
        )
        return free_slots if uncached_tokens < self._max_backlog_tokens() else 0.0

    def accepts_long_prompt(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream has a slot left in its share for long uncached prompts."""
        max_long_prompts = max(1.0, self._settings.long_work_share * self.load(upstream).slots)
        return len(self._history(upstream).long_prompt_keys) < max_long_prompts

    def _is_idle(self, upstream: UpstreamId, load: CorrectedLoad) -> bool:
        """Return whether an upstream reports an empty queue and few occupied slots."""
        report = self.status(upstream).report
        has_empty_queue = report is not None and not (report.queued_tokens or report.waiting)
        return has_empty_queue and load.occupied < IDLE_SLOT_SHARE * load.slots

    def _reported_uncached_tokens(self, upstream: UpstreamId) -> float:
        """Return the estimated uncached tokens of this router's requests in the last report.

        Tokens that the upstream has prefilled since the report was sampled are subtracted.
        """
        status = self.status(upstream)
        if status.report is None:
            return 0.0
        sampled_at = status.reported_at - self._settings.load_report_lag_seconds
        own_tokens = self._history(upstream).in_flight_tracker.prefill_tokens_at(sampled_at)
        prefilled_tokens = self._settings.prefill_tokens_per_second * (
            self._clock.monotonic() - sampled_at
        )
        return min(own_tokens, status.report.queued_tokens) - prefilled_tokens

    def free_slots_for(self, request: CallerRequest, upstream: UpstreamId) -> float:
        """Return how many more requests of this priority and length an upstream may receive."""
        return self.free_slots(
            upstream, HEADROOM_SHARE_BY_PRIORITY[request.priority], self.is_long(request)
        )

    def cached_tokens(self, upstream: UpstreamId, hashes: tuple[int, ...], tokens: int) -> int:
        """Return the estimated number of a prompt's tokens that an upstream caches."""
        if not hashes:
            return 0
        matched_blocks = self._history(upstream).prefix_index.matched_blocks(hashes)
        return tokens * matched_blocks // (len(hashes) + 1)

    def has_cached_prefix(self, upstream: UpstreamId, hashes: tuple[int, ...]) -> bool:
        """Return whether an upstream is estimated to cache most blocks of a prompt."""
        matched_blocks = self._history(upstream).prefix_index.matched_blocks(hashes)
        return matched_blocks >= MIN_CACHED_BLOCK_SHARE * len(hashes)

    def record_sent(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Record that a request will be sent once its dispatch is recorded.

        Repeated calls for a request are ignored: they would count the prompt as cached, because the
        first call has already added it to the prefix index.
        """
        history = self._history(upstream)
        key = request_key(request)
        if key in history.in_flight_tracker.in_flight_by_key:
            return
        hashes = prefix_hashes(request.target, request.prompt)
        tokens = estimate_prompt_tokens(request)
        request_uncached_tokens = max(1, tokens - self.cached_tokens(upstream, hashes, tokens))
        history.corrected_load = None
        history.in_flight_tracker.record_placement(key, request_uncached_tokens)
        history.backlog.record_placement(key, request_uncached_tokens, self._clock.monotonic())
        history.prefix_index.record_sent(hashes)
        if request_uncached_tokens >= self._settings.long_prompt_tokens:
            history.long_prompt_keys.add(key)

    def record_dispatched(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Record that a request's dispatch is recorded and its first byte is about to be sent."""
        history = self._history(upstream)
        history.corrected_load = None
        history.in_flight_tracker.record_sent(request_key(request), self._clock.monotonic())
        history.backlog.record_dispatch(request_key(request), self._clock.monotonic())

    def record_first_token(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Record the first token of an answer."""
        history = self._history(upstream)
        history.corrected_load = None
        history.in_flight_tracker.record_first_token(request_key(request), self._clock.monotonic())
        history.backlog.remove(request_key(request))

    def record_ended(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Record that a request has ended at an upstream."""
        history = self._history(upstream)
        history.corrected_load = None
        history.in_flight_tracker.record_end(request_key(request), self._clock.monotonic())
        history.backlog.remove(request_key(request))
        history.long_prompt_keys.discard(request_key(request))

    def record_failure(self, upstream: UpstreamId) -> None:
        """Record a failed connection to an upstream."""
        status = self.status(upstream)
        status.failures += 1
        status.failed_at = self._clock.monotonic()

    def record_success(self, upstream: UpstreamId) -> None:
        """Record a complete answer of an upstream, which resets its failure count."""
        self.status(upstream).failures = 0

    def apply_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Store a load report that has just arrived, and update the estimated growth."""
        status = self.status(upstream)
        history = self._history(upstream)
        now = self._clock.monotonic()
        elapsed_seconds = now - status.reported_at
        status.report, status.reported_at = report, now
        history.corrected_load = None
        others_load = self.load(upstream).others
        history.growth_per_second = smoothed_growth(
            history.growth_per_second, history.others_load, others_load, elapsed_seconds
        )
        history.others_load = others_load

    def apply_events(self, upstream: UpstreamId, events: tuple[CacheEvent, ...]) -> None:
        """Apply cache events to the prefix index of an upstream."""
        self._history(upstream).prefix_index.apply(events)

    def last_event_sequence(self, upstream: UpstreamId) -> int:
        """Return the sequence number of the last cache event applied."""
        return self._history(upstream).prefix_index.last_sequence

    def in_flight(self, upstream: UpstreamId) -> int:
        """Return the number of this router's requests in flight at an upstream."""
        return self._history(upstream).in_flight_tracker.in_flight()

    def remove_unused(self) -> None:
        """Remove upstreams without own requests that are unconfigured or long unreachable."""
        configured = self._blackboard.configuration.upstreams_by_id
        for upstream, status in list(self._blackboard.upstreams_by_id.items()):
            if upstream in configured and not self._is_removable(status):
                continue
            if not self.in_flight(upstream):
                self._histories_by_id.pop(upstream, None)
                del self._blackboard.upstreams_by_id[upstream]

    def _is_removable(self, status: UpstreamStatus) -> bool:
        """Return whether an upstream was last seen too long ago and is not leaving."""
        last_seen_at = max(status.reported_at, status.failed_at)
        is_expired = self._clock.monotonic() - last_seen_at > RETENTION_SECONDS
        return is_expired and not status.leaving and not status.reported_leaving

    def _max_backlog_tokens(self) -> float:
        """Return this router's share of the uncached tokens that may wait at one engine."""
        backlog = self._settings.max_prefill_backlog_seconds
        return self._settings.prefill_tokens_per_second * backlog / self.router_count()

    def _history(self, upstream: UpstreamId) -> _UpstreamHistory:
        if upstream not in self._histories_by_id:
            backlog = PrefillBacklog(self._settings.prefill_tokens_per_second)
            self._histories_by_id[upstream] = _UpstreamHistory(backlog)
        return self._histories_by_id[upstream]


def request_key(request: CallerRequest) -> RequestKey:
    """Return the fleet-wide key of a request."""
    return RequestKey(request.workspace, request.request_id)
