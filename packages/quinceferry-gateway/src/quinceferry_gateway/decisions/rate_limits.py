"""Rate limits that upstreams announce, and the spacing of requests that observes them.

A limit applies to all gateways together and can be lower than their number, such as one request a
second for nine or two hundred gateways. If each gateway had an equal share, all could send at the
same moment, so a single gateway spaces out the requests of all.
"""

from dataclasses import dataclass

MIN_REQUESTS_PER_SECOND = 0.1
"""Lowest rate that is enforced. Only an answer can end a limit, so an upstream that accepts no
requests must still get one occasionally."""
LIMIT_RAMP_SECONDS = 2.0
"""Time over which a withdrawn limit rises before it ends, so that waiting requests are not all
released by a single answer."""
TAKEOVER_SECONDS = 4.0
"""Time for which a new schedule uses a reduced rate, since another gateway may still grant
permits for the same upstream."""
REDUCED_RATE_SHARE = 0.5
"""Share of the rate that a gateway grants while another may grant for the same upstream."""

MAX_RETRY_SPREAD_SECONDS = 2.0
"""Longest retry delay of a denied gateway, unless the next slot is later. Bounds the time for which
slots stay unused because the gateways assigned to them do not retry."""


@dataclass(slots=True, frozen=True)
class SlotReservation:
    """The result of an attempt to reserve a slot.

    ``wait_seconds`` is the time until the slot, whether or not it is reserved. ``retry_seconds`` is
    the delay before the next attempt to reserve an immediate slot, zero if the slot is reserved.
    """

    reserved: bool
    wait_seconds: float
    retry_seconds: float = 0.0


class RateLimit:
    """The request rate that one lifetime of an upstream accepts, according to its answers.

    ``announced`` is the rate in the last answer, in requests a second, None if it had none.
    """

    __slots__ = ("_rate", "_withdrawn_at", "announced")

    def __init__(self) -> None:
        self.announced: float | None = None
        self._rate = 0.0
        self._withdrawn_at = float("-inf")

    def announce(self, rate: float | None, now: float) -> None:
        """Record the rate in an answer, None if it has none."""
        if rate is not None:
            self._rate = rate
        elif self.announced is not None:
            self._withdrawn_at = now
        self.announced = rate

    def current(self, now: float) -> float | None:
        """Return the rate to enforce, None without a limit."""
        if self.announced is not None:
            return max(MIN_REQUESTS_PER_SECOND, self.announced)
        elapsed = now - self._withdrawn_at
        if elapsed >= LIMIT_RAMP_SECONDS:
            return None
        return max(MIN_REQUESTS_PER_SECOND, self._rate) * 2 ** (1 + elapsed)


class PermitSchedule:
    """Spaces out the requests to one upstream evenly, without bursts.

    Assigns successive retry times to denied gateways, so that they do not all retry at each slot.

    :param now: start of the schedule; the first slot is one interval later.
    """

    __slots__ = ("_last_slot_at", "_last_retry_at", "_started_at")

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._last_slot_at = now
        self._last_retry_at = now

    def reserve(
        self, rate: float, sole_issuer: bool, max_wait_seconds: float, now: float
    ) -> SlotReservation:
        """Reserve the next slot if it is within the longest acceptable wait.

        :param rate: requests a second that the upstream accepts.
        :param sole_issuer: whether no other gateway is expected to grant for this upstream.
        """
        if not sole_issuer or now - self._started_at < TAKEOVER_SECONDS:
            rate *= REDUCED_RATE_SHARE
        slot_at = max(now, self._last_slot_at + 1 / rate)
        wait = slot_at - now
        if wait > max_wait_seconds:
            retry_at = max(slot_at, self._last_retry_at + 1 / rate)
            retry_at = min(retry_at, now + MAX_RETRY_SPREAD_SECONDS)
            self._last_retry_at = retry_at
            return SlotReservation(False, wait, max(wait, retry_at - now))
        self._last_slot_at = slot_at
        return SlotReservation(True, wait)
