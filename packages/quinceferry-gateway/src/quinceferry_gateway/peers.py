"""Calls between gateways: messages and client."""

from typing import TypeVar

import msgspec

from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_gateway.blackboard import Member
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError
from quinceferry_gateway.transport import HttpClient

T = TypeVar("T")

_OK = 200
_JSON = ((b"content-type", b"application/json"),)


class PeerError(PeerUnavailableError):
    """A peer did not answer as expected; ``sent`` tells whether the call may have arrived."""

    def __init__(self, detail: str, *, step: str, peer: str, sent: bool) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.sent = sent


class Status(msgspec.Struct, frozen=True):
    """How a gateway is, and which tokens it could reserve for others."""

    incarnation: str
    draining: bool
    available_by_workspace: dict[str, int]


class ReserveRequest(msgspec.Struct, frozen=True):
    """Asks a holder to set up to so many tokens aside; idempotent by ``reservation``."""

    reservation: str
    workspace: str
    tokens: int


class ReserveReply(msgspec.Struct, frozen=True):
    """How many tokens are set aside, and how many the workspace has left at most."""

    reserved: int
    left_at_most: int


class Settlement(msgspec.Struct, frozen=True):
    """Ends a reservation with the tokens really used."""

    reservation: str
    workspace: str
    tokens: int


class SettleRequest(msgspec.Struct, frozen=True):
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


class Acknowledged(msgspec.Struct, frozen=True):
    """The call was carried out."""


class PeerClient:
    """Calls other gateways.

    :param http: client for the calls.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def status(self, peer: Member, timeout_seconds: float) -> Status:
        """Ask a peer how it is."""
        return await self._call(peer, b"GET", b"/status", None, Status, timeout_seconds)

    async def reserve(
        self, peer: Member, request: ReserveRequest, timeout_seconds: float
    ) -> ReserveReply:
        """Ask a holder to set tokens aside."""
        return await self._call(peer, b"POST", b"/reserve", request, ReserveReply, timeout_seconds)

    async def settle(self, peer: Member, request: SettleRequest, timeout_seconds: float) -> None:
        """Tell a holder what requests really used."""
        await self._call(peer, b"POST", b"/settle", request, Acknowledged, timeout_seconds)

    async def inherit(self, peer: Member, request: InheritRequest, timeout_seconds: float) -> None:
        """Pass tokens on to a peer."""
        await self._call(peer, b"POST", b"/inherit", request, Acknowledged, timeout_seconds)

    async def _call(
        self,
        peer: Member,
        method: bytes,
        target: bytes,
        message: msgspec.Struct | None,
        reply_type: type[T],
        timeout_seconds: float,
    ) -> T:
        """Exchange one message.

        :raises PeerError: there was no answer, or not the expected one.
        """
        step = target.decode()
        body = msgspec.json.encode(message) if message is not None else b""
        headers = ((b"host", peer.peer_address.encode()), *_JSON)
        length = ((b"content-length", str(len(body)).encode()),)
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
        if reply.status != _OK:
            detail = f"status {reply.status}"
            raise PeerError(detail, step=step, peer=peer.incarnation, sent=True)
        try:
            return msgspec.json.decode(reply.body, type=reply_type)
        except msgspec.DecodeError as error:
            raise PeerError(str(error), step=step, peer=peer.incarnation, sent=True) from error
