"""Failures of operator calls and the HTTP responses for them."""

from typing import Any

from litestar import Request, Response
from litestar.exceptions import HTTPException

from quinceferry_core.configuration import ConfigurationConflict, ConflictReason
from quinceferry_core.exceptions import QuinceferryError
from quinceferry_core.operator_replies import OperatorFailure

RETRY_AFTER_SECONDS = 1.0
"""Delay before a retry that is suggested to callers when a service is unavailable."""

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
    """Raised to end an operator call with a failure.

    :param failure: body of the response.
    """

    def __init__(self, failure: OperatorFailure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def call_failure(code: str, detail: str, **fields: Any) -> OperatorCallError:
    """Return an error to raise from an operator call.

    :param code: a key of ``STATUS_BY_CODE``.
    :param detail: human-readable explanation.
    :param fields: further fields of :class:`OperatorFailure`.
    """
    return OperatorCallError(OperatorFailure(code=code, detail=detail, **fields))


def conflict_failure(conflict: ConfigurationConflict) -> OperatorCallError:
    """Return the error for a rejected configuration change."""
    return call_failure(
        _CODES_BY_REASON[conflict.reason],
        conflict.detail,
        revision=conflict.revision,
        changed_by=list(conflict.changed_by),
    )


def on_call_failure(
    _request: Request[Any, Any, Any], error: OperatorCallError
) -> Response[OperatorFailure]:
    """Respond to a rejected call."""
    return _respond(error.failure)


def on_unavailable(
    _request: Request[Any, Any, Any], error: QuinceferryError
) -> Response[OperatorFailure]:
    """Respond to a call that failed because another service was unavailable.

    The change may have been made; a retry with the same operation id returns its outcome.
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
    """Respond to a call that was rejected before its handler ran."""
    code = _CODES_BY_STATUS.get(error.status_code, "malformed")
    failure = OperatorFailure(code=code, detail=_error_detail(error), step="operator_api.read")
    return _respond(failure)


def _error_detail(error: HTTPException) -> str:
    """Return the validation errors of the fields, or the general detail if there are none."""
    extra = error.extra if isinstance(error.extra, list) else []
    field_errors = [f"{item.get('key', 'body')}: {item.get('message', '')}" for item in extra]
    return "; ".join(field_errors) or error.detail


def _respond(failure: OperatorFailure) -> Response[OperatorFailure]:
    """Return the HTTP response for a failure."""
    headers = {}
    if failure.retry_after_seconds:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_seconds)))
    return Response(failure, status_code=STATUS_BY_CODE[failure.code], headers=headers)
