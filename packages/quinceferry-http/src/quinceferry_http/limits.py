"""Limits on what a client may send."""

from dataclasses import dataclass

_RAW_BYTES_PER_COUNTED_BYTE = 5
"""Raw bytes of a header line for each byte of its name and value, in the shortest lines."""


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on what a client may send on one connection, and on the time that it may take.

    ``max_header_bytes`` counts the names and values of a request's headers, ``max_target_bytes``
    its target. ``max_requests_ahead`` is how many requests are parsed while an earlier one has no
    answer yet; then nothing is read until it has one. ``max_discarded_bytes`` is how much of a
    request is read and dropped after it was answered, so that the client can read the answer.
    ``head_seconds`` and ``body_seconds`` are how long a head and a body may take to arrive,
    ``unread_seconds`` is how long a client may take nothing of an answer that waits for it.
    """

    max_header_bytes: int = 16_384
    max_target_bytes: int = 16_384
    max_requests_ahead: int = 4
    max_discarded_bytes: int = 1_048_576
    head_seconds: float = 10.0
    body_seconds: float = 60.0
    unread_seconds: float = 60.0

    @property
    def max_head_bytes(self) -> int:
        """Return the most raw bytes of a head, with its framing and the empty lines before it."""
        return self.max_target_bytes + _RAW_BYTES_PER_COUNTED_BYTE * self.max_header_bytes

    def max_framing_bytes(self, body_bytes: int) -> int:
        """Return the most raw bytes around so much of a body: chunk sizes and trailers."""
        return self.max_head_bytes + _RAW_BYTES_PER_COUNTED_BYTE * body_bytes
