"""Progress of a router's graceful stop."""

from collections.abc import Callable
from typing import Any

from quinceferry.exceptions import ChangePendingError, OperatorCallError, RouterUnreachableError
from quinceferry.operators import OperatorClient
from quinceferry_core.operator_messages import Drain, GetStatus, ListRouters
from quinceferry_core.operator_replies import DrainReply, ListRoutersReply, RouterReply

POLL_INTERVAL_SECONDS = 1.0
"""Interval between two polls of the router's state."""
STATE_LEFT = "left"
"""State in the reply for a router that has left the fleet."""


async def follow_drain(
    client: OperatorClient,
    router: str,
    options: dict[str, Any],
    show: Callable[[str], None],
    timeout_seconds: float,
) -> DrainReply:
    """Drain a router and show its progress.

    :param router: incarnation or VM of the router.
    :param options: operation id and expected revision, if given.
    :param show: called with one line for each change of the progress.
    :param timeout_seconds: maximum wait for the end of the drain; zero does not wait.
    :return: the last known state.
    :raises ChangePendingError: the router did not leave in time.
    """
    target = _find_router(await client.call(ListRouters()), router)
    incarnation = target.router if target else router
    reply: DrainReply = await client.change(Drain, router=incarnation, **options)
    if not timeout_seconds:
        return reply
    waited_seconds = 0.0
    last_line = ""
    while waited_seconds < timeout_seconds:
        target = _find_router(await client.call(ListRouters()), incarnation)
        if target is None:
            return DrainReply(operation_id=reply.operation_id, router=incarnation, state=STATE_LEFT)
        line = await _describe_progress(client, target)
        if line != last_line:
            show(line)
            last_line = line
        await client.pause(POLL_INTERVAL_SECONDS)
        waited_seconds += POLL_INTERVAL_SECONDS
    raise ChangePendingError(f"{incarnation} has not left yet", (incarnation,))


def _find_router(reply: ListRoutersReply, name: str) -> RouterReply | None:
    """Return the router with this incarnation or VM, or None."""
    for router in reply.routers:
        if name in (router.router, router.vm):
            return router
    return None


async def _describe_progress(client: OperatorClient, target: RouterReply) -> str:
    """Describe the progress of a router's stop, from its own status if it still answers."""
    try:
        status = await client.call(GetStatus(), router=target.address, max_attempts=1)
    except (OperatorCallError, RouterUnreachableError):
        return f"{target.router}: {target.state} {target.stop_step}".rstrip()
    return f"{status.router}: {status.state}, {status.open_requests} requests open"
