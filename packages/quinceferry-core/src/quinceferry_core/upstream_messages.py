"""Headers and JSON messages between routers and upstreams.

A completion is an OpenAI-style POST whose answer is a stream of server-sent events, one
:class:`StreamChunk` each, ending with ``[DONE]``. Its headers name the request and bound its use.
A stream is resumed by a POST with the same headers and the offset, without a body.
"""

import msgspec

from quinceferry_core.adapters import CacheEvent
from quinceferry_core.models import IncarnationId, RequestId, WorkspaceId

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
RESUME_PATH = "/resume"
CANCEL_PATH = "/cancel"
ORDER_PATH = "/order"
LOAD_PATH = "/load"
CACHE_EVENTS_PATH = "/cache_events"

WORKSPACE_HEADER = "x-workspace"
REQUEST_ID_HEADER = "idempotency-key"
INCARNATION_HEADER = "x-router-incarnation"
FENCING_HEADER = "x-fencing"
ATTEMPT_HEADER = "x-attempt"
"""Attempt that began the run; a resume that names another one finds no stream."""
TOKEN_CAP_HEADER = "x-token-cap"
"""Bound of prompt and output tokens together."""
PRIORITY_HEADER = "x-priority"
OFFSET_HEADER = "x-offset"
"""Output tokens that the reader already has."""
NOT_BEGUN_HEADER = "x-not-begun"
"""Present on an answer that refuses a request before it began."""

UNKNOWN_REQUEST_STATUS = 404
"""Status of a resume that names no known stream."""
REFUSED_STATUS = 409
"""Status of a request or order that was not begun."""

DATA_PREFIX = b"data:"
"""Start of a line of a server-sent event that carries a message."""
DONE = b"[DONE]"
"""Message that ends a stream."""


class StreamDelta(msgspec.Struct, frozen=True):
    """New text of a chat message."""

    content: str | None = None


class StreamChoice(msgspec.Struct, frozen=True, omit_defaults=True):
    """The only choice of a chunk; chats use ``delta``, completions use ``text``."""

    text: str | None = None
    delta: StreamDelta | None = None
    finish_reason: str | None = None
    index: int = 0


class StreamUsage(msgspec.Struct, frozen=True):
    """Tokens of a run."""

    prompt_tokens: int
    completion_tokens: int


class StreamChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One message of a stream.

    ``offset`` counts the output tokens before this piece, ``tokens`` those in it. The last message
    carries the usage and the finish reason.
    """

    choices: tuple[StreamChoice, ...] = ()
    offset: int = 0
    tokens: int = 0
    usage: StreamUsage | None = None


class CancelRequest(msgspec.Struct, frozen=True):
    """Stops the latest run of a request; None matches any workspace, router and attempt."""

    request_id: RequestId
    workspace: WorkspaceId | None = None
    incarnation: IncarnationId | None = None
    attempt: int | None = None


class CancelReply(msgspec.Struct, frozen=True):
    """Tokens a stopped run used in all; None when the upstream does not know it."""

    used_tokens: int | None


class CacheEventsReply(msgspec.Struct, frozen=True):
    """Cache events after the sequence asked for."""

    events: tuple[CacheEvent, ...]


class UpstreamFault(msgspec.Struct, frozen=True):
    """Why a request was refused."""

    detail: str
