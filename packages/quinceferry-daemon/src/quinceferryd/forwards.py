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

RETRY_SECONDS = 2.0

NONE_REACHED = Failed(
    RefusalReason.BUDGET_UNREACHABLE,
    NotRun(NotRunProof.NEVER_SENT),
    RETRY_SECONDS,
    "no router that holds tokens can be reached",
    step="forward",
)


async def forward(peers: PeerClient, address: str, request: CallerRequest) -> AnswerStream:
    """Return the answer that a peer gives to a request.

    :param address: address of the peer.
    :raises PeerUnavailableError: the connection failed or broke.
    """
    marked = replace(request, forwarded=True)
    async with aclosing(peers.forward(address, marked)) as events:
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
        unreached: Failed = NONE_REACHED,
    ) -> None:
        """Publish the answer of the first peer that can run a request, or why none can.

        Once a peer may have begun it, a later peer's refusal no longer says that it was not run.

        :param unreached: published if no peer is reached.
        """
        run.is_forwarded = True
        failed = unreached
        may_have_run = False
        for member in members:
            refusal = await self._try(run, request, member)
            if run.outcome is not None:
                return
            failed = refusal or failed
            may_have_run = may_have_run or isinstance(failed.outcome, Unknown)
            if run.events:
                break
        run.publish(replace(failed, outcome=Unknown()) if may_have_run else failed)

    async def _try(self, run: RequestRun, request: CallerRequest, member: Member) -> Failed | None:
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
                RETRY_SECONDS,
                str(error),
                step="forward",
                peer=member.address,
            )
        return None
