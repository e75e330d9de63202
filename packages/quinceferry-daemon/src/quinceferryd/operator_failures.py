"""Failures of operator calls and their HTTP form."""

from typing import Any

from litestar import Request, Response
from litestar.exceptions import HTTPException

from quinceferry_core.configuration import ConfigurationConflict, ConflictReason
from quinceferry_core.exceptions import QuinceferryError
from quinceferry_core.operator_replies import OperatorFailure

RETRY_AFTER_SECONDS = 1.0
"""When to repeat a call that met an unavailable service."""

STATUS_BY_CODE = {
    "malformed": 400,
    "unauthenticated": 401,
    "not_found": 404,
    "revision_conflict": 409,
    "operation_reused": 409,
    "refused": 409,
    "revision_not_applied": 503,
    "router_not_ready": 503,
    "outcome_unknown": 503,
    "unavailable": 503,
}
"""HTTP status of each failure code."""

_CODES_BY_REASON = {
    ConflictReason.CHANGED: "revision_conflict",
    ConflictReason.OPERATION_REUSED: "operation_reused",
    ConflictReason.REVISION_UNKNOWN: "revision_conflict",
    ConflictReason.REFUSED: "refused",
}
_CODES_BY_STATUS = {401: "unauthenticated", 404: "not_found"}


class OperatorCallError(Exception):
    """Ends an operator call with a failure.

    :param failure: what the operator is told.
    """

    def __init__(self, failure: OperatorFailure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def call_failure(code: str, detail: str, **fields: Any) -> OperatorCallError:
    """Return the error that ends a call.

    :param code: a key of ``STATUS_BY_CODE``.
    :param fields: further fields of the failure.
    """
    return OperatorCallError(OperatorFailure(code=code, detail=detail, **fields))


def conflict_failure(conflict: ConfigurationConflict) -> OperatorCallError:
    """Return the error of a change that was not made."""
    return call_failure(
        _CODES_BY_REASON[conflict.reason],
        conflict.detail,
        revision=conflict.revision,
        changed_by=list(conflict.changed_by),
    )


def on_call_failure(
    _request: Request[Any, Any, Any], error: OperatorCallError
) -> Response[OperatorFailure]:
    """Answer a call that was refused."""
    return _respond(error.failure)


def on_unavailable(
    _request: Request[Any, Any, Any], error: QuinceferryError
) -> Response[OperatorFailure]:
    """Answer a call during which another service did not answer.

    A change may have been made; a repeat with the same operation id tells.
    """
    failure = OperatorFailure(
        code="unavailable",
        detail=error.detail or type(error).__name__,
        retry_after_seconds=RETRY_AFTER_SECONDS,
        step=error.step,
        peer=error.peer,
    )
    return _respond(failure)


def on_http_error(
    _request: Request[Any, Any, Any], error: HTTPException
) -> Response[OperatorFailure]:
    """Answer a call that never reached its handler."""
    code = _CODES_BY_STATUS.get(error.status_code, "malformed")
    failure = OperatorFailure(code=code, detail=_error_detail(error), step="operator_api.read")
    return _respond(failure)


def _error_detail(error: HTTPException) -> str:
    """Return the detail of an error, with each faulty field."""
    extra = error.extra if isinstance(error.extra, list) else []
    field_errors = [f"{item.get('key', 'body')}: {item.get('message', '')}" for item in extra]
    return "; ".join(field_errors) or error.detail


def _respond(failure: OperatorFailure) -> Response[OperatorFailure]:
    """Return the response to a failed call."""
    headers = {}
    if failure.retry_after_seconds:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_seconds)))
    return Response(failure, status_code=STATUS_BY_CODE[failure.code], headers=headers)
