"""Rendezvous hashing: a stable order of candidates for a key, without coordination."""

import hashlib
from collections.abc import Iterable


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, best first; adding or removing one moves no other pair."""
    return sorted(candidates, key=lambda candidate: _weight(key, candidate), reverse=True)


def _weight(key: str, candidate: str) -> bytes:
    """Return the weight of a candidate for a key."""
    return hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
