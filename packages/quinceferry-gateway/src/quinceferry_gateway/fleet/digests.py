"""The messages with which gateways exchange what they know. All ages are whole units."""

import math
import zlib
from functools import lru_cache
from typing import Annotated

import msgspec

from quinceferry_gateway.blackboard import Member

DIGEST_FORMAT = 1
"""Version of this format; a digest of another version is rejected."""
AGE_UNIT_SECONDS = 0.05
"""Resolution of ages. Each hop rounds up by half of it on average, which is small compared to the
time after which a member counts as unreachable."""
MAX_AGE_UNITS = 1_200
"""Largest age in a digest, one minute; older observations affect no decision."""

IncarnationChecksum = int
"""Checksum that stands for an incarnation in a digest, four bytes instead of about thirty."""
AgeUnits = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_UNITS)]
Revision = Annotated[int, msgspec.Meta(ge=1)]


class CopySummary(msgspec.Struct, frozen=True, array_like=True):
    """Which copy of a list a gateway has.

    ``revision`` is the store's revision when the list was read, ``content`` a checksum, and ``age``
    the time since the read was requested, by whichever gateway. ``contact`` is for how long before
    that the store is known to have answered again and again.
    """

    revision: Revision
    content: int
    age: AgeUnits
    contact: AgeUnits = 0

    def contact_span(self, now: float) -> tuple[float, float]:
        """Return from when to when the store is known to have answered."""
        until = now - age_seconds(self.age)
        return until - age_seconds(self.contact), until


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """What a gateway knows of the fleet.

    ``ages_by_checksum`` states how long ago each member was seen, by the sender or another gateway;
    ``leaving`` lists members that are about to stop. ``reply_requested`` requests a digest in reply
    at once. ``quarantined_seconds_by_content`` lists contents that must not be run, and for how
    long. ``cut_off_ages_by_checksum`` states how long ago members said that they reach no upstream
    of some service, ``reconnected_ages_by_checksum`` how long ago members no longer said so.
    """

    format: int
    sender: Member
    ages_by_checksum: dict[IncarnationChecksum, AgeUnits]
    leaving: list[IncarnationChecksum]
    summaries_by_kind: dict[str, CopySummary]
    reply_requested: bool = False
    quarantined_seconds_by_content: dict[str, Annotated[int, msgspec.Meta(gt=0)]] = {}
    cut_off_ages_by_checksum: dict[IncarnationChecksum, AgeUnits] = {}
    reconnected_ages_by_checksum: dict[IncarnationChecksum, AgeUnits] = {}


@lru_cache(maxsize=4096)
def incarnation_checksum(incarnation: str) -> IncarnationChecksum:
    """Return the checksum of an incarnation for digests."""
    return zlib.crc32(incarnation.encode())


def age_units(seconds: float) -> int:
    """Return an age in units, rounded up."""
    return min(MAX_AGE_UNITS, max(0, math.ceil(seconds / AGE_UNIT_SECONDS)))


def age_seconds(units: int) -> float:
    """Return an age in seconds."""
    return units * AGE_UNIT_SECONDS


def summarize_copy(
    revision: int,
    content: int,
    read_at: float | None,
    now: float,
    contact_since: float | None = None,
) -> CopySummary | None:
    """Return the summary of a gateway's copy of a list, None without a copy.

    :param read_at: when the read of the copy was requested.
    :param contact_since: since when the store is known to have answered.
    """
    if read_at is None:
        return None
    age = age_units(now - read_at)
    contact = 0
    if contact_since is not None:
        # Rounded down: a contact that gets longer with each hop would hide an outage.
        units = math.floor((now - contact_since) / AGE_UNIT_SECONDS) - age
        contact = min(MAX_AGE_UNITS, max(0, units))
    return CopySummary(max(1, revision), content, age, contact)
