"""Determines whether the configuration of this gateway is recent enough."""

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.fleet.copies import CopyReplicator

CONFIGURATION_KIND = "configuration"
"""Name of the configuration among the lists whose copies gateways exchange."""
OUTDATED_AFTER_SHARE = 0.7
"""Share of the bound after which requests are refused once a newer configuration is known to exist.
The rest allows for the time in which that knowledge spreads."""


class ConfigurationFreshness:
    """Determines how outdated the configuration in force may be.

    :param copies: knows which copies the peers have announced.
    :param bound_seconds: time until a new configuration must be in force everywhere.
    """

    __slots__ = ("_blackboard", "_bound_seconds", "_clock", "_copies")

    def __init__(
        self, blackboard: Blackboard, copies: CopyReplicator, clock: Clock, bound_seconds: float
    ) -> None:
        self._blackboard = blackboard
        self._copies = copies
        self._clock = clock
        self._bound_seconds = bound_seconds

    @property
    def may_be_outdated(self) -> bool:
        """Return whether a newer configuration exists or may be in force by now.

        A route or key that is missing here may exist there, so a request must not be refused for
        good.
        """
        if self._missed_seconds() is not None:
            return True
        read_at = self._blackboard.configuration_read_at
        return read_at is not None and self._clock.monotonic() - read_at > self._bound_seconds

    @property
    def is_outdated(self) -> bool:
        """Return whether a newer configuration must be in force by now.

        An old copy alone is no reason: while the store is unavailable, there is no better one.
        """
        missed_seconds = self._missed_seconds()
        limit_seconds = OUTDATED_AFTER_SHARE * self._bound_seconds
        return missed_seconds is not None and missed_seconds > limit_seconds

    def _missed_seconds(self) -> float | None:
        """Return how long a newer configuration has been known to exist, None if none is known."""
        return self._copies.outdated_seconds(CONFIGURATION_KIND, self._clock.monotonic())
