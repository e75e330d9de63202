"""Identifiers, configuration objects and requests used by all packages."""

from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum, IntEnum
from typing import NewType

WorkspaceId = NewType("WorkspaceId", str)
RequestId = NewType("RequestId", str)
UpstreamId = NewType("UpstreamId", str)
VmId = NewType("VmId", str)
IncarnationId = NewType("IncarnationId", str)
OperationId = NewType("OperationId", str)


class Priority(IntEnum):
    """Scheduling class of a request; a lower value is served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


class RequestKind(Enum):
    """Protocol of a request."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


class UpstreamKind(Enum):
    """Kind of an upstream: a model engine or a plain HTTP service."""

    ENGINE = "engine"
    SERVICE = "service"


class VmState(Enum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class ModelRef:
    """Reference to a model with an optional adapter and version, as a caller names it.

    Its text form is ``model[:adapter][@version]``.
    """

    model: str
    adapter: str = ""
    version: str = ""

    def __str__(self) -> str:
        """Return the text form."""
        adapter = f":{self.adapter}" if self.adapter else ""
        version = f"@{self.version}" if self.version else ""
        return f"{self.model}{adapter}{version}"

    @classmethod
    def parse(cls, text: str) -> "ModelRef":
        """Parse the text form.

        :param text: ``model[:adapter][@version]``.
        """
        rest, _, version = text.partition("@")
        model, _, adapter = rest.partition(":")
        return cls(model, adapter, version)


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one workspace over the whole fleet; zero means unlimited."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    concurrent_streams: int = 0


@dataclass(slots=True, frozen=True)
class WorkspaceSpec:
    """Configuration of one workspace.

    ``key_hashes`` holds hexadecimal SHA-256 digests of the bearer keys.
    """

    id: WorkspaceId
    key_hashes: tuple[str, ...] = ()
    models: tuple[ModelRef, ...] = ()
    services: tuple[str, ...] = ()
    priority: Priority = Priority.NORMAL
    limits: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class ModelSpec:
    """A model that the fleet serves.

    ``min_bytes_per_token`` gives an upper limit of a prompt's tokens: over any prompt, the model's
    tokens have at least this many UTF-8 bytes on average. One is safe for every byte-level
    tokenizer.
    """

    name: str
    min_bytes_per_token: float = 1.0
    default_output_tokens: int = 256
    max_output_tokens: int = 4096


@dataclass(slots=True, frozen=True)
class UpstreamSpec:
    """A model engine or plain service to which requests are routed.

    ``role`` is the role that an engine is ordered to take; empty leaves its role unchanged.
    """

    id: UpstreamId
    address: str
    zone: str
    kind: UpstreamKind = UpstreamKind.ENGINE
    vm: VmId = VmId("")
    checks_fencing: bool = False
    service: str = ""
    role: str = ""


@dataclass(slots=True, frozen=True)
class Configuration:
    """One revision of the operators' configuration."""

    revision: int = 0
    workspaces_by_id: dict[WorkspaceId, WorkspaceSpec] = field(default_factory=dict)
    models_by_name: dict[str, ModelSpec] = field(default_factory=dict)
    upstreams_by_id: dict[UpstreamId, UpstreamSpec] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class VmRecord:
    """An entry of the platform's VM list."""

    vm: VmId
    zone: str
    state: VmState = VmState.LIVE


@dataclass(slots=True, frozen=True)
class Ticket:
    """Names the home router, the only incarnation that may run a non-idempotent request.

    ``journaled`` is true when the home records every such request in its journal before dispatch.
    """

    workspace: WorkspaceId
    home: IncarnationId
    home_address: str
    expires_at: datetime
    journaled: bool = True


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """One request of a caller, after authentication and validation.

    ``body`` is the caller's JSON document or service payload, forwarded unchanged except for the
    output token limit. ``prompt`` is the prompt text for the model. ``path``, ``method`` and
    ``content_type`` are used for plain services only.
    """

    workspace: WorkspaceId
    request_id: RequestId
    kind: RequestKind
    target: ModelRef
    prompt: str = ""
    body: bytes = b""
    max_output_tokens: int = 0
    priority: Priority = Priority.NORMAL
    idempotent: bool = True
    stream: bool = True
    ticket: Ticket | None = None
    deadline_seconds: float = 120.0
    method: str = "POST"
    path: str = ""
    forwarded: bool = False
    content_type: str = ""


@dataclass(slots=True, frozen=True)
class Usage:
    """Tokens of one run, as counted by the upstream."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return the sum of prompt and output tokens."""
        return self.prompt_tokens + self.output_tokens
