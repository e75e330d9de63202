"""Structured log lines on standard output, limited in rate and written without blocking.

Lines are buffered in memory and written a few times per second. Above a rate limit, successes are
dropped first and failures last; a log line gives the number of dropped lines.
"""

import asyncio
import logging
import os
import sys
from collections import deque
from typing import Any

import structlog

SUCCESS_LINES_PER_SECOND = 100
"""Maximum rate of lines about successful requests, several times the request rate of one small
vm."""
FAILURE_LINES_PER_SECOND = 300
"""Maximum rate of lines about failures and changes of state."""
MAX_BUFFERED_LINES = 2_000
"""Maximum number of lines buffered while the reader of the log is blocked, about 600 KB."""
FLUSH_INTERVAL_SECONDS = 0.1
REFILL_INTERVAL_SECONDS = 1.0
"""Interval after which the rate limits are reset."""

_SECRET_FIELDS = ("credential", "authorization", "secret")


class LogBuffer:
    """Lines waiting to be written to a file descriptor.

    :param descriptor: non-blocking file descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._remaining_success_lines = SUCCESS_LINES_PER_SECOND
        self._remaining_failure_lines = FAILURE_LINES_PER_SECOND
        self._dropped = 0

    def try_acquire_line(self, failure: bool) -> bool:
        """Return whether to write one more line in this second; count it as dropped if not."""
        remaining_lines = (
            self._remaining_failure_lines if failure else self._remaining_success_lines
        )
        if remaining_lines <= 0 or len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return False
        if failure:
            self._remaining_failure_lines -= 1
        else:
            self._remaining_success_lines -= 1
        return True

    def add(self, line: str) -> None:
        """Append a line."""
        self._lines.append(line.encode() + b"\n")

    def reset_limits(self) -> int:
        """Reset the rate limits for a new second; return the lines dropped in the last one."""
        self._remaining_success_lines = SUCCESS_LINES_PER_SECOND
        self._remaining_failure_lines = FAILURE_LINES_PER_SECOND
        dropped, self._dropped = self._dropped, 0
        return dropped

    def flush(self) -> bool:
        """Write as much as the descriptor accepts without blocking, and keep the rest.

        :return: whether everything was written.
        """
        data = self._unwritten + b"".join(self._lines)
        self._lines.clear()
        if not data:
            return True
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(data)
        self._keep_unwritten(data[written:])
        return not self._unwritten

    def _keep_unwritten(self, unwritten: bytes) -> None:
        """Keep unwritten bytes, up to the maximum number of lines."""
        lines = unwritten.splitlines(keepends=True)
        if len(lines) > MAX_BUFFERED_LINES:
            self._dropped += len(lines) - MAX_BUFFERED_LINES
            lines = lines[:1] + lines[1 - MAX_BUFFERED_LINES :]
        self._unwritten = b"".join(lines)


class EventLog:
    """Writes one line for each decision, failure or change of state."""

    def __init__(self) -> None:
        self._buffer: LogBuffer | None = None
        self._logger: Any = None
        self._has_new_lines = asyncio.Event()

    def configure(self, descriptor: int, **identity: str) -> None:
        """Start writing to a file descriptor.

        :param identity: fields to include in every line, such as the vm.
        """
        os.set_blocking(descriptor, False)
        self._buffer = LogBuffer(descriptor)
        logging.basicConfig(stream=sys.stderr, level=logging.CRITICAL, force=True)
        structlog.configure(
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                _remove_secrets,
                structlog.processors.JSONRenderer(),
            ],
            logger_factory=lambda *_: _BufferLogger(self._buffer),
            cache_logger_on_first_use=False,
        )
        self._logger = structlog.get_logger().bind(**identity)

    def success(self, event: str, **fields: Any) -> None:
        """Log a success; dropped first above the rate limit."""
        self._write(event, failure=False, fields=fields)

    def failure(self, event: str, **fields: Any) -> None:
        """Log a failure, a refusal or a change of state; dropped last above the rate limit."""
        self._write(event, failure=True, fields=fields)

    change = failure

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        if self._buffer is not None and not self._buffer.flush():
            self._has_new_lines.set()

    async def run(self) -> None:
        """Write buffered lines periodically until cancelled; sleep while there are none."""
        loop = asyncio.get_running_loop()
        refilled_at = loop.time()
        while True:
            await self._has_new_lines.wait()
            self._has_new_lines.clear()
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            if loop.time() - refilled_at >= REFILL_INTERVAL_SECONDS:
                refilled_at = loop.time()
                self._report_dropped()
            self.flush()

    def reset_dropped_count(self) -> int:
        """Reset the rate limits for a new second; return the lines dropped in the last one."""
        return self._buffer.reset_limits() if self._buffer is not None else 0

    def _report_dropped(self) -> None:
        """Log the number of lines dropped in the last second, if any."""
        dropped = self.reset_dropped_count()
        if dropped:
            self.failure("log.dropped", lines=dropped)

    def _write(self, event: str, failure: bool, fields: dict[str, Any]) -> None:
        """Buffer a line unless the rate limit is exceeded."""
        self._has_new_lines.set()
        if self._buffer is not None and self._buffer.try_acquire_line(failure):
            self._logger.info(event, **fields)


class _BufferLogger:
    """Logger for structlog that appends to the buffer."""

    def __init__(self, buffer: LogBuffer) -> None:
        self._buffer = buffer

    def info(self, message: str) -> None:
        """Append a rendered line."""
        self._buffer.add(message)


def _remove_secrets(logger: Any, method: str, event: Any) -> Any:
    """Remove fields that contain secrets."""
    for name in _SECRET_FIELDS:
        event.pop(name, None)
    return event


log = EventLog()
"""The log of this process."""
