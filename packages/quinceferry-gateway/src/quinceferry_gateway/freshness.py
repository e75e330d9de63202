"""Whether the configuration of this gateway is recent enough to be relied on."""

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.fleet.copies import CopyReplicator

CONFIGURATION_KIND = "configuration"
"""Kind under which the configuration is handed from gateway to gateway."""
OUTDATED_AFTER_SHARE = 0.7
"""Part of the bound after which an older configuration serves nobody; the rest is for the time in
which news of the newer one travels."""


class ConfigurationFreshness:
    """Tells how far the configuration in force may be from the operators' newest one.

    :param copies: knows what peers have said of theirs.
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
        """Tell whether a newer configuration exists or may have come into force meanwhile.

        What this one does not know may exist by then, so that nothing may be denied for good.
        """
        if self._missed_seconds() is not None:
            return True
        read_at = self._blackboard.configuration_read_at
        return read_at is not None and self._clock.monotonic() - read_at > self._bound_seconds

    @property
    def is_outdated(self) -> bool:
        """Tell whether a newer configuration must be in force by now.

        An old copy alone is no reason: while the store is away, it is the best that there is.
        """
        missed_seconds = self._missed_seconds()
        limit_seconds = OUTDATED_AFTER_SHARE * self._bound_seconds
        return missed_seconds is not None and missed_seconds > limit_seconds

    def _missed_seconds(self) -> float | None:
        """Return for how long a newer configuration has been known of, None if it is not."""
        return self._copies.outdated_seconds(CONFIGURATION_KIND, self._clock.monotonic())
