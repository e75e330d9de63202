"""Estimate of which engines cache the shared prefix of a prompt.

Callers of one document send their next prompt within seconds, and prefilling its prefix again
delays all streams of an engine. Engines report what they cache late and at a cost, whereas the
gateway knows at once where it sent a prompt.
"""

import hashlib
from collections import OrderedDict

CACHED_SECONDS = 12.0
"""How long an engine is assumed to cache a prefix that was sent to it. The cache of an engine holds
about 20 s of the prompts that it prefills."""
MAX_PREFIXES = 8_192
"""Most prefixes kept, about 2 MB; evicts those sent least recently."""


def hash_prefix(part_ids: list[str]) -> str:
    """Return a short key for the shared prefix of a prompt."""
    return hashlib.blake2b(",".join(part_ids).encode(), digest_size=8).hexdigest()


class CachedPrefixes:
    """Upstreams to which prompts with the same shared prefix were sent recently."""

    __slots__ = ("_sent_at_by_prefix",)

    def __init__(self) -> None:
        self._sent_at_by_prefix: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record_send(self, prefix_key: str, upstream_id: str, now: float) -> None:
        """Record that a prompt with this prefix was sent to an upstream."""
        sent_at = self._sent_at_by_prefix.setdefault(prefix_key, {})
        sent_at[upstream_id] = now
        self._sent_at_by_prefix.move_to_end(prefix_key)
        while len(self._sent_at_by_prefix) > MAX_PREFIXES:
            self._sent_at_by_prefix.popitem(last=False)

    def caching_upstreams(self, prefix_key: str, now: float) -> dict[str, float]:
        """Return the upstreams that likely cache the prefix, with the time of the last send."""
        sent_at = self._sent_at_by_prefix.get(prefix_key)
        if not sent_at:
            return {}
        for expired in [
            upstream_id for upstream_id, at in sent_at.items() if now - at > CACHED_SECONDS
        ]:
            del sent_at[expired]
        return sent_at

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream whose cache is lost because it has stopped or restarted."""
        for sent_at in self._sent_at_by_prefix.values():
            sent_at.pop(upstream_id, None)
