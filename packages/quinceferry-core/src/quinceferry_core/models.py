"""Identifiers, configuration objects and requests shared by all packages."""

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
    """Protocol shape of a request."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


class UpstreamKind(Enum):
    """Whether an upstream is a model engine or a plain HTTP service."""

    ENGINE = "engine"
    SERVICE = "service"


class VmState(Enum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class ModelRef:
    """A model with an optional adapter and version, as a caller names it.

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
        """Read the text form.

        :param text: ``model[:adapter][@version]``.
        :return: the reference.
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
    """A model the fleet serves.

    ``min_bytes_per_token`` bounds the prompt's tokens from above: no token of this model's
    tokenizer covers fewer UTF-8 bytes on average over any prompt. One is safe for every byte-level
    tokenizer.
    """

    name: str
    min_bytes_per_token: float = 1.0
    default_output_tokens: int = 256
    max_output_tokens: int = 4096


@dataclass(slots=True, frozen=True)
class UpstreamSpec:
    """A model engine or plain service that requests are routed to.

    ``role`` is the role that an engine is ordered to take; empty leaves it as it is.
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
    """One line of the platform's VM list."""

    vm: VmId
    zone: str
    state: VmState = VmState.LIVE


@dataclass(slots=True, frozen=True)
class Ticket:
    """Names the only incarnation that may run a non-idempotent request.

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

    ``body`` is the caller's JSON document or service payload, passed on unchanged but for the
    output cap. ``prompt`` is the text that the model reads. ``path``, ``method`` and
    ``content_type`` are used by plain services only.
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
    """Tokens of one run, as the upstream counted them."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return prompt and output tokens together."""
        return self.prompt_tokens + self.output_tokens
