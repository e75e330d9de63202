"""Counts requests refused for budget reasons although the budget covered them."""

from dataclasses import dataclass

from quinceferry_core.models import RequestKind
from quinceferry_core.outcomes import RefusalReason
from quinceferry_lab.budget_checks import granted_at_least
from quinceferry_lab.histories import Attempt, Broken, History, Refused, Vanished
from quinceferry_standins.outputs import count_prompt_tokens

RESERVED_MARGIN_TOKENS = 16
"""Tokens reserved beyond the prompt and the output cap, for an engine's chat template."""
BUDGET_REASONS = frozenset(
    (
        RefusalReason.BUDGET_SPENT,
        RefusalReason.BUDGET_UNREACHABLE,
        RefusalReason.BILLING_UNREACHABLE,
    )
)


@dataclass(slots=True, frozen=True)
class RefusalCount:
    """Budget refusals of paid-for requests, as a share of all requests asked."""

    asked: int
    falsely_refused: int

    @property
    def share(self) -> float:
        """Return the share of requests falsely refused."""
        return self.falsely_refused / self.asked if self.asked else 0.0


def count_false_refusals(history: History) -> RefusalCount:
    """Count requests that ended with a budget refusal although the budget covered them.

    What the upstreams had used, and the caps of all requests in progress, count as not available.
    """
    attempts_by_key = history.attempts_by_key()
    falsely_refused = 0
    for attempts in attempts_by_key.values():
        last = attempts[-1]
        if isinstance(last.end, Refused) and last.end.reason in BUDGET_REASONS:
            falsely_refused += _is_covered(history, last)
    return RefusalCount(len(attempts_by_key), falsely_refused)


def _is_covered(history: History, refused: Attempt) -> bool:
    """Tell whether the budget covered a refused request throughout its attempt."""
    workspace = refused.request.workspace
    granted = granted_at_least(history, workspace, refused.sent_at)
    used = max(
        (
            sample.tokens
            for sample in history.samples
            if sample.workspace == workspace and sample.at <= refused.ended_at + 1.0
        ),
        default=0,
    )
    in_progress = {
        attempt.key: token_cap(attempt)
        for attempt in history.attempts
        if attempt.request.workspace == workspace
        and attempt.sent_at <= refused.ended_at
        and (attempt.ended_at >= refused.sent_at or isinstance(attempt.end, Broken | Vanished))
        and attempt.key != refused.key
    }
    return granted - used - sum(in_progress.values()) >= token_cap(refused)


def token_cap(attempt: Attempt) -> int:
    """Return the most tokens that one run of a request may use."""
    request = attempt.request
    if request.kind is RequestKind.SERVICE:
        return 0
    prompt_tokens = count_prompt_tokens(request.prompt)
    return prompt_tokens + request.max_output_tokens + RESERVED_MARGIN_TOKENS
