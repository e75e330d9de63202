"""Headers and JSON messages between routers and upstreams.

A completion is a POST in the format of the OpenAI API. Its answer is a stream of server-sent
events with one :class:`StreamChunk` each, ending with ``[DONE]``. The headers identify the request
and limit its tokens. A POST with the same headers and the offset, without a body, resumes a stream.
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
"""Attempt that began the run; a resume with another attempt finds no stream."""
TOKEN_CAP_HEADER = "x-token-cap"
"""Maximum of prompt and output tokens together."""
PRIORITY_HEADER = "x-priority"
OFFSET_HEADER = "x-offset"
"""Number of output tokens that the client already has."""
NOT_BEGUN_HEADER = "x-not-begun"
"""Present on an answer that rejects a request before starting it."""

UNKNOWN_REQUEST_STATUS = 404
"""Status of a resume of an unknown stream."""
REFUSED_STATUS = 409
"""Status of a rejected request or order."""

DATA_PREFIX = b"data:"
"""Prefix of the lines of a server-sent event that contain a message."""
DONE = b"[DONE]"
"""Last message of a stream."""


class StreamDelta(msgspec.Struct, frozen=True):
    """New text of a chat message."""

    content: str | None = None


class StreamChoice(msgspec.Struct, frozen=True, omit_defaults=True):
    """The only choice of a chunk; chats use ``delta``, completions ``text``."""

    text: str | None = None
    delta: StreamDelta | None = None
    finish_reason: str | None = None
    index: int = 0


class StreamUsage(msgspec.Struct, frozen=True):
    """Tokens of a run."""

    prompt_tokens: int
    completion_tokens: int


class StreamChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """A message of a stream.

    ``offset`` counts the output tokens before this chunk, ``tokens`` those in it. The last message
    has the usage and the finish reason.
    """

    choices: tuple[StreamChoice, ...] = ()
    offset: int = 0
    tokens: int = 0
    usage: StreamUsage | None = None


class CancelRequest(msgspec.Struct, frozen=True):
    """Stops the latest run of a request; None matches any workspace, router or attempt."""

    request_id: RequestId
    workspace: WorkspaceId | None = None
    incarnation: IncarnationId | None = None
    attempt: int | None = None


class CancelReply(msgspec.Struct, frozen=True):
    """Total tokens that a stopped run used; None when the upstream does not know the request."""

    used_tokens: int | None


class CacheEventsReply(msgspec.Struct, frozen=True):
    """Cache events after the requested sequence number."""

    events: tuple[CacheEvent, ...]


class UpstreamFault(msgspec.Struct, frozen=True):
    """Why a request was refused."""

    detail: str
