"""What the HTTP interfaces need of the application."""

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
    """Addresses a caller should use, for how long, and the ticket to send back."""

    addresses: tuple[str, ...]
    ttl_seconds: float
    ticket: str = ""


class Pipeline(Protocol):
    """Runs requests."""

    def submit(self, request: CallerRequest) -> AnswerStream:
        """Return the answer's events; closing the iterator cancels the request."""

    async def outcome(self, workspace: WorkspaceId, request_id: RequestId) -> Outcome | None:
        """Return what became of a request; None when it was never seen."""


class Allotments(Protocol):
    """Tokens this router holds."""

    async def recall(self, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Return unused tokens to the budget record."""


class Copies(Protocol):
    """Copies of other routers' journal entries."""

    def hold(self, request: HoldRequest) -> HoldReply:
        """Hold copies."""

    def collect(self, request: CollectRequest) -> CollectReply:
        """Return all copies of a closed incarnation, and take no more of them."""


class Addresses(Protocol):
    """Answers which routers a workspace should use."""

    def answer(self, workspace: WorkspaceId, caller_zone: str = "") -> AddressAnswer:
        """Return the current answer."""


class Tickets(Protocol):
    """Reads tickets that routers of this fleet issued."""

    def verify(self, text: str) -> Result[Ticket, str]:
        """Return the ticket, or why it is not valid."""


class RouterApplication(Protocol):
    """One router, seen from its HTTP interfaces."""

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
        """Stop gracefully; returns when no request is in progress."""
