"""Requests of the operator API, shared by its server and its client.

Each call is ``POST /operator/v1/<MessageName>`` with the message as its JSON body. Unknown fields
are rejected, so that a misspelled field is not silently ignored.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from quinceferry_core.operator_replies import (
    BalanceReply,
    ChangeReply,
    DeclareGoneReply,
    DrainReply,
    ListBillsReply,
    ListRoutersReply,
    StatusReply,
)

OPERATOR_PATH = "/operator/v1"
"""Path prefix of all operator calls."""

OperationName = Annotated[
    str,
    Meta(
        pattern="^[A-Za-z0-9_.-]{1,64}$",
        description="Chosen by the operator; repeating a call with it returns the first answer.",
    ),
]
Revision = Annotated[int, Meta(ge=0, description="Revision of the configuration.")]
Name = Annotated[str, Meta(pattern="^[A-Za-z0-9_.-]{1,64}$")]
ModelName = Annotated[
    str,
    Meta(
        pattern="^[A-Za-z0-9_./-]{1,128}(:[A-Za-z0-9_.-]{1,64})?(@[A-Za-z0-9_.-]{1,64})?$",
        description="model[:adapter][@version]",
    ),
]
KeyHash = Annotated[
    str,
    Meta(
        pattern="^[0-9a-f]{64}$",
        description="Hexadecimal SHA-256 digest of a workspace key; the key itself is never sent.",
    ),
]
Rate = Annotated[float, Meta(ge=0)]
StreamCount = Annotated[int, Meta(ge=0)]
PriorityName = Literal["high", "normal", "low"]


class Message(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all requests."""


class Change(Message, frozen=True, kw_only=True):
    """Base class of all requests that change something."""

    operation_id: OperationName
    expected_revision: Revision


class CreateWorkspace(Change, frozen=True, kw_only=True):
    """Create a workspace; its budget is empty until a top-up.

    Limits apply to the whole fleet; zero means unlimited.
    """

    workspace: Name
    key_hash: KeyHash
    models: list[ModelName] = []
    services: list[Name] = []
    priority: PriorityName = "normal"
    requests_per_second: Rate = 0.0
    tokens_per_second: Rate = 0.0
    concurrent_streams: StreamCount = 0


class UpdateWorkspace(Change, frozen=True, kw_only=True):
    """Change a workspace; fields that are null or absent keep their value."""

    workspace: Name
    models: list[ModelName] | None = None
    services: list[Name] | None = None
    priority: PriorityName | None = None
    requests_per_second: Rate | None = None
    tokens_per_second: Rate | None = None
    concurrent_streams: StreamCount | None = None


class RotateWorkspaceKey(Change, frozen=True, kw_only=True):
    """Replace the key of a workspace; the newest previous key may stay valid."""

    workspace: Name
    key_hash: KeyHash
    keep_previous: bool = False


class RegisterModel(Change, frozen=True, kw_only=True):
    """Add a model or replace its specification."""

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9_./-]{1,128}$")]
    min_bytes_per_token: Annotated[float, Meta(gt=0)] = 1.0
    default_output_tokens: Annotated[int, Meta(ge=1)] = 256
    max_output_tokens: Annotated[int, Meta(ge=1)] = 4096


class RegisterUpstream(Change, frozen=True, kw_only=True):
    """Add an upstream or replace its specification."""

    upstream: Name
    address: Annotated[str, Meta(pattern="^https?://[^/]+$")]
    zone: Name
    checks_fencing: Annotated[
        bool, Meta(description="Whether the upstream rejects an order with an old fencing number.")
    ]
    kind: Literal["engine", "service"] = "engine"
    vm: str = ""
    service: str = ""
    role: Annotated[
        str, Meta(description="Role that the engine is ordered to take; empty leaves it unchanged.")
    ] = ""


class RemoveUpstream(Change, frozen=True, kw_only=True):
    """Remove an upstream; requests in progress there continue."""

    upstream: Name


class TopUp(Change, frozen=True, kw_only=True):
    """Add prepaid tokens to a workspace.

    Top-ups commute, so that the expected revision is a minimum: a router that has not applied it
    yet rejects the call.
    """

    workspace: Name
    tokens: Annotated[int, Meta(gt=0, description="Number of tokens to add.")]


class Drain(Change, frozen=True, kw_only=True):
    """Stop a router gracefully; the expected revision is a minimum, as for a top-up."""

    router: Annotated[str, Meta(min_length=1, description="Incarnation of the router.")]


class DeclareGone(Change, frozen=True, kw_only=True):
    """Declare that a router's process has terminated, where nothing else can prove it.

    The declaration must be true, because it frees the tokens that the router held. The expected
    revision is a minimum, as for a top-up; a repeated declaration changes nothing.
    """

    router: Annotated[str, Meta(min_length=1, description="Incarnation of the router.")]


class GetBalance(Message, frozen=True, kw_only=True):
    """Read the budget of a workspace."""

    workspace: Name


class ListBills(Message, frozen=True, kw_only=True):
    """Read one page of the bills of a workspace."""

    workspace: Name
    cursor: str = ""


class GetChange(Message, frozen=True, kw_only=True):
    """Read the state of a configuration change."""

    operation_id: OperationName


class GetStatus(Message, frozen=True, kw_only=True):
    """Read the state of the answering router."""


class ListRouters(Message, frozen=True, kw_only=True):
    """List the routers of the fleet."""


REPLIES_BY_MESSAGE: dict[type[Message], type[Struct]] = {
    CreateWorkspace: ChangeReply,
    UpdateWorkspace: ChangeReply,
    RotateWorkspaceKey: ChangeReply,
    RegisterModel: ChangeReply,
    RegisterUpstream: ChangeReply,
    RemoveUpstream: ChangeReply,
    GetChange: ChangeReply,
    TopUp: BalanceReply,
    GetBalance: BalanceReply,
    ListBills: ListBillsReply,
    GetStatus: StatusReply,
    ListRouters: ListRoutersReply,
    Drain: DrainReply,
    DeclareGone: DeclareGoneReply,
}
"""Type of the reply to each call."""
