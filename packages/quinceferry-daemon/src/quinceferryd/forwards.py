"""Relays a request to another router and its answer back."""

from contextlib import aclosing
from dataclasses import replace

from quinceferry_core.adapters import PeerClient
from quinceferry_core.models import CallerRequest
from quinceferry_core.outcomes import AnswerStream


async def forward(peers: PeerClient, address: str, request: CallerRequest) -> AnswerStream:
    """Return the answer that a peer gives to a request.

    :param address: address of the peer.
    :raises PeerUnavailableError: the connection failed or broke.
    """
    marked = replace(request, forwarded=True)
    async with aclosing(peers.forward(address, marked)) as events:
        async for event in events:
            yield event
