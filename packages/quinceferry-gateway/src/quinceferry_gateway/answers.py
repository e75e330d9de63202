"""Outcomes of attempts at upstreams, and refusals of the gateway."""

from dataclasses import dataclass
from enum import Enum

from quinceferry_gateway.catalog import AnswerHead, Load

REFUSAL_HEADER = b"quinceferry-refusal"
"""Reason for which a peer refused a forwarded request; only gateways may send it."""


class Reason(Enum):
    """Reason for which the gateway refused a request."""

    STARTING = "starting"
    STOPPING = "stopping"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    CONFIGURATION_OUTDATED = "configuration_outdated"
    MALFORMED = "malformed"
    ENTRY_MALFORMED = "entry_malformed"
    OVERSIZED = "oversized"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_RUNNING_OUT = "budget_running_out"
    BUDGET_OUT_OF_REACH = "budget_out_of_reach"
    BUDGET_UNTIL_STORE = "budget_until_store"
    NO_UPSTREAM = "no_upstream"
    ZONE_EVACUATED = "zone_evacuated"
    NO_HOME_UPSTREAM = "no_home_upstream"
    NO_COMPATIBLE_UPSTREAM = "no_compatible_upstream"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    UPSTREAMS_REFUSED = "upstreams_refused"
    UPSTREAMS_UNREACHABLE = "upstreams_unreachable"
    UPSTREAMS_LIMITED = "upstreams_limited"
    UPSTREAMS_PAUSED = "upstreams_paused"
    QUARANTINED = "quarantined"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    TIMED_OUT_UNSENT = "timed_out_unsent"
    INTERNAL = "internal"


STATUS_BY_REASON = {
    Reason.STARTING: 503,
    Reason.STOPPING: 503,
    Reason.TOO_MANY_CONNECTIONS: 503,
    Reason.CONFIGURATION_OUTDATED: 503,
    Reason.MALFORMED: 400,
    Reason.ENTRY_MALFORMED: 503,
    Reason.OVERSIZED: 413,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.BUDGET_RUNNING_OUT: 429,
    Reason.BUDGET_OUT_OF_REACH: 429,
    Reason.BUDGET_UNTIL_STORE: 429,
    Reason.NO_UPSTREAM: 503,
    Reason.ZONE_EVACUATED: 503,
    Reason.NO_HOME_UPSTREAM: 503,
    Reason.NO_COMPATIBLE_UPSTREAM: 503,
    Reason.STREAM_ORIGIN_UNKNOWN: 503,
    Reason.UPSTREAMS_REFUSED: 503,
    Reason.UPSTREAMS_UNREACHABLE: 503,
    Reason.UPSTREAMS_LIMITED: 503,
    Reason.UPSTREAMS_PAUSED: 503,
    Reason.QUARANTINED: 503,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.TIMED_OUT: 504,
    Reason.TIMED_OUT_UNSENT: 503,
    Reason.INTERNAL: 502,
}
"""HTTP status of each refusal. The statuses 429 and 503 guarantee that the request has not run and
never will."""

RETRY_SECONDS_BY_REASON = {
    Reason.STARTING: 0.5,
    Reason.STOPPING: 0.05,
    Reason.TOO_MANY_CONNECTIONS: 0.2,
    Reason.CONFIGURATION_OUTDATED: 0.5,
    Reason.ENTRY_MALFORMED: 2.0,
    Reason.BUDGET_RUNNING_OUT: 5.0,
    Reason.BUDGET_OUT_OF_REACH: 0.7,
    Reason.BUDGET_UNTIL_STORE: 2.0,
    Reason.NO_UPSTREAM: 0.4,
    Reason.ZONE_EVACUATED: 2.0,
    Reason.NO_COMPATIBLE_UPSTREAM: 1.0,
    Reason.STREAM_ORIGIN_UNKNOWN: 0.3,
    Reason.UPSTREAMS_REFUSED: 0.3,
    Reason.UPSTREAMS_UNREACHABLE: 0.5,
    Reason.TIMED_OUT_UNSENT: 0.3,
}
"""Seconds until a retry may succeed: after a read of the store, a draw, or a few upstream answers.
Another gateway serves the caller of a stopping or crowded one at once.
Outages of the store last for seconds, and no tokens can be drawn meanwhile."""


@dataclass(slots=True, frozen=True)
class Refusal:
    """Answer that the gateway gives instead of an upstream.

    ``status`` overrides the reason's HTTP status if it is not zero. ``retry_seconds`` is the time
    until a retry may succeed, if it is known for this request.
    """

    reason: Reason
    detail: str = ""
    status: int = 0
    retry_seconds: float | None = None

    @property
    def http_status(self) -> int:
        """Return the HTTP status to send."""
        return self.status or STATUS_BY_REASON[self.reason]


@dataclass(slots=True, frozen=True)
class NotRun:
    """The attempt has not run: nothing was sent, or the upstream reported it.

    ``misdirected`` is True if it reached another upstream than the chosen one. ``load`` is the load
    that the upstream reported when it rejected the request.
    """

    detail: str
    sent: bool
    misdirected: bool = False
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class UnknownOutcome:
    """The attempt may have run; ``detail`` describes how the connection failed."""

    detail: str


@dataclass(slots=True, frozen=True)
class WholeAnswer:
    """Complete answer of an upstream, to be forwarded to the caller."""

    head: AnswerHead
    body: bytes


@dataclass(slots=True, frozen=True)
class StreamedAnswer:
    """Stream that was forwarded completely; ``events`` counts its events."""

    events: int


AttemptOutcome = NotRun | UnknownOutcome | WholeAnswer | StreamedAnswer
