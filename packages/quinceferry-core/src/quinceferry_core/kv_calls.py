"""Classification of calls to the key-value store, for their metrics."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class KvCallKind:
    """Kind of a call: the first path element of its key, or ``lease``, and the method."""

    purpose: str
    verb: str


LEASE_PURPOSE = "lease"
"""Purpose of calls that have a lease instead of a key."""


def call_kind(verb: str, key: str) -> KvCallKind:
    """Return the kind of a call.

    :param verb: method name, such as ``put_if``.
    :param key: key or prefix of the call; empty for lease calls.
    """
    purpose = key.partition("/")[0] or LEASE_PURPOSE
    return KvCallKind(purpose, verb)
