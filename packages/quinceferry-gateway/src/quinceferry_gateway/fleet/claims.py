"""Which members reach no upstream of some service, as they say themselves.

A member repeats its claim in its digests as long as it holds, and others pass it on with its age.
Whoever gets a digest of the member without its claim passes that on as well. A claim expires a few
seconds after its member has stopped to repeat it.
"""

import math
from collections.abc import Collection, Mapping

from quinceferry_gateway.fleet.digests import AGE_UNIT_SECONDS, IncarnationChecksum

CLAIM_TTL_SECONDS = 4.0
"""How long a claim is valid, longer than its repetition takes to reach most of a large fleet."""


class CutOffClaims:
    """Latest claims by member. Times are those of the monotonic clock, in seconds."""

    __slots__ = ("_claimed_at_by_checksum", "_withdrawn_at_by_checksum")

    def __init__(self) -> None:
        self._claimed_at_by_checksum: dict[IncarnationChecksum, float] = {}
        self._withdrawn_at_by_checksum: dict[IncarnationChecksum, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no member makes a claim or has withdrawn one a moment ago."""
        return not self._claimed_at_by_checksum and not self._withdrawn_at_by_checksum

    def withdraw(self, checksum: IncarnationChecksum, now: float) -> None:
        """Discard the claim of a member that sent a digest without it, and older copies of it."""
        if self._claimed_at_by_checksum.pop(checksum, None) is not None:
            self._withdrawn_at_by_checksum[checksum] = now

    def merge(
        self,
        ages_by_checksum: Mapping[IncarnationChecksum, int],
        members: Collection[IncarnationChecksum],
        now: float,
    ) -> None:
        """Merge the claims in a digest; those of unknown members and old ones are ignored."""
        for checksum in ages_by_checksum.keys() & set(members):
            claimed_at = now - ages_by_checksum[checksum] * AGE_UNIT_SECONDS
            newest_at = max(
                self._claimed_at_by_checksum.get(checksum, -math.inf),
                self._withdrawn_at_by_checksum.get(checksum, -math.inf),
            )
            if claimed_at > newest_at:
                self._claimed_at_by_checksum[checksum] = claimed_at

    def merge_withdrawals(
        self,
        ages_by_checksum: Mapping[IncarnationChecksum, int],
        members: Collection[IncarnationChecksum],
        now: float,
    ) -> None:
        """Merge the withdrawals in a digest, and discard the claims that are older."""
        for checksum in ages_by_checksum.keys() & set(members):
            withdrawn_at = now - ages_by_checksum[checksum] * AGE_UNIT_SECONDS
            claimed_at = self._claimed_at_by_checksum.get(checksum, -math.inf)
            if withdrawn_at < claimed_at or now - withdrawn_at > CLAIM_TTL_SECONDS:
                continue
            self._claimed_at_by_checksum.pop(checksum, None)
            known_at = self._withdrawn_at_by_checksum.get(checksum, -math.inf)
            self._withdrawn_at_by_checksum[checksum] = max(withdrawn_at, known_at)

    def discard_expired(self, now: float) -> None:
        """Discard claims and withdrawals that no longer count."""
        for times in (self._claimed_at_by_checksum, self._withdrawn_at_by_checksum):
            for checksum in [key for key, at in times.items() if now - at > CLAIM_TTL_SECONDS]:
                del times[checksum]

    def ages(self, now: float) -> dict[IncarnationChecksum, int]:
        """Return how long ago each member made its claim, in units."""
        self.discard_expired(now)
        return _ages(self._claimed_at_by_checksum, now)

    def withdrawal_ages(self, now: float) -> dict[IncarnationChecksum, int]:
        """Return how long ago each member was known to have withdrawn its claim, in units."""
        self.discard_expired(now)
        return _ages(self._withdrawn_at_by_checksum, now)


def _ages(
    times_by_checksum: Mapping[IncarnationChecksum, float], now: float
) -> dict[IncarnationChecksum, int]:
    """Return ages in units, rounded up, so that none gets younger on its way."""
    return {
        checksum: math.ceil((now - at) / AGE_UNIT_SECONDS)
        for checksum, at in times_by_checksum.items()
    }
