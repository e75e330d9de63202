"""Forwards requests to a peer that reaches the upstreams which this gateway does not.

The peer authorizes the request by its own copy of the configuration and sends it to an upstream
like one of its own callers', within the attempts that are left. The tokens stay reserved and are
settled here. A request is forwarded once only, never on from the peer. It is sent to the peer's
address for peers with :data:`FORWARDED_HEADER`.
"""

import asyncio
import random
from dataclasses import dataclass

from quinceferry_core.clocks import Clock
from quinceferry_gateway.answers import (
    REFUSAL_HEADER,
    AttemptOutcome,
    Reason,
    Refusal,
    UnknownOutcome,
)
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.exceptions import ConnectionBrokenError, NotSentError
from quinceferry_gateway.exchanges import UpstreamExchanges
from quinceferry_gateway.interfaces import Dialect, Headers
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.progress import Progress
from quinceferry_gateway.stream_origins import encode_origin

FORWARDED_HEADER = b"quinceferry-forwarded"
"""Marks a forwarded request; its value is the number of attempts that are left."""
GIVEN_UP_MARK = b": given up"
"""Ends a forwarded stream that the peer can't resume within the attempts that it was granted. It is
no whole event, so that callers never see it."""
MAX_FORWARDS = 4
"""Most peers to which one request is forwarded in turn."""
TIME_RESERVE_SECONDS = 0.05
"""How much earlier a forwarded request ends than its caller's, so that the peer's refusal, which
states whether it may have run, arrives first."""
MIN_FORWARDED_SECONDS = 0.02
"""Least time that a forwarded request gets."""
_FINAL_REASONS = frozenset(
    {
        Reason.NO_UPSTREAM,
        Reason.NO_HOME_UPSTREAM,
        Reason.NO_COMPATIBLE_UPSTREAM,
        Reason.ZONE_EVACUATED,
        Reason.UPSTREAMS_REFUSED,
        Reason.UPSTREAMS_LIMITED,
        Reason.UPSTREAMS_PAUSED,
        Reason.QUARANTINED,
        Reason.TIMED_OUT_UNSENT,
        Reason.TIMED_OUT,
        Reason.OUTCOME_UNKNOWN,
    }
)
"""Refusals that concern the request or the upstreams. Others concern the peer, and another one may
serve the request."""


@dataclass(slots=True, frozen=True)
class PeerUnavailable:
    """The peer did not take the request, which has not run there."""

    detail: str


ForwardOutcome = AttemptOutcome | Refusal | PeerUnavailable


class RequestForwarder:
    """Forwards requests to peers.

    :param rng: selects among the peers of an availability zone.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        dialect: Dialect,
        exchanges: UpstreamExchanges,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._blackboard = blackboard
        self._dialect = dialect
        self._exchanges = exchanges
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    def needs_peer(self, progress: Progress) -> bool:
        """Return whether this gateway reaches no upstream of the request's service."""
        return progress.service in self._blackboard.unreachable_services

    def choose_peer(self, progress: Progress) -> Member | None:
        """Return the peer to which to forward a request, None if there is none left.

        Peers in the own availability zone come first.
        """
        if progress.forwarded or len(progress.tried_peers) >= MAX_FORWARDS:
            return None
        peers = [
            peer
            for peer in self._blackboard.connected_peers()
            if peer.incarnation not in progress.tried_peers
        ]
        own_zone = self._blackboard.own.zone
        near = [peer for peer in peers if peer.zone == own_zone]
        return self._rng.choice(near or peers) if peers else None

    async def forward(self, progress: Progress, peer: Member) -> ForwardOutcome:
        """Forward a request to a peer, and the answer to the caller."""
        progress.tried_peers.append(peer.incarnation)
        remaining = progress.deadline_at - self._clock.monotonic()
        headers = self._dialect.peer_headers(
            progress.call,
            remaining_seconds=max(MIN_FORWARDED_SECONDS, remaining - TIME_RESERVE_SECONDS),
            resume_after=progress.stream.buffer.last_id,
        )
        headers.append((FORWARDED_HEADER, str(progress.remaining_attempts).encode()))
        if progress.stream.origin is not None:
            headers.append(encode_origin(progress.stream.origin))
        outcome = await self._exchange(progress, peer, headers)
        name = _outcome_name(outcome)
        self._metrics.count_forwarded_request("sent", name)
        fields = {"request": progress.call.request_id, "peer": peer.incarnation, "outcome": name}
        match outcome:
            case PeerUnavailable(detail) | UnknownOutcome(detail) | Refusal(_, detail):
                log.failure("request.forwarded", detail=detail, **fields)
            case _:
                log.success("request.forwarded", **fields)
        return outcome

    async def _exchange(
        self, progress: Progress, peer: Member, headers: list[tuple[bytes, bytes]]
    ) -> ForwardOutcome:
        """Send a request to a peer and return the outcome."""
        remaining = progress.deadline_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining) as progress.attempt_timeout:
                return await self._exchanges.exchange_with_peer(
                    progress, peer.peer_address, headers, decode_refusal
                )
        except NotSentError as error:
            return PeerUnavailable(str(error))
        except ConnectionBrokenError as error:
            if progress.stream.buffer.pending == GIVEN_UP_MARK:
                return Refusal(Reason.OUTCOME_UNKNOWN, "the peer gave the stream up")
            return UnknownOutcome(str(error))
        except TimeoutError:
            return UnknownOutcome("the request's time is up")
        finally:
            progress.attempt_timeout = None


def decode_refusal(headers: Headers) -> Refusal | PeerUnavailable | None:
    """Return a peer's refusal of a forwarded request, None for an upstream's answer.

    A reason that this gateway does not know, as a newer peer may send, promises nothing.
    """
    values = dict(headers)
    if REFUSAL_HEADER not in values:
        return None
    name = values[REFUSAL_HEADER].decode("latin-1")
    try:
        reason = Reason(name)
    except ValueError:
        return Refusal(Reason.OUTCOME_UNKNOWN, f"unknown refusal {name} of a peer")
    if reason not in _FINAL_REASONS:
        return PeerUnavailable(name)
    retry_after = values.get(b"retry-after")
    return Refusal(
        reason, f"{name} at a peer", retry_seconds=float(retry_after) if retry_after else None
    )


def _outcome_name(outcome: ForwardOutcome) -> str:
    """Return the name of an outcome for logs and metrics."""
    match outcome:
        case PeerUnavailable():
            return "unavailable"
        case Refusal(reason):
            return reason.value
        case UnknownOutcome():
            return "unknown"
        case _:
            return "answered"
