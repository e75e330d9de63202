"""Decoding of a router's error responses and error events."""

import httpx
import msgspec

from quinceferry.exceptions import OutcomeUnknownError, RefusedError

OUTCOME_UNKNOWN = "unknown"
RETRYABLE_STATUSES = frozenset({502, 503, 504})
"""Statuses that are retried even when the body is not a router's."""
NON_ROUTER_RETRY_SECONDS = 0.5
"""Delay before such a retry."""


REFUSAL_HEADER = "x-should-retry"
"""Header of every error that comes from a router and not from a plain service."""


class _ErrorBody(msgspec.Struct):
    """An error as described by a router."""

    message: str = ""
    reason: str = ""
    outcome: str = ""
    proof: str = ""
    retry_after_seconds: float = 0.0
    step: str = ""


class _ErrorDocument(msgspec.Struct):
    """Body of an error response, or data of an error event."""

    error: _ErrorBody


def is_refusal(response: httpx.Response) -> bool:
    """Return whether an error response comes from a router and not from a plain service."""
    return response.is_error and REFUSAL_HEADER in response.headers


def read_refusal(response: httpx.Response, document: bytes, *, step: str) -> RefusedError:
    """Return the exception for a router's error document.

    :param response: the response with the document.
    :param document: the body, or the data of an error event in a stream.
    :param step: the client's operation in progress.
    """
    try:
        body = msgspec.json.decode(document, type=_ErrorDocument).error
    except msgspec.DecodeError:
        body = _non_router_error(response, document)
    kind = OutcomeUnknownError if body.outcome == OUTCOME_UNKNOWN else RefusedError
    return kind(
        body.message,
        reason=body.reason,
        outcome=body.outcome,
        proof=body.proof,
        retry_after_seconds=max(body.retry_after_seconds, _retry_after_header_seconds(response)),
        request=response.request,
        response=response,
        step=body.step or step,
    )


def _non_router_error(response: httpx.Response, document: bytes) -> _ErrorBody:
    """Describe an error whose body is not a router's, so that the outcome is unknown."""
    retry = NON_ROUTER_RETRY_SECONDS if response.status_code in RETRYABLE_STATUSES else 0.0
    return _ErrorBody(
        message=document[:200].decode(errors="replace"),
        reason=f"http_{response.status_code}",
        outcome=OUTCOME_UNKNOWN,
        retry_after_seconds=retry,
    )


def _retry_after_header_seconds(response: httpx.Response) -> float:
    """Return the seconds in a ``Retry-After`` header; zero when it is absent or a date."""
    text = response.headers.get("retry-after", "")
    return float(text) if text.isdigit() else 0.0
