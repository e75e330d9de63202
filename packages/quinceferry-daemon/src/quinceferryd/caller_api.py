"""HTTP interface for callers, in the form that OpenAI client libraries use."""

from collections.abc import Callable
from typing import Any

import msgspec
from litestar import Request, Router, get, post, route
from litestar.types import ASGIApp
from returns.result import Failure, Result, Success

from quinceferry_core.models import CallerRequest, RequestId, RequestKind, Usage, WorkspaceSpec
from quinceferry_core.outcomes import Failed, NotRun, Outcome, RefusalReason, Run
from quinceferryd.answers import AnswerFormat
from quinceferryd.blackboard import RouterState
from quinceferryd.bodies import BodyMemory, HeldBody, read_body
from quinceferryd.caller_requests import (
    CompletionCall,
    OptionReader,
    read_completion,
    read_service,
)
from quinceferryd.interfaces import RouterApplication
from quinceferryd.keys import KeyRing
from quinceferryd.refusals import JSON_HEADER, outcome_word, refusal
from quinceferryd.relays import (
    AnswerSink,
    ServiceAnswer,
    StreamedAnswer,
    WholeAnswer,
    relay_events,
    write_failure,
)
from quinceferryd.responses import Header, Relay, RelayResponse, ResponseWriter

HttpRequest = Request[Any, Any, Any]
SinkMaker = Callable[[ResponseWriter], AnswerSink]

_NOT_READY_RETRY_SECONDS = 1.0
_CLOSE: tuple[Header, ...] = ((b"connection", b"close"),)
_NO_STORE: Header = (b"cache-control", b"no-store")


class OutcomeDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """What became of a request."""

    request_id: str
    outcome: str
    proof: str = ""
    usage: Usage | None = None


class AddressDocument(msgspec.Struct, frozen=True):
    """Addresses to use, for how long, and the ticket to send with non-idempotent requests."""

    addresses: tuple[str, ...]
    ttl_seconds: float
    ticket: str


class CallerApi:
    """Handles calls of callers.

    :param application: the router.
    :param bodies: memory for request bodies.
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
        match self._workspace(request):
            case Failure(failed):
                return self._refuse(failed)
            case Success(workspace):
                pass
        match await read_body(request, self._settings.max_body_bytes, self._bodies):
            case Failure(failed):
                return self._refuse(failed)
            case Success(body):
                pass
        match self._completion_call(request, kind, body, workspace):
            case Success(call):
                return self._run(call.request, body, self._completion_sink(call))
            case Failure(failed):
                body.release()
                return self._refuse(failed)

    async def serve(self, request: HttpRequest, service: str, path: str) -> ASGIApp:
        """Pass a request through to a plain service."""
        match self._workspace(request):
            case Failure(failed):
                return self._refuse(failed)
            case Success(workspace):
                pass
        match await read_body(request, self._settings.max_body_bytes, self._bodies):
            case Failure(failed):
                return self._refuse(failed)
            case Success(body):
                pass
        match self._service_call(request, service, path, body, workspace):
            case Success(call):
                limit = self._settings.max_service_response_bytes
                return self._run(
                    call, body, lambda writer: ServiceAnswer(writer, call.request_id, limit)
                )
            case Failure(failed):
                body.release()
                return self._refuse(failed)

    async def outcome(self, request: HttpRequest, request_id: str) -> ASGIApp:
        """Tell a workspace what became of one of its own requests."""
        match self._workspace(request):
            case Failure(failed):
                return self._refuse(failed)
            case Success(workspace):
                pass
        known = await self._application.pipeline.outcome(workspace.id, RequestId(request_id))
        if known is None:
            detail = "this workspace has no such request here"
            return self._refuse(refusal(RefusalReason.REQUEST_NOT_FOUND, detail))
        return self._reply(_outcome_document(request_id, known))

    async def address(self, request: HttpRequest) -> ASGIApp:
        """Tell a workspace which routers to use."""
        match self._workspace(request):
            case Failure(failed):
                return self._refuse(failed)
            case Success(workspace):
                pass
        zone = request.query_params.get("zone", "")
        answer = self._application.addresses.answer(workspace.id, zone)
        document = AddressDocument(answer.addresses, answer.ttl_seconds, answer.ticket)
        return self._reply(document)

    async def models(self, request: HttpRequest) -> ASGIApp:
        """List the models attached to a workspace."""
        match self._workspace(request):
            case Failure(failed):
                return self._refuse(failed)
            case Success(workspace):
                pass
        data = [
            {"id": str(model), "object": "model", "created": 0, "owned_by": "quinceferry"}
            for model in workspace.models
        ]
        return self._reply({"object": "list", "data": data})

    def _workspace(self, request: HttpRequest) -> Result[WorkspaceSpec, Failed]:
        """Authenticate a caller."""
        blackboard = self._application.blackboard
        if blackboard.state is RouterState.STARTING:
            detail = "this router has not joined the fleet yet"
            return Failure(
                refusal(RefusalReason.ROUTER_NOT_READY, detail, _NOT_READY_RETRY_SECONDS)
            )
        authorization = request.headers.get("authorization", "")
        workspace = self._keys.find(authorization, blackboard.configuration)
        if workspace is None:
            return Failure(refusal(RefusalReason.UNAUTHENTICATED, "the workspace key is wrong"))
        return Success(workspace)

    def _completion_call(
        self, request: HttpRequest, kind: RequestKind, body: HeldBody, workspace: WorkspaceSpec
    ) -> Result[CompletionCall, Failed]:
        """Validate a completion request."""
        configuration = self._application.blackboard.configuration
        options = self._options.read(request.headers, workspace, "POST", safe=True)
        return options.bind(
            lambda read: read_completion(kind, body.data, read, workspace, configuration)
        )

    def _service_call(
        self,
        request: HttpRequest,
        service: str,
        path: str,
        body: HeldBody,
        workspace: WorkspaceSpec,
    ) -> Result[CallerRequest, Failed]:
        """Validate a request to a plain service."""
        query = request.scope["query_string"].decode("ascii", "replace")
        target = f"{path}?{query}" if query else path
        content_type = request.headers.get("content-type", "")
        method = request.method
        options = self._options.read(request.headers, workspace, method, safe=False)
        return options.bind(
            lambda read: read_service(
                service, target, method, body.data, content_type, read, workspace
            )
        )

    def _completion_sink(self, call: CompletionCall) -> SinkMaker:
        """Return what makes the sink of a completion's answer."""
        request = call.request
        created = int(self._application.clock.now().timestamp())
        form = AnswerFormat(request.kind, request.request_id, str(request.target), created)
        if request.stream:
            return lambda writer: StreamedAnswer(
                writer, form, request.request_id, call.include_usage
            )
        return lambda writer: WholeAnswer(writer, form, request.request_id)

    def _run(self, request: CallerRequest, body: HeldBody, make_sink: SinkMaker) -> ASGIApp:
        """Return the response that runs a request and relays its answer."""

        async def relay(writer: ResponseWriter) -> None:
            try:
                events = self._application.pipeline.submit(request)
                await relay_events(events, make_sink(writer))
            finally:
                body.release()

        return self._respond(relay)

    def _reply(self, document: object) -> ASGIApp:
        """Return a JSON response."""
        body = msgspec.json.encode(document)
        return self._respond(lambda writer: writer.respond(200, [JSON_HEADER, _NO_STORE], body))

    def _refuse(self, failed: Failed) -> ASGIApp:
        """Return an error response to a request that was not submitted."""
        return self._respond(lambda writer: write_failure(writer, failed))

    def _respond(self, relay: Relay) -> ASGIApp:
        """Return a response; a stopping router asks callers to leave their connections."""
        stopping = self._application.blackboard.state is not RouterState.SERVING
        return RelayResponse(relay, self._write_timeout_seconds, _CLOSE if stopping else ())


def _outcome_document(request_id: str, outcome: Outcome) -> OutcomeDocument:
    """Return what a caller is told of an outcome."""
    return OutcomeDocument(
        request_id,
        outcome_word(outcome),
        proof=outcome.proof.value if isinstance(outcome, NotRun) else "",
        usage=outcome.usage if isinstance(outcome, Run) else None,
    )


def caller_routes() -> Router:
    """Return the routes for callers; they use the ``caller_api`` of the server's state."""
    handlers = [_chat, _completion, _models, _address, _request_outcome, _service, _service_root]
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


@route("/services/{service:str}/{path:path}", http_method=_SERVICE_METHODS)
async def _service(request: HttpRequest, service: str, path: str) -> ASGIApp:
    return await request.app.state.caller_api.serve(request, service, path)


@route("/services/{service:str}", http_method=_SERVICE_METHODS)
async def _service_root(request: HttpRequest, service: str) -> ASGIApp:
    return await request.app.state.caller_api.serve(request, service, "/")
