"""Calls between gateways by datagram: sent again until an answer comes or time is up.

The load: each prompt makes a call to a holder of tokens and a settlement afterwards. Over
connections of their own these were as many as all connections of callers and upstreams together. A
call must be idempotent, since it may arrive more than once.
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
"""Pause until a call is sent again the first time, and doubled each time: many round trips within a
region, and three sends within the time that a request waits for one holder."""

CallHandler = Callable[[bytes], Awaitable[bytes]]
"""Carries a call out and returns the answer, both encoded."""


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
    """No answer came in time; the call may have been carried out."""


class DatagramCalls(Controller):
    """Makes and serves calls on a datagram port.

    :param first_number: number of the first call, so that an answer to an earlier process at the
        same address answers none of this one's.
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
        """Serve the calls of a kind from now on."""
        self._handlers_by_kind[kind] = handler

    async def call(self, address: str, kind: str, body: bytes, timeout_seconds: float) -> bytes:
        """Make a call and return the answer.

        :raises CallTimeoutError: no answer came in time.
        """
        number = next(self._numbers)
        reply = self._replies_by_number[number] = asyncio.get_running_loop().create_future()
        call = Call(number, kind, msgspec.Raw(body))
        ends_at = self._clock.monotonic() + timeout_seconds
        pause = FIRST_RESEND_SECONDS
        try:
            while (remaining_seconds := ends_at - self._clock.monotonic()) > 0:
                self._port.send(call, [address])
                done, _ = await asyncio.wait((reply,), timeout=min(pause, remaining_seconds))
                if done:
                    return reply.result()
                pause *= 2
        finally:
            del self._replies_by_number[number]
        raise CallTimeoutError(f"no answer within {timeout_seconds} s")

    def _handle_call(self, call: Call, sender: object) -> None:
        """Carry a call out, unless the same one is in progress."""
        handler = self._handlers_by_kind.get(call.kind)
        if handler is None or not isinstance(sender, tuple):
            log.failure("call.unknown", peer=str(sender), kind=call.kind)
            return
        key = (sender, call.number)
        if key not in self._in_progress:
            self._in_progress.add(key)
            self.spawn(self._run_handler(handler, call, sender), f"call {call.kind}")

    async def _run_handler(self, handler: CallHandler, call: Call, sender: tuple[str, int]) -> None:
        """Carry a call out and send the answer."""
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
        """Hand an answer to the call that waits for it; one that comes late is dropped."""
        future = self._replies_by_number.get(reply.number)
        if future is not None and not future.done():
            future.set_result(bytes(reply.body))
