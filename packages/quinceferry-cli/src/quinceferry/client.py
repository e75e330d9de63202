"""Client of the caller API."""

import random
from collections.abc import AsyncIterator, Sequence
from typing import Any

import httpx
import msgspec

from quinceferry.addresses import AddressAnswer, AddressCache
from quinceferry.attempts import PRIORITY_HEADER, FailureHook, PreparedCall, RetrySequence
from quinceferry.events import Piece, StreamDeduplicator, Usage, read_piece, read_pieces
from quinceferry.exceptions import AnswerBrokenError, RequestError, RouterUnreachableError
from quinceferry.refusals import is_refusal, read_refusal
from quinceferry.retries import RetryPolicy
from quinceferry.sessions import Session
from quinceferry_core.clocks import Clock

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
SERVICE_PATH = "/services"
CONNECT_TIMEOUT_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 120.0
"""Time without data from a router after which an attempt fails."""
MAX_CONNECTIONS = 512


class Answer(msgspec.Struct, frozen=True):
    """A complete answer of a model."""

    request_id: str
    text: str
    finish_reason: str = ""
    usage: Usage | None = None


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A complete answer of a plain service."""

    request_id: str
    status: int
    content_type: str
    body: bytes


class Client(Session):
    """Sends the requests of one workspace.

    Failed attempts are retried at another router with the same request id and ticket, so that a
    request runs and is billed once, however often it is sent.

    :param routers: base URLs of some routers of the fleet.
    :param key: the workspace's key.
    :param zone: availability zone of this caller; empty when unknown.
    :param on_failed_attempt: called with the error of each failed attempt, including those that are
        retried.
    """

    def __init__(
        self,
        routers: Sequence[str],
        key: str,
        *,
        zone: str = "",
        on_failed_attempt: FailureHook | None = None,
        policy: RetryPolicy | None = None,
        clock: Clock | None = None,
        generator: random.Random | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {key}"},
            timeout=httpx.Timeout(READ_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            transport=transport,
            trust_env=False,
        )
        super().__init__(http, policy=policy, clock=clock, generator=generator)
        self._on_failed_attempt = on_failed_attempt
        self._address_cache = AddressCache(self._http, routers, self._clock, self._generator, zone)

    async def addresses(self) -> AddressAnswer:
        """Return the addresses to use, from the cache while they are valid."""
        return await self._address_cache.get()

    async def ask(self, model: str, prompt: str, **options: Any) -> Answer:
        """Send a prompt to a model and return its complete answer.

        :param model: ``model[:adapter][@version]``.
        :param prompt: the prompt; the only message of a chat.
        :param options: as for :func:`model_call`.
        :raises RefusedError: the fleet refused the request.
        :raises RouterUnreachableError: no router answered.
        """
        call = model_call(model, prompt, stream=False, **options)
        response = await self._send(call)
        try:
            piece = read_piece(response.content)
        except msgspec.DecodeError as error:
            detail = f"malformed answer: {error}"
            raise AnswerBrokenError(
                detail, request=response.request, response=response, step="ask"
            ) from error
        return Answer(call.request_id, piece.text, piece.finish_reason, piece.usage)

    async def stream(self, model: str, prompt: str, **options: Any) -> AsyncIterator[Piece]:
        """Send a prompt to a model and yield the pieces of its answer as they arrive.

        When an attempt is interrupted, the next one starts from the beginning and the text already
        returned is skipped. Parameters and errors are those of :meth:`ask`.

        :raises AnswerBrokenError: a retried answer does not begin with the text already returned.
        """
        call = model_call(model, prompt, stream=True, **options)
        attempts = self._new_attempts(call)
        deduplicator = StreamDeduplicator()
        while True:
            deduplicator.restart()
            try:
                async for piece in self._stream_pieces(attempts):
                    new_piece = deduplicator.new_part(piece)
                    if new_piece is None:
                        break
                    yield new_piece
                else:
                    return
            except RequestError as error:
                await attempts.wait_or_raise(error)
                continue
            raise AnswerBrokenError(
                "the retried answer differs from the text already returned", step="stream"
            )

    async def call_service(
        self,
        service: str,
        path: str,
        body: bytes = b"",
        *,
        method: str = "POST",
        content_type: str = "application/json",
        idempotent: bool = False,
        request_id: str = "",
    ) -> ServiceAnswer:
        """Call a plain service through the fleet.

        :param service: name of the service.
        :param path: path below the service's root, with a leading slash.
        :param idempotent: whether the call may run more than once.
        :return: the answer of the service, whatever its status.
        :raises OutcomeUnknownError: a non-idempotent call may or may not have run.
        """
        request_id_option = {"request_id": request_id} if request_id else {}
        call = PreparedCall(
            method,
            f"{SERVICE_PATH}/{service}{path}",
            body,
            idempotent=idempotent,
            headers={"Content-Type": content_type},
            **request_id_option,
        )
        response = await self._send(call)
        response_content_type = response.headers.get("content-type", "")
        return ServiceAnswer(
            call.request_id, response.status_code, response_content_type, response.content
        )

    async def _send(self, call: PreparedCall) -> httpx.Response:
        """Send a call, with retries, and return its complete answer."""
        attempts = self._new_attempts(call)
        while True:
            request = await attempts.next_request(self._http)
            try:
                return await self._send_once(request)
            except RequestError as error:
                await attempts.wait_or_raise(error)

    async def _send_once(self, request: httpx.Request) -> httpx.Response:
        """Send one attempt."""
        try:
            response = await self._http.send(request)
        except httpx.TransportError as error:
            raise _no_answer_error(request, error) from error
        if is_refusal(response):
            raise read_refusal(response, response.content, step="send")
        return response

    async def _stream_pieces(self, attempts: RetrySequence) -> AsyncIterator[Piece]:
        """Send one attempt and yield the pieces of its answer."""
        request = await attempts.next_request(self._http)
        try:
            response = await self._http.send(request, stream=True)
        except httpx.TransportError as error:
            raise _no_answer_error(request, error) from error
        try:
            if response.is_error:
                raise read_refusal(response, await response.aread(), step="stream")
            async for piece in read_pieces(response):
                yield piece
        except httpx.TransportError as error:
            raise AnswerBrokenError(
                f"the stream was interrupted: {type(error).__name__} {error}",
                request=request,
                response=response,
                step="stream",
            ) from error
        finally:
            await response.aclose()

    def _new_attempts(self, call: PreparedCall) -> RetrySequence:
        """Return the retry sequence of a new call."""
        return RetrySequence(
            call,
            self._address_cache,
            self._policy,
            self._clock,
            self._generator,
            self._on_failed_attempt,
        )


def model_call(
    model: str,
    prompt: str,
    *,
    stream: bool,
    max_tokens: int | None = None,
    chat: bool = True,
    idempotent: bool = True,
    priority: str = "",
    request_id: str = "",
    extra: dict[str, Any] | None = None,
) -> PreparedCall:
    """Return the call that sends a prompt to a model.

    :param stream: whether the answer is streamed.
    :param max_tokens: maximum number of output tokens; the model's default if absent.
    :param chat: whether the request is a chat or a text completion.
    :param idempotent: whether the request may run more than once.
    :param priority: ``high``, ``normal`` or ``low``; the workspace's own if empty.
    :param request_id: identifier of the request; a new one if empty.
    :param extra: additional fields of the body.
    """
    document: dict[str, Any] = {"model": model, "stream": stream, **(extra or {})}
    if chat:
        document["messages"] = [{"role": "user", "content": prompt}]
    else:
        document["prompt"] = prompt
    if max_tokens is not None:
        document["max_tokens"] = max_tokens
    if stream:
        document["stream_options"] = {"include_usage": True}
    headers = {"Content-Type": "application/json"}
    if priority:
        headers[PRIORITY_HEADER] = priority
    request_id_option = {"request_id": request_id} if request_id else {}
    path = CHAT_PATH if chat else COMPLETION_PATH
    content = msgspec.json.encode(document)
    return PreparedCall(
        "POST", path, content, idempotent=idempotent, headers=headers, **request_id_option
    )


def _no_answer_error(request: httpx.Request, error: httpx.TransportError) -> RouterUnreachableError:
    """Return the error for an attempt without an answer."""
    detail = f"no answer: {type(error).__name__} {error}"
    return RouterUnreachableError(detail, request=request, step="send")
