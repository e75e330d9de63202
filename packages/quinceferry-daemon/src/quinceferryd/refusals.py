"""HTTP responses for refusals and failures, in the format of the OpenAI API."""

import math

import msgspec

from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_core.models import Usage
from quinceferry_core.outcomes import (
    Failed,
    NotRun,
    NotRunProof,
    Outcome,
    RefusalReason,
    Run,
    Unknown,
)
from quinceferryd.responses import Header

STATUS_BY_REASON = {
    RefusalReason.BUDGET_SPENT: 402,
    RefusalReason.BUDGET_UNREACHABLE: 503,
    RefusalReason.BILLING_UNREACHABLE: 503,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.STREAMS_LIMITED: 429,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.MODEL_NOT_ATTACHED: 404,
    RefusalReason.MODEL_NOT_LOADED: 503,
    RefusalReason.UPSTREAM_FAILED: 502,
    RefusalReason.TICKET_REQUIRED: 400,
    RefusalReason.TICKET_INVALID: 403,
    RefusalReason.HOME_GONE: 409,
    RefusalReason.ROUTER_STOPPING: 503,
    RefusalReason.ROUTER_NOT_READY: 503,
    RefusalReason.REQUEST_ID_REUSED: 409,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.MALFORMED: 400,
    RefusalReason.OVERSIZED: 413,
    RefusalReason.REQUEST_NOT_FOUND: 404,
    RefusalReason.SERVICE_NOT_ATTACHED: 404,
    RefusalReason.MEMORY_FULL: 503,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.INTERNAL: 500,
}
"""HTTP status of each refusal reason."""

JSON_HEADER: Header = (b"content-type", b"application/json")

HOME_ROUTER_RETRY_SECONDS = 2.0
"""Delay before a retry that is suggested when the home router is unreachable."""
_NEVER_SENT = NotRun(NotRunProof.NEVER_SENT)
_TYPES_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    402: "insufficient_quota",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Description of a refusal or failure for the caller.

    ``code`` and ``reason`` have the same value; OpenAI client libraries read ``code``.
    ``proof`` is set if the request was not run, ``usage`` if it was.
    """

    message: str
    type: str
    code: str
    reason: str
    outcome: str
    request_id: str = ""
    proof: str = ""
    usage: Usage | None = None
    retry_after_seconds: float = 0.0
    step: str = ""
    peer: str = ""


class ErrorDocument(msgspec.Struct, frozen=True):
    """Body of every error response."""

    error: ErrorBody


def refusal(reason: RefusalReason, detail: str, retry_after_seconds: float = 0.0) -> Failed:
    """Return a refusal of a request that was never sent to any upstream."""
    return Failed(reason, _NEVER_SENT, retry_after_seconds, detail)


def quarantine_refusal(remaining_seconds: float) -> Failed:
    """Return the refusal of quarantined content.

    :param remaining_seconds: time until the quarantine ends.
    """
    detail = "the same content has crashed engines"
    return refusal(RefusalReason.QUARANTINED, detail, remaining_seconds)


def home_router_failure(error: PeerUnavailableError, outcome: Outcome) -> Failed:
    """Return the failure of a request whose home router is unreachable."""
    return Failed(
        RefusalReason.HOME_GONE,
        outcome,
        HOME_ROUTER_RETRY_SECONDS,
        str(error),
        step="forward",
        peer=error.peer,
    )


def outcome_label(outcome: Outcome) -> str:
    """Return the name of an outcome in documents for callers and in metrics."""
    match outcome:
        case NotRun():
            return "not_run"
        case Run():
            return "run"
        case Unknown():
            return "unknown"


def error_status(failed: Failed) -> int:
    """Return the HTTP status of a refusal or failure."""
    return STATUS_BY_REASON.get(failed.reason, 500)


def error_document(failed: Failed, request_id: str = "") -> bytes:
    """Return the JSON body of a refusal or failure."""
    error_type = _TYPES_BY_STATUS.get(error_status(failed), "server_error")
    body = ErrorBody(
        message=failed.detail or failed.reason.value.replace("_", " "),
        type=error_type,
        code=failed.reason.value,
        reason=failed.reason.value,
        outcome=outcome_label(failed.outcome),
        request_id=request_id,
        proof=failed.outcome.proof.value if isinstance(failed.outcome, NotRun) else "",
        usage=failed.outcome.usage if isinstance(failed.outcome, Run) else None,
        retry_after_seconds=failed.retry_after_seconds,
        step=failed.step,
    )
    return msgspec.json.encode(ErrorDocument(body))


def error_headers(failed: Failed, request_id: str = "") -> list[Header]:
    """Return the headers of a refusal or failure.

    Client libraries retry some statuses automatically. ``x-should-retry: false`` prevents this
    where a retry could run the request twice or cannot succeed.
    """
    headers = [JSON_HEADER, *request_id_header(request_id)]
    if failed.retry_after_seconds > 0:
        seconds = str(math.ceil(failed.retry_after_seconds)).encode()
        headers.append((b"retry-after", seconds))
    should_retry = isinstance(failed.outcome, NotRun) and failed.retry_after_seconds > 0
    headers.append((b"x-should-retry", b"true" if should_retry else b"false"))
    if failed.reason is RefusalReason.UNAUTHENTICATED:
        headers.append((b"www-authenticate", b"Bearer"))
    return headers


def request_id_header(request_id: str) -> list[Header]:
    """Return the ``x-request-id`` header; no header for an empty identifier."""
    return [(b"x-request-id", request_id.encode())] if request_id else []
