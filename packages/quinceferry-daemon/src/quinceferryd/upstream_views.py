"""View of the upstreams on the blackboard: which are eligible, leaving or failing."""

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
"""Approximate size of a token, for costs only; budgets are reserved by an upper bound instead."""
MAX_COOLDOWN_SECONDS = 30.0
"""Longest time for which an upstream counts as failing after its last failure."""
MAX_REQUESTED_REPORTS = 4
"""Upstreams whose load report is requested at once when no report is fresh."""
MAX_LONG_WORK_UPSTREAM_SHARE = 2 / 3
"""Share of the upstreams that long work may use; a single upstream takes all work."""

_LONG_WORK_KEY = "long work"


class UpstreamView:
    """Combines configuration, VM list and load reports for each upstream.

    :param blackboard: shared state; only missing status entries are written.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock, settings: RoutingSettings) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._settings = settings
        self._indexed_configuration: Configuration | None = None
        self._services_by_name: dict[str, list[UpstreamSpec]] = {}
        self.requested_reports: set[UpstreamId] = set()
        """Upstreams whose load report is needed at once; cleared by the load controller."""
        self.has_unserved_target = False
        """Whether no polled upstream serves the target of a request.

        Reset by the load controller, which then polls more of the other upstreams.
        """

    def eligible_upstreams(
        self, request: CallerRequest, excluded: frozenset[UpstreamId] = frozenset()
    ) -> list[UpstreamSpec]:
        """Return the upstreams to which the request can be sent now.

        They serve its target, are not leaving, and have a fresh load report, since a stale report
        may hide that the upstream is leaving. When all reports are stale, some are requested.
        """
        non_leaving = [
            spec for spec in self.non_leaving_upstreams(request) if spec.id not in excluded
        ]
        with_fresh_report = [spec for spec in non_leaving if self.has_fresh_report(spec)]
        if not with_fresh_report:
            self.requested_reports.update(spec.id for spec in non_leaving[:MAX_REQUESTED_REPORTS])
        return with_fresh_report

    def long_work_upstreams(self, specs: list[UpstreamSpec]) -> set[UpstreamId]:
        """Return the few upstreams that receive long work first, the same on every router.

        A long prompt delays the other prefills of an engine and evicts prefixes from its cache.
        """
        return set(self._long_work_order(specs)[: self._long_work_count(len(specs))])

    def overflow_upstreams(self, specs: list[UpstreamSpec]) -> set[UpstreamId]:
        """Return the upstreams that receive long work when the first few have no free slot for it.

        The remaining upstreams run short requests only.
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
        """Return the upstreams that are known to serve the request's target, leaving or not."""
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
        """Return whether an upstream is leaving by this router's sources or another router's."""
        return self.status(spec.id).reported_leaving or self.is_observed_leaving(spec)

    def is_observed_leaving(self, spec: UpstreamSpec) -> bool:
        """Return whether the VM list or the upstream itself reports that it is leaving.

        Reports of other routers do not count.
        """
        status = self.status(spec.id)
        vm = self._blackboard.vms_by_id.get(spec.vm)
        is_listed_leaving = vm is not None and vm.state is VmState.LEAVING
        is_reported_leaving = status.report is not None and status.report.leaving
        return status.leaving or is_listed_leaving or is_reported_leaving

    def is_failing(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is in the cooldown after a failure.

        The cooldown doubles with each consecutive failure.
        """
        status = self.status(upstream)
        if not status.failures:
            return False
        cooldown_seconds = min(MAX_COOLDOWN_SECONDS, 2.0 ** (status.failures - 1))
        return self._clock.monotonic() - status.failed_at < cooldown_seconds

    def is_long(self, request: CallerRequest) -> bool:
        """Return whether a request counts as long work."""
        return estimate_prompt_tokens(request) >= self._settings.long_prompt_tokens

    def status(self, upstream: UpstreamId) -> UpstreamStatus:
        """Return the upstream's status on the blackboard, created if missing."""
        return self._blackboard.upstreams_by_id.setdefault(upstream, UpstreamStatus())

    def has_fresh_report(self, spec: UpstreamSpec) -> bool:
        """Return whether an upstream's load report is fresh.

        A plain service without any report counts as fresh.
        """
        status = self.status(spec.id)
        if status.report is None:
            return spec.kind is UpstreamKind.SERVICE
        age_seconds = self._clock.monotonic() - status.reported_at
        return age_seconds <= self._settings.max_report_age_seconds

    def _has_loaded(self, spec: UpstreamSpec, request: CallerRequest) -> bool:
        report = self.status(spec.id).report
        if spec.kind is not UpstreamKind.ENGINE or report is None:
            return False
        return model_is_loaded(request.target, report.loaded)

    def _services_named(self, name: str) -> list[UpstreamSpec]:
        """Return the plain services of a name from an index built once per configuration."""
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
    """Estimate the number of prompt tokens, for costs only."""
    return max(1, len(request.prompt or request.body) // CHARS_PER_TOKEN)
