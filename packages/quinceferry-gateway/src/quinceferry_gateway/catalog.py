"""What the operators configured and which upstreams exist, as plain values."""

from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """What may be repeated on a route, and how its answer arrives."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Destination:
    """A service that takes part of a route's requests."""

    service: str
    weight: int


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests of a host and path prefix go, and how long they may take.

    ``max_pause_seconds`` is the longest pause between events of a stream that callers accept, zero
    if not configured.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_seconds: float
    objective_seconds: float
    priority: int
    attempts: int
    anonymous: bool = False
    resumable: bool = False
    max_pause_seconds: float = 0.0

    @property
    def retryable(self) -> bool:
        """Tell whether a request may be sent again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(slots=True, frozen=True)
class Service:
    """A set of interchangeable upstreams.

    ``tokens_per_event`` is the most output tokens that one event of a stream carries; zero for a
    service that generates none.
    """

    name: str
    tokens_per_event: int = 0


@dataclass(slots=True, frozen=True)
class Workspace:
    """A customer; ``prepaid_tokens`` is None when nothing is counted."""

    name: str
    prepaid_tokens: int | None = None
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds on what a caller may send and how long a connection may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_seconds: float = 15.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """One version of all that operators configured."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    workspaces_by_name: dict[str, Workspace] = field(default_factory=dict)
    workspaces_by_key: dict[str, Workspace] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        matching = (r for r in self.routes_by_host.get(host, ()) if path.startswith(r.prefix))
        return max(matching, key=lambda route: len(route.prefix), default=None)


@dataclass(slots=True, frozen=True)
class Upstream:
    """One lifetime of an upstream.

    A restart gives it another identifier, or the same one with a later ``started_at``: its Unix
    time in seconds, by its own clock, zero when it does not say. What was known of one lifetime
    does not hold for the next. ``registration`` is the revision of the store at which its entry was
    created: it changes when the entry's lease ended and it registered again.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_at: float = 0.0
    registration: int = 0


@dataclass(slots=True, frozen=True)
class UpstreamList:
    """All registered upstreams, read at one revision of the store."""

    revision: int
    by_id: dict[str, Upstream]


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A piece of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Call:
    """One request of a caller; its body and headers stay opaque.

    ``headers`` are those that travel on to an upstream. ``resume_after`` is the last event that the
    caller already has.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    credential: str = ""
    timeout_seconds: float | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: str = ""

    @property
    def max_tokens(self) -> int:
        """Return the most tokens that the request can cost."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(slots=True, frozen=True)
class Load:
    """What an upstream last said of its own load."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status line and headers of an upstream's answer.

    ``not_run`` is the upstream's own statement that it did not begin the request; ``misdirected``
    says besides that another upstream is at the address. ``request_id`` is
    the request it answers, empty when it does not say. ``genuine`` tells that the headers bear the
    upstream's mark. ``max_requests_per_second`` is the request rate that the upstream accepts
    across all gateways, None when the answer has no valid limit. ``leaving`` tells that the
    upstream is shutting down and must get no new requests.
    ``retry_after_seconds`` is the pause in requests that a 503 asks of this gateway, None when the
    answer has no valid one. ``malformed_headers`` names the headers about the upstream that could
    not be parsed.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    not_run: bool
    request_id: str
    genuine: bool
    load: Load | None = None
    misdirected: bool = False
    max_requests_per_second: float | None = None
    leaving: bool = False
    retry_after_seconds: float | None = None
    malformed_headers: tuple[str, ...] = ()
