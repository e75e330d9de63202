"""Limits how often peers are notified of a value that an upstream announces."""

MIN_NOTICE_INTERVAL_SECONDS = 1.0
"""Shortest time between two notices about an upstream, which bounds the traffic if its announcement
keeps changing."""


class NotifiedValue:
    """The value that this gateway last sent to its peers or received from one, None without one."""

    __slots__ = ("_sent_at", "_value")

    def __init__(self) -> None:
        self._value: float | None = None
        self._sent_at = float("-inf")

    def receive(self, value: float | None) -> None:
        """Record a value that a peer has sent."""
        self._value = value

    def take_due(self, value: float | None, now: float) -> bool:
        """Return whether to send a value to the peers now, and record that it is sent."""
        if value == self._value or now - self._sent_at < MIN_NOTICE_INTERVAL_SECONDS:
            return False
        self._value, self._sent_at = value, now
        return True
