"""Counting keys of calls to the key-value service."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class KvCallKind:
    """Key of the call counts: first path element of the key, or ``lease``, and the method."""

    purpose: str
    verb: str


LEASE_PURPOSE = "lease"
"""Purpose of calls that name a lease instead of a key."""


def call_kind(verb: str, key: str) -> KvCallKind:
    """Return the counting key of one call.

    :param verb: method name, such as ``put_if``.
    :param key: the key or prefix named by the call; empty for lease calls.
    :return: the counting key.
    """
    purpose = key.partition("/")[0] or LEASE_PURPOSE
    return KvCallKind(purpose, verb)
