"""Datagrams between gateways: which prompts they have just sent where.

Losing one costs a less exact choice and nothing else, so none is acknowledged or repeated.
"""

import asyncio
import random

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.addresses import host_and_port
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decisions import Beliefs, Demand, Placement
from quinceferry_gateway.logs import log

TOLD_SHARE = 0.05
"""Share of the accepted pause from which on the reading of a prompt is told. Shorter ones matter
only many together, and reports show those."""
MAX_TOLD = 96
"""Peers that are told of one prompt at most, drawn anew each time; bounds what a larger fleet
spends on it."""
MAX_TOKENS = 10_000_000
"""Largest prompt that a datagram is believed to tell of."""


class SentPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt was sent to an upstream; ``shared_key`` names the parts that it shares."""

    upstream: str
    started_at: float
    shared_key: str
    unread_tokens: int


class SendTeller(Controller):
    """Tells peers of prompts that keep an engine busy, and takes what they tell.

    :param address: where to listen and send from, as ``host:port``.
    """

    def __init__(
        self, blackboard: Blackboard, beliefs: Beliefs, clock: Clock, address: str
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._beliefs = beliefs
        self._clock = clock
        self._address = address
        self._transport: asyncio.DatagramTransport | None = None
        self._random = random.Random()

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

    def tell(self, placement: Placement, demand: Demand) -> None:
        """Tell peers where a prompt goes, if an engine reads it for long enough to matter."""
        too_short = placement.reading_seconds < TOLD_SHARE * demand.pause_seconds
        if self._transport is None or too_short:
            return
        upstream = placement.upstream
        told = SentPrompt(
            upstream.id, upstream.started_at, demand.shared_key, placement.unread_tokens
        )
        datagram = msgspec.json.encode(told)
        peers = self._blackboard.usable_peers()
        if len(peers) > MAX_TOLD:
            peers = self._random.sample(peers, MAX_TOLD)
        for peer in peers:
            self._transport.sendto(datagram, host_and_port(peer.peer_address))

    def take(self, datagram: bytes, sender: object) -> None:
        """Take what a peer tells; what can't be read or names no known upstream changes nothing."""
        try:
            told = msgspec.json.decode(datagram, type=SentPrompt)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.failure("sends.malformed", peer=str(sender), error=str(error))
            return
        upstream = self._blackboard.upstreams_by_id.get(told.upstream)
        if upstream is None or upstream.started_at != told.started_at:
            return
        if not 0 < told.unread_tokens <= MAX_TOKENS:
            log.failure("sends.malformed", peer=str(sender), error=f"{told.unread_tokens} tokens")
            return
        now = self._clock.monotonic()
        self._beliefs.told(upstream, told.unread_tokens, told.shared_key, now)


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams on."""

    def __init__(self, teller: SendTeller) -> None:
        self._teller = teller

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take one datagram."""
        self._teller.take(data, addr)

    def error_received(self, exc: OSError) -> None:
        """Note that some datagram was not delivered; probes find out who is gone."""
        log.success("sends.undelivered", error=str(exc))
