"""Configuration of the operators, upstreams and requests as plain values."""

from dataclasses import dataclass, field
from enum import Enum

UNAVAILABLE_STATUS = 503


class RouteKind(Enum):
    """Whether requests of a route may be retried, and whether its answers are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Destination:
    """A service that gets a share of a route's requests, in proportion to ``weight``."""

    service: str
    weight: int


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests of a host and path prefix are sent, and how long they may take.

    ``objective_seconds`` is the time within which callers expect an answer, and
    ``max_pause_seconds`` the longest pause between events of a stream that they accept; zero if not
    configured. Requests may run in ``home_regions`` only, anywhere if there are none.
    Requests of a ``malformed`` route are refused: it is unknown where they may run.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_seconds: float
    objective_seconds: float
    priority: int
    max_attempts: int
    anonymous: bool = False
    resumable: bool = False
    max_pause_seconds: float = 0.0
    home_regions: frozenset[str] = frozenset()
    malformed: bool = False

    @property
    def expected_seconds(self) -> float:
        """Return the time to an expected answer: the objective, or else the timeout."""
        return self.objective_seconds or self.timeout_seconds

    @property
    def retryable(self) -> bool:
        """Return whether a request may be sent again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(slots=True, frozen=True)
class Service:
    """A set of interchangeable upstreams.

    ``tokens_per_event`` is the most output tokens that one event of a stream carries; zero for a
    service that generates none. An upstream is cold for ``cold_seconds`` after its start, and
    tolerates ``cold_requests_per_second`` meanwhile; zero if that is not limited.
    """

    name: str
    tokens_per_event: int = 0
    cold_seconds: float = 0.0
    cold_requests_per_second: float = 0.0


@dataclass(slots=True, frozen=True)
class Workspace:
    """A customer; ``prepaid_tokens`` is None if its tokens are not limited.

    Its requests may run in ``home_regions`` only, anywhere if there are none. Those of a
    ``malformed`` workspace are refused: its limits are unknown.
    """

    name: str
    prepaid_tokens: int | None = None
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()
    malformed: bool = False


def permitted_regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions in which a request may run, None if all are permitted.

    Where both the route and the workspace have home regions, both bind.
    """
    home_regions = [route.home_regions, workspace.home_regions if workspace else frozenset()]
    binding = [regions for regions in home_regions if regions]
    return frozenset.intersection(*binding) if binding else None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds on what a caller may send, how long a head may take and a connection stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_seconds: float = 15.0
    head_seconds: float = 10.0


class EntryKind(Enum):
    """Kind of an entry of the operators' document."""

    ROUTE = "route"
    SERVICE = "service"
    WORKSPACE = "workspace"
    LIMITS = "limits"


@dataclass(slots=True, frozen=True)
class MalformedEntry:
    """A part of the operators' document that is not in force, at a path such as ``$.routes[3]``."""

    kind: EntryKind
    path: str
    detail: str


@dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the configuration of the operators.

    ``requires_keys`` states whether requests need a key of a workspace, except on anonymous routes.
    It holds also while there are no keys at all. ``malformed_entries`` are not in force; all other
    parts of the document are.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    workspaces_by_name: dict[str, Workspace] = field(default_factory=dict)
    workspaces_by_key: dict[str, Workspace] = field(default_factory=dict)
    requires_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)
    malformed_entries: tuple[MalformedEntry, ...] = ()

    def home_regions(self) -> frozenset[str]:
        """Return all home regions of routes and workspaces."""
        routes = [route for routes in self.routes_by_host.values() for route in routes]
        return frozenset().union(
            *(item.home_regions for item in (*routes, *self.workspaces_by_name.values()))
        )

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        matching = (r for r in self.routes_by_host.get(host, ()) if path.startswith(r.prefix))
        return max(matching, key=lambda route: len(route.prefix), default=None)


@dataclass(slots=True, frozen=True)
class OperatorRecords:
    """Everything that the operators have written, read at one revision of the store.

    ``document`` is the newest configuration, undecoded. Upstreams in ``evacuated_zones`` must get
    no requests.
    """

    revision: int
    document: bytes
    evacuated_zones: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class OperatorChanges:
    """What the operators have written after a known revision, up to ``revision``.

    ``document`` is None if the configuration has not changed. ``evacuated_by_zone`` states for each
    zone that was written whether it is evacuated now.
    """

    revision: int
    document: bytes | None = None
    evacuated_by_zone: dict[str, bool] = field(default_factory=dict)

    def apply_to(self, records: OperatorRecords) -> OperatorRecords:
        """Return the records after these changes."""
        unchanged = records.evacuated_zones - self.evacuated_by_zone.keys()
        evacuated = {zone for zone, is_set in self.evacuated_by_zone.items() if is_set}
        document = records.document if self.document is None else self.document
        return OperatorRecords(self.revision, document, unchanged | evacuated)


@dataclass(slots=True, frozen=True)
class Upstream:
    """One lifetime of an upstream.

    A restart gives it another identifier, or the same one with a later ``started_at``: the Unix
    time of its start in seconds, by its own clock, zero if it does not state it. What was observed
    in one lifetime does not apply to the next. ``registration`` is the revision of the store at
    which its entry was created: it changes when the lease of the entry expired and the upstream
    registered again. ``cold_seconds`` is how much longer it stays cold, infinite if its entry has
    an invalid time. ``software_version`` is that of its program, not of its models.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_at: float = 0.0
    registration: int = 0
    cold_seconds: float = 0.0
    software_version: str = ""


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """The service and the software version of the upstream that sent a stream's first event."""

    service: str
    software_version: str

    def admits(self, upstream: Upstream) -> bool:
        """Return whether the stream may go on at an upstream."""
        return (upstream.service, upstream.software_version) == (
            self.service,
            self.software_version,
        )


UNKNOWN_ORIGIN = StreamOrigin("", "")
"""Origin of a stream from a gateway that does not state it; it admits no upstream."""


@dataclass(slots=True, frozen=True)
class UpstreamList:
    """All registered upstreams, read at one revision of the store."""

    revision: int
    by_id: dict[str, Upstream]


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Call:
    """One request of a caller, with its body and headers undecoded.

    ``headers`` are those that are forwarded to an upstream. ``resume_after`` identifies the last
    event that the caller already has, and ``resumed_request_id`` its request that received the
    first event of the stream; both are empty for a new request.
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
    resumed_request_id: str = ""

    @property
    def max_tokens(self) -> int:
        """Return the most tokens that the request can use."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(slots=True, frozen=True)
class Load:
    """The load that an upstream last reported of itself."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status line and headers of an upstream's answer.

    ``not_run`` is the upstream's own statement that it did not start the request; with
    ``misdirected``, another upstream is at the address. ``request_id`` is the request it answers,
    empty if not stated. ``genuine`` states whether the headers contain the upstream's mark.
    ``max_requests_per_second`` is the request rate that the upstream accepts across all gateways,
    None when the answer has no valid limit. ``max_rejections_per_second`` is how many requests the
    upstream can reject in a second without failing, zero if the answer has an invalid number, None
    if it has none. ``leaving`` states that the upstream is shutting down
    and must get no new requests. ``retry_after_seconds`` is the time for which a 503 asks this
    gateway to send no requests, None when the answer has no valid one. ``cold_seconds`` is how much
    longer the upstream stays cold, infinite if the answer has an invalid time, None if it has none.
    ``malformed_headers`` names the headers about the upstream that could not be parsed.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    not_run: bool
    request_id: str
    genuine: bool
    load: Load | None = None
    misdirected: bool = False
    max_requests_per_second: float | None = None
    max_rejections_per_second: float | None = None
    leaving: bool = False
    retry_after_seconds: float | None = None
    cold_seconds: float | None = None
    malformed_headers: tuple[str, ...] = ()

    @property
    def is_rejection(self) -> bool:
        """Return whether the upstream rejected the request for want of room."""
        return (
            self.status == UNAVAILABLE_STATUS and self.not_run and self.retry_after_seconds is None
        )
