"""Calls between gateways: messages and client."""

from typing import TypeVar

import msgspec

from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_gateway.blackboard import Member
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError
from quinceferry_gateway.fleet.calls import CallTimeoutError, DatagramCalls
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.transport import HttpClient

T = TypeVar("T")

_OK_STATUS = 200
_JSON_HEADERS = ((b"content-type", b"application/json"),)


RESERVE_KIND = "reserve"
SETTLE_KIND = "settle"
"""Kinds of calls by datagram."""


class PeerError(PeerUnavailableError):
    """A peer did not answer as expected; ``sent`` tells whether the call may have arrived."""

    def __init__(self, detail: str, *, step: str, peer: str, sent: bool) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.sent = sent


class ReserveRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a holder to set up to so many tokens aside; idempotent by ``reservation``.

    ``allow_draw`` lets the holder draw what it lacks while the request waits.
    """

    reservation: str
    workspace: str
    tokens: int
    allow_draw: bool = False


class ReserveReply(msgspec.Struct, frozen=True, array_like=True):
    """How many tokens are set aside, and how many the workspace has left at most.

    ``available`` are those that the holder could set aside besides; ``can_draw`` tells whether it
    could draw some now.
    """

    reserved: int
    max_remaining: int
    available: int = 0
    can_draw: bool = False


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """Ends a reservation with the tokens really used."""

    reservation: str
    workspace: str
    tokens: int


class SettleRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ends several reservations."""

    settlements: list[Settlement]


class Inheritance(msgspec.Struct, frozen=True):
    """Tokens of a workspace that a stopping holder passes on: those unspent, and all it spent."""

    workspace: str
    unspent: int
    spent: int


class InheritRequest(msgspec.Struct, frozen=True):
    """Passes on all that a stopping holder has; idempotent by ``holder``."""

    holder: str
    inheritances: list[Inheritance]


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """The call was carried out."""


class PeerClient:
    """Calls other gateways: small calls by datagram, copies and inheritances over HTTP.

    :param metrics: counts calls over HTTP and their bytes.
    """

    def __init__(self, http: HttpClient, calls: DatagramCalls, metrics: Metrics) -> None:
        self._http = http
        self._calls = calls
        self._metrics = metrics

    async def copy(self, peer: Member, kind: str, timeout_seconds: float) -> bytes:
        """Return a peer's copy of a list of the store, undecoded."""
        return await self._fetch_body(
            peer, b"GET", f"/copies/{kind}".encode(), None, timeout_seconds
        )

    async def reserve(
        self, peer: Member, request: ReserveRequest, timeout_seconds: float
    ) -> ReserveReply:
        """Ask a holder to set tokens aside."""
        return await self._call_by_datagram(
            peer, RESERVE_KIND, request, ReserveReply, timeout_seconds
        )

    async def settle(self, peer: Member, request: SettleRequest, timeout_seconds: float) -> None:
        """Tell a holder what requests really used."""
        await self._call_by_datagram(peer, SETTLE_KIND, request, Acknowledgement, timeout_seconds)

    async def inherit(self, peer: Member, request: InheritRequest, timeout_seconds: float) -> None:
        """Pass tokens on to a peer."""
        step = "/inherit"
        body = await self._fetch_body(peer, b"POST", step.encode(), request, timeout_seconds)
        try:
            msgspec.json.decode(body, type=Acknowledgement)
        except msgspec.DecodeError as error:
            raise PeerError(str(error), step=step, peer=peer.incarnation, sent=True) from error

    async def _call_by_datagram(
        self,
        peer: Member,
        kind: str,
        request: msgspec.Struct,
        reply_type: type[T],
        timeout_seconds: float,
    ) -> T:
        """Make a call by datagram.

        :raises PeerError: there was no answer, or not the expected one.
        """
        body = msgspec.msgpack.encode(request)
        try:
            reply = await self._calls.call(peer.peer_address, kind, body, timeout_seconds)
            return msgspec.msgpack.decode(reply, type=reply_type)
        except (CallTimeoutError, msgspec.DecodeError, UnicodeDecodeError) as error:
            raise PeerError(str(error), step=kind, peer=peer.incarnation, sent=True) from error

    async def _fetch_body(
        self,
        peer: Member,
        method: bytes,
        target: bytes,
        message: msgspec.Struct | None,
        timeout_seconds: float,
    ) -> bytes:
        """Send a message and return the body of a successful answer.

        :raises PeerError: there was no answer, or no successful one.
        """
        step = target.decode()
        body = msgspec.json.encode(message) if message is not None else b""
        headers = ((b"host", peer.peer_address.encode()), *_JSON_HEADERS)
        length = ((b"content-length", str(len(body)).encode()),)
        self._metrics.count_peer_messages(step, "sent", 1, len(body))
        try:
            reply = await self._http.fetch(
                peer.peer_address,
                method,
                target,
                headers + length,
                body,
                timeout_seconds=timeout_seconds,
            )
        except NotSentError as error:
            raise PeerError(str(error), step=step, peer=peer.incarnation, sent=False) from error
        except ConnectionBrokenError as error:
            raise PeerError(str(error), step=step, peer=peer.incarnation, sent=True) from error
        if reply.status != _OK_STATUS:
            detail = f"status {reply.status}"
            raise PeerError(detail, step=step, peer=peer.incarnation, sent=True)
        self._metrics.count_peer_messages(step, "received", 1, len(reply.body))
        return reply.body
