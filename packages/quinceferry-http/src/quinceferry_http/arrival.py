"""What has arrived of the request that a client sends, counted in raw bytes and in memory."""

from enum import Enum

from quinceferry_http.limits import ClientLimits

SLICE_BYTES = 512
"""Bytes that are parsed at once, unless they belong to a body of known length."""
REQUEST_BYTES = 4_096
"""Memory of a request besides its contents."""
HEADER_BYTES = 160
"""Memory of a header besides its contents."""


class Stage(Enum):
    """What the client sends next."""

    REQUEST_LINE = "request_line"
    HEAD = "head"
    BODY = "body"


class Arrival:
    """The request that a client sends now, as far as it has arrived."""

    __slots__ = (
        "_body_bytes",
        "_bytes_at_body_part",
        "_expected_body_bytes",
        "_head_memory_bytes",
        "_stage_bytes",
        "stage",
    )

    def __init__(self) -> None:
        self.stage = Stage.REQUEST_LINE
        self._expected_body_bytes = 0
        self._head_memory_bytes = 0
        self._clear_counts()

    @property
    def has_begun(self) -> bool:
        """Return whether anything has arrived, be it an empty line before the request."""
        return self.stage is not Stage.REQUEST_LINE or self._stage_bytes > 0

    @property
    def slice_bytes(self) -> int:
        """Return how many bytes to parse at once."""
        if self.stage is not Stage.BODY:
            return SLICE_BYTES
        return max(SLICE_BYTES, self._expected_body_bytes - self._body_bytes)

    def memory_bytes(self, headers: int) -> int:
        """Return the memory of the request, with what the parser keeps of it.

        :param headers: number of its headers so far.
        """
        if self.stage is Stage.BODY:
            unread_bytes = self._stage_bytes - self._bytes_at_body_part
            return self._head_memory_bytes + self._body_bytes + unread_bytes
        return REQUEST_BYTES + HEADER_BYTES * headers + self._stage_bytes

    def add(self, size: int) -> None:
        """Count raw bytes that are about to be parsed."""
        self._stage_bytes += size

    def add_body(self, size: int) -> None:
        """Count bytes of the body."""
        self._body_bytes += size
        self._bytes_at_body_part = self._stage_bytes

    def begin_head(self) -> None:
        """Note that the request line has begun; empty lines before it count with the head."""
        self.stage = Stage.HEAD

    def begin_body(self, headers: int, expected_bytes: int) -> None:
        """Note that the head is complete.

        :param headers: number of its headers.
        :param expected_bytes: the length that it announces for the body, 0 if there is none.
        """
        self._expected_body_bytes = expected_bytes
        self._head_memory_bytes = self.memory_bytes(headers)
        self.stage = Stage.BODY
        self._clear_counts()

    def end(self) -> None:
        """Note that the request is complete."""
        self.stage = Stage.REQUEST_LINE
        self._clear_counts()

    def exceeds(self, limits: ClientLimits) -> bool:
        """Return whether the head, or what is not body after it, is larger than permitted."""
        if self.stage is not Stage.BODY:
            return self._stage_bytes > limits.max_head_bytes
        framing_bytes = self._stage_bytes - self._body_bytes
        return framing_bytes > limits.max_framing_bytes(self._body_bytes)

    def _clear_counts(self) -> None:
        """Begin to count the bytes of a stage."""
        self._stage_bytes = 0
        self._body_bytes = 0
        self._bytes_at_body_part = 0
