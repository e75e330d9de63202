"""HTTP client for calls to other routers."""

from collections.abc import AsyncGenerator, AsyncIterator, Generator
from contextlib import aclosing, contextmanager

import httpx
import msgspec

from quinceferry_core.adapters import RecallReply
from quinceferry_core.clocks import Clock
from quinceferry_core.copies import CollectReply, CollectRequest, HoldReply, HoldRequest
from quinceferry_core.exceptions import PeerNotBegunError, PeerUnavailableError
from quinceferry_core.models import CallerRequest, RequestId, WorkspaceId
from quinceferry_core.outcomes import AnswerEvent, Chunk, Outcome
from quinceferryd import wire
from quinceferryd.http_transport import StreamingTransport
from quinceferryd.peer_api import (
    COLLECT_PATH,
    FORWARD_PATH,
    HOLD_PATH,
    KEEP_ALIVE_INTERVAL_SECONDS,
    OUTCOME_PATH,
    RECALL_PATH,
)
from quinceferryd.signatures import SIGNATURE_HEADER, Signer

READ_TIMEOUT_SECONDS = 3 * KEEP_ALIVE_INTERVAL_SECONDS
"""A connection that receives no byte for this long is considered lost."""
CONNECT_TIMEOUT_SECONDS = 2.0
"""Timeout for opening a connection within the region."""
CALL_TIMEOUT_SECONDS = 3.0
"""Timeout of each call other than ``forward``."""

_IDLE_CONNECTION_SECONDS = 10.0
"""Time after which an idle connection is closed."""
_MAX_IDLE_CONNECTIONS = 4
"""Idle connections kept per peer."""


class HttpPeerClient:
    """HTTP client for peers; implements :class:`quinceferry_core.adapters.PeerClient`.

    :param fleet_secret: secret shared by all routers of the fleet.
    :param clock: source of the timestamps in signatures.
    """

    def __init__(self, fleet_secret: str, clock: Clock) -> None:
        self._signer = Signer(fleet_secret)
        self._clock = clock
        transport = StreamingTransport(_IDLE_CONNECTION_SECONDS, _MAX_IDLE_CONNECTIONS)
        self._http = httpx.AsyncClient(transport=transport, trust_env=False)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def forward(
        self, address: str, request: CallerRequest
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Forward a request to a peer and yield the events of its answer.

        Closing the generator closes the connection, which cancels the request at the peer.

        :param address: ``host:port`` of the peer.
        :raises PeerNotBegunError: the peer did not begin the request.
        :raises PeerUnavailableError: the connection was lost or timed out before the last event.
        """
        is_finished = False
        body = wire.encode_request(request)
        timeout = httpx.Timeout(READ_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS)
        with _translate_errors("peer.forward", address):
            async with self._http.stream(
                "POST",
                f"http://{address}{FORWARD_PATH}",
                content=body,
                headers=self._headers(FORWARD_PATH, body),
                timeout=timeout,
            ) as response:
                _check_status(response, "peer.forward", address)
                async with aclosing(_split_lines(response.aiter_raw())) as lines:
                    async for line in lines:
                        event = wire.decode_event(line)
                        is_finished = is_finished or not isinstance(event, Chunk)
                        yield event
        if not is_finished:
            raise PeerUnavailableError("answer ended early", step="peer.forward", peer=address)

    async def ask_outcome(
        self, address: str, workspace: WorkspaceId, request_id: RequestId
    ) -> Outcome | None:
        """Return the outcome of a request, or None if the peer has never seen the request.

        :raises PeerUnavailableError: the peer did not respond.
        """
        body = msgspec.json.encode(wire.OutcomeRequest(workspace, request_id))
        with _translate_errors("peer.ask_outcome", address):
            reply = await self._post(address, OUTCOME_PATH, body, "peer.ask_outcome")
            return wire.decode_outcome(reply)

    async def recall(self, address: str, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Ask a peer to return its unused tokens to the budget record.

        :raises PeerUnavailableError: the peer did not respond; it may have returned tokens.
        """
        body = msgspec.json.encode(wire.RecallRequest(workspace, wanted))
        with _translate_errors("peer.recall", address):
            reply = await self._post(address, RECALL_PATH, body, "peer.recall")
            return msgspec.json.decode(reply, type=RecallReply)

    async def hold(self, address: str, request: HoldRequest) -> HoldReply:
        """Store copies of journal entries at a peer.

        :raises PeerUnavailableError: the peer did not respond; it may have stored the copies.
        """
        body = msgspec.json.encode(request)
        with _translate_errors("peer.hold", address):
            reply = await self._post(address, HOLD_PATH, body, "peer.hold")
            return msgspec.json.decode(reply, type=HoldReply)

    async def collect(self, address: str, request: CollectRequest) -> CollectReply:
        """Return the copies that a peer holds of a closed incarnation.

        After this call the peer accepts no further copies of that incarnation.

        :raises PeerUnavailableError: the peer did not respond.
        """
        body = msgspec.json.encode(request)
        with _translate_errors("peer.collect", address):
            reply = await self._post(address, COLLECT_PATH, body, "peer.collect")
            return msgspec.json.decode(reply, type=CollectReply)

    async def _post(self, address: str, path: str, body: bytes, step: str) -> bytes:
        """Send a call and return the body of the reply."""
        response = await self._http.post(
            f"http://{address}{path}",
            content=body,
            headers=self._headers(path, body),
            timeout=CALL_TIMEOUT_SECONDS,
        )
        _check_status(response, step, address)
        return response.content

    def _headers(self, path: str, body: bytes) -> dict[str, str]:
        """Return the signed headers of a call."""
        now = self._clock.now().timestamp()
        signature = self._signer.sign("POST", path, body, now)
        return {SIGNATURE_HEADER: signature, "content-type": "application/json"}


@contextmanager
def _translate_errors(step: str, address: str) -> Generator[None, None, None]:
    """Translate httpx and decoding errors into peer errors."""
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise PeerNotBegunError(repr(error), step=step, peer=address) from error
    except (httpx.HTTPError, msgspec.DecodeError) as error:
        raise PeerUnavailableError(repr(error), step=step, peer=address) from error


def _check_status(response: httpx.Response, step: str, address: str) -> None:
    """Raise a peer error unless the status is 200."""
    if response.status_code == httpx.codes.OK:
        return
    detail = f"status {response.status_code}"
    if response.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
        raise PeerNotBegunError(detail, step=step, peer=address)
    raise PeerUnavailableError(detail, step=step, peer=address)


async def _split_lines(chunks: AsyncIterator[bytes]) -> AsyncGenerator[bytes, None]:
    """Yield the non-empty lines of a body; drop a last line without a newline."""
    remainder = b""
    async for chunk in chunks:
        *lines, remainder = (remainder + chunk).split(b"\n")
        for line in lines:
            if line:
                yield line
