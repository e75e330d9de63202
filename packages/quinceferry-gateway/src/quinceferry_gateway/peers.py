"""Messages and client of the calls between gateways."""

from typing import TypeVar

import msgspec

from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_gateway.blackboard import Member
from quinceferry_gateway.decoding import decode_json, decode_msgpack
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError
from quinceferry_gateway.fleet.calls import CallTimeoutError, DatagramCalls
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.transport import HttpClient

T = TypeVar("T")

_OK_STATUS = 200
REFUSED_STATUS = 503
"""Status of the answer of a peer that did not carry out a call."""
_JSON_HEADERS = ((b"content-type", b"application/json"),)


RESERVE_KIND = "reserve"
SETTLE_KIND = "settle"
"""Kind of the datagram call that settles reservations."""


class PeerError(PeerUnavailableError):
    """A peer did not answer as expected.

    ``sent`` is True if the call may have arrived, ``refused`` if the peer answered that it did not
    carry it out.
    """

    def __init__(
        self, detail: str, *, step: str, peer: str, sent: bool, refused: bool = False
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.sent = sent
        self.refused = refused


class ReserveRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a holder to reserve up to ``tokens``; idempotent by ``reservation``.

    ``allow_draw`` lets the holder draw missing tokens while the request waits. ``request_tokens``
    is what the request needs in all, zero if that is unknown.
    """

    reservation: str
    workspace: str
    tokens: int
    allow_draw: bool = False
    request_tokens: int = 0


class ReserveReply(msgspec.Struct, frozen=True, array_like=True):
    """Number of tokens reserved, and an upper bound of those that the workspace has left.

    ``available`` counts further tokens that the holder could reserve; ``can_draw`` is True if it
    could draw some now. The bound is that of the budget in ``configuration_version``, zero if the
    holder has not read a configuration. ``is_too_large`` is True if the request needs more than its
    share of the last tokens.
    """

    reserved: int
    max_remaining: int
    available: int = 0
    can_draw: bool = False
    configuration_version: int = 0
    is_too_large: bool = False


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """Ends a reservation with the tokens actually used."""

    reservation: str
    workspace: str
    tokens: int


class SettleRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ends several reservations."""

    settlements: list[Settlement]


class Inheritance(msgspec.Struct, frozen=True):
    """Tokens of a workspace that a stopping holder passes on.

    ``unspent`` counts those that it has left, ``spent`` all that it spent over its lifetime.
    """

    workspace: str
    unspent: int
    spent: int


class InheritRequest(msgspec.Struct, frozen=True):
    """Passes the tokens of a stopping holder on to a peer; idempotent by ``holder``."""

    holder: str
    inheritances: list[Inheritance]


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Confirms that a call was carried out."""


class PeerClient:
    """Calls other gateways: small calls by datagram, copies and inheritances over HTTP.

    :param metrics: counts HTTP calls and their bytes.
    """

    def __init__(self, http: HttpClient, calls: DatagramCalls, metrics: Metrics) -> None:
        self._http = http
        self._calls = calls
        self._metrics = metrics

    async def copy(self, peer: Member, kind: str, timeout_seconds: float) -> bytes:
        """Fetch a peer's copy of a list in the store, undecoded."""
        return await self._fetch_body(
            peer, b"GET", f"/copies/{kind}".encode(), None, timeout_seconds
        )

    async def reserve(
        self, peer: Member, request: ReserveRequest, timeout_seconds: float
    ) -> ReserveReply:
        """Reserve tokens at a holder."""
        return await self._call_by_datagram(
            peer, RESERVE_KIND, request, ReserveReply, timeout_seconds
        )

    async def settle(self, peer: Member, request: SettleRequest, timeout_seconds: float) -> None:
        """Settle reservations at a holder."""
        await self._call_by_datagram(peer, SETTLE_KIND, request, Acknowledgement, timeout_seconds)

    async def inherit(self, peer: Member, request: InheritRequest, timeout_seconds: float) -> None:
        """Pass tokens on to a peer."""
        step = "/inherit"
        body = await self._fetch_body(peer, b"POST", step.encode(), request, timeout_seconds)
        try:
            decode_json(body, Acknowledgement)
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
        """Make a call by datagram and return the decoded reply.

        :raises PeerError: no reply arrived, or it cannot be decoded.
        """
        body = msgspec.msgpack.encode(request)
        try:
            reply = await self._calls.call(peer.peer_address, kind, body, timeout_seconds)
            return decode_msgpack(reply, reply_type)
        except (CallTimeoutError, msgspec.DecodeError) as error:
            raise PeerError(str(error), step=kind, peer=peer.incarnation, sent=True) from error

    async def _fetch_body(
        self,
        peer: Member,
        method: bytes,
        target: bytes,
        message: msgspec.Struct | None,
        timeout_seconds: float,
    ) -> bytes:
        """Send a message over HTTP and return the body of a successful answer.

        :raises PeerError: no answer arrived, or it was not successful.
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
            raise PeerError(
                f"status {reply.status}",
                step=step,
                peer=peer.incarnation,
                sent=True,
                refused=reply.status == REFUSED_STATUS,
            )
        self._metrics.count_peer_messages(step, "received", 1, len(reply.body))
        return reply.body
