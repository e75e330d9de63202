"""Datagrams between gateways: one socket, with a handler for each type of message.

A lost datagram only makes a decision later or less exact, so none is acknowledged or resent here.
"""

import asyncio
import functools
import operator
from collections.abc import Callable
from typing import Any

import msgspec

from quinceferry_gateway.addresses import host_and_port
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decoding import decode_with
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics

Handler = Callable[[Any, object], None]
"""Handles a message, given the message and the address of its sender."""


class DatagramPort(Controller):
    """Sends and receives typed messages.

    :param address: where to listen and send from, as ``host:port``.
    :param metrics: counts messages and bytes.
    """

    def __init__(self, address: str, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics
        self._address = address
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers_by_type: dict[type, Handler] = {}
        self._decoder: msgspec.msgpack.Decoder | None = None

    def add_handler(self, message_type: type[msgspec.Struct], handler: Handler) -> None:
        """Set the handler of all messages of a type."""
        self._handlers_by_type[message_type] = handler
        union = functools.reduce(operator.or_, self._handlers_by_type)
        self._decoder = msgspec.msgpack.Decoder(union)

    async def start(self) -> None:
        """Listen.

        :raises OSError: the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=host_and_port(self._address)
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
        await super().stop()

    def send(self, message: msgspec.Struct, addresses: list[str]) -> None:
        """Send a message to some addresses; send nothing before the port listens."""
        if self._transport is None or not addresses:
            return
        datagram = msgspec.msgpack.encode(message)
        tag = type(message).__struct_config__.tag
        self._metrics.count_peer_messages(tag, "sent", len(addresses), len(datagram))
        for address in addresses:
            self._transport.sendto(datagram, host_and_port(address))

    def receive(self, datagram: bytes, sender: object) -> None:
        """Decode a datagram and pass it to its handler; log and drop a malformed one."""
        if self._decoder is None:
            return
        try:
            message = decode_with(self._decoder.decode, datagram)
        except msgspec.DecodeError as error:
            log.failure("datagram.malformed", peer=str(sender), error=str(error))
            self._metrics.count_peer_messages("unknown", "malformed", 1, len(datagram))
            return
        tag = type(message).__struct_config__.tag
        self._metrics.count_peer_messages(tag, "received", 1, len(datagram))
        self._handlers_by_type[type(message)](message, sender)


class _Receiver(asyncio.DatagramProtocol):
    """Passes datagrams from the transport to the port."""

    def __init__(self, port: DatagramPort) -> None:
        self._port = port

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass one datagram to the port."""
        self._port.receive(data, addr)

    def error_received(self, exc: OSError) -> None:
        """Log that a datagram was not delivered; peers that stop are detected by their missing
        digests."""
        log.success("datagram.undelivered", error=str(exc))
