"""Flow control of a connection whose client sends requests ahead."""

import asyncio
import socket

from uvicorn.protocols.http.flow_control import FlowControl

_TCP_ESTABLISHED = 1
"""State of a connection that neither side has closed, as Linux reports it."""


class HoldingFlowControl(FlowControl):
    """Flow control that can hold back reading, whoever else wants to resume it."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.is_holding = False

    def hold(self) -> None:
        """Stop reading until the release."""
        self.is_holding = True
        self.pause_reading()

    def release(self) -> None:
        """Read again if reading was held back."""
        if self.is_holding:
            self.is_holding = False
            self.resume_reading()

    def resume_reading(self) -> None:
        """Read again unless reading is held back."""
        if not self.is_holding:
            super().resume_reading()


def has_left(transport: asyncio.Transport) -> bool:
    """Return whether the other side has closed a connection, also while nothing is read from it."""
    sock = transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != _TCP_ESTABLISHED
