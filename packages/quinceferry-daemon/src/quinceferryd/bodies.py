"""Request bodies, read within limits on their size and total memory."""

import asyncio
from typing import Any

from litestar import Request
from returns.result import Failure, Result, Success

from quinceferry_core.outcomes import Failed, RefusalReason
from quinceferryd.refusals import refusal

_MEMORY_RETRY_SECONDS = 1.0


class BodyMemory:
    """Limits the total memory of buffered request bodies.

    :param max_total_bytes: maximum size of all buffered bodies together.
    """

    def __init__(self, max_total_bytes: int) -> None:
        self._free_bytes = max_total_bytes

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return false if too few are free."""
        if size > self._free_bytes:
            return False
        self._free_bytes -= size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._free_bytes += size


class BufferedBody:
    """A request body whose bytes stay reserved until it is released."""

    __slots__ = ("_reserved_bytes", "_memory", "data")

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._reserved_bytes = 0
        self.data = b""

    def grow(self, size: int) -> bool:
        """Reserve more bytes; return false if too few are free."""
        if not self._memory.reserve(size):
            return False
        self._reserved_bytes += size
        return True

    def release(self) -> None:
        """Release all reserved bytes. Idempotent."""
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0


async def read_body(
    request: Request[Any, Any, Any], max_bytes: int, timeout_seconds: float, memory: BodyMemory
) -> Result[BufferedBody, Failed]:
    """Read a body within the limits on its size, its duration and the total memory.

    :param max_bytes: maximum size of this body.
    :param timeout_seconds: time limit for receiving the whole body.
    :param memory: total memory from which the bytes are reserved.
    :return: the body, which the caller must release, or the refusal.
    """
    body = BufferedBody(memory)
    try:
        async with asyncio.timeout(timeout_seconds):
            failure = await _read_into(body, request, max_bytes)
    except TimeoutError:
        detail = f"the body did not arrive within {timeout_seconds:g} seconds"
        failure = refusal(RefusalReason.DEADLINE_EXCEEDED, detail)
    except BaseException:
        body.release()
        raise
    if failure is not None:
        body.release()
        return Failure(failure)
    return Success(body)


async def _read_into(
    body: BufferedBody, request: Request[Any, Any, Any], max_bytes: int
) -> Failed | None:
    """Read a body as it arrives; return the refusal if it exceeds a limit."""
    pieces: list[bytes] = []
    size = 0
    async for piece in request.stream():
        size += len(piece)
        if size > max_bytes:
            return refusal(RefusalReason.OVERSIZED, f"the body is larger than {max_bytes} bytes")
        if not body.grow(len(piece)):
            detail = "too many large requests at once"
            return refusal(RefusalReason.MEMORY_FULL, detail, _MEMORY_RETRY_SECONDS)
        pieces.append(piece)
    body.data = b"".join(pieces)
    return None
