"""Relays a request to another router and its answer back."""

from contextlib import aclosing
from dataclasses import replace

from quinceferry_core.adapters import PeerClient
from quinceferry_core.exceptions import PeerNotBegunError, PeerUnavailableError
from quinceferry_core.membership import Member
from quinceferry_core.models import CallerRequest
from quinceferry_core.outcomes import (
    AnswerStream,
    Failed,
    NotRun,
    NotRunProof,
    RefusalReason,
    Unknown,
)
from quinceferryd.runs import RequestRun

FORWARD_RETRY_SECONDS = 2.0

NO_PEER_REACHED = Failed(
    RefusalReason.BUDGET_UNREACHABLE,
    NotRun(NotRunProof.NEVER_SENT),
    FORWARD_RETRY_SECONDS,
    "no router that holds tokens can be reached",
    step="forward",
)


async def forward(peers: PeerClient, address: str, request: CallerRequest) -> AnswerStream:
    """Return the answer that a peer gives to a request.

    :param address: address of the peer.
    :raises PeerUnavailableError: the connection failed or broke.
    """
    forwarded_request = replace(request, forwarded=True)
    async with aclosing(peers.forward(address, forwarded_request)) as events:
        async for event in events:
            yield event


class Forwarder:
    """Has other routers run idempotent requests that this one has no tokens for."""

    def __init__(self, peers: PeerClient) -> None:
        self._peers = peers

    async def forward(
        self,
        run: RequestRun,
        request: CallerRequest,
        members: tuple[Member, ...],
        no_peer_failure: Failed = NO_PEER_REACHED,
    ) -> None:
        """Publish the answer of the first peer that can run a request, or why none can.

        Once a peer may have begun it, a later peer's refusal no longer says that it was not run.

        :param unreached: published if no peer is reached.
        """
        run.was_forwarded = True
        failure = no_peer_failure
        may_have_run = False
        for member in members:
            refusal = await self._forward_to(run, request, member)
            if run.outcome is not None:
                return
            failure = refusal or failure
            may_have_run = may_have_run or isinstance(failure.outcome, Unknown)
            if run.events:
                break
        run.publish(replace(failure, outcome=Unknown()) if may_have_run else failure)

    async def _forward_to(
        self, run: RequestRun, request: CallerRequest, member: Member
    ) -> Failed | None:
        """Relay one peer's answer.

        :return: why there was none; None when the peer was not reached.
        """
        try:
            async with aclosing(forward(self._peers, member.address, request)) as events:
                async for event in events:
                    if isinstance(event, Failed) and isinstance(event.outcome, NotRun):
                        return event
                    run.publish(event)
        except PeerNotBegunError:
            return None
        except PeerUnavailableError as error:
            return Failed(
                RefusalReason.BUDGET_UNREACHABLE,
                Unknown(),
                FORWARD_RETRY_SECONDS,
                str(error),
                step="forward",
                peer=member.address,
            )
        return None
