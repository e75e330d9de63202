"""Errors of the client; each carries the request and, if there was one, the response."""

import httpx

from quinceferry_core.exceptions import QuinceferryError
from quinceferry_core.operator_replies import OperatorFailure


class RequestError(QuinceferryError):
    """Base class of the client's errors.

    :param detail: what went wrong, for people.
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
    """An answer broke off or could not be read, and repeating the request did not help."""


class RefusedError(RequestError):
    """The fleet refused a request.

    ``reason`` is the stable name of the reason, ``outcome`` is ``not_run``, ``run`` or ``unknown``,
    ``proof`` says how a request is known not to have run, and ``retry_after_seconds`` is zero when
    a retry cannot help.
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
    """The request may or may not have run; it must not be sent under another request id."""


class OperatorCallError(RequestError):
    """An operator call was refused or failed; ``failure`` says why."""

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
    """A change was not in force everywhere before the wait ended.

    ``awaited_routers`` names the incarnations that have not applied it.
    """

    def __init__(self, detail: str, awaited_routers: tuple[str, ...] = ()) -> None:
        super().__init__(detail, step="operator.wait")
        self.awaited_routers = awaited_routers
