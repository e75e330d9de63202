"""HTTP server connection whose client can use a bounded amount of memory only.

The parser keeps an unfinished header, and the server everything that the parser has passed on. So
bytes are counted as they arrive: received data reaches the parser in slices, and what the client
has sent beyond its limits is noticed after each of them. Requests that are sent ahead stay unparsed
in a buffer, and then in the client's and the operating system's buffers.
"""

import asyncio
import http
import math
from collections import deque
from typing import TYPE_CHECKING, Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle
from uvicorn.server import ServerState

from quinceferry_http.arrival import REQUEST_BYTES, Arrival, Stage
from quinceferry_http.deadlines import Deadline
from quinceferry_http.flow import HoldingFlowControl, has_left

if TYPE_CHECKING:
    from quinceferry_http.connections import Connections

READ_BUFFER_BYTES = 32_768
LEAVING_CHECK_SECONDS = 0.5
"""Interval of the checks whether a client has left while nothing is read from its connection."""
LINGER_SECONDS = 2.0
"""How long the client may read a refusal while the rest of its request is dropped."""
RETRY_AFTER_SECONDS = 1
EXCESS_STATE = "excess"
"""Key of the ASGI state of connections that were accepted above the limit of connections."""

# Shared by all connections, since its content is copied before the next read.
_READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))


class BoundedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Connection that refuses or cuts off a client outside the limits.

    A refused request has not reached the application, or the application is still waiting for its
    body. So applications must not act on a request before they have received all of its body.

    :param connections: all connections of the server, with the limits in force.
    """

    def __init__(
        self,
        connections: "Connections",
        config: uvicorn.Config,
        server_state: ServerState,
        app_state: dict[str, Any],
    ) -> None:
        super().__init__(config, server_state, app_state)
        self._connections = connections
        self._arrival = Arrival()
        self._arrival_deadline = Deadline(self.loop, self._end_arrival_time)
        self._discarded_bytes = 0
        self._refused_at = math.inf
        self._unparsed = b""
        self._is_just_received = False
        self._running_cycle: RequestResponseCycle | None = None
        self._leaving_check: asyncio.TimerHandle | None = None
        self._unread_bytes = 0
        self._unread_deadline = Deadline(self.loop, self._end_unread_time)
        self._held_bytes = 0
        self._held_bytes_by_request: deque[int] = deque()
        self._rejected_status = http.HTTPStatus.BAD_REQUEST
        self._idle_since = self.loop.time()

    @property
    def idle_since(self) -> float:
        """Return the event loop time of the last answer or of the start, infinite while busy."""
        is_busy = self._arrival.has_begun or self._owes_answer
        return math.inf if is_busy else self._idle_since

    @property
    def is_refused(self) -> bool:
        """Return whether a request was refused and the connection is about to be closed."""
        return self._refused_at < math.inf

    @property
    def unfinished_since(self) -> float:
        """Return the event loop time since which the rest of a request is awaited or dropped."""
        return min(self._arrival_deadline.since, self._refused_at)

    @property
    def unread_since(self) -> float:
        """Return the event loop time since which bytes wait for the client, infinite if none do."""
        return self._unread_deadline.since

    @property
    def _owes_answer(self) -> bool:
        """Return whether a request that has reached the application is not yet answered."""
        return self.cycle is not None and not self.cycle.response_complete

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection; called by the event loop."""
        super().connection_made(transport)
        self.flow = HoldingFlowControl(transport)
        # The operating system buffers enough; what waits here waits for a client that reads slowly.
        transport.set_write_buffer_limits(high=0)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )
        self._connections.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds; called by the event loop."""
        if self._running_cycle is not None:
            # Uvicorn tells the latest request only.
            self._running_cycle.disconnected = True
            self._running_cycle.message_event.set()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._arrival_deadline.stop()
        self._unread_deadline.stop()
        self._unread_bytes = 0
        self._held_bytes_by_request.clear()
        self._unparsed = b""
        self._count_held_bytes()

    def pause_writing(self) -> None:
        """Limit the time until the client reads; called by the event loop."""
        super().pause_writing()
        self._unread_deadline.start(self._connections.limits.unread_seconds)
        self._count_unread_bytes()
        self._connections.memory.make_room()

    def resume_writing(self) -> None:
        """Note that the client has read everything; called by the event loop."""
        super().resume_writing()
        self._unread_deadline.stop()
        self._count_unread_bytes()

    def _count_unread_bytes(self) -> None:
        """Count the bytes that wait for the client."""
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._count_held_bytes()

    def _end_unread_time(self) -> None:
        """Close the connection if the client has read nothing in the time."""
        unread_bytes = self._unread_bytes
        self._count_unread_bytes()
        if self._unread_bytes < unread_bytes:
            self._unread_deadline.extend(self._connections.limits.unread_seconds)
        else:
            self._connections.record_limit("unread")
            self.transport.abort()

    def mark_as_excess(self) -> None:
        """Tell the application that the connection exceeds the limit of connections."""
        self.app_state[EXCESS_STATE] = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read; called by the event loop."""
        return _READ_BUFFER

    def buffer_updated(self, size: int) -> None:
        """Parse what was read into the buffer; called by the event loop."""
        self.data_received(bytes(_READ_BUFFER[:size]))

    def data_received(self, data: bytes) -> None:
        """Parse received data, unless too many earlier requests wait for their answers."""
        self._parse_slices(self._unparsed + data)

    def _parse_slices(self, data: bytes) -> None:
        """Parse data in slices, as long as they keep to the limits, and hold back the rest."""
        position = 0
        self._is_just_received = False
        while position < len(data) and self._may_parse:
            part = data[position : position + self._arrival.slice_bytes]
            position += len(part)
            self._parse(part)
        self._unparsed = b""
        if self.is_refused:
            self._discard(len(data) - position)
        elif position == len(data):
            self.flow.release()
        elif not self.transport.is_closing():
            self._unparsed = data[position:]
            self.flow.hold()
            if self._leaving_check is None:
                self._schedule_leaving_check()
        self._limit_arrival_time()
        self._keep_within_memory()

    @property
    def _may_parse(self) -> bool:
        """Return whether the client may send more now."""
        if self.is_refused or self.transport.is_closing():
            return False
        return len(self.pipeline) < self._connections.limits.max_requests_ahead

    def _schedule_leaving_check(self) -> None:
        """Check soon whether the client has left."""
        self._leaving_check = self.loop.call_later(LEAVING_CHECK_SECONDS, self._check_leaving)

    def _check_leaving(self) -> None:
        """Close the connection if the client has left, as long as nothing is read from it."""
        self._leaving_check = None
        if not self.flow.is_holding or self.transport.is_closing():
            return
        if has_left(self.transport):
            self.transport.abort()
        else:
            self._schedule_leaving_check()

    def _parse(self, part: bytes) -> None:
        """Parse a slice, and refuse the request if it exceeds a limit."""
        self._arrival.add(len(part))
        super().data_received(part)
        if self.is_refused or self.transport.is_closing():
            return
        if self._arrival.stage is Stage.BODY and self.cycle.response_complete:
            self._discard(len(part))
        elif self._arrival.exceeds(self._connections.limits):
            if self._arrival.stage is Stage.REQUEST_LINE:
                self._refuse(http.HTTPStatus.BAD_REQUEST, "malformed")
            else:
                self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "oversized")

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        super().on_message_begin()
        self._arrival.begin_head()
        self._held_bytes_by_request.append(REQUEST_BYTES)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; called by the parser. Trailers are dropped."""
        if self._arrival.stage is Stage.HEAD:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass a request on to the application; called by the parser."""
        if len(self.url) > self._connections.limits.max_target_bytes:
            self._rejected_status = http.HTTPStatus.REQUEST_URI_TOO_LONG
            raise ValueError("the target is too long")
        super().on_headers_complete()
        body_bytes = int(dict(self.headers).get(b"content-length", 0))
        self._arrival.begin_body(len(self.headers), body_bytes)
        self._arrival_deadline.stop()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        """Begin to serve a request."""
        self._running_cycle = cycle
        super()._start_asgi_task(cycle, app)

    def on_body(self, body: bytes) -> None:
        """Pass a part of a body on; called by the parser."""
        self._arrival.add_body(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request; called by the parser."""
        super().on_message_complete()
        self._count_request_bytes()
        self._arrival.end()
        self._arrival_deadline.stop()
        self._is_just_received = True

    def on_response_complete(self) -> None:
        """Begin the next request, or become idle."""
        super().on_response_complete()
        if self._held_bytes_by_request:
            self._held_bytes_by_request.popleft()
        self._count_held_bytes()
        self._idle_since = self.loop.time()
        if self._unparsed and not self.transport.is_closing():
            self._parse_slices(self._unparsed)
        else:
            self._limit_arrival_time()

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that the parser has rejected."""
        self._refuse(self._rejected_status, "malformed")

    def _count_request_bytes(self) -> None:
        """Count the memory of the request that arrives, unless it is already answered."""
        stage = self._arrival.stage
        if stage is Stage.HEAD or (stage is Stage.BODY and not self.cycle.response_complete):
            self._held_bytes_by_request[-1] = self._arrival.memory_bytes(len(self.headers))

    def _count_held_bytes(self) -> None:
        """Count the memory that the connection holds among that of all connections."""
        held_bytes = sum(self._held_bytes_by_request) + len(self._unparsed) + self._unread_bytes
        self._connections.memory.resize(self._held_bytes, held_bytes)
        self._held_bytes = held_bytes

    def _keep_within_memory(self) -> None:
        """Refuse the request that arrives if there is no memory for it.

        The application has not seen the end of one that was just received.
        """
        if self.is_refused:
            return
        self._count_request_bytes()
        self._count_held_bytes()
        if not self._connections.memory.make_room():
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            self._refuse(status, "memory", is_unseen=self._is_just_received)

    def _refuse(self, status: http.HTTPStatus, effect: str, is_unseen: bool = False) -> None:
        """Answer the unfinished request and close the connection once the client could read that.

        While an earlier request is unanswered, a refusal would be taken for its answer, and the
        connection is closed instead; so it is if the request was answered before its end.

        :param is_unseen: whether the latest request is complete, but not yet for the application.
        """
        self._connections.record_limit(effect)
        self._refused_at = self.loop.time()
        self._held_bytes_by_request.clear()
        self._unparsed = b""
        self._count_held_bytes()
        self._arrival_deadline.stop()
        if self._is_receiving_body or (is_unseen and self._is_running_alone):
            # The application sees that the client has left, and does not answer any more.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        elif self._owes_answer or self._arrival.stage is Stage.BODY:
            self.transport.abort()
            return
        self.transport.write(_refusal(status))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_SECONDS, self.transport.abort)

    def refuse_unfinished(self, effect: str) -> None:
        """Refuse the request that has been arriving for too long."""
        if not self.is_refused:
            self._refuse(http.HTTPStatus.SERVICE_UNAVAILABLE, effect)

    def close_now(self) -> None:
        """Close the connection without waiting for a client that does not read."""
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self.transport.abort()

    def _limit_arrival_time(self) -> None:
        """Limit the time for the rest of a request that has begun to arrive."""
        if not self._is_awaiting_request:
            self._arrival_deadline.stop()
        elif not self._arrival_deadline.is_running:
            limits, is_body = self._connections.limits, self._arrival.stage is Stage.BODY
            self._arrival_deadline.start(limits.body_seconds if is_body else limits.head_seconds)

    @property
    def _is_awaiting_request(self) -> bool:
        """Return whether a request has begun to arrive and only its rest is awaited."""
        if self.is_refused or self.transport.is_closing():
            return False
        if self._arrival.stage is Stage.BODY:
            return self.cycle.response_complete or self._is_receiving_body
        return self._arrival.has_begun and not self._owes_answer

    def _end_arrival_time(self) -> None:
        """Refuse a request that has taken too long to arrive."""
        self._refuse(http.HTTPStatus.REQUEST_TIMEOUT, "late")

    @property
    def _is_receiving_body(self) -> bool:
        """Return whether the application waits for the body of its only request."""
        return self._arrival.stage is Stage.BODY and self._is_running_alone

    @property
    def _is_running_alone(self) -> bool:
        """Return whether the latest request runs and has no answer yet."""
        if self.pipeline or self.cycle is None:
            return False
        return not self.cycle.response_started and not self.cycle.disconnected

    def _discard(self, size: int) -> None:
        """Count bytes that are dropped, and stop to read above a limit."""
        self._discarded_bytes += size
        if self._discarded_bytes <= self._connections.limits.max_discarded_bytes:
            return
        if self.is_refused:
            self.flow.pause_reading()
        else:
            self._connections.record_limit("oversized")
            self.transport.close()


def _refusal(status: http.HTTPStatus) -> bytes:
    """Return an answer that refuses a request and announces the close of the connection."""
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", "connection: close", "content-length: 0"]
    if status in (http.HTTPStatus.REQUEST_TIMEOUT, http.HTTPStatus.SERVICE_UNAVAILABLE):
        lines.append(f"retry-after: {RETRY_AFTER_SECONDS}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
