"""Keeps track of which upstreams fail if they have to reject too many requests."""

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import AnswerHead, Upstream
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics

SERVICE_FRAGILE_SECONDS = 10.0
"""Time for which a statement of one upstream counts for others that have not answered yet."""


class FragilityNotice(msgspec.Struct, frozen=True, array_like=True, tag="fragile"):
    """The rejections a second that an upstream tolerates, None when it states none any more.

    ``age_seconds`` is the time since the answer that stated it.
    """

    upstream: str
    started_at: float
    max_rejections: float | None
    age_seconds: float = 0.0


class FragileUpstreams:
    """Tracks fragile upstreams by their answers, and by notices of peers.

    :param port: carries notices between gateways.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        port: DatagramPort,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._port = port
        self._clock = clock
        self._stated_at_by_service: dict[str, float] = {}
        port.add_handler(FragilityNotice, self.apply_notice)
        metrics.observe_fragile_upstreams(lambda: len(self.listed()))

    def is_fragile(self, upstream: Upstream) -> bool:
        """Return whether an upstream is fragile, by its last answer.

        One that has not answered yet counts as fragile while others of its service are. All that
        others can't serve would be sent to it at once.
        """
        state = self._upstream_states.get(upstream)
        if state.max_rejections is not None:
            return True
        return not state.has_answered and self._is_recent(upstream.service)

    def has_any(self) -> bool:
        """Return whether any upstream is or may be fragile."""
        services = self._stated_at_by_service
        return bool(self._upstream_states.fragile_ids) or any(map(self._is_recent, services))

    def listed(self) -> list[Upstream]:
        """Return the listed upstreams that are fragile."""
        if not self.has_any():
            return []
        upstreams = self._blackboard.upstreams_by_id.values()
        return [item for item in upstreams if self.is_fragile(item)]

    def _is_recent(self, service: str) -> bool:
        """Return whether an upstream of a service has recently stated that it is fragile."""
        stated_at = self._stated_at_by_service.get(service)
        return (
            stated_at is not None and self._clock.monotonic() - stated_at < SERVICE_FRAGILE_SECONDS
        )

    def answer_received(self, upstream: Upstream, head: AnswerHead) -> None:
        """Update what an upstream tolerates, and notify the peers of a change.

        Only a genuine or not-run answer can state that it is not fragile any more.
        """
        max_rejections = head.max_rejections_per_second
        if max_rejections is None and not (head.genuine or head.not_run):
            return
        state, now = self._upstream_states.get(upstream), self._clock.monotonic()
        self._update(upstream, max_rejections, now, "own")
        if state.notified_max_rejections.take_due(max_rejections, now):
            self.notify_peers(upstream)

    def notice(self, upstream: Upstream) -> FragilityNotice | None:
        """Return what is known of an upstream, None if no answer of it is."""
        state = self._upstream_states.get(upstream)
        if not state.has_answered:
            return None
        age = self._clock.monotonic() - state.fragility_stated_at
        return FragilityNotice(upstream.id, upstream.started_at, state.max_rejections, age)

    def notify_peers(self, upstream: Upstream) -> None:
        """Send what is known of an upstream to all gateways that may use upstreams."""
        notice = self.notice(upstream)
        if notice is not None:
            now = self._clock.monotonic()
            self._port.send(notice, self._blackboard.notice_addresses(now))

    def apply_notice(self, notice: FragilityNotice, sender: object) -> None:
        """Apply a notice from a peer; ignore one that is older or about an unknown upstream."""
        upstream = self._blackboard.upstreams_by_id.get(notice.upstream)
        if upstream is None or upstream.started_at != notice.started_at:
            return
        max_rejections = notice.max_rejections
        if not notice.age_seconds >= 0 or not (max_rejections is None or max_rejections >= 0):
            log.failure("fragility.malformed", peer=str(sender), notice=str(notice))
            return
        stated_at = self._clock.monotonic() - notice.age_seconds
        state = self._upstream_states.get(upstream)
        if stated_at > state.fragility_stated_at:
            self._update(upstream, max_rejections, stated_at, str(sender))
            state.notified_max_rejections.receive(max_rejections)

    def _update(
        self, upstream: Upstream, max_rejections: float | None, stated_at: float, origin: str
    ) -> None:
        """Store what an upstream tolerates, and log a change."""
        state = self._upstream_states.get(upstream)
        state.fragility_stated_at = stated_at
        before, state.max_rejections = state.max_rejections, max_rejections
        if max_rejections is None:
            self._upstream_states.fragile_ids.discard(upstream.id)
        else:
            self._upstream_states.fragile_ids.add(upstream.id)
            self._stated_at_by_service[upstream.service] = stated_at
        if max_rejections == before:
            return
        fields = {"upstream": upstream.id, "before": before, "origin": origin}
        if max_rejections is None:
            log.change("upstream.sturdy", **fields)
        else:
            log.change("upstream.fragile", max_rejections=max_rejections, **fields)
