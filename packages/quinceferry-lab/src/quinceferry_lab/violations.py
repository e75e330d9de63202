"""What must always hold, and findings that it did not."""

from dataclasses import dataclass
from enum import Enum

from quinceferry_core.models import WorkspaceId
from quinceferry_lab.histories import Key


class Promise(Enum):
    """What must always hold."""

    SPEND_WITHIN_BUDGET = "spend within budget"
    BILLED_ONCE = "billed exactly once"
    WHOLE_OWN_ANSWER = "whole answer to the own request"
    NOT_RUN_IS_TRUE = "not run means not run"
    AT_MOST_ONCE = "non-idempotent runs at most once"
    LEAVING_GETS_NO_WORK = "leaving upstream gets no new work"
    STOP_CUTS_NOTHING = "graceful stop cuts nothing"
    CONFIGURATION_IN_FORCE = "accepted configuration in force"


@dataclass(slots=True, frozen=True)
class Violation:
    """A broken promise; ``key`` names the request, if one is concerned."""

    promise: Promise
    at: float
    detail: str
    workspace: WorkspaceId = WorkspaceId("")
    key: Key | None = None
