"""What gateways tell each other of the prompts that they have just sent."""

import random

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.decisions import Beliefs, Demand, Placement
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.logs import log

TOLD_SHARE = 0.05
"""Share of the accepted pause from which on the reading of a prompt is told. Shorter ones matter
only many together, and reports show those."""
MAX_TOLD = 8
"""Peers that are told of one prompt at most, drawn anew each time: all of a small fleet. With 96, a
fleet of 83 sent 33,000 datagrams a second at 340 prompts a second."""
MAX_TOKENS = 10_000_000
"""Largest prompt that a datagram is believed to tell of."""


class SentPrompt(msgspec.Struct, frozen=True, array_like=True, tag="sent"):
    """A prompt was sent to an upstream; ``shared_key`` names the parts that it shares."""

    upstream: str
    started_at: float
    shared_key: str
    unread_tokens: int


class SendTeller:
    """Tells peers of prompts that keep an engine busy, and takes what they tell."""

    def __init__(
        self,
        blackboard: Blackboard,
        beliefs: Beliefs,
        port: DatagramPort,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._blackboard = blackboard
        self._beliefs = beliefs
        self._port = port
        self._clock = clock
        self._random = source
        port.handle(SentPrompt, self.take)

    def tell(self, placement: Placement, demand: Demand) -> None:
        """Tell peers where a prompt goes, if an engine reads it for long enough to matter."""
        if placement.reading_seconds < TOLD_SHARE * demand.pause_seconds:
            return
        upstream = placement.upstream
        told = SentPrompt(
            upstream.id, upstream.started_at, demand.shared_key, placement.unread_tokens
        )
        peers = self._blackboard.usable_peers()
        if len(peers) > MAX_TOLD:
            peers = self._random.sample(peers, MAX_TOLD)
        self._port.send(told, [peer.peer_address for peer in peers])

    def take(self, told: SentPrompt, sender: object) -> None:
        """Take what a peer tells; what names no known upstream changes nothing."""
        upstream = self._blackboard.upstreams_by_id.get(told.upstream)
        if upstream is None or upstream.started_at != told.started_at:
            return
        if not 0 < told.unread_tokens <= MAX_TOKENS:
            log.failure("sends.malformed", peer=str(sender), error=f"{told.unread_tokens} tokens")
            return
        now = self._clock.monotonic()
        self._beliefs.told(upstream, told.unread_tokens, told.shared_key, now)
