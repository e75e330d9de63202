"""Forwarding of requests to other routers."""

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
"""Retry delay suggested to a caller whose request could not be forwarded."""

NO_PEER_REACHED = Failed(
    RefusalReason.BUDGET_UNREACHABLE,
    NotRun(NotRunProof.NEVER_SENT),
    FORWARD_RETRY_SECONDS,
    "no router that holds tokens can be reached",
    step="forward",
)

CIRCULAR_FORWARD = Failed(
    RefusalReason.BUDGET_UNREACHABLE,
    NotRun(NotRunProof.NEVER_SENT),
    FORWARD_RETRY_SECONDS,
    "this router has asked others to run the request",
    step="forward",
)
"""Refusal of a forwarded request that this router has forwarded, too.

Without it, two routers without tokens could wait for each other's answer.
"""

STOPPING_RELAY = Failed(
    RefusalReason.ROUTER_NOT_READY,
    Unknown(),
    FORWARD_RETRY_SECONDS,
    "this router stops before the request of another home is due; use another address",
    step="forward",
)
"""Refusal of a request for another home that this router would have to break off.

Its outcome is unknown, because the home may have run it already.
"""


async def forward(peers: PeerClient, address: str, request: CallerRequest) -> AnswerStream:
    """Send a request to a peer and yield the events of its answer.

    :param address: address of the peer.
    :raises PeerUnavailableError: the connection failed or was interrupted.
    """
    forwarded_request = replace(request, forwarded=True)
    async with aclosing(peers.forward(address, forwarded_request)) as events:
        async for event in events:
            yield event


class Forwarder:
    """Forwards idempotent requests to other routers when this one has no tokens for them."""

    def __init__(self, peers: PeerClient) -> None:
        self._peers = peers

    async def forward(
        self,
        run: RequestRun,
        request: CallerRequest,
        members: tuple[Member, ...],
        no_peer_failure: Failed = NO_PEER_REACHED,
    ) -> None:
        """Publish the answer of the first peer that runs a request, or the last failure.

        Once a peer may have begun the request, a refusal by a later peer no longer proves that it
        was not run; the outcome is then unknown.

        :param run: receives the events.
        :param request: the request to forward.
        :param members: peers to try, in this order.
        :param no_peer_failure: failure to publish if no peer is reached.
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
        """Forward a request to one peer and publish its answer.

        :return: the failure if the peer refused the request or its connection was interrupted; None
            if it answered or was not reached.
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
