"""Caller requests of the demo: their plan, their sending and the check of each answer."""

import asyncio
import random
import time
from dataclasses import dataclass
from itertools import cycle

import msgspec

from quinceferry import (
    Answer,
    Client,
    OutcomeUnknownError,
    RefusedError,
    RequestError,
    ServiceAnswer,
    Usage,
)
from quinceferry_core.models import CallerRequest, ModelRef, RequestId, RequestKind, WorkspaceId
from quinceferry_lab.demo_fleet import SERVICE
from quinceferry_lab.demo_operators import DemoWorkspace
from quinceferry_standins.outputs import expected_output
from quinceferry_standins.service import expected_reply

MAX_TOKENS = 48
SERVICE_SHARE = 0.1
STREAMED_SHARE = 0.6
CHAT_SHARE = 0.7

_QUESTIONS = (
    "Draft the annual report's first page.",
    "Which entries lack a voucher?",
    "Sum up the largest item of each month.",
    "What would an auditor ask about entry {number}?",
)


@dataclass(slots=True, frozen=True)
class PlannedRequest:
    """One request to send; ``prompt`` is the body of a service call."""

    workspace: DemoWorkspace
    kind: RequestKind
    request_id: str
    prompt: str
    streamed: bool
    max_tokens: int = MAX_TOKENS


@dataclass(slots=True, frozen=True)
class RequestResult:
    """What a caller saw of one request.

    ``reason`` is empty for an answer; ``outcome`` is what the refusal says of the run;
    ``first_token_seconds`` is None unless the answer was streamed.
    """

    planned: PlannedRequest
    reason: str = ""
    outcome: str = "run"
    right: bool = True
    usage: Usage | None = None
    first_token_seconds: float | None = None


def plan_requests(
    workspace: DemoWorkspace, text: str, count: int, generator: random.Random
) -> list[PlannedRequest]:
    """Return requests that put different questions to one long text."""
    planned = []
    for number in range(count):
        request_id = f"{workspace.name}-{number:04d}"
        question = _QUESTIONS[number % len(_QUESTIONS)].format(number=number)
        kind = _draw_kind(generator)
        prompt = f"{text}\n\n{question}"
        if kind is RequestKind.SERVICE:
            prompt = msgspec.json.encode({"posting": number, "amount": "12.50"}).decode()
        streamed = kind is not RequestKind.SERVICE and generator.random() < STREAMED_SHARE
        planned.append(PlannedRequest(workspace, kind, request_id, prompt, streamed))
    return planned


async def send_all(
    clients_by_workspace: dict[str, list[Client]],
    planned: list[PlannedRequest],
    concurrency: int,
) -> list[RequestResult]:
    """Send requests, some at a time, and return what the callers saw.

    :param clients_by_workspace: the clients of each workspace, which take turns.
    :param concurrency: requests in progress at once.
    """
    slots = asyncio.Semaphore(concurrency)
    turns_by_workspace = {name: cycle(clients) for name, clients in clients_by_workspace.items()}

    async def send(request: PlannedRequest) -> RequestResult:
        async with slots:
            client = next(turns_by_workspace[request.workspace.name])
            return await send_one(client, request)

    return list(await asyncio.gather(*(send(request) for request in planned)))


async def send_one(client: Client, planned: PlannedRequest) -> RequestResult:
    """Send one request and check its answer against the stand-in's expected one."""
    try:
        if planned.kind is RequestKind.SERVICE:
            return _judge_service(planned, await _call_service(client, planned))
        if planned.streamed:
            return await _stream(client, planned)
        return _judge_answer(planned, await _ask(client, planned))
    except OutcomeUnknownError as error:
        return RequestResult(planned, error.reason, "unknown")
    except RefusedError as error:
        return RequestResult(planned, error.reason, error.outcome)
    except RequestError as error:
        return RequestResult(planned, type(error).__name__, "unknown")


async def _call_service(client: Client, planned: PlannedRequest) -> ServiceAnswer:
    """Make a call that must not run twice."""
    body = planned.prompt.encode()
    return await client.call_service(
        SERVICE, "/postings", body, request_id=planned.request_id, idempotent=False
    )


async def _ask(client: Client, planned: PlannedRequest) -> Answer:
    """Ask for a whole answer."""
    return await client.ask(planned.workspace.model, planned.prompt, **_options(planned))


async def _stream(client: Client, planned: PlannedRequest) -> RequestResult:
    """Ask for a streamed answer and time its first token."""
    started_at = time.monotonic()
    first_token_seconds: float | None = None
    pieces: list[str] = []
    usage: Usage | None = None
    stream = client.stream(planned.workspace.model, planned.prompt, **_options(planned))
    async for piece in stream:
        if piece.text and first_token_seconds is None:
            first_token_seconds = time.monotonic() - started_at
        pieces.append(piece.text)
        usage = piece.usage or usage
    right = "".join(pieces) == expected_output(_caller_request(planned))
    return RequestResult(planned, right=right, usage=usage, first_token_seconds=first_token_seconds)


def _options(planned: PlannedRequest) -> dict[str, object]:
    """Return the options of a model call."""
    return {
        "chat": planned.kind is RequestKind.CHAT,
        "max_tokens": planned.max_tokens,
        "request_id": planned.request_id,
    }


def _judge_answer(planned: PlannedRequest, answer: Answer) -> RequestResult:
    """Check a whole answer."""
    right = answer.text == expected_output(_caller_request(planned))
    return RequestResult(planned, right=right, usage=answer.usage)


def _judge_service(planned: PlannedRequest, answer: ServiceAnswer) -> RequestResult:
    """Check the answer of a service."""
    right = answer.body == expected_reply(_caller_request(planned))
    return RequestResult(planned, right=right)


def _caller_request(planned: PlannedRequest) -> CallerRequest:
    """Return the request as the stand-ins see it."""
    is_chat = planned.kind is RequestKind.CHAT
    return CallerRequest(
        workspace=WorkspaceId(planned.workspace.name),
        request_id=RequestId(planned.request_id),
        kind=planned.kind,
        target=ModelRef(planned.workspace.model),
        prompt=f"user: {planned.prompt}" if is_chat else planned.prompt,
        body=planned.prompt.encode() if planned.kind is RequestKind.SERVICE else b"",
        max_output_tokens=planned.max_tokens,
        path="/postings",
    )


def _draw_kind(generator: random.Random) -> RequestKind:
    """Draw the kind of a request."""
    if generator.random() < SERVICE_SHARE:
        return RequestKind.SERVICE
    return RequestKind.CHAT if generator.random() < CHAT_SHARE else RequestKind.COMPLETION
