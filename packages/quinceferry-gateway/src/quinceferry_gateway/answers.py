"""What one attempt at an upstream can come to, and what a caller can be told."""

from dataclasses import dataclass
from enum import Enum

from quinceferry_gateway.catalog import AnswerHead


class Reason(Enum):
    """Why the gateway answered a request by itself."""

    STARTING = "starting"
    CONFIGURATION_OUTDATED = "configuration_outdated"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_OUT_OF_REACH = "budget_out_of_reach"
    BUDGET_UNTIL_STORE = "budget_until_store"
    NO_UPSTREAM = "no_upstream"
    UPSTREAMS_REFUSED = "upstreams_refused"
    UPSTREAMS_LIMITED = "upstreams_limited"
    UPSTREAMS_PAUSED = "upstreams_paused"
    QUARANTINED = "quarantined"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    TIMED_OUT_UNSENT = "timed_out_unsent"
    INTERNAL = "internal"


STATUS_BY_REASON = {
    Reason.STARTING: 503,
    Reason.CONFIGURATION_OUTDATED: 503,
    Reason.MALFORMED: 400,
    Reason.OVERSIZED: 413,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.BUDGET_OUT_OF_REACH: 429,
    Reason.BUDGET_UNTIL_STORE: 429,
    Reason.NO_UPSTREAM: 503,
    Reason.UPSTREAMS_REFUSED: 503,
    Reason.UPSTREAMS_LIMITED: 503,
    Reason.UPSTREAMS_PAUSED: 503,
    Reason.QUARANTINED: 503,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.TIMED_OUT: 504,
    Reason.TIMED_OUT_UNSENT: 503,
    Reason.INTERNAL: 502,
}
"""Statuses 429 and 503 promise that the request has not run and never will."""

RETRY_SECONDS_BY_REASON = {
    Reason.STARTING: 0.5,
    Reason.CONFIGURATION_OUTDATED: 0.5,
    Reason.BUDGET_OUT_OF_REACH: 0.7,
    Reason.BUDGET_UNTIL_STORE: 2.0,
    Reason.NO_UPSTREAM: 0.4,
    Reason.UPSTREAMS_REFUSED: 0.3,
    Reason.TIMED_OUT_UNSENT: 0.3,
}
"""When it is worth asking again: a store reading, a draw, or a few upstream answers later. Outages
of the store last for seconds, and nothing can be drawn meanwhile."""


@dataclass(slots=True, frozen=True)
class Refusal:
    """An answer that the gateway gives by itself.

    ``retry_seconds`` is when it is worth asking again, where that is known of the single request.
    """

    reason: Reason
    detail: str = ""
    status: int = 0
    retry_seconds: float | None = None

    @property
    def http_status(self) -> int:
        """Return the status to send."""
        return self.status or STATUS_BY_REASON[self.reason]


@dataclass(slots=True, frozen=True)
class NotRun:
    """The attempt has not run: nothing was sent, or the upstream said so.

    ``misdirected`` tells that it reached an upstream other than the chosen one.
    """

    detail: str
    sent: bool
    misdirected: bool = False


@dataclass(slots=True, frozen=True)
class UnknownOutcome:
    """The attempt may have run; ``detail`` says what happened to the connection."""

    detail: str


@dataclass(slots=True, frozen=True)
class WholeAnswer:
    """A whole answer of an upstream, ready to be passed on."""

    head: AnswerHead
    body: bytes


@dataclass(slots=True, frozen=True)
class StreamedAnswer:
    """A stream that was passed on to its end."""

    events: int


AttemptOutcome = NotRun | UnknownOutcome | WholeAnswer | StreamedAnswer
