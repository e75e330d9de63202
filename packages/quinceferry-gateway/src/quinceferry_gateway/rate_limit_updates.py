"""Records the rate limits that upstreams announce, to this gateway or to a peer."""

from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.logs import log

MAX_REQUESTS_PER_SECOND = 1e9
"""Largest rate accepted from a peer, in requests a second."""


def record_rate_limit(
    states: UpstreamStates, upstream: Upstream, rate: float | None, now: float, origin: str
) -> None:
    """Store the rate limit of an upstream and log a change.

    :param rate: requests a second, None when the upstream has withdrawn its limit.
    :param origin: ``own`` for an answer to this gateway, else the peer that reported it.
    """
    limit = states.get(upstream).rate_limit
    before = limit.announced
    limit.announce(rate, now)
    if rate is not None:
        states.rate_limited_ids.add(upstream.id)
    if rate == before:
        return
    fields = {"upstream": upstream.id, "before": before, "origin": origin}
    if rate is None:
        log.change("upstream.unlimited", **fields)
    else:
        log.change("upstream.limited", requests_per_second=rate, **fields)


def record_peer_rate_limit(
    states: UpstreamStates, upstream: Upstream, rate: float | None, now: float, peer: str
) -> None:
    """Store the rate limit that a peer reports; log and ignore one that is out of range."""
    if rate is not None and not 0 <= rate <= MAX_REQUESTS_PER_SECOND:
        log.failure("limit.malformed", peer=peer, rate=str(rate))
        return
    record_rate_limit(states, upstream, rate, now, peer)
    states.get(upstream).notified_rate.receive(rate)
