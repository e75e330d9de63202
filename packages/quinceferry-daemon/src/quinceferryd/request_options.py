"""Parsing of the request headers that all calls share."""

import re
import uuid
from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from quinceferry_core.models import Priority, RequestId, Ticket, WorkspaceSpec
from quinceferry_core.outcomes import Failed, RefusalReason
from quinceferryd.interfaces import Tickets
from quinceferryd.refusals import refusal
from quinceferryd.settings import CallerSettings

REQUEST_ID_HEADER = "idempotency-key"
PRIORITY_HEADER = "x-quinceferry-priority"
NON_IDEMPOTENT_HEADER = "x-quinceferry-non-idempotent"
TICKET_HEADER = "x-quinceferry-ticket"
DEADLINE_HEADER = "x-quinceferry-deadline-seconds"

_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:~+=@-]{1,128}")
_PRIORITIES_BY_NAME = {priority.name.lower(): priority for priority in Priority}
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass(slots=True, frozen=True)
class RequestOptions:
    """Options that a caller sets through request headers."""

    request_id: RequestId
    priority: Priority
    idempotent: bool
    ticket: Ticket | None
    deadline_seconds: float


class OptionReader:
    """Parses the request headers that all calls share.

    :param tickets: verifies and decodes tickets.
    :param settings: limits and defaults of the caller API.
    """

    def __init__(self, tickets: Tickets, settings: CallerSettings) -> None:
        self._tickets = tickets
        self._settings = settings

    def read(
        self,
        headers: Mapping[str, str],
        workspace: WorkspaceSpec,
        method: str,
        idempotent_by_default: bool,
    ) -> Result[RequestOptions, Failed]:
        """Parse and validate the headers of one request.

        :param workspace: workspace of the caller, whose priority is the highest allowed.
        :param method: HTTP method.
        :param idempotent_by_default: whether a request without the idempotency header is idempotent
            for any method.
        :return: the options, or the refusal of a malformed header.
        """
        caller_request_id = headers.get(REQUEST_ID_HEADER, "")
        if caller_request_id and not _REQUEST_ID_PATTERN.fullmatch(caller_request_id):
            return malformed_refusal(
                f"{REQUEST_ID_HEADER} must match {_REQUEST_ID_PATTERN.pattern}"
            )
        priority_name = headers.get(PRIORITY_HEADER, workspace.priority.name).lower()
        if priority_name not in _PRIORITIES_BY_NAME:
            return malformed_refusal(
                f"{PRIORITY_HEADER} must be one of {', '.join(_PRIORITIES_BY_NAME)}"
            )
        non_idempotent_value = headers.get(NON_IDEMPOTENT_HEADER, "").lower()
        if non_idempotent_value not in ("", "true", "false"):
            return malformed_refusal(f"{NON_IDEMPOTENT_HEADER} must be true or false")
        idempotent = non_idempotent_value == "false" or (
            not non_idempotent_value and (idempotent_by_default or method in _SAFE_METHODS)
        )
        if not idempotent and not caller_request_id:
            return malformed_refusal(f"a non-idempotent request needs {REQUEST_ID_HEADER}")
        match self._deadline(headers), self._ticket(headers, workspace):
            case Failure() as failure, _:
                return failure
            case _, Failure() as failure:
                return failure
            case Success(deadline_seconds), Success(ticket):
                request_id = RequestId(caller_request_id or uuid.uuid4().hex)
                priority = max(_PRIORITIES_BY_NAME[priority_name], workspace.priority)
                options = RequestOptions(request_id, priority, idempotent, ticket, deadline_seconds)
                return Success(options)
        raise AssertionError("a result is a success or a failure")

    def _deadline(self, headers: Mapping[str, str]) -> Result[float, Failed]:
        """Return the deadline in seconds from now, or the refusal of a malformed header."""
        text = headers.get(DEADLINE_HEADER, "")
        if not text:
            return Success(self._settings.default_deadline_seconds)
        try:
            seconds = float(text)
        except ValueError:
            return malformed_refusal(f"{DEADLINE_HEADER} must be a number")
        if not 0 < seconds <= self._settings.max_deadline_seconds:
            limit = self._settings.max_deadline_seconds
            return malformed_refusal(f"{DEADLINE_HEADER} must be above 0 and at most {limit:g}")
        return Success(seconds)

    def _ticket(
        self, headers: Mapping[str, str], workspace: WorkspaceSpec
    ) -> Result[Ticket | None, Failed]:
        """Return the ticket, None without the header, or the refusal of an invalid one."""
        text = headers.get(TICKET_HEADER, "")
        if not text:
            return Success(None)
        match self._tickets.verify(text):
            case Success(Ticket(workspace=owner) as ticket) if owner == workspace.id:
                return Success(ticket)
            case Failure(detail):
                return Failure(refusal(RefusalReason.TICKET_INVALID, detail))
            case _:
                return Failure(refusal(RefusalReason.TICKET_INVALID, "ticket of other workspace"))


def malformed_refusal(detail: str) -> Failure[Failed]:
    """Return the refusal of a malformed request."""
    return Failure(refusal(RefusalReason.MALFORMED, detail))
