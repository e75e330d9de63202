"""Reads dispatches from HTTP requests and writes answers, for the stand-in upstreams."""

import uuid
from collections.abc import AsyncIterator, Mapping
from dataclasses import replace
from typing import Any

import msgspec
from litestar import Request, Response

from quinceferry_core.adapters import Dispatch
from quinceferry_core.exceptions import (
    UpstreamError,
    UpstreamLostError,
    UpstreamRefusedError,
    UpstreamUnknownRequestError,
)
from quinceferry_core.models import (
    CallerRequest,
    IncarnationId,
    ModelRef,
    Priority,
    RequestId,
    RequestKind,
    UpstreamId,
    UpstreamSpec,
    WorkspaceId,
)
from quinceferry_core.outcomes import AnswerEvent, Chunk, Finished
from quinceferry_core.upstream_messages import (
    ATTEMPT_HEADER,
    DATA_PREFIX,
    DONE,
    FENCING_HEADER,
    INCARNATION_HEADER,
    NOT_BEGUN_HEADER,
    OFFSET_HEADER,
    PRIORITY_HEADER,
    REFUSED_STATUS,
    REQUEST_ID_HEADER,
    TOKEN_CAP_HEADER,
    UNKNOWN_REQUEST_STATUS,
    WORKSPACE_HEADER,
    StreamChoice,
    StreamChunk,
    StreamDelta,
    StreamUsage,
    UpstreamFault,
)
from quinceferry_standins.outputs import DEFAULT_OUTPUT_TOKENS, count_prompt_tokens

_LOST_STATUS = 500


class Message(msgspec.Struct, frozen=True):
    """Message of a chat."""

    role: str
    content: str = ""


class CompletionBody(msgspec.Struct, frozen=True):
    """Fields of both completion calls that the stand-in reads."""

    model: str
    messages: tuple[Message, ...] = ()
    prompt: str = ""
    max_tokens: int = DEFAULT_OUTPUT_TOKENS

    @property
    def text(self) -> str:
        """Return what the model reads: the prompt, or one line for each chat message."""
        lines = [f"{message.role}: {message.content}" for message in self.messages]
        return "\n".join(lines) if lines else self.prompt


_body_decoder = msgspec.json.Decoder(CompletionBody)
_encoder = msgspec.json.Encoder()


def read_completion(
    upstream: UpstreamId, kind: RequestKind, headers: Mapping[str, str], document: bytes
) -> Dispatch:
    """Return the dispatch that a completion request stands for.

    :raises UpstreamRefusedError: the body is malformed.
    """
    try:
        body = _body_decoder.decode(document)
    except msgspec.MsgspecError as error:
        raise UpstreamRefusedError(str(error), step="engine.run", peer=upstream) from error
    request = CallerRequest(
        workspace=WorkspaceId(headers.get(WORKSPACE_HEADER, "")),
        request_id=RequestId(headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex),
        kind=kind,
        target=ModelRef.parse(body.model),
        prompt=body.text,
        body=document,
        max_output_tokens=body.max_tokens,
        priority=Priority(int(headers.get(PRIORITY_HEADER, Priority.NORMAL))),
    )
    default_cap = count_prompt_tokens(request.prompt) + body.max_tokens
    return _dispatch(upstream, request, headers, default_cap)


def read_resume(upstream: UpstreamId, headers: Mapping[str, str]) -> Dispatch:
    """Return the dispatch that a request to resume stands for."""
    request = CallerRequest(
        workspace=WorkspaceId(headers.get(WORKSPACE_HEADER, "")),
        request_id=RequestId(headers.get(REQUEST_ID_HEADER, "")),
        kind=RequestKind.COMPLETION,
        target=ModelRef(""),
    )
    dispatch = _dispatch(upstream, request, headers, default_cap=0)
    return replace(dispatch, run_attempt=dispatch.attempt or None)


def read_service_call(
    upstream: UpstreamId, headers: Mapping[str, str], method: str, path: str, body: bytes
) -> Dispatch:
    """Return the dispatch that a call of a plain service stands for."""
    request = CallerRequest(
        workspace=WorkspaceId(headers.get(WORKSPACE_HEADER, "")),
        request_id=RequestId(headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex),
        kind=RequestKind.SERVICE,
        target=ModelRef(""),
        body=body,
        method=method,
        path=path,
    )
    return _dispatch(upstream, request, headers, default_cap=0)


async def sent_events(
    kind: RequestKind, events: AsyncIterator[AnswerEvent]
) -> AsyncIterator[bytes]:
    """Encode an answer as server-sent events; one that breaks off ends without ``[DONE]``."""
    try:
        async for event in events:
            match event:
                case Chunk():
                    yield _line(_encoder.encode(_chunk_message(kind, event)))
                case Finished():
                    yield _line(_encoder.encode(_last_message(event))) + _line(DONE)
    except UpstreamLostError:
        return


def refuse(_request: Request[Any, Any, Any], error: UpstreamError) -> Response[UpstreamFault]:
    """Answer a request that failed before its first event."""
    fault = UpstreamFault(str(error))
    match error:
        case UpstreamRefusedError():
            headers = {NOT_BEGUN_HEADER: "true"}
            return Response(fault, status_code=REFUSED_STATUS, headers=headers)
        case UpstreamUnknownRequestError():
            return Response(fault, status_code=UNKNOWN_REQUEST_STATUS)
        case _:
            return Response(fault, status_code=_LOST_STATUS)


def _dispatch(
    upstream: UpstreamId, request: CallerRequest, headers: Mapping[str, str], default_cap: int
) -> Dispatch:
    """Return a dispatch with what the headers say of it."""
    return Dispatch(
        request=request,
        upstream=UpstreamSpec(upstream, address="", zone=""),
        incarnation=IncarnationId(headers.get(INCARNATION_HEADER, "")),
        fencing=int(headers.get(FENCING_HEADER, 0)),
        attempt=int(headers.get(ATTEMPT_HEADER, 0)),
        token_cap=int(headers.get(TOKEN_CAP_HEADER, default_cap)),
        offset=int(headers.get(OFFSET_HEADER, 0)),
    )


def _chunk_message(kind: RequestKind, chunk: Chunk) -> StreamChunk:
    """Return the message of a chunk."""
    if kind is RequestKind.CHAT:
        choice = StreamChoice(delta=StreamDelta(chunk.text))
    else:
        choice = StreamChoice(text=chunk.text)
    return StreamChunk((choice,), chunk.offset, chunk.tokens)


def _last_message(finished: Finished) -> StreamChunk:
    """Return the message that carries the usage."""
    usage = StreamUsage(finished.usage.prompt_tokens, finished.usage.output_tokens)
    choice = StreamChoice(finish_reason=finished.reason)
    return StreamChunk((choice,), offset=usage.completion_tokens, usage=usage)


def _line(message: bytes) -> bytes:
    """Return a message as a server-sent event."""
    return DATA_PREFIX + b" " + message + b"\n\n"
