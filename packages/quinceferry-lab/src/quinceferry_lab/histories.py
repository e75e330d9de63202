"""Events of one run, recorded at the edge of the system.

Times are in virtual seconds. Nothing here comes from inside a router, except the revision of the
configuration that it applies.
"""

from dataclasses import dataclass, field

from quinceferry_core.bills import Balance, Bill
from quinceferry_core.models import CallerRequest, Usage, WorkspaceId
from quinceferry_core.outcomes import Outcome, RefusalReason
from quinceferry_standins.runs import RunRecord


@dataclass(slots=True, frozen=True)
class Answered:
    """The whole answer arrived."""

    usage: Usage
    reason: str


@dataclass(slots=True, frozen=True)
class Refused:
    """The system refused the request or said that it failed."""

    reason: RefusalReason
    outcome: Outcome
    retry_after_seconds: float
    detail: str
    step: str


@dataclass(slots=True, frozen=True)
class NotConnected:
    """No connection came about, so nothing was sent."""


@dataclass(slots=True, frozen=True)
class Broken:
    """The connection broke, or stayed silent until the caller gave it up."""

    by: str


@dataclass(slots=True, frozen=True)
class Vanished:
    """The caller went away."""


AttemptEnd = Answered | Refused | NotConnected | Broken | Vanished


@dataclass(slots=True)
class Attempt:
    """One try of a caller to have a request served.

    ``text`` and ``data`` hold what arrived. ``router`` names the process asked.
    """

    request: CallerRequest
    caller: str
    number: int
    router: str
    sent_at: float
    text: str = ""
    data: bytes = b""
    end: AttemptEnd | None = None
    ended_at: float = float("inf")

    @property
    def key(self) -> "Key":
        """Return the identity of the request."""
        return Key(self.request.workspace, str(self.request.request_id))


@dataclass(slots=True, frozen=True, order=True)
class Key:
    """Identity of a request."""

    workspace: WorkspaceId
    request: str


@dataclass(slots=True)
class TopUp:
    """A grant of tokens, which takes effect between its two times."""

    workspace: WorkspaceId
    tokens: int
    started_at: float
    acknowledged_at: float = float("inf")


@dataclass(slots=True, frozen=True)
class Accepted:
    """The operator was told that a revision is in force."""

    revision: int
    at: float


@dataclass(slots=True, frozen=True)
class RevisionSeen:
    """What one router process applies; ``serving`` while it takes requests."""

    router: str
    revision: int
    serving: bool
    at: float


@dataclass(slots=True, frozen=True)
class SpendSample:
    """Tokens that the upstreams had used for a workspace."""

    workspace: WorkspaceId
    tokens: int
    at: float


@dataclass(slots=True)
class GracefulStop:
    """A planned stop of one router process; ``disturbed`` when a fault killed or paused it."""

    router: str
    started_at: float
    ended_at: float = float("inf")
    disturbed: bool = False


@dataclass(slots=True, frozen=True)
class UpstreamLeft:
    """An upstream announced that it leaves."""

    upstream: str
    at: float


@dataclass(slots=True)
class Removal:
    """An upstream that the configuration did not name between its two times."""

    upstream: str
    accepted_at: float
    restored_at: float = float("inf")


@dataclass(slots=True, frozen=True)
class Note:
    """A fault or other circumstance, for the account of a violation."""

    at: float
    text: str


@dataclass(slots=True, frozen=True)
class Closing:
    """Bills and balance of a workspace, read after all routers have stopped."""

    bills: list[Bill]
    balance: Balance


@dataclass(slots=True)
class History:
    """Everything a run recorded."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    top_ups: list[TopUp] = field(default_factory=list)
    samples: list[SpendSample] = field(default_factory=list)
    accepted: list[Accepted] = field(default_factory=list)
    revisions: list[RevisionSeen] = field(default_factory=list)
    stops: list[GracefulStop] = field(default_factory=list)
    departures: list[UpstreamLeft] = field(default_factory=list)
    removals: list[Removal] = field(default_factory=list)
    closings: dict[WorkspaceId, Closing] = field(default_factory=dict)
    notes: list[Note] = field(default_factory=list)
    ended_at: float = 0.0

    def attempts_by_key(self) -> dict[Key, list[Attempt]]:
        """Return the attempts of each request, in the order of their sending."""
        attempts_by_key: dict[Key, list[Attempt]] = {}
        for attempt in sorted(self.attempts, key=lambda found: found.sent_at):
            attempts_by_key.setdefault(attempt.key, []).append(attempt)
        return attempts_by_key

    def runs_by_key(self) -> dict[Key, list[RunRecord]]:
        """Return the runs that really began, by request."""
        runs_by_key: dict[Key, list[RunRecord]] = {}
        for run in self.runs:
            if run.started_at is not None:
                key = Key(run.workspace, str(run.request_id))
                runs_by_key.setdefault(key, []).append(run)
        return runs_by_key
