"""Splits a stream into whole events, so that it can be resumed at another upstream."""

from quinceferry_gateway.exceptions import ConnectionBrokenError

MAX_EVENT_BYTES = 65_536
"""Longest event; those of sound upstreams have some hundred bytes. Two hundred streams whose events
never end then take 13 MB."""
_END = b"\n\n"
_END_CRLF = b"\r\n\r\n"


class StreamPace:
    """Timing of the events of one stream.

    :param requested_at: time of the caller's request on the monotonic clock, in seconds.
    """

    __slots__ = ("_requested_at", "_last_at", "first_event_seconds", "longest_pause_seconds")

    def __init__(self, requested_at: float) -> None:
        self._requested_at = requested_at
        self._last_at: float | None = None
        self.first_event_seconds = 0.0
        self.longest_pause_seconds = 0.0

    def record_event(self, now: float) -> None:
        """Record that events arrived."""
        if self._last_at is None:
            self.first_event_seconds = now - self._requested_at
        else:
            self.longest_pause_seconds = max(self.longest_pause_seconds, now - self._last_at)
        self._last_at = now


class EventBuffer:
    """Buffers the bytes of a stream and returns whole events.

    :param last_id: identifier of the last event that the caller has received, or an empty string.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.count = 0
        self._pending = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of a body and return the events that it completes, unchanged.

        :raises ConnectionBrokenError: an event is longer than MAX_EVENT_BYTES.
        """
        # An event that was incomplete can end only in the chunk, or across its beginning. Searching
        # all of it again would cost the square of its length.
        searched_from = max(0, len(self._pending) - len(_END_CRLF) + 1)
        self._pending += chunk
        end = _end_of_last_event(self._pending, searched_from)
        if len(self._pending) - end > MAX_EVENT_BYTES:
            raise ConnectionBrokenError("event too long", step="events")
        if not end:
            return b""
        complete_events = bytes(self._pending[:end])
        del self._pending[:end]
        self._count_events(complete_events)
        return complete_events

    def restart(self) -> None:
        """Discard the incomplete event of an interrupted stream."""
        self._pending.clear()

    @property
    def pending(self) -> bytes:
        """Return the bytes after the last whole event."""
        return bytes(self._pending)

    def _count_events(self, complete_events: bytes) -> None:
        """Count events and remember the identifier of the last one."""
        for line in complete_events.replace(b"\r\n", b"\n").split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                self.count += 1


def _end_of_last_event(data: bytearray, searched_from: int) -> int:
    """Return the position after the last blank line that ends behind a position, or zero."""
    lf_position = data.rfind(_END, searched_from)
    crlf_position = data.rfind(_END_CRLF, searched_from)
    return max(
        lf_position + len(_END) if lf_position >= 0 else 0,
        crlf_position + len(_END_CRLF) if crlf_position >= 0 else 0,
    )
