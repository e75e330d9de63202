"""The messages by which gateways tell each other what they know; all ages are whole units."""

import math
import zlib
from functools import lru_cache
from typing import Annotated

import msgspec

from quinceferry_gateway.blackboard import Member

DIGEST_FORMAT = 1
"""Number of this form; a digest of another form is not read."""
AGE_UNIT_SECONDS = 0.05
"""Resolution of ages. Each hop rounds up by half of it on average, small against the silence after
which a member counts as unreachable."""
MAX_AGE_UNITS = 1_200
"""Oldest age that is told, one minute; older knowledge decides nothing."""

IncarnationChecksum = int
"""A member's incarnation in a digest: its checksum, four bytes instead of some thirty."""
AgeUnits = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_UNITS)]
Revision = Annotated[int, msgspec.Meta(ge=1)]


class CopySummary(msgspec.Struct, frozen=True, array_like=True):
    """Which copy of a list a gateway has.

    ``revision`` is the store's when it was read, ``content`` a checksum, ``age`` the time since its
    reading was asked for, wherever that happened.
    """

    revision: Revision
    content: int
    age: AgeUnits


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """What a gateway knows of the fleet.

    ``ages_by_checksum`` tells how long ago each member was heard from, directly or through others;
    ``leaving`` names those about to stop. ``reply_requested`` wants a digest in reply at once.
    ``quarantined_seconds_by_content`` names contents that must not be run, and for how long.
    """

    format: int
    sender: Member
    ages_by_checksum: dict[IncarnationChecksum, AgeUnits]
    leaving: list[IncarnationChecksum]
    summaries_by_kind: dict[str, CopySummary]
    reply_requested: bool = False
    quarantined_seconds_by_content: dict[str, Annotated[int, msgspec.Meta(gt=0)]] = {}


@lru_cache(maxsize=4096)
def incarnation_checksum(incarnation: str) -> IncarnationChecksum:
    """Return the name of an incarnation in digests."""
    return zlib.crc32(incarnation.encode())


def age_units(seconds: float) -> int:
    """Return an age in units, never younger than it is."""
    return min(MAX_AGE_UNITS, max(0, math.ceil(seconds / AGE_UNIT_SECONDS)))


def age_seconds(units: int) -> float:
    """Return an age in seconds."""
    return units * AGE_UNIT_SECONDS


def summarize_copy(
    revision: int, content: int, read_at: float | None, now: float
) -> CopySummary | None:
    """Return which copy of a list a gateway has, None without one.

    :param read_at: when the reading of the copy was asked for.
    """
    if read_at is None:
        return None
    return CopySummary(max(1, revision), content, age_units(now - read_at))
