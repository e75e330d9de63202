"""Outcomes of a request and the events of its answer."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from enum import Enum

from quinceferry_core.models import Usage


class NotRunProof(Enum):
    """Proof that a request has not run."""

    NEVER_SENT = "never_sent"
    REFUSED_BY_UPSTREAM = "refused_by_upstream"
    JOURNAL_CLOSED_WITHOUT_IT = "journal_closed_without_it"


@dataclass(slots=True, frozen=True)
class NotRun:
    """No upstream began the request."""

    proof: NotRunProof


@dataclass(slots=True, frozen=True)
class Run:
    """An upstream completed the request."""

    usage: Usage


@dataclass(slots=True, frozen=True)
class Unknown:
    """The request may or may not have run; it is not run again."""


Outcome = NotRun | Run | Unknown


class RefusalReason(Enum):
    """Reason of a refusal or failure."""

    BUDGET_SPENT = "budget_spent"
    BUDGET_UNREACHABLE = "budget_unreachable"
    BILLING_UNREACHABLE = "billing_unreachable"
    RATE_LIMITED = "rate_limited"
    STREAMS_LIMITED = "streams_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    MODEL_NOT_ATTACHED = "model_not_attached"
    MODEL_NOT_LOADED = "model_not_loaded"
    UPSTREAM_FAILED = "upstream_failed"
    TICKET_REQUIRED = "ticket_required"
    TICKET_INVALID = "ticket_invalid"
    HOME_GONE = "home_gone"
    ROUTER_STOPPING = "router_stopping"
    ROUTER_NOT_READY = "router_not_ready"
    REQUEST_ID_REUSED = "request_id_reused"
    UNAUTHENTICATED = "unauthenticated"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    REQUEST_NOT_FOUND = "request_not_found"
    SERVICE_NOT_ATTACHED = "service_not_attached"
    MEMORY_FULL = "memory_full"
    QUARANTINED = "quarantined"
    INTERNAL = "internal"


@dataclass(slots=True, frozen=True)
class Chunk:
    """A part of the answer.

    ``offset`` counts the output tokens before this chunk; ``tokens`` counts those in it. For a
    plain service, ``text`` is empty and ``data`` contains the bytes.
    """

    offset: int
    tokens: int
    text: str
    data: bytes = b""


@dataclass(slots=True, frozen=True)
class Finished:
    """The answer is complete."""

    usage: Usage
    reason: str = "stop"
    status: int = 200
    content_type: str = ""


@dataclass(slots=True, frozen=True)
class Failed:
    """The request was refused or its answer was interrupted.

    ``step`` and ``peer`` identify where the error occurred. ``retry_after_seconds`` is zero when a
    retry cannot succeed.
    """

    reason: RefusalReason
    outcome: Outcome
    retry_after_seconds: float = 0.0
    detail: str = ""
    step: str = ""
    peer: str = ""


AnswerEvent = Chunk | Finished | Failed

AnswerStream = AsyncGenerator[AnswerEvent, None]
"""Events of one answer, ending with ``Finished`` or ``Failed``."""
