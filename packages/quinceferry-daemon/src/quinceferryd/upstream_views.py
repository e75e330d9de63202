"""What the blackboard says of upstreams: which may get a request, and which are leaving."""

import math

from quinceferry_core.clocks import Clock
from quinceferry_core.models import (
    CallerRequest,
    Configuration,
    RequestKind,
    UpstreamId,
    UpstreamKind,
    UpstreamSpec,
    VmState,
)
from quinceferry_core.routing import model_is_loaded, rendezvous_order
from quinceferryd.blackboard import Blackboard, UpstreamStatus
from quinceferryd.settings import RoutingSettings

CHARS_PER_TOKEN = 4
"""Rough size of a token, for costs only; budgets are reserved by an upper bound instead."""
MAX_COOLDOWN_SECONDS = 30.0
"""Longest time an upstream counts as failing after its last failure."""
MAX_REQUESTED_REPORTS = 4
"""Stale reports asked for at once when no fresh one is left."""

MAX_LONG_WORK_UPSTREAM_SHARE = 2 / 3
"""Part of the upstreams that long work may spread to; a lone one takes all work."""

_LONG_WORK_KEY = "long work"


class UpstreamView:
    """Combines configuration, VM list and load reports for each upstream.

    :param blackboard: read, but for the status entries that are made when missing.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock, settings: RoutingSettings) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._settings = settings
        self._indexed_configuration: Configuration | None = None
        self._services_by_name: dict[str, list[UpstreamSpec]] = {}
        self.requested_reports: set[UpstreamId] = set()
        """Upstreams whose load report is needed at once; emptied by the load controller."""
        self.has_unserved_target = False
        """Whether a request found no known upstream for its target; reset by the load controller,
        which then looks at more of the others."""

    def eligible_upstreams(
        self, request: CallerRequest, excluded: frozenset[UpstreamId] = frozenset()
    ) -> list[UpstreamSpec]:
        """Return the upstreams that may get the request now.

        They serve its target, are not leaving, and have a fresh load report, since a stale one may
        hide that the upstream is leaving. When all reports are stale, some are asked for.
        """
        non_leaving = [
            spec for spec in self.non_leaving_upstreams(request) if spec.id not in excluded
        ]
        fresh = [spec for spec in non_leaving if self.has_fresh_report(spec)]
        if not fresh:
            self.requested_reports.update(spec.id for spec in non_leaving[:MAX_REQUESTED_REPORTS])
        return fresh

    def long_work_upstreams(self, specs: list[UpstreamSpec]) -> set[UpstreamId]:
        """Return the few upstreams that long work is sent to first; every router names the same.

        A long prompt holds up an engine's prefill and evicts what its cache holds.
        """
        return set(self._long_work_order(specs)[: self._long_work_count(len(specs))])

    def overflow_upstreams(self, specs: list[UpstreamSpec]) -> set[UpstreamId]:
        """Return the upstreams that take long work while the first few have no room for it.

        The others are left to live work.
        """
        first_count = self._long_work_count(len(specs))
        max_count = max(first_count, math.floor(MAX_LONG_WORK_UPSTREAM_SHARE * len(specs)))
        return set(self._long_work_order(specs)[first_count:max_count])

    def _long_work_count(self, upstreams: int) -> int:
        return math.ceil(self._settings.long_work_upstream_share * upstreams)

    @staticmethod
    def _long_work_order(specs: list[UpstreamSpec]) -> list[UpstreamId]:
        return rendezvous_order(_LONG_WORK_KEY, [spec.id for spec in specs])

    def non_leaving_upstreams(self, request: CallerRequest) -> list[UpstreamSpec]:
        """Return the upstreams that serve the request's target and are not leaving."""
        return [spec for spec in self.serving_upstreams(request) if not self.is_leaving(spec)]

    def serving_upstreams(self, request: CallerRequest) -> list[UpstreamSpec]:
        """Return the upstreams known to have the request's target, leaving or not."""
        specs_by_id = self._blackboard.configuration.upstreams_by_id
        if request.kind is RequestKind.SERVICE:
            return self._services_named(request.target.model)
        known_specs = [
            specs_by_id[upstream]
            for upstream in self._blackboard.upstreams_by_id
            if upstream in specs_by_id
        ]
        return [spec for spec in known_specs if self._has_loaded(spec, request)]

    def is_leaving(self, spec: UpstreamSpec) -> bool:
        """Return whether any sign says that an upstream is leaving."""
        return self.status(spec.id).reported_leaving or self.is_observed_leaving(spec)

    def is_observed_leaving(self, spec: UpstreamSpec) -> bool:
        """Return whether the VM list or the upstream itself says so, not another router."""
        status = self.status(spec.id)
        vm = self._blackboard.vms_by_id.get(spec.vm)
        is_listed_leaving = vm is not None and vm.state is VmState.LEAVING
        is_reported_leaving = status.report is not None and status.report.leaving
        return status.leaving or is_listed_leaving or is_reported_leaving

    def is_failing(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream failed lately; the time grows with each failure in a row."""
        status = self.status(upstream)
        if not status.failures:
            return False
        cooldown = min(MAX_COOLDOWN_SECONDS, 2.0 ** (status.failures - 1))
        return self._clock.monotonic() - status.failed_at < cooldown

    def is_long(self, request: CallerRequest) -> bool:
        """Return whether a request counts as long work."""
        return estimate_prompt_tokens(request) >= self._settings.long_prompt_tokens

    def status(self, upstream: UpstreamId) -> UpstreamStatus:
        """Return the upstream's entry on the blackboard, made when missing."""
        return self._blackboard.upstreams_by_id.setdefault(upstream, UpstreamStatus())

    def has_fresh_report(self, spec: UpstreamSpec) -> bool:
        """Return whether an upstream's load report is fresh; a service need not report."""
        status = self.status(spec.id)
        if status.report is None:
            return spec.kind is UpstreamKind.SERVICE
        age = self._clock.monotonic() - status.reported_at
        return age <= self._settings.max_report_age_seconds

    def _has_loaded(self, spec: UpstreamSpec, request: CallerRequest) -> bool:
        report = self.status(spec.id).report
        if spec.kind is not UpstreamKind.ENGINE or report is None:
            return False
        return model_is_loaded(request.target, report.loaded)

    def _services_named(self, name: str) -> list[UpstreamSpec]:
        """Return the plain services of a name, indexed anew with each configuration."""
        configuration = self._blackboard.configuration
        if self._indexed_configuration is not configuration:
            self._indexed_configuration = configuration
            self._services_by_name = {}
            for spec in configuration.upstreams_by_id.values():
                if spec.kind is UpstreamKind.SERVICE:
                    self._services_by_name.setdefault(spec.service, []).append(spec)
        return self._services_by_name.get(name, [])

    def router_count(self) -> int:
        """Return the number of live routers, this one included."""
        return max(1, len(self._blackboard.members_by_incarnation))


def estimate_prompt_tokens(request: CallerRequest) -> int:
    """Estimate the prompt's tokens, for costs only."""
    return max(1, len(request.prompt or request.body) // CHARS_PER_TOKEN)
