"""Tracks what upstreams announce about themselves in the headers of their answers.

Rate limits and leaving announcements apply to all gateways, so each gateway notifies its peers of
changes.
"""

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import AnswerHead, Upstream
from quinceferry_gateway.cold_starts import ColdStarts
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.fragile_upstreams import FragileUpstreams
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.rate_limit_updates import record_peer_rate_limit, record_rate_limit

MAX_ID_CHARACTERS = 200
"""Longest upstream identifier accepted in a notice from a peer."""


class RateLimitNotice(msgspec.Struct, frozen=True, array_like=True, tag="limit"):
    """The rate that an upstream announces, None when it has withdrawn its limit."""

    upstream: str
    started_at: float
    rate: float | None


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True, tag="leaving"):
    """An upstream announced in an answer that it is leaving."""

    upstream: str
    started_at: float


class UpstreamSignals:
    """Updates the states of upstreams from the headers of their answers.

    :param cold_starts: tracks which upstreams are cold.
    :param fragile_upstreams: tracks which upstreams must not have to reject many requests.
    :param port: carries notices between gateways.
    :param metrics: counts requests sent to upstreams that limit their request rate.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        cold_starts: ColdStarts,
        fragile_upstreams: FragileUpstreams,
        port: DatagramPort,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._cold_starts = cold_starts
        self._fragile_upstreams = fragile_upstreams
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._port = port
        self._clock = clock
        self._metrics = metrics
        port.add_handler(RateLimitNotice, self._handle_rate_limit_notice)
        port.add_handler(LeavingNotice, self._handle_leaving_notice)
        metrics.observe_rate_limits(self._count_rate_limited)

    def request_sent(self, upstream: Upstream) -> None:
        """Count a request if the upstream limits its request rate."""
        if self._upstream_states.get(upstream).rate_limit.announced is not None:
            self._metrics.count_rate_limited_send(upstream.service)

    def answer_received(self, upstream: Upstream, head: AnswerHead) -> None:
        """Update the rate limit and the leaving state of an upstream from an answer.

        Malformed headers leave the limit unchanged. A misdirected answer is ignored, since it comes
        from another upstream. Only a genuine or not-run answer can end a limit.
        """
        if head.misdirected:
            return
        state = self._upstream_states.get(upstream)
        if head.is_rejection:
            state.rejections += 1
            self._metrics.count_rejection(upstream.service, "no_room")
        if head.malformed_headers and head.malformed_headers != state.malformed_headers:
            log.failure("answer.malformed", upstream=upstream.id, headers=head.malformed_headers)
        state.malformed_headers = head.malformed_headers
        if head.leaving and self._record_leaving(upstream.id, upstream.started_at, "own"):
            self._send_to_peers(LeavingNotice(upstream.id, upstream.started_at))
        self._update_pause(upstream, head.retry_after_seconds)
        self._cold_starts.answer_received(upstream, head.cold_seconds)
        self._fragile_upstreams.answer_received(upstream, head)
        rate = head.max_requests_per_second
        if head.malformed_headers or (rate is None and not (head.genuine or head.not_run)):
            return
        record_rate_limit(self._upstream_states, upstream, rate, self._clock.monotonic(), "own")
        self._notify_peers(upstream)

    def _update_pause(self, upstream: Upstream, seconds: float | None) -> None:
        """Begin, extend or end the pause of an upstream; log and count each one it requests."""
        pause, now = self._upstream_states.get(upstream).pause, self._clock.monotonic()
        if seconds is None:
            pause.answer_received(now)
            return
        pause.begin(seconds, now)
        self._metrics.count_rejection(upstream.service, "paused")
        self._metrics.count_upstream_pause(upstream.service)
        log.change("upstream.paused", upstream=upstream.id, seconds=seconds)

    def _notify_peers(self, upstream: Upstream) -> None:
        """Send the rate limit of an upstream to all peers if it is new to them."""
        state = self._upstream_states.get(upstream)
        rate, now = state.rate_limit.announced, self._clock.monotonic()
        if state.notified_rate.take_due(rate, now):
            self._send_to_peers(RateLimitNotice(upstream.id, upstream.started_at, rate))

    def _send_to_peers(self, notice: msgspec.Struct) -> None:
        """Send a notice to all gateways that may use upstreams."""
        self._port.send(notice, self._blackboard.notice_addresses(self._clock.monotonic()))

    def _record_leaving(self, upstream_id: str, started_at: float, origin: str) -> bool:
        """Record and log that an upstream is leaving, and return whether this is new."""
        if not self._upstream_states.record_leaving(upstream_id, started_at):
            return False
        log.change("upstream.leaving", upstream=upstream_id, origin=origin)
        return True

    def _handle_leaving_notice(self, notice: LeavingNotice, sender: object) -> None:
        """Apply a notice from a peer, even if the upstream is not yet known to this gateway."""
        if len(notice.upstream) > MAX_ID_CHARACTERS:
            log.failure("leaving.malformed", peer=str(sender))
            return
        self._record_leaving(notice.upstream, notice.started_at, str(sender))

    def _handle_rate_limit_notice(self, notice: RateLimitNotice, sender: object) -> None:
        """Apply a notice from a peer; ignore one about an unknown upstream."""
        upstream = self._blackboard.upstreams_by_id.get(notice.upstream)
        if upstream is None or upstream.started_at != notice.started_at:
            return
        now = self._clock.monotonic()
        record_peer_rate_limit(self._upstream_states, upstream, notice.rate, now, str(sender))

    def _count_rate_limited(self) -> int:
        """Return how many upstreams limit their request rate."""
        upstreams = self._blackboard.upstreams_by_id.values()
        limits = [self._upstream_states.get(upstream).rate_limit for upstream in upstreams]
        return sum(limit.announced is not None for limit in limits)
