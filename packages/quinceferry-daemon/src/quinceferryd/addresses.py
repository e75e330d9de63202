"""Chooses the routers that the callers of a workspace should use."""

from collections.abc import Callable

from quinceferry_core.addresses import home_members, order_homes_for_caller
from quinceferry_core.clocks import Clock
from quinceferry_core.membership import Member, MemberState
from quinceferry_core.models import WorkspaceId
from quinceferryd.blackboard import Blackboard
from quinceferryd.interfaces import AddressAnswer
from quinceferryd.peer_health import PeerHealth
from quinceferryd.settings import AddressSettings

TicketIssuer = Callable[[WorkspaceId, Member], str]
"""Returns a ticket that names a member as the home router of non-idempotent requests."""


class AddressController:
    """Answers with serving, reachable routers, those in the caller's zone first.

    :param blackboard: shared state.
    :param clock: source of time.
    :param settings: lifetime of answers and number of routers for each workspace.
    :param issue_ticket: issues the ticket of an answer.
    :param peers: reachability of other routers; None if it is not tracked.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        settings: AddressSettings,
        issue_ticket: TicketIssuer,
        peers: PeerHealth | None = None,
    ) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._settings = settings
        self._issue_ticket = issue_ticket
        self._peers = peers
        self.answer_count = 0

    def answer(self, workspace: WorkspaceId, caller_zone: str = "") -> AddressAnswer:
        """Return the addresses for a workspace; there are none while no router serves.

        The ticket names the router at the first address as the home of non-idempotent requests.

        :param workspace: the caller's workspace.
        :param caller_zone: zone of the caller; empty for the zone of this router.
        """
        count = self._settings.routers_per_workspace
        homes = home_members(workspace, self._usable_members(), count)
        advertised = order_homes_for_caller(
            homes, caller_zone or self._blackboard.identity.zone, count
        )
        self.answer_count += 1
        if not advertised:
            return AddressAnswer((), self._settings.answer_ttl_seconds)
        addresses = tuple(member.address for member in advertised)
        self._record_advertised(addresses)
        ticket = self._issue_ticket(workspace, advertised[0])
        return AddressAnswer(addresses, self._settings.answer_ttl_seconds, ticket)

    def _usable_members(self) -> list[Member]:
        """Return the reachable serving members, or all serving members if none is reachable.

        Of several members with the same address, only the newest is returned.
        """
        members = self._blackboard.members_by_incarnation.values()
        serving = [member for member in members if member.state is MemberState.SERVING]
        newest_by_address = {m.address: m for m in sorted(serving, key=lambda m: m.fencing)}
        usable = [m for m in newest_by_address.values() if self._is_reachable(m)]
        return usable or list(newest_by_address.values())

    def _is_reachable(self, member: Member) -> bool:
        if self._peers is None or member.incarnation == self._blackboard.identity.incarnation:
            return True
        return self._peers.is_reachable(member.address)

    def _record_advertised(self, addresses: tuple[str, ...]) -> None:
        if self._peers is not None:
            self._peers.record_advertised(addresses)
