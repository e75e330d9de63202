"""HTTP API for operators: one path per call, described by the committed OpenAPI schema."""

from collections.abc import Callable
from importlib.resources import files
from typing import Any

from litestar import Response, Router, get, post
from litestar.connection import ASGIConnection
from litestar.exceptions import HTTPException, NotAuthorizedException
from litestar.handlers import BaseRouteHandler
from litestar.openapi import ResponseSpec
from litestar.types import Guard
from returns.result import Failure, Success

from quinceferry_core import operator_messages as messages
from quinceferry_core import operator_replies as replies
from quinceferry_core.exceptions import QuinceferryError
from quinceferry_core.models import IncarnationId, OperationId, WorkspaceId
from quinceferry_core.operator_messages import OPERATOR_PATH, REPLIES_BY_MESSAGE
from quinceferryd.blackboard import RouterState
from quinceferryd.budgets import TopUpRejected
from quinceferryd.keys import matches_key
from quinceferryd.operator_changes import change_builder, message_fingerprint
from quinceferryd.operator_failures import (
    RETRY_AFTER_SECONDS,
    OperatorCallError,
    call_failure,
    conflict_failure,
    on_call_failure,
    on_http_error,
    on_unavailable,
)
from quinceferryd.operator_interfaces import OperatorApplication
from quinceferryd.operator_views import (
    balance_reply,
    bills_reply,
    change_reply,
    router_reply,
    status_reply,
)

SCHEMA_FILE_NAME = "operator-schema.json"
"""File name of the committed OpenAPI schema, in the directory of this module."""

_FAILURE_STATUSES = (400, 401, 404, 409, 503)


class OperatorApi:
    """Handles the calls of operators.

    :param application: the router application that the calls act on.
    """

    def __init__(self, application: OperatorApplication) -> None:
        self._application = application
        self._blackboard = application.blackboard

    async def change_configuration(self, data: messages.Change) -> replies.ChangeReply:
        """Append a change to the configuration log, once per operation id."""
        self._check_ready()
        result = await self._application.operators.propose(
            change_builder(data),
            data.expected_revision,
            OperationId(data.operation_id),
            message_fingerprint(data),
        )
        match result:
            case Success(status):
                return change_reply(data.operation_id, status)
            case Failure(conflict):
                raise conflict_failure(conflict)
        raise AssertionError("a result is a success or a failure")

    async def get_change(self, data: messages.GetChange) -> replies.ChangeReply:
        """Return the progress of a configuration change."""
        self._check_ready()
        operation = OperationId(data.operation_id)
        status = await self._application.operators.status_of_operation(operation)
        if status is None:
            raise call_failure("not_found", f"operation {data.operation_id} is not known")
        return change_reply(data.operation_id, status)

    async def top_up(self, data: messages.TopUp) -> replies.BalanceReply:
        """Add prepaid tokens to a workspace."""
        self._check_revision_applied(data)
        workspace = self._require_workspace(data.workspace)
        result = await self._application.budgets.top_up(
            workspace, data.tokens, OperationId(data.operation_id)
        )
        match result:
            case Success(balance):
                return balance_reply(balance)
            case Failure(TopUpRejected(detail=detail, is_outcome_unknown=True)):
                raise call_failure(
                    "outcome_unknown", detail, retry_after_seconds=RETRY_AFTER_SECONDS
                )
            case Failure(rejected):
                raise call_failure("operation_reused", rejected.detail)
        raise AssertionError("a result is a success or a failure")

    async def get_balance(self, data: messages.GetBalance) -> replies.BalanceReply:
        """Return the balance of a workspace."""
        workspace = self._require_workspace(data.workspace)
        return balance_reply(await self._application.budgets.balance(workspace))

    async def list_bills(self, data: messages.ListBills) -> replies.ListBillsReply:
        """Return a page of the bills of a workspace."""
        workspace = self._require_workspace(data.workspace)
        page = await self._application.budgets.bills(workspace, data.cursor)
        return bills_reply(workspace, page)

    async def get_status(self, data: messages.GetStatus) -> replies.StatusReply:
        """Return the status of this router; available in every router state."""
        return status_reply(self._blackboard, self._application.pipeline.open_requests)

    async def list_routers(self, data: messages.ListRouters) -> replies.ListRoutersReply:
        """List the routers of the fleet."""
        self._check_ready()
        members = self._blackboard.members_by_incarnation
        routers = [router_reply(members[incarnation]) for incarnation in sorted(members)]
        return replies.ListRoutersReply(routers=routers)

    async def drain(self, data: messages.Drain) -> replies.DrainReply:
        """Order a router to stop gracefully."""
        self._check_revision_applied(data)
        result = await self._application.operators.drain(
            IncarnationId(data.router), OperationId(data.operation_id)
        )
        match result:
            case Success(member):
                return replies.DrainReply(
                    operation_id=data.operation_id, router=data.router, state=member.state.value
                )
            case Failure(detail):
                raise call_failure("not_found", detail)
        raise AssertionError("a result is a success or a failure")

    async def declare_gone(self, data: messages.DeclareGone) -> replies.DeclareGoneReply:
        """Record the operator's declaration that a router's process has terminated."""
        self._check_revision_applied(data)
        result = await self._application.operators.declare_gone(IncarnationId(data.router))
        match result:
            case Success(record):
                return replies.DeclareGoneReply(
                    operation_id=data.operation_id, router=data.router, vm=record.vm
                )
            case Failure(detail):
                raise call_failure("refused", detail)
        raise AssertionError("a result is a success or a failure")

    def is_authorized(self, authorization: str) -> bool:
        """Return whether an ``Authorization`` header carries the operator key."""
        return matches_key(authorization, self._application.settings.router.operator_key)

    def _check_ready(self) -> None:
        """Reject a call before this router has joined the fleet and learned its members."""
        if self._blackboard.state is RouterState.STARTING:
            detail = "this router has not joined the fleet yet"
            raise call_failure("router_not_ready", detail, retry_after_seconds=RETRY_AFTER_SECONDS)

    def _check_revision_applied(self, data: messages.Change) -> None:
        """Reject a change if this router has not yet applied the revision the change expects."""
        self._check_ready()
        applied = self._blackboard.configuration.revision
        if applied < data.expected_revision:
            raise call_failure(
                "revision_not_applied",
                f"this router applies revision {applied}",
                revision=applied,
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )

    def _require_workspace(self, name: str) -> WorkspaceId:
        """Return the identifier of a workspace; reject the call if it does not exist."""
        self._check_ready()
        workspace = WorkspaceId(name)
        if workspace not in self._blackboard.configuration.workspaces_by_id:
            raise call_failure("not_found", f"workspace {name} does not exist")
        return workspace


def build_operator_routes(application: OperatorApplication) -> list[Router]:
    """Return the routes of the operator API.

    :param application: the router application that the calls act on.
    """
    api = OperatorApi(application)
    handlers = [
        _build_handler(message_type, _api_method(api, message_type))
        for message_type in REPLIES_BY_MESSAGE
    ]
    router = Router(
        OPERATOR_PATH,
        route_handlers=[*handlers, _serve_schema],
        guards=[_build_guard(api)],
        exception_handlers={
            OperatorCallError: on_call_failure,
            QuinceferryError: on_unavailable,
            HTTPException: on_http_error,
        },
    )
    return [router]


def _build_guard(api: OperatorApi) -> Guard:
    """Return a guard that rejects calls without the operator key.

    The guard is a function rather than a bound method because litestar copies guards, and a
    copy of a bound method would include the whole application.
    """

    async def authenticate(connection: ASGIConnection[Any, Any, Any, Any], _: Any) -> None:
        if not api.is_authorized(connection.headers.get("authorization", "")):
            raise NotAuthorizedException("the operators' key is wrong or missing")

    return authenticate


@get("/schema.json", include_in_schema=False)
async def _serve_schema() -> Response[bytes]:
    """Serve the committed schema; read it on each request rather than keep it in memory."""
    document = files(__package__).joinpath(SCHEMA_FILE_NAME).read_bytes()
    return Response(document, media_type="application/json")


def _api_method(api: OperatorApi, message_type: type[messages.Message]) -> Callable[..., Any]:
    """Return the method that handles a message type; by default ``change_configuration``."""
    methods_by_message: dict[type[messages.Message], Callable[..., Any]] = {
        messages.GetChange: api.get_change,
        messages.TopUp: api.top_up,
        messages.GetBalance: api.get_balance,
        messages.ListBills: api.list_bills,
        messages.GetStatus: api.get_status,
        messages.ListRouters: api.list_routers,
        messages.Drain: api.drain,
        messages.DeclareGone: api.declare_gone,
    }
    return methods_by_message.get(message_type, api.change_configuration)


def _build_handler(
    message_type: type[messages.Message], method: Callable[..., Any]
) -> BaseRouteHandler:
    """Return the route handler of one call, annotated with its message and reply types."""

    async def handle(data: Any) -> Any:
        return await method(data)

    handle.__name__ = message_type.__name__
    handle.__annotations__ = {"data": message_type, "return": REPLIES_BY_MESSAGE[message_type]}
    return post(
        f"/{message_type.__name__}",
        status_code=200,
        operation_id=message_type.__name__,
        summary=(message_type.__doc__ or "").partition("\n")[0],
        responses={
            status: ResponseSpec(
                replies.OperatorFailure, description="Refused or failed", generate_examples=False
            )
            for status in _FAILURE_STATUSES
        },
    )(handle)
