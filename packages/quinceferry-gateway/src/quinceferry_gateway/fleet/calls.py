"""Calls between gateways by datagram, resent until an answer arrives or the call times out.

Each prompt requires a call to a holder of tokens and a settlement afterwards. With a connection for
each call, these would be as many as all connections of callers and upstreams together. A call must
be idempotent, since it may arrive more than once.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.logs import log

FIRST_RESEND_SECONDS = 0.07
"""Time until a call is first resent, doubled for each further one. This is many round trips within
a region, and allows three sends within the time that a request waits for one holder."""

CallHandler = Callable[[bytes], Awaitable[bytes]]
"""Handles an encoded call and returns the encoded answer."""


class Call(msgspec.Struct, frozen=True, array_like=True, tag="call"):
    """A call of some kind, numbered by its sender."""

    number: int
    kind: str
    body: msgspec.Raw


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """The answer to a call."""

    number: int
    body: msgspec.Raw


class CallTimeoutError(TimeoutError):
    """No answer arrived in time; the call may have been handled."""


class DatagramCalls(Controller):
    """Makes and handles calls on a datagram port.

    :param first_number: number of the first call. It should be random, so that an answer to an
        earlier process at the same address does not match a call of this one.
    """

    def __init__(self, port: DatagramPort, clock: Clock, first_number: int) -> None:
        super().__init__()
        self._port = port
        self._clock = clock
        self._numbers = itertools.count(first_number)
        self._replies_by_number: dict[int, asyncio.Future[bytes]] = {}
        self._handlers_by_kind: dict[str, CallHandler] = {}
        self._in_progress: set[tuple[object, int]] = set()
        port.add_handler(Call, self._handle_call)
        port.add_handler(Reply, self._handle_reply)

    def register_handler(self, kind: str, handler: CallHandler) -> None:
        """Set the handler of all calls of a kind."""
        self._handlers_by_kind[kind] = handler

    async def call(self, address: str, kind: str, body: bytes, timeout_seconds: float) -> bytes:
        """Make a call and return the answer.

        :raises CallTimeoutError: no answer arrived in time.
        """
        number = next(self._numbers)
        reply = self._replies_by_number[number] = asyncio.get_running_loop().create_future()
        call = Call(number, kind, msgspec.Raw(body))
        ends_at = self._clock.monotonic() + timeout_seconds
        resend_seconds = FIRST_RESEND_SECONDS
        try:
            while (remaining_seconds := ends_at - self._clock.monotonic()) > 0:
                self._port.send(call, [address])
                done, _ = await asyncio.wait(
                    (reply,), timeout=min(resend_seconds, remaining_seconds)
                )
                if done:
                    return reply.result()
                resend_seconds *= 2
        finally:
            del self._replies_by_number[number]
        raise CallTimeoutError(f"no answer within {timeout_seconds} s")

    def _handle_call(self, call: Call, sender: object) -> None:
        """Start the handler of a call, unless it is running for the same call."""
        handler = self._handlers_by_kind.get(call.kind)
        if handler is None or not isinstance(sender, tuple):
            log.failure("call.unknown", peer=str(sender), kind=call.kind)
            return
        key = (sender, call.number)
        if key not in self._in_progress:
            self._in_progress.add(key)
            self.spawn(self._run_handler(handler, call, sender), f"call {call.kind}")

    async def _run_handler(self, handler: CallHandler, call: Call, sender: tuple[str, int]) -> None:
        """Run the handler of a call and send its answer."""
        try:
            body = await handler(bytes(call.body))
        except msgspec.DecodeError as error:
            log.failure("call.malformed", peer=str(sender), kind=call.kind, error=str(error))
        else:
            address = f"{sender[0]}:{sender[1]}"
            self._port.send(Reply(call.number, msgspec.Raw(body)), [address])
        finally:
            self._in_progress.discard((sender, call.number))

    def _handle_reply(self, reply: Reply, sender: object) -> None:
        """Pass an answer to the call that waits for it; ignore a late one."""
        future = self._replies_by_number.get(reply.number)
        if future is not None and not future.done():
            future.set_result(bytes(reply.body))
