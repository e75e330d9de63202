"""Exceptions of the client; each has the request and the response, if there was one."""

import httpx

from quinceferry_core.exceptions import QuinceferryError
from quinceferry_core.operator_replies import OperatorFailure


class RequestError(QuinceferryError):
    """Base class of the client's errors.

    :param detail: human-readable description of the error.
    :param request: the last request sent, if any.
    :param response: the last response received, if any.
    """

    def __init__(
        self,
        detail: str = "",
        *,
        request: httpx.Request | None = None,
        response: httpx.Response | None = None,
        step: str = "",
    ) -> None:
        peer = str(request.url) if request is not None else ""
        super().__init__(detail, step=step, peer=peer)
        self.request = request
        self.response = response


class RouterUnreachableError(RequestError):
    """No router answered within the allowed attempts."""


class AnswerBrokenError(RequestError):
    """An answer was interrupted or malformed, and retries did not succeed."""


class RefusedError(RequestError):
    """The fleet refused a request.

    ``reason`` is the stable name of the reason, ``outcome`` is ``not_run``, ``run`` or ``unknown``,
    ``proof`` names the proof that the request has not run, and ``retry_after_seconds`` is zero when
    a retry cannot succeed.
    """

    def __init__(
        self,
        detail: str = "",
        *,
        reason: str = "",
        outcome: str = "",
        proof: str = "",
        retry_after_seconds: float = 0.0,
        request: httpx.Request | None = None,
        response: httpx.Response | None = None,
        step: str = "",
    ) -> None:
        super().__init__(detail, request=request, response=response, step=step)
        self.reason = reason
        self.outcome = outcome
        self.proof = proof
        self.retry_after_seconds = retry_after_seconds


class OutcomeUnknownError(RefusedError):
    """The request may or may not have run; it must not be sent with another request id."""


class OperatorCallError(RequestError):
    """An operator call was rejected or failed, for the reason in ``failure``."""

    def __init__(
        self,
        failure: OperatorFailure,
        *,
        request: httpx.Request | None = None,
        response: httpx.Response | None = None,
    ) -> None:
        super().__init__(failure.detail, request=request, response=response, step=failure.step)
        self.failure = failure


class RevisionConflictError(OperatorCallError):
    """Another operator changed the configuration first."""


class ChangePendingError(RequestError):
    """A change was not applied everywhere before the wait timed out.

    ``awaited_routers`` lists the incarnations that have not applied it.
    """

    def __init__(self, detail: str, awaited_routers: tuple[str, ...] = ()) -> None:
        super().__init__(detail, step="operator.wait")
        self.awaited_routers = awaited_routers
