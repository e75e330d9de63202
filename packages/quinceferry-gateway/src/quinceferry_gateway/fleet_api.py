"""Serves calls of other gateways and metrics, and selects the addresses for callers."""

import random
from collections.abc import Collection

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST

from quinceferry_gateway.asgi import Receive, Scope, Send
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.callers import CallerApi
from quinceferry_gateway.decoding import decode_json, decode_msgpack
from quinceferry_gateway.fleet.calls import DatagramCalls
from quinceferry_gateway.fleet.copies import CopyReplicator
from quinceferry_gateway.forwarding import FORWARDED_HEADER
from quinceferry_gateway.holder import TokenHolder
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.peers import (
    REFUSED_STATUS,
    RESERVE_KIND,
    SETTLE_KIND,
    Acknowledgement,
    InheritRequest,
    ReserveRequest,
    SettleRequest,
)

MAX_PEER_BODY_BYTES = 1_048_576
MIN_CONNECTED_SHARE = 0.5
"""Least share of the members that must reach all services for the others to be left out of address
answers."""
COPIES_PATH = "/copies/"
_JSON = b"application/json"
_BINARY = b"application/octet-stream"


class PeerApi:
    """ASGI application for calls of other gateways.

    :param caller_api: serves requests that peers forward.
    """

    def __init__(
        self,
        copies: CopyReplicator,
        holder: TokenHolder,
        caller_api: CallerApi,
    ) -> None:
        self._copies = copies
        self._holder = holder
        self._caller_api = caller_api

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        attempts = dict(scope["headers"]).get(FORWARDED_HEADER)
        if attempts is not None:
            max_attempts = int(attempts) if attempts.isdigit() else 0
            await self._caller_api.serve_forwarded(scope, receive, send, max_attempts)
            return
        try:
            status, content_type, body = await self._answer(scope["path"], receive)
        except msgspec.DecodeError as error:
            status, content_type, body = 400, b"text/plain", str(error).encode()
        await send_response(send, status, body, content_type)

    async def _answer(self, path: str, receive: Receive) -> tuple[int, bytes, bytes]:
        """Return status, content type and body of the answer to a call.

        :raises msgspec.DecodeError: the body is malformed or too large.
        """
        match path:
            case "/inherit":
                request = decode_json(await _read_body(receive), InheritRequest)
                if not self._holder.inherit(request):
                    return REFUSED_STATUS, b"text/plain", b""
                return _json_answer(Acknowledgement())
            case _ if path.startswith(COPIES_PATH):
                copy = self._copies.encode(path.removeprefix(COPIES_PATH))
                return (404, b"text/plain", b"") if copy is None else (200, _BINARY, copy)
            case _:
                return 404, b"text/plain", b""


class MetricsApi:
    """ASGI application for metrics scrapers, which may do nothing else."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        if scope["path"] != "/metrics":
            await send_response(send, 404, b"", b"text/plain")
            return
        body = self._metrics.exposition()
        await send_response(send, 200, body, CONTENT_TYPE_LATEST.encode())


def register_token_calls(calls: DatagramCalls, holder: TokenHolder) -> None:
    """Register the calls that reserve and settle tokens at a holder."""

    async def reserve(body: bytes) -> bytes:
        request = decode_msgpack(body, ReserveRequest)
        return msgspec.msgpack.encode(await holder.reserve_for_request(request))

    async def settle(body: bytes) -> bytes:
        for settlement in decode_msgpack(body, SettleRequest).settlements:
            holder.settle(settlement)
        return msgspec.msgpack.encode(Acknowledgement())

    calls.register_handler(RESERVE_KIND, reserve)
    calls.register_handler(SETTLE_KIND, settle)


def caller_addresses(
    board: Blackboard,
    max_addresses: int,
    zone: str,
    rng: random.Random,
    permitted_zones: Collection[str] | None = None,
) -> list[str]:
    """Return the addresses that callers may use now; none until this gateway has its lists.

    If the fleet has more than ``max_addresses`` members, those in the caller's zone come first, and
    the rest is a new random selection of the others each time. The members of one zone alone cannot
    serve a workspace that sends many times its usual load: 2,070 of 9,755 requests in such a zone
    exceeded their deadline.

    Members that reach no upstream of some service are left out as long as half of the members are
    left; they forward requests, but fewer would be crowded by all callers.

    :param zone: the caller's availability zone, empty if it is unknown.
    :param permitted_zones: zones in which requests of the caller may be received. Members of other
        zones are named only if there is none in these; None if all zones are permitted.
    """
    if not board.has_catalog:
        return []
    members = board.usable_members()
    if permitted_zones is not None:
        members = [item for item in members if item.zone in permitted_zones] or members
    connected = [item for item in members if item.incarnation not in board.cut_off_members]
    if len(connected) >= MIN_CONNECTED_SHARE * len(members):
        members = connected
    if len(members) > max_addresses:
        rng.shuffle(members)
        members.sort(key=lambda member: member.zone != zone)
    return [member.caller_address for member in members[:max_addresses]]


async def send_response(send: Send, status: int, body: bytes, content_type: bytes = _JSON) -> None:
    """Send a whole answer."""
    headers = [(b"content-type", content_type), (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _json_answer(message: msgspec.Struct) -> tuple[int, bytes, bytes]:
    """Return a successful answer with a message encoded as JSON."""
    return 200, _JSON, msgspec.json.encode(message)


async def _read_body(receive: Receive) -> bytes:
    """Read and return the body of a call.

    :raises msgspec.DecodeError: the body is too large.
    """
    body = b""
    while len(body) <= MAX_PEER_BODY_BYTES:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body
    raise msgspec.DecodeError("the body is too large")
