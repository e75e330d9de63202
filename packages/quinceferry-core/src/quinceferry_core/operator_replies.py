"""Replies and failures of the operator API, shared by its server and its client."""

from typing import Literal

from msgspec import Struct

ChangeState = Literal["proposed", "accepted"]


class AwaitedRouterReply(Struct, frozen=True, kw_only=True):
    """A router that may still serve a revision older than a change, with the reason."""

    router: str
    vm: str
    reason: Literal["not_confirmed", "lease_lapsed", "closed_not_proven_gone"]
    applied_revision: int


class ChangeReply(Struct, frozen=True, kw_only=True):
    """State of a configuration change.

    ``accepted`` means that every router that may serve has applied it; until then,
    ``awaited_routers`` lists those that have not.
    """

    operation_id: str
    revision: int
    state: ChangeState
    awaited_routers: list[AwaitedRouterReply] = []


class BalanceReply(Struct, frozen=True, kw_only=True):
    """Budget of a workspace, in tokens.

    ``granted`` = ``settled`` + ``withheld`` + ``held_by_routers`` + ``free``. Routers spend from
    what they hold. Withheld tokens count as spent until it is known whether they were.
    """

    workspace: str
    granted: int
    settled: int
    withheld: int
    held_by_routers: int
    free: int


class BillReply(Struct, frozen=True, kw_only=True):
    """Bill of one request; ``tokens`` is the sum of prompt and output tokens.

    ``estimated`` is set when no upstream reported the usage, ``partial`` when the answer was
    incomplete.
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
    """A router of the fleet, according to its heartbeat record.

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
    """Routers of the fleet, ordered by incarnation."""

    routers: list[RouterReply] = []


class UpstreamReply(Struct, frozen=True, kw_only=True):
    """State of an upstream, as known to the answering router."""

    upstream: str
    zone: str
    kind: str
    leaving: bool
    running: int
    waiting: int
    loaded: list[str] = []


class StatusReply(Struct, frozen=True, kw_only=True):
    """State of the answering router.

    ``revision`` is the revision that it has applied; ``accepted_revision`` is applied everywhere.
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
    """Reply to a drain; the router is removed from the list once it has stopped."""

    operation_id: str
    router: str
    state: str


class DeclareGoneReply(Struct, frozen=True, kw_only=True):
    """Reply to a declaration; the tokens that the router held can be freed from now on."""

    operation_id: str
    router: str
    vm: str


class OperatorFailure(Struct, frozen=True, kw_only=True):
    """Why a call was rejected or failed.

    ``code`` is stable and intended for programs. After a conflict, ``revision`` is the current
    revision and ``changed_by`` lists the operations since the expected one.
    ``retry_after_seconds`` is zero when a retry cannot succeed.
    """

    code: str
    detail: str
    revision: int = 0
    changed_by: list[str] = []
    retry_after_seconds: float = 0.0
    step: str = ""
    peer: str = ""
