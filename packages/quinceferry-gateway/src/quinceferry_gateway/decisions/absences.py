"""Which upstreams may still be used though the list lacks them.

The load: the store goes away for some seconds and ends the leases of all upstreams. Its first lists
after that hold few of them, though all serve and register again within two seconds; without those
that are missing, every request of that time would be refused. A gateway that alone was cut off
from the store sees a gap of the same length, and there what is missing has left.

The list itself tells the two apart: when the store ends leases, it ends all, and whoever is back
has registered anew. One entry that outlived the gap shows that no lease was ended, so that what is
missing has left.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from quinceferry_gateway.catalog import Upstream

HEARTBEATS_OF_LEASE = 3
"""Heartbeats without renewal after which the lease of an upstream ends."""
GRACE_SECONDS = 2.5
"""How long after the store's return a missing upstream may be used: live ones are back within about
two seconds, and three seconds after it one that has left may get no more requests."""


@dataclass(slots=True)
class _Absence:
    """An upstream that is used though the list lacks it, until a time of the steady clock."""

    upstream: Upstream
    ends_at: float


class Absences:
    """Follows the readings of the list and tells which missing upstreams to keep.

    All times are those of the steady clock, in seconds.

    :param heartbeat_seconds: interval at which upstreams renew their leases.
    """

    def __init__(self, heartbeat_seconds: float) -> None:
        # The last renewal may be one heartbeat older than the begin of an outage.
        self._shortest_lapse = (HEARTBEATS_OF_LEASE - 1) * heartbeat_seconds
        self._listed_by_id: dict[str, Upstream] = {}
        self._asked_at: float | None = None
        self._failed_at: float | None = None
        self._absent_by_id: dict[str, _Absence] = {}

    @property
    def next_end(self) -> float | None:
        """Return when the first missing upstream may no longer be used, None when none is kept."""
        return min((absence.ends_at for absence in self._absent_by_id.values()), default=None)

    def failed(self, asked_at: float) -> None:
        """Note a reading that failed.

        :param asked_at: when it began. The store came back later than that, however late the
            failure showed.
        """
        self._failed_at = asked_at

    def read(
        self, listed_by_id: Mapping[str, Upstream], asked_at: float, now: float
    ) -> dict[str, Upstream]:
        """Note a list and return the upstreams that it lacks and that may still be used.

        :param asked_at: when its reading began.
        """
        if self._leases_may_have_ended(listed_by_id, now):
            self._suspend()
            self._begin()
        self._failed_at = None
        self._asked_at = asked_at
        self._listed_by_id = dict(listed_by_id)
        self._absent_by_id = {
            key: absence
            for key, absence in self._absent_by_id.items()
            if key not in listed_by_id and absence.ends_at > now
        }
        return {key: absence.upstream for key, absence in self._absent_by_id.items()}

    def _leases_may_have_ended(self, listed_by_id: Mapping[str, Upstream], now: float) -> bool:
        """Tell whether the store may have ended leases since the last reading that succeeded.

        A gateway's own failed calls don't show it: its path to the store may have failed.
        """
        if self._asked_at is None or self._failed_at is None:
            return False
        if now - self._asked_at < self._shortest_lapse:
            return False
        return not any(
            item.registration and item.registration == listed_by_id[key].registration
            for key, item in self._listed_by_id.items()
            if key in listed_by_id
        )

    def _suspend(self) -> None:
        """Leave out of each grace the time that the store was away: nobody could register then."""
        for absence in self._absent_by_id.values():
            absence.ends_at += self._failed_at - self._asked_at

    def _begin(self) -> None:
        """Begin the grace of the upstreams that the last list still held.

        Each has one of its own, so that a later failure begins none anew.
        """
        ends_at = self._failed_at + GRACE_SECONDS
        for key, item in self._listed_by_id.items():
            self._absent_by_id[key] = _Absence(item, ends_at)
