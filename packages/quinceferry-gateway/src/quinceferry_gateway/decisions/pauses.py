"""Pauses that upstreams request when they reject requests.

An overloaded upstream rejects requests and names a retry time. Any request sent before that time
adds to its load and costs the caller an attempt.
"""

PROBE_TIMEOUT_SECONDS = 1.0
"""How long the first request after a pause may stay unanswered before the next one is sent. Keeps a
recovering upstream from receiving all waiting requests at once."""


class RequestPause:
    """The pause that one lifetime of an upstream requested from this gateway.

    ``blocked_until`` is the earliest time of the next request, on the monotonic clock.
    """

    __slots__ = ("_active", "_probing", "blocked_until")

    def __init__(self) -> None:
        self._active = False
        self._probing = False
        self.blocked_until = 0.0

    def begin(self, seconds: float, now: float) -> None:
        """Begin or extend the pause; it is never shortened."""
        self.blocked_until = max(self.blocked_until, now + seconds)
        self._active = True
        self._probing = False

    def request_sent(self, now: float) -> None:
        """Block further requests until the first one after a pause is answered or times out."""
        if self._active and now >= self.blocked_until:
            self.blocked_until = now + PROBE_TIMEOUT_SECONDS
            self._probing = True

    def answer_received(self, now: float) -> None:
        """End the pause on an answer that requests none, unless no probe has been sent yet.

        Answers to requests from before the pause must not end it early.
        """
        if self._probing:
            self.blocked_until = now
            self._active = self._probing = False
