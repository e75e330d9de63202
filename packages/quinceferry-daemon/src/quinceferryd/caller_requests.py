"""Parsing and validation of callers' request bodies."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.models import (
    CallerRequest,
    Configuration,
    ModelRef,
    ModelSpec,
    RequestKind,
    WorkspaceSpec,
)
from quinceferry_core.outcomes import Failed, RefusalReason
from quinceferryd.refusals import refusal
from quinceferryd.request_options import RequestOptions, malformed_refusal


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class ContentPart(msgspec.Struct, frozen=True):
    """Part of a chat message; only text is supported."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """Message of a chat."""

    role: str
    content: str | list[ContentPart] | None = None
    tool_calls: msgspec.Raw = msgspec.Raw()


class CompletionBody(msgspec.Struct, frozen=True):
    """Fields of chat and text completions that the router reads.

    All other fields are passed on as received.
    """

    model: str
    messages: list[ChatMessage] = []
    prompt: str | list[str] = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    n: int | None = 1
    best_of: int | None = 1
    echo: bool | None = False
    suffix: str | None = None
    tools: msgspec.Raw = msgspec.Raw()
    functions: msgspec.Raw = msgspec.Raw()
    response_format: msgspec.Raw = msgspec.Raw()


@dataclass(slots=True, frozen=True)
class CompletionCall:
    """A validated completion request, and whether its streamed answer ends with the usage."""

    request: CallerRequest
    include_usage: bool


_body_decoder = msgspec.json.Decoder(CompletionBody)


def read_completion(
    kind: RequestKind,
    document: bytes,
    options: RequestOptions,
    workspace: WorkspaceSpec,
    configuration: Configuration,
) -> Result[CompletionCall, Failed]:
    """Parse and validate the body of a completion request.

    :param kind: chat or text completion.
    :param document: body as received.
    :param options: options from the request's headers.
    :return: the validated call, or the refusal.
    """
    try:
        body = _body_decoder.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return malformed_refusal(str(error))
    detail = _unsupported_detail(kind, body)
    if detail:
        return malformed_refusal(detail)
    target = ModelRef.parse(body.model)
    model = configuration.models_by_name.get(target.model)
    if model is None or target not in workspace.models:
        detail = f"the model {body.model!r} does not exist or is not attached to this workspace"
        return Failure(refusal(RefusalReason.MODEL_NOT_ATTACHED, detail))
    return _output_cap(body, model).map(
        lambda cap: CompletionCall(
            _completion_request(kind, document, body, target, cap, options, workspace),
            bool(body.stream_options and body.stream_options.include_usage),
        )
    )


def read_service(
    service: str,
    path: str,
    method: str,
    body: bytes,
    content_type: str,
    options: RequestOptions,
    workspace: WorkspaceSpec,
) -> Result[CallerRequest, Failed]:
    """Validate a request to a plain service.

    :param path: path and query below the service's root, starting with a slash.
    :param content_type: media type of the body, passed on as received.
    :param options: options from the request's headers.
    :return: the validated request, or the refusal.
    """
    if service not in workspace.services:
        detail = f"the service {service!r} does not exist or is not attached to this workspace"
        return Failure(refusal(RefusalReason.SERVICE_NOT_ATTACHED, detail))
    request = CallerRequest(
        workspace=workspace.id,
        request_id=options.request_id,
        kind=RequestKind.SERVICE,
        target=ModelRef(service),
        body=body,
        priority=options.priority,
        idempotent=options.idempotent,
        stream=False,
        ticket=options.ticket,
        deadline_seconds=options.deadline_seconds,
        method=method,
        path=path,
        content_type=content_type,
    )
    return Success(request)


def _completion_request(
    kind: RequestKind,
    document: bytes,
    body: CompletionBody,
    target: ModelRef,
    max_output_tokens: int,
    options: RequestOptions,
    workspace: WorkspaceSpec,
) -> CallerRequest:
    """Build the request of a validated completion."""
    return CallerRequest(
        workspace=workspace.id,
        request_id=options.request_id,
        kind=kind,
        target=target,
        prompt=_chat_prompt(body) if kind is RequestKind.CHAT else _completion_prompt(body),
        body=document,
        max_output_tokens=max_output_tokens,
        priority=options.priority,
        idempotent=options.idempotent,
        stream=bool(body.stream),
        ticket=options.ticket,
        deadline_seconds=options.deadline_seconds,
    )


def _unsupported_detail(kind: RequestKind, body: CompletionBody) -> str:
    """Return why a body is not supported, or "" if it is.

    The router rejects what it cannot bound in tokens or relay.
    """
    if kind is RequestKind.CHAT and not body.messages:
        return "messages must not be empty"
    if kind is RequestKind.COMPLETION and not _completion_prompt(body):
        return "prompt must be one non-empty text"
    if kind is RequestKind.COMPLETION and not isinstance(body.prompt, str) and len(body.prompt) > 1:
        return "prompt must be one text"
    if (body.n or 1) != 1 or (body.best_of or 1) != 1:
        return "n and best_of above 1 are not supported"
    if body.echo or body.suffix:
        return "echo and suffix are not supported"
    return next(map(_unsupported_part_detail, _non_text_parts(body)), "")


def _non_text_parts(body: CompletionBody) -> list[ContentPart]:
    """Return all content parts that are not text."""
    return [
        part
        for message in body.messages
        if isinstance(message.content, list)
        for part in message.content
        if part.type != "text"
    ]


def _unsupported_part_detail(part: ContentPart) -> str:
    """Return the error detail for an unsupported content part."""
    return f"content of type {part.type!r} is not supported, only text"


def _output_cap(body: CompletionBody, model: ModelSpec) -> Result[int, Failed]:
    """Return the maximum number of output tokens, or the refusal of an invalid value."""
    requested_tokens = body.max_completion_tokens
    if requested_tokens is None:
        requested_tokens = body.max_tokens
    if requested_tokens is None:
        return Success(model.default_output_tokens)
    if not 0 < requested_tokens <= model.max_output_tokens:
        return malformed_refusal(f"max_tokens must be from 1 to {model.max_output_tokens}")
    return Success(requested_tokens)


def _completion_prompt(body: CompletionBody) -> str:
    """Return the text of a completion's prompt."""
    return body.prompt if isinstance(body.prompt, str) else "".join(body.prompt)


def _chat_prompt(body: CompletionBody) -> str:
    """Return all chat content that the engine prefills, as ``role: content`` lines."""
    lines = [line for message in body.messages for line in _message_lines(message)]
    fields_by_name = {
        "tools": body.tools,
        "functions": body.functions,
        "response_format": body.response_format,
    }
    lines += [
        f"{name}: {bytes(raw).decode()}" for name, raw in fields_by_name.items() if bytes(raw)
    ]
    return "\n".join(lines)


def _message_lines(message: ChatMessage) -> list[str]:
    """Return the prompt lines of one message."""
    content = message.content or ""
    if not isinstance(content, str):
        content = "".join(part.text for part in content)
    lines = [f"{message.role}: {content}"]
    if bytes(message.tool_calls):
        lines.append(f"tool_calls: {bytes(message.tool_calls).decode()}")
    return lines
