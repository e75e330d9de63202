"""Answers and failures of the operator API, shared by the server and by its client."""

from typing import Literal

from msgspec import Struct

ChangeState = Literal["proposed", "accepted"]


class AwaitedRouterReply(Struct, frozen=True, kw_only=True):
    """A router that may still serve an older revision than a change, and why it is awaited."""

    router: str
    vm: str
    reason: Literal["not_confirmed", "lease_lapsed", "closed_not_proven_gone"]
    applied_revision: int


class ChangeReply(Struct, frozen=True, kw_only=True):
    """State of a configuration change.

    ``accepted`` means that every router which may serve has applied it; until then
    ``awaited_routers`` lists those that have not.
    """

    operation_id: str
    revision: int
    state: ChangeState
    awaited_routers: list[AwaitedRouterReply] = []


class BalanceReply(Struct, frozen=True, kw_only=True):
    """Budget of a workspace, in tokens.

    ``granted`` = ``settled`` + ``withheld`` + ``held_by_routers`` + ``free``. Routers spend from
    what they hold. Withheld tokens count as spent until it is proven what became of them.
    """

    workspace: str
    granted: int
    settled: int
    withheld: int
    held_by_routers: int
    free: int


class BillReply(Struct, frozen=True, kw_only=True):
    """Bill of one request; ``tokens`` counts prompt and output together.

    ``estimated`` when no upstream could tell the use, ``partial`` when the answer was cut.
    """

    request_id: str
    tokens: int
    paid_by: str
    estimated: bool = False
    partial: bool = False


class ListBillsReply(Struct, frozen=True, kw_only=True):
    """One page of bills; the cursor is empty on the last page."""

    workspace: str
    bills: list[BillReply] = []
    cursor: str = ""


class RouterReply(Struct, frozen=True, kw_only=True):
    """One router of the fleet, by its heartbeat record.

    ``stop_step`` and ``open_requests`` show the progress of a graceful stop.
    """

    router: str
    vm: str
    zone: str
    address: str
    state: str
    stop_step: str
    open_requests: int


class ListRoutersReply(Struct, frozen=True, kw_only=True):
    """Routers of the fleet, by incarnation."""

    routers: list[RouterReply] = []


class UpstreamReply(Struct, frozen=True, kw_only=True):
    """What the answering router knows of one upstream."""

    upstream: str
    zone: str
    kind: str
    leaving: bool
    running: int
    waiting: int
    loaded: list[str] = []


class StatusReply(Struct, frozen=True, kw_only=True):
    """State of the answering router.

    ``revision`` is the one it applies; ``accepted_revision`` is in force everywhere.
    """

    router: str
    vm: str
    zone: str
    address: str
    state: str
    revision: int
    accepted_revision: int
    kv_available: bool
    open_requests: int
    memory_bytes: int
    workspaces: list[str] = []
    models: list[str] = []
    upstreams: list[UpstreamReply] = []


class DrainReply(Struct, frozen=True, kw_only=True):
    """Answer to a drain; the router leaves the list when it has ended."""

    operation_id: str
    router: str
    state: str


class DeclareGoneReply(Struct, frozen=True, kw_only=True):
    """Answer to a declaration; what the router held is freed from now on."""

    operation_id: str
    router: str
    vm: str


class OperatorFailure(Struct, frozen=True, kw_only=True):
    """Why a call was refused or failed.

    ``code`` is stable and meant for programs. ``revision`` is the current one after a conflict, and
    ``changed_by`` the operations that came between. ``retry_after_seconds`` is zero when a retry
    cannot help.
    """

    code: str
    detail: str
    revision: int = 0
    changed_by: list[str] = []
    retry_after_seconds: float = 0.0
    step: str = ""
    peer: str = ""
