"""Tracks the rate limits that upstreams announce in the headers of their answers."""

from quinceferry_gateway.catalog import AnswerHead, Upstream
from quinceferry_gateway.decisions import Beliefs
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics


class UpstreamSignals:
    """Updates the beliefs about upstreams from the headers of their answers.

    :param metrics: counts requests sent to upstreams that limit their request rate.
    """

    def __init__(self, beliefs: Beliefs, metrics: Metrics) -> None:
        self._beliefs = beliefs
        self._metrics = metrics

    def request_sent(self, upstream: Upstream) -> None:
        """Count a request if the upstream limits its request rate."""
        if self._beliefs.of(upstream).max_requests_per_second is not None:
            self._metrics.rate_limited_send(upstream.service)

    def answer_received(self, upstream: Upstream, head: AnswerHead) -> None:
        """Update the rate limit of an upstream from an answer.

        Malformed headers leave the limit unchanged. A misdirected answer is ignored, since it comes
        from another upstream.
        """
        if head.misdirected:
            return
        belief = self._beliefs.of(upstream)
        if head.malformed_headers and head.malformed_headers != belief.malformed_headers:
            log.failure("answer.malformed", upstream=upstream.id, headers=head.malformed_headers)
        belief.malformed_headers = head.malformed_headers
        if head.malformed_headers:
            return
        self._update_rate_limit(upstream, head.max_requests_per_second)

    def _update_rate_limit(self, upstream: Upstream, rate_limit: float | None) -> None:
        """Store the rate limit of an upstream and log a change."""
        belief = self._beliefs.of(upstream)
        before, belief.max_requests_per_second = belief.max_requests_per_second, rate_limit
        if rate_limit == before:
            return
        if rate_limit is None:
            log.change("upstream.unlimited", upstream=upstream.id, before=before)
        else:
            log.change(
                "upstream.limited",
                upstream=upstream.id,
                requests_per_second=rate_limit,
                before=before,
            )
