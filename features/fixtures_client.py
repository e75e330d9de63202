"""A scripted fleet behind the client's transport."""

from collections.abc import Callable
from dataclasses import dataclass, field

import httpx
import msgspec

ROUTERS = ("http://a", "http://b")
PIECES = ("one ", "two ", "three ", "four ", "five ")
OTHER_PIECES = ("un ", "deux ", "trois ", "quatre ", "cinq ")

Answerer = Callable[[httpx.Request], httpx.Response]


class BrokenStream(httpx.AsyncByteStream):
    """Response body that ends in a transport error."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def __aiter__(self):
        """Return the body, then fail."""
        yield self._body
        raise httpx.ReadError("connection reset")


@dataclass
class ScriptedFleet:
    """Answers address calls by itself and other calls by a script.

    Each address answer carries a new ticket, so that a client which changes it is found out.
    """

    answer: Answerer = field(default=lambda request: whole_answer())
    ttl_seconds: float = 30.0
    address_calls: int = 0
    requests: list[httpx.Request] = field(default_factory=list)

    async def handle(self, request: httpx.Request) -> httpx.Response:
        """Answer one request."""
        if request.url.path == "/v1/address":
            self.address_calls += 1
            ticket = f"ticket-{self.address_calls}"
            document = {"addresses": ROUTERS, "ttl_seconds": self.ttl_seconds, "ticket": ticket}
            return httpx.Response(200, json=document)
        if request.url.path.endswith("/GetStatus"):
            return httpx.Response(200, content=status_document())
        self.requests.append(request)
        return self.answer(request)

    @property
    def transport(self) -> httpx.MockTransport:
        """Return the transport to give to a client."""
        return httpx.MockTransport(self.handle)


def whole_answer() -> httpx.Response:
    """Return a whole chat answer."""
    choice = {"index": 0, "message": {"content": "".join(PIECES)}, "finish_reason": "stop"}
    return httpx.Response(200, json={"choices": [choice]})


def streamed_answer(pieces: tuple[str, ...], whole: bool) -> httpx.Response:
    """Return a streamed chat answer, which breaks off unless it is whole."""
    events = [{"choices": [{"index": 0, "delta": {"content": piece}}]} for piece in pieces]
    body = b"".join(b"data: " + msgspec.json.encode(event) + b"\n\n" for event in events)
    if whole:
        return httpx.Response(200, content=body + b"data: [DONE]\n\n")
    return httpx.Response(200, stream=BrokenStream(body))


def refusal(
    status: int, reason: str, retry_after_seconds: float = 0.0, proof: str = "never_sent"
) -> httpx.Response:
    """Return a router's refusal of a request that was not run."""
    error = {
        "message": reason,
        "reason": reason,
        "outcome": "not_run",
        "proof": proof,
        "retry_after_seconds": retry_after_seconds,
    }
    return httpx.Response(status, json={"error": error}, headers={"x-should-retry": "false"})


def status_document() -> bytes:
    """Return a router's status at revision 4."""
    return msgspec.json.encode(
        {
            "router": "r-1",
            "vm": "vm-1",
            "zone": "z1",
            "address": "http://a",
            "state": "serving",
            "revision": 4,
            "accepted_revision": 4,
            "kv_available": True,
            "open_requests": 0,
            "memory_bytes": 0,
        }
    )
