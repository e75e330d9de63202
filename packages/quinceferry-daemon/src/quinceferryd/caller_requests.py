"""Reads and validates what callers send."""

import re
import uuid
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.models import (
    CallerRequest,
    Configuration,
    ModelRef,
    ModelSpec,
    Priority,
    RequestId,
    RequestKind,
    Ticket,
    WorkspaceSpec,
)
from quinceferry_core.outcomes import Failed, RefusalReason
from quinceferryd.interfaces import Tickets
from quinceferryd.refusals import refusal
from quinceferryd.settings import CallerSettings

REQUEST_ID_HEADER = "idempotency-key"
PRIORITY_HEADER = "x-quinceferry-priority"
NON_IDEMPOTENT_HEADER = "x-quinceferry-non-idempotent"
TICKET_HEADER = "x-quinceferry-ticket"
DEADLINE_HEADER = "x-quinceferry-deadline-seconds"

_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:~+=@-]{1,128}")
_PRIORITIES_BY_WORD = {priority.name.lower(): priority for priority in Priority}
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


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
    """Fields of both completion calls that the router reads; the rest is passed on unread."""

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
class RequestOptions:
    """What the headers of a request say."""

    request_id: RequestId
    priority: Priority
    idempotent: bool
    ticket: Ticket | None
    deadline_seconds: float


@dataclass(slots=True, frozen=True)
class CompletionCall:
    """A valid completion request, and whether a streamed answer ends with its usage."""

    request: CallerRequest
    include_usage: bool


_body_decoder = msgspec.json.Decoder(CompletionBody)


class OptionReader:
    """Reads the headers that all requests share.

    :param tickets: reads tickets.
    :param settings: bounds of the caller interface.
    """

    def __init__(self, tickets: Tickets, settings: CallerSettings) -> None:
        self._tickets = tickets
        self._settings = settings

    def read(
        self, headers: Mapping[str, str], workspace: WorkspaceSpec, method: str, safe: bool
    ) -> Result[RequestOptions, Failed]:
        """Read the headers of one request.

        :param workspace: the caller's workspace; its priority is the highest a caller may ask for.
        :param method: HTTP method.
        :param safe: whether a request is idempotent when its header does not say.
        """
        given_id = headers.get(REQUEST_ID_HEADER, "")
        if given_id and not _REQUEST_ID_PATTERN.fullmatch(given_id):
            return malformed(f"{REQUEST_ID_HEADER} must match {_REQUEST_ID_PATTERN.pattern}")
        word = headers.get(PRIORITY_HEADER, workspace.priority.name).lower()
        if word not in _PRIORITIES_BY_WORD:
            return malformed(f"{PRIORITY_HEADER} must be one of {', '.join(_PRIORITIES_BY_WORD)}")
        mark = headers.get(NON_IDEMPOTENT_HEADER, "").lower()
        if mark not in ("", "true", "false"):
            return malformed(f"{NON_IDEMPOTENT_HEADER} must be true or false")
        idempotent = mark == "false" or (not mark and (safe or method in _SAFE_METHODS))
        if not idempotent and not given_id:
            return malformed(f"a non-idempotent request needs {REQUEST_ID_HEADER}")
        match self._deadline(headers), self._ticket(headers, workspace):
            case Failure() as failure, _:
                return failure
            case _, Failure() as failure:
                return failure
            case Success(deadline_seconds), Success(ticket):
                request_id = RequestId(given_id or uuid.uuid4().hex)
                priority = max(_PRIORITIES_BY_WORD[word], workspace.priority)
                options = RequestOptions(request_id, priority, idempotent, ticket, deadline_seconds)
                return Success(options)
        raise AssertionError("a result is a success or a failure")

    def _deadline(self, headers: Mapping[str, str]) -> Result[float, Failed]:
        """Read the deadline, in seconds from now."""
        text = headers.get(DEADLINE_HEADER, "")
        if not text:
            return Success(self._settings.default_deadline_seconds)
        try:
            seconds = float(text)
        except ValueError:
            return malformed(f"{DEADLINE_HEADER} must be a number")
        if not 0 < seconds <= self._settings.max_deadline_seconds:
            limit = self._settings.max_deadline_seconds
            return malformed(f"{DEADLINE_HEADER} must be above 0 and at most {limit:g}")
        return Success(seconds)

    def _ticket(
        self, headers: Mapping[str, str], workspace: WorkspaceSpec
    ) -> Result[Ticket | None, Failed]:
        """Read the ticket, if there is one."""
        text = headers.get(TICKET_HEADER, "")
        if not text:
            return Success(None)
        match self._tickets.read(text):
            case Success(Ticket(workspace=owner) as ticket) if owner == workspace.id:
                return Success(ticket)
            case Failure(detail):
                return Failure(refusal(RefusalReason.TICKET_INVALID, detail))
            case _:
                return Failure(refusal(RefusalReason.TICKET_INVALID, "ticket of other workspace"))


def malformed(detail: str) -> Failure[Failed]:
    """Return the refusal of a request that is not well formed."""
    return Failure(refusal(RefusalReason.MALFORMED, detail))


def read_completion(
    kind: RequestKind,
    document: bytes,
    options: RequestOptions,
    workspace: WorkspaceSpec,
    configuration: Configuration,
) -> Result[CompletionCall, Failed]:
    """Read the body of a completion request.

    :param kind: chat or text completion.
    :param document: the body as received.
    """
    try:
        body = _body_decoder.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return malformed(str(error))
    fault = _unsupported(kind, body)
    if fault:
        return malformed(fault)
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
    """Read a request to a plain service.

    :param path: path and query below the service's root, beginning with a slash.
    :param content_type: media type of the body, passed on as received.
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
    """Return the validated request."""
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


def _unsupported(kind: RequestKind, body: CompletionBody) -> str:
    """Return what in a body the router cannot bound or relay; empty when it is fine."""
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
    return next(map(_unsupported_part, _content_parts(body)), "")


def _content_parts(body: CompletionBody) -> list[ContentPart]:
    """Return all parts that are not text."""
    return [
        part
        for message in body.messages
        if isinstance(message.content, list)
        for part in message.content
        if part.type != "text"
    ]


def _unsupported_part(part: ContentPart) -> str:
    """Say that a content part is not supported."""
    return f"content of type {part.type!r} is not supported, only text"


def _output_cap(body: CompletionBody, model: ModelSpec) -> Result[int, Failed]:
    """Return the greatest number of output tokens."""
    asked = body.max_completion_tokens
    if asked is None:
        asked = body.max_tokens
    if asked is None:
        return Success(model.default_output_tokens)
    if not 0 < asked <= model.max_output_tokens:
        return malformed(f"max_tokens must be from 1 to {model.max_output_tokens}")
    return Success(asked)


def _completion_prompt(body: CompletionBody) -> str:
    """Return the text of a completion's prompt."""
    return body.prompt if isinstance(body.prompt, str) else "".join(body.prompt)


def _chat_prompt(body: CompletionBody) -> str:
    """Return everything of a chat that the model reads, one ``role: content`` line a message."""
    lines = [line for message in body.messages for line in _message_lines(message)]
    extras = {
        "tools": body.tools,
        "functions": body.functions,
        "response_format": body.response_format,
    }
    lines += [f"{name}: {bytes(raw).decode()}" for name, raw in extras.items() if bytes(raw)]
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
