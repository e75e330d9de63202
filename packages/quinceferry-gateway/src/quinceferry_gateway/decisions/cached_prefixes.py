"""Which engines likely keep the shared parts of a prompt.

The load: callers of one document come back within seconds, and reading its parts anew delays all
streams of an engine. Engines tell late, and for a price, what they keep; where a prompt was sent is
known at once.
"""

import hashlib
from collections import OrderedDict

CACHED_SECONDS = 12.0
"""How long a part that was sent to an engine counts as kept there. Engines have room for some 20 s
of the prompts that they read."""
MAX_PREFIXES = 8_192
"""Prompts remembered at once, about 2 MB; the least recently sent go first."""


def hash_prefix(part_ids: list[str]) -> str:
    """Return a short name of the shared parts of a prompt."""
    return hashlib.blake2b(",".join(part_ids).encode(), digest_size=8).hexdigest()


class CachedPrefixes:
    """Where prompts with the same shared parts were sent lately."""

    __slots__ = ("_sent_at_by_prefix",)

    def __init__(self) -> None:
        self._sent_at_by_prefix: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record_send(self, prefix_key: str, upstream_id: str, now: float) -> None:
        """Note that a prompt with these parts went to an upstream."""
        sent_at = self._sent_at_by_prefix.setdefault(prefix_key, {})
        sent_at[upstream_id] = now
        self._sent_at_by_prefix.move_to_end(prefix_key)
        while len(self._sent_at_by_prefix) > MAX_PREFIXES:
            self._sent_at_by_prefix.popitem(last=False)

    def caching_upstreams(self, prefix_key: str, now: float) -> dict[str, float]:
        """Return the upstreams that likely keep the parts, with the time of the last sending."""
        sent_at = self._sent_at_by_prefix.get(prefix_key)
        if not sent_at:
            return {}
        for expired in [
            upstream_id for upstream_id, at in sent_at.items() if now - at > CACHED_SECONDS
        ]:
            del sent_at[expired]
        return sent_at

    def remove_upstream(self, upstream_id: str) -> None:
        """Note that an upstream keeps nothing: it has ended or started anew."""
        for sent_at in self._sent_at_by_prefix.values():
            sent_at.pop(upstream_id, None)
