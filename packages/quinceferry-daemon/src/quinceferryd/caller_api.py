"""HTTP API for callers, compatible with OpenAI client libraries."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import msgspec
from litestar import Request, Router, get, post, route
from litestar.types import ASGIApp
from returns.result import Failure, Result, Success

from quinceferry_core.models import (
    CallerRequest,
    RequestId,
    RequestKind,
    WorkspaceId,
    WorkspaceSpec,
)
from quinceferry_core.outcomes import Failed, RefusalReason, Unknown
from quinceferryd.answers import AnswerFormat
from quinceferryd.blackboard import RouterState
from quinceferryd.bodies import BodyMemory, BufferedBody, read_body
from quinceferryd.caller_documents import (
    AddressDocument,
    ModelDocument,
    ModelListDocument,
    outcome_document,
)
from quinceferryd.caller_requests import (
    CompletionCall,
    read_completion,
    read_service,
)
from quinceferryd.interfaces import RouterApplication
from quinceferryd.keys import KeyRing
from quinceferryd.meters import RequestMeter
from quinceferryd.refusals import JSON_HEADER, refusal
from quinceferryd.relays import (
    AnswerSink,
    ServiceAnswer,
    StreamedAnswer,
    WholeAnswer,
    relay_events,
    write_failure,
)
from quinceferryd.request_options import TICKET_HEADER, OptionReader
from quinceferryd.responses import Header, Relay, RelayResponse, ResponseWriter

HttpRequest = Request[Any, Any, Any]
Reply = Result[ASGIApp, Failed]
SinkFactory = Callable[[ResponseWriter], AnswerSink]

_NOT_READY_RETRY_SECONDS = 1.0
_SERVICE_PATH_PARTS = 3
_CLOSE_HEADERS: tuple[Header, ...] = ((b"connection", b"close"),)
_NO_STORE_HEADER: Header = (b"cache-control", b"no-store")


class CallerApi:
    """Handles the requests of callers.

    :param application: the router.
    :param bodies: limit on the memory of request bodies.
    """

    def __init__(self, application: RouterApplication, bodies: BodyMemory) -> None:
        self._application = application
        self._settings = application.settings.callers
        self._write_timeout_seconds = application.settings.streams.reader_timeout_seconds
        self._bodies = bodies
        self._keys = KeyRing()
        self._options = OptionReader(application.tickets, self._settings)

    async def complete(self, request: HttpRequest, kind: RequestKind) -> ASGIApp:
        """Run a chat or text completion."""

        async def answer(workspace: WorkspaceSpec) -> Reply:
            return await self._with_body(
                request, lambda body: self._complete(request, kind, body, workspace)
            )

        return await self._authenticate_and_answer(request, answer)

    async def serve(self, request: HttpRequest, service: str) -> ASGIApp:
        """Pass a request on to a plain service."""

        async def answer(workspace: WorkspaceSpec) -> Reply:
            return await self._with_body(
                request, lambda body: self._serve(request, service, body, workspace)
            )

        return await self._authenticate_and_answer(request, answer)

    async def outcome(self, request: HttpRequest, request_id: str) -> ASGIApp:
        """Return the outcome of one of the workspace's own requests."""

        async def answer(workspace: WorkspaceSpec) -> Reply:
            pipeline = self._application.pipeline
            outcome = await pipeline.outcome(workspace.id, RequestId(request_id))
            if outcome is None:
                detail = "this router knows no such request of this workspace"
                return Failure(refusal(RefusalReason.REQUEST_NOT_FOUND, detail))
            return Success(self._json_response(outcome_document(request_id, outcome)))

        return await self._authenticate_and_answer(request, answer)

    async def address(self, request: HttpRequest) -> ASGIApp:
        """Return the addresses of the routers that a workspace should use."""

        async def answer(workspace: WorkspaceSpec) -> Reply:
            zone = request.query_params.get("zone", "")
            address_answer = self._application.addresses.answer(workspace.id, zone)
            if not address_answer.addresses:
                return Failure(_not_ready_refusal("no router of the fleet is serving"))
            document = AddressDocument(
                tuple(address_answer.addresses), address_answer.ttl_seconds, address_answer.ticket
            )
            return Success(self._json_response(document))

        return await self._authenticate_and_answer(request, answer)

    async def models(self, request: HttpRequest) -> ASGIApp:
        """List the models attached to a workspace."""

        async def answer(workspace: WorkspaceSpec) -> Reply:
            data = [ModelDocument(str(model)) for model in workspace.models]
            return Success(self._json_response(ModelListDocument(data)))

        return await self._authenticate_and_answer(request, answer)

    async def _authenticate_and_answer(
        self, request: HttpRequest, answer: Callable[[WorkspaceSpec], Awaitable[Reply]]
    ) -> ASGIApp:
        """Authenticate a caller and answer its request, or respond with an error."""
        match self._authenticate(request):
            case Success(workspace):
                reply = await answer(workspace)
            case Failure(failed):
                return self._error_response(None, failed)
        match reply:
            case Success(response):
                return response
            case Failure(failed):
                return self._error_response(workspace.id, failed)
        raise AssertionError("a result is a success or a failure")

    async def _with_body(
        self, request: HttpRequest, handle_body: Callable[[BufferedBody], Reply]
    ) -> Reply:
        """Read the body and pass it to a handler.

        The body is released here if the handler fails; otherwise the response releases it.
        """
        limits = (self._settings.max_body_bytes, self._settings.body_timeout_seconds)
        match await read_body(request, *limits, self._bodies):
            case Success(body):
                reply = handle_body(body)
            case failure:
                return failure
        if isinstance(reply, Failure):
            body.release()
        return reply

    def _authenticate(self, request: HttpRequest) -> Result[WorkspaceSpec, Failed]:
        """Return the workspace of the caller's key, or the refusal."""
        blackboard = self._application.blackboard
        if blackboard.state is RouterState.STARTING:
            return Failure(_not_joined_refusal(request))
        authorization = request.headers.get("authorization", "")
        workspace = self._keys.find(authorization, blackboard.configuration)
        if workspace is None:
            return Failure(refusal(RefusalReason.UNAUTHENTICATED, "the workspace key is wrong"))
        return Success(workspace)

    def _complete(
        self, request: HttpRequest, kind: RequestKind, body: BufferedBody, workspace: WorkspaceSpec
    ) -> Reply:
        """Validate a completion request and return the response that runs it."""
        configuration = self._application.blackboard.configuration
        options = self._options.read(request.headers, workspace, "POST", idempotent_by_default=True)
        call = options.bind(
            lambda read: read_completion(kind, body.data, read, workspace, configuration)
        )
        return call.map(
            lambda call: self._run(call.request, body, self._completion_sink_factory(call))
        )

    def _serve(
        self,
        request: HttpRequest,
        service: str,
        body: BufferedBody,
        workspace: WorkspaceSpec,
    ) -> Reply:
        """Validate a request to a plain service and return the response that runs it."""
        target = _service_target(request)
        content_type = request.headers.get("content-type", "")
        method = request.method
        options = self._options.read(
            request.headers, workspace, method, idempotent_by_default=False
        )
        call = options.bind(
            lambda read: read_service(
                service, target, method, body.data, content_type, read, workspace
            )
        )
        return call.map(lambda call: self._run(call, body, self._service_sink_factory(call)))

    def _completion_sink_factory(self, call: CompletionCall) -> SinkFactory:
        """Return a factory of sinks for a completion's answer."""
        request = call.request
        created = int(self._application.clock.now().timestamp())
        answer_format = AnswerFormat(request.kind, request.request_id, str(request.target), created)
        if request.stream:
            return lambda writer: StreamedAnswer(
                writer, answer_format, request.request_id, call.include_usage
            )
        return lambda writer: WholeAnswer(writer, answer_format, request.request_id)

    def _service_sink_factory(self, call: CallerRequest) -> SinkFactory:
        """Return a factory of sinks for a service's response."""
        limit = self._settings.max_service_response_bytes
        return lambda writer: ServiceAnswer(writer, call.request_id, limit)

    def _run(self, request: CallerRequest, body: BufferedBody, create_sink: SinkFactory) -> ASGIApp:
        """Return the response that runs a request and relays its answer."""

        async def relay(writer: ResponseWriter) -> None:
            try:
                meter = RequestMeter(request, self._application.metrics, self._application.clock)
                events = self._application.pipeline.submit(request)
                await relay_events(events, create_sink(writer), meter)
            finally:
                body.release()

        return self._respond(relay)

    def _json_response(self, document: object) -> ASGIApp:
        """Return a JSON response."""
        body = msgspec.json.encode(document)
        return self._respond(
            lambda writer: writer.respond(200, [JSON_HEADER, _NO_STORE_HEADER], body)
        )

    def _error_response(self, workspace: WorkspaceId | None, failed: Failed) -> ASGIApp:
        """Return the error response to a request that was not submitted to the pipeline."""
        self._application.metrics.count_refusal(workspace, failed.reason)
        return self._respond(lambda writer: write_failure(writer, failed))

    def _respond(self, relay: Relay) -> ASGIApp:
        """Return a response; unless the router is serving, it asks callers to close connections."""
        stopping = self._application.blackboard.state is not RouterState.SERVING
        return RelayResponse(relay, self._write_timeout_seconds, _CLOSE_HEADERS if stopping else ())


def _not_ready_refusal(detail: str) -> Failed:
    """Return the refusal of a call that can be retried after a short delay."""
    return refusal(RefusalReason.ROUTER_NOT_READY, detail, _NOT_READY_RETRY_SECONDS)


def _not_joined_refusal(request: HttpRequest) -> Failed:
    """Return the refusal of a router that is not a member yet.

    The outcome of a request with a ticket is unknown: the router that the ticket names may have run
    it already.
    """
    failed = _not_ready_refusal("this router has not joined the fleet yet")
    return replace(failed, outcome=Unknown()) if TICKET_HEADER in request.headers else failed


def _service_target(request: HttpRequest) -> str:
    """Return the path and query below the service's root, encoded as received."""
    raw_path = request.scope["raw_path"].decode("ascii", "replace")
    parts_below = raw_path.split("/", _SERVICE_PATH_PARTS)[_SERVICE_PATH_PARTS:]
    query = request.scope["query_string"].decode("ascii", "replace")
    return "/" + "".join(parts_below) + (f"?{query}" if query else "")


def caller_routes() -> Router:
    """Return the routes for callers, which use ``caller_api`` of the application state."""
    handlers = [_chat, _completion, _models, _address, _request_outcome, _service]
    return Router("", route_handlers=handlers)


@post("/v1/chat/completions", request_max_body_size=None)
async def _chat(request: HttpRequest) -> ASGIApp:
    return await request.app.state.caller_api.complete(request, RequestKind.CHAT)


@post("/v1/completions", request_max_body_size=None)
async def _completion(request: HttpRequest) -> ASGIApp:
    return await request.app.state.caller_api.complete(request, RequestKind.COMPLETION)


@get("/v1/models")
async def _models(request: HttpRequest) -> ASGIApp:
    return await request.app.state.caller_api.models(request)


@get("/v1/address")
async def _address(request: HttpRequest) -> ASGIApp:
    return await request.app.state.caller_api.address(request)


@get("/v1/requests/{request_id:str}")
async def _request_outcome(request: HttpRequest, request_id: str) -> ASGIApp:
    return await request.app.state.caller_api.outcome(request, request_id)


_SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


@route(
    ["/services/{service:str}", "/services/{service:str}/{path:path}"],
    http_method=_SERVICE_METHODS,
    request_max_body_size=None,
)
async def _service(request: HttpRequest, service: str) -> ASGIApp:
    return await request.app.state.caller_api.serve(request, service)
