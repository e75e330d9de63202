"""Request bodies and the memory they hold."""

from typing import Any

from litestar import Request
from returns.result import Failure, Result, Success

from quinceferry_core.outcomes import Failed, RefusalReason
from quinceferryd.refusals import refusal

_MEMORY_RETRY_SECONDS = 1.0


class BodyMemory:
    """Bounds the request bodies held at once.

    :param max_total_bytes: bytes that all bodies together may hold.
    """

    def __init__(self, max_total_bytes: int) -> None:
        self._free_bytes = max_total_bytes

    def take(self, size: int) -> bool:
        """Reserve bytes; false when too few are free."""
        if size > self._free_bytes:
            return False
        self._free_bytes -= size
        return True

    def give_back(self, size: int) -> None:
        """Release reserved bytes."""
        self._free_bytes += size


class HeldBody:
    """A body whose bytes are reserved until it is released."""

    __slots__ = ("_held_bytes", "_memory", "data")

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._held_bytes = 0
        self.data = b""

    def grow(self, size: int) -> bool:
        """Reserve more bytes; false when too few are free."""
        if not self._memory.take(size):
            return False
        self._held_bytes += size
        return True

    def release(self) -> None:
        """Release all bytes; idempotent."""
        self._memory.give_back(self._held_bytes)
        self._held_bytes = 0


async def read_body(
    request: Request[Any, Any, Any], max_bytes: int, memory: BodyMemory
) -> Result[HeldBody, Failed]:
    """Read a body within the bounds of one body and of all together.

    :param max_bytes: greatest size of this body.
    :return: the body, which the caller must release.
    """
    held = HeldBody(memory)
    pieces: list[bytes] = []
    size = 0
    try:
        async for piece in request.stream():
            size += len(piece)
            if size > max_bytes:
                held.release()
                detail = f"the body is larger than {max_bytes} bytes"
                return Failure(refusal(RefusalReason.OVERSIZED, detail))
            if not held.grow(len(piece)):
                held.release()
                detail = "too many large requests at once"
                return Failure(refusal(RefusalReason.MEMORY_FULL, detail, _MEMORY_RETRY_SECONDS))
            pieces.append(piece)
    except BaseException:
        held.release()
        raise
    held.data = b"".join(pieces)
    return Success(held)
