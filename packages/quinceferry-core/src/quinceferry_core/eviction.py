"""Eviction from mappings whose size is bounded."""

from typing import Any


def evict_oldest(items: dict[Any, Any], max_items: int) -> None:
    """Remove the entries that were inserted first, until no more than the maximum are left."""
    while len(items) > max_items:
        del items[next(iter(items))]
