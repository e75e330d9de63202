"""Interfaces of the application that the HTTP handlers depend on."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from quinceferry_core.adapters import RecallReply
from quinceferry_core.clocks import Clock
from quinceferry_core.copies import CollectReply, CollectRequest, HoldReply, HoldRequest
from quinceferry_core.models import CallerRequest, RequestId, Ticket, WorkspaceId
from quinceferry_core.outcomes import AnswerStream, Outcome
from quinceferryd.blackboard import Blackboard
from quinceferryd.metrics import Metrics
from quinceferryd.settings import Settings


@dataclass(slots=True, frozen=True)
class AddressAnswer:
    """Router addresses for a caller, their time to live and a ticket for later requests."""

    addresses: tuple[str, ...]
    ttl_seconds: float
    ticket: str = ""


class Pipeline(Protocol):
    """Runs callers' requests and looks up their outcomes."""

    def submit(self, request: CallerRequest) -> AnswerStream:
        """Run a request and return the events of its answer; closing the iterator cancels it."""

    async def outcome(self, workspace: WorkspaceId, request_id: RequestId) -> Outcome | None:
        """Return the outcome of a request; None when the request is not known."""


class Allotments(Protocol):
    """Allotments of prepaid tokens that this router holds."""

    async def recall(self, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Return unused tokens to the budget record.

        :param workspace: the workspace whose tokens are returned.
        :param wanted: how many tokens the requesting router needs.
        """


class Copies(Protocol):
    """Copies of journal entries that this router holds for other routers."""

    def hold(self, request: HoldRequest) -> HoldReply:
        """Store copies of another router's journal entries."""

    def collect(self, request: CollectRequest) -> CollectReply:
        """Return all copies of a closed incarnation, and reject further ones."""


class Addresses(Protocol):
    """Assigns routers to workspaces."""

    def answer(self, workspace: WorkspaceId, caller_zone: str = "") -> AddressAnswer:
        """Return the routers that a workspace should use at present."""


class Tickets(Protocol):
    """Verifies tickets that routers of this fleet issued."""

    def verify(self, text: str) -> Result[Ticket, str]:
        """Return the ticket, or the reason why it is invalid."""


class RouterApplication(Protocol):
    """The parts of a router that its HTTP handlers use."""

    settings: Settings
    clock: Clock
    blackboard: Blackboard
    pipeline: Pipeline
    allotments: Allotments
    copies: Copies
    addresses: Addresses
    tickets: Tickets
    metrics: Metrics

    async def start(self) -> None:
        """Start all controllers."""

    async def stop(self) -> None:
        """Stop gracefully; return when no request is in progress."""
