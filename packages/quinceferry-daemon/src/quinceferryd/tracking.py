"""What this router knows of each upstream, put together for choosing one."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from quinceferry_core.adapters import CacheEvent, LoadReport
from quinceferry_core.clocks import Clock
from quinceferry_core.journals import RequestKey
from quinceferry_core.models import (
    CallerRequest,
    Priority,
    RequestKind,
    UpstreamId,
    UpstreamKind,
    UpstreamSpec,
    VmState,
)
from quinceferry_core.prefixes import PrefixIndex, prefix_hashes
from quinceferry_core.routing import (
    CorrectedLoad,
    SentLedger,
    correct_load,
    free_room,
    model_is_loaded,
    rendezvous_order,
    smoothed_growth,
)
from quinceferryd.blackboard import Blackboard, UpstreamStatus
from quinceferryd.settings import RoutingSettings

CHARS_PER_TOKEN = 4
"""Rough size of a token, for costs only; budgets are reserved by an upper bound instead."""
HEADROOM_BY_PRIORITY = {Priority.HIGH: 0.125, Priority.NORMAL: -0.1875, Priority.LOW: -0.25}
"""Part of an engine's slots that a class may fill beyond them, or must leave free."""
_LONG_WORK_KEY = "long work"
LOAD_CACHE_SECONDS = 0.02
"""How long a corrected load is used again, unless something was sent, ended or reported."""
HELD_SHARE = 0.6
"""Part of a prompt's blocks that must be cached for its prefix to count as held."""
MAX_WANTED_REPORTS = 4
"""Stale reports asked for at once when no fresh one is left."""
MAX_COOLDOWN_SECONDS = 30.0
"""Longest time an upstream counts as failing after its last failure."""


@dataclass(slots=True)
class _Record:
    """Own history with one upstream; times are in monotonic seconds."""

    ledger: SentLedger = field(default_factory=SentLedger)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    growth_per_second: float = 0.0
    others: int = 0
    corrected: CorrectedLoad | None = None
    corrected_at: float = 0.0
    long_keys: set[RequestKey] = field(default_factory=set)


class UpstreamTracker:
    """Combines configuration, load reports, cache events and own history for each upstream.

    :param blackboard: configuration, VM list and load reports are read from it.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock, settings: RoutingSettings) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._settings = settings
        self._records_by_id: dict[UpstreamId, _Record] = {}
        self.wanted_reports: set[UpstreamId] = set()
        """Upstreams whose load report is needed at once; emptied by the load controller."""

    def eligible(
        self, request: CallerRequest, excluded: frozenset[UpstreamId] = frozenset()
    ) -> list[UpstreamSpec]:
        """Return the upstreams that may get the request now.

        They serve its target, are not leaving, and have a fresh load report, since a stale one may
        hide that the upstream is leaving. When all reports are stale, some are asked for.
        """
        staying = [spec for spec in self.staying(request) if spec.id not in excluded]
        fresh = [spec for spec in staying if self.is_reporting(spec)]
        if not fresh:
            self.wanted_reports.update(spec.id for spec in staying[:MAX_WANTED_REPORTS])
        if not self.is_long(request):
            return fresh
        for_long_work = self.long_work_upstreams(staying)
        return [spec for spec in fresh if spec.id in for_long_work] or fresh

    def long_work_upstreams(self, among: list[UpstreamSpec]) -> set[UpstreamId]:
        """Return the few upstreams that long work is sent to first; every router names the same.

        A long prompt holds up an engine's prefill and evicts what its cache holds.
        """
        ranked = rendezvous_order(_LONG_WORK_KEY, [spec.id for spec in among])
        return set(ranked[: math.ceil(self._settings.long_work_upstream_share * len(ranked))])

    def staying(self, request: CallerRequest) -> list[UpstreamSpec]:
        """Return the upstreams that serve the request's target and are not leaving."""
        return [spec for spec in self.serving(request) if not self.is_leaving(spec)]

    def serving(self, request: CallerRequest) -> list[UpstreamSpec]:
        """Return the configured upstreams that have the request's target, leaving or not."""
        specs = self._blackboard.configuration.upstreams_by_id.values()
        return [spec for spec in specs if self._serves(spec, request)]

    def is_leaving(self, spec: UpstreamSpec) -> bool:
        """Return whether any sign says that an upstream is leaving."""
        return self.status(spec.id).told_leaving or self.sees_leaving(spec)

    def sees_leaving(self, spec: UpstreamSpec) -> bool:
        """Return whether the VM list or the upstream itself says so, not another router."""
        status = self.status(spec.id)
        vm = self._blackboard.vms_by_id.get(spec.vm)
        listed = vm is not None and vm.state is VmState.LEAVING
        reported = status.report is not None and status.report.leaving
        return status.leaving or listed or reported

    def is_failing(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream failed lately; the time grows with each failure in a row."""
        status = self.status(upstream)
        if not status.failures:
            return False
        cooldown = min(MAX_COOLDOWN_SECONDS, 2.0 ** (status.failures - 1))
        return self._clock.monotonic() - status.failed_at < cooldown

    def load(self, upstream: UpstreamId) -> CorrectedLoad:
        """Return the load of an upstream now, corrected by own history."""
        record = self._record(upstream)
        now = self._clock.monotonic()
        if record.corrected is None or now - record.corrected_at > LOAD_CACHE_SECONDS:
            record.corrected = self._correct_load(upstream, record, now)
            record.corrected_at = now
        return record.corrected

    def _correct_load(self, upstream: UpstreamId, record: _Record, now: float) -> CorrectedLoad:
        status = self.status(upstream)
        return correct_load(
            status.report,
            status.reported_at - self._settings.load_report_lag_seconds,
            now,
            record.ledger,
            routers=self._routers(),
            prefill_rate=self._settings.prefill_tokens_per_second,
            default_slots=self._settings.default_slots,
        )

    def room(self, upstream: UpstreamId, headroom: float, is_long: bool) -> float:
        """Return how many more requests this router may send to an upstream.

        :param headroom: part of the slots that may be filled beyond them; negative keeps some free.
        :param is_long: long work fills only a part of the slots.
        """
        load = self.load(upstream)
        record = self._record(upstream)
        age = self._clock.monotonic() - self.status(upstream).reported_at
        growth = record.growth_per_second * min(age, self._settings.max_report_age_seconds)
        usable = load.slots * (1.0 + headroom)
        room = free_room(load, usable, record.ledger.in_flight(), self._routers(), growth)
        if headroom <= 0 and record.ledger.prefill_tokens() >= self._prefill_backlog():
            return 0.0
        if is_long:
            allowed = max(1.0, self._settings.long_work_share * load.slots)
            return min(room, allowed - len(record.long_keys))
        return room

    def room_for(self, request: CallerRequest, upstream: UpstreamId) -> float:
        """Return how many more requests like this one an upstream may get."""
        return self.room(upstream, HEADROOM_BY_PRIORITY[request.priority], self.is_long(request))

    def cached_tokens(self, upstream: UpstreamId, hashes: tuple[int, ...], tokens: int) -> int:
        """Return how many of a prompt's tokens are believed to be in an upstream's cache."""
        if not hashes:
            return 0
        matched = self._record(upstream).prefixes.matched_blocks(hashes)
        return tokens * matched // (len(hashes) + 1)

    def holds_prefix(self, upstream: UpstreamId, hashes: tuple[int, ...]) -> bool:
        """Return whether most of a prompt's blocks are believed to be in an upstream's cache."""
        matched = self._record(upstream).prefixes.matched_blocks(hashes)
        return matched >= HELD_SHARE * len(hashes)

    def sent(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Note that a request is being sent."""
        record = self._record(upstream)
        hashes = prefix_hashes(request.target, request.prompt)
        tokens = prompt_tokens(request)
        uncached = max(1, tokens - self.cached_tokens(upstream, hashes, tokens))
        record.corrected = None
        record.ledger.sent(request_key(request), uncached, self._clock.monotonic())
        record.prefixes.record_sent(hashes)
        if self.is_long(request):
            record.long_keys.add(request_key(request))

    def first_token(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Note the first token of an answer."""
        record = self._record(upstream)
        record.corrected = None
        record.ledger.first_token(request_key(request), self._clock.monotonic())

    def ended(self, request: CallerRequest, upstream: UpstreamId) -> None:
        """Note that a request has left an upstream."""
        record = self._record(upstream)
        record.corrected = None
        record.ledger.ended(request_key(request), self._clock.monotonic())
        record.long_keys.discard(request_key(request))

    def failed(self, upstream: UpstreamId) -> None:
        """Note that a connection to an upstream failed."""
        status = self.status(upstream)
        status.failures += 1
        status.failed_at = self._clock.monotonic()

    def succeeded(self, upstream: UpstreamId) -> None:
        """Note that an upstream answered."""
        self.status(upstream).failures = 0

    def apply_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Store a load report that has just arrived."""
        status = self.status(upstream)
        record = self._record(upstream)
        now = self._clock.monotonic()
        elapsed = now - status.reported_at
        status.report, status.reported_at = report, now
        record.corrected = None
        others = self.load(upstream).others
        record.growth_per_second = smoothed_growth(
            record.growth_per_second, record.others, others, elapsed
        )
        record.others = others

    def apply_events(self, upstream: UpstreamId, events: tuple[CacheEvent, ...]) -> None:
        """Apply cache events."""
        self._record(upstream).prefixes.apply(events)

    def last_event(self, upstream: UpstreamId) -> int:
        """Return the sequence of the latest cache event applied."""
        return self._record(upstream).prefixes.last_sequence

    def in_flight(self, upstream: UpstreamId) -> int:
        """Return how many of this router's requests an upstream holds."""
        return self._record(upstream).ledger.in_flight()

    def status(self, upstream: UpstreamId) -> UpstreamStatus:
        """Return the upstream's entry on the blackboard, made when missing."""
        return self._blackboard.upstreams_by_id.setdefault(upstream, UpstreamStatus())

    def forget_except(self, upstreams: Iterable[UpstreamId]) -> None:
        """Drop what is known of upstreams that are no longer configured and hold nothing."""
        kept = set(upstreams)
        for upstream in set(self._records_by_id) - kept:
            if not self.in_flight(upstream):
                del self._records_by_id[upstream]
                self._blackboard.upstreams_by_id.pop(upstream, None)

    def is_long(self, request: CallerRequest) -> bool:
        """Return whether a request counts as long work."""
        return prompt_tokens(request) >= self._settings.long_prompt_tokens

    def _serves(self, spec: UpstreamSpec, request: CallerRequest) -> bool:
        if request.kind is RequestKind.SERVICE:
            return spec.kind is UpstreamKind.SERVICE and spec.service == request.target.model
        report = self.status(spec.id).report
        if spec.kind is not UpstreamKind.ENGINE or report is None:
            return False
        return model_is_loaded(request.target, report.loaded)

    def is_reporting(self, spec: UpstreamSpec) -> bool:
        """Return whether an upstream's load report is fresh; a service need not report."""
        status = self.status(spec.id)
        if status.report is None:
            return spec.kind is UpstreamKind.SERVICE
        age = self._clock.monotonic() - status.reported_at
        return age <= self._settings.max_report_age_seconds

    def _prefill_backlog(self) -> float:
        """Return this router's part of the prompt tokens that may wait at one engine."""
        backlog = self._settings.max_prefill_backlog_seconds
        return self._settings.prefill_tokens_per_second * backlog / self._routers()

    def _routers(self) -> int:
        return max(1, len(self._blackboard.members_by_incarnation))

    def _record(self, upstream: UpstreamId) -> _Record:
        return self._records_by_id.setdefault(upstream, _Record())


def request_key(request: CallerRequest) -> RequestKey:
    """Return the fleet-wide key of a request."""
    return RequestKey(request.workspace, request.request_id)


def prompt_tokens(request: CallerRequest) -> int:
    """Estimate the prompt's tokens, for costs only."""
    return max(1, len(request.prompt or request.body) // CHARS_PER_TOKEN)
