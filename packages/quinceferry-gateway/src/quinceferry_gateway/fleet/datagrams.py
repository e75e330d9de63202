"""Datagrams between gateways: one socket, messages handed to whoever takes their kind.

Losing one costs a later or less exact choice and nothing else, so none is acknowledged or repeated.
"""

import asyncio
import functools
import operator
from collections.abc import Callable
from typing import Any

import msgspec

from quinceferry_gateway.addresses import host_and_port
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics

Handler = Callable[[Any, object], None]
"""Takes a message and the address of its sender."""


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
        """Hand messages of a type to a handler from now on."""
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
        """Send a message to some addresses; nothing before the port listens."""
        if self._transport is None or not addresses:
            return
        datagram = msgspec.msgpack.encode(message)
        tag = type(message).__struct_config__.tag
        self._metrics.count_peer_messages(tag, "sent", len(addresses), len(datagram))
        for address in addresses:
            self._transport.sendto(datagram, host_and_port(address))

    def receive(self, datagram: bytes, sender: object) -> None:
        """Hand a datagram on; one that can't be read changes nothing."""
        if self._decoder is None:
            return
        try:
            message = self._decoder.decode(datagram)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.failure("datagram.malformed", peer=str(sender), error=str(error))
            self._metrics.count_peer_messages("unknown", "malformed", 1, len(datagram))
            return
        tag = type(message).__struct_config__.tag
        self._metrics.count_peer_messages(tag, "received", 1, len(datagram))
        self._handlers_by_type[type(message)](message, sender)


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams on."""

    def __init__(self, port: DatagramPort) -> None:
        self._port = port

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take one datagram."""
        self._port.receive(data, addr)

    def error_received(self, exc: OSError) -> None:
        """Note that some datagram was not delivered; silence shows who is gone."""
        log.success("datagram.undelivered", error=str(exc))
