"""Counts requests refused for budget reasons although the budget covered them."""

from collections import Counter
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
class RefusalKind:
    """Reason of a refusal, and whether the request could have been repeated safely."""

    reason: RefusalReason
    idempotent: bool

    def __str__(self) -> str:
        """Return the words of the table."""
        return f"{self.reason.value} {'idempotent' if self.idempotent else 'non-idempotent'}"


@dataclass(slots=True, frozen=True)
class RefusalCount:
    """Budget refusals of paid-for requests, as a share of all requests asked."""

    asked: int
    counts_by_kind: Counter[RefusalKind]

    @property
    def falsely_refused(self) -> int:
        """Return the false refusals of all kinds."""
        return self.counts_by_kind.total()

    @property
    def share(self) -> float:
        """Return the share of requests falsely refused."""
        return self.falsely_refused / self.asked if self.asked else 0.0


def count_false_refusals(history: History) -> RefusalCount:
    """Count requests that ended with a budget refusal although the budget covered them.

    What the upstreams had used, and the caps of all requests in progress, count as not available.
    """
    attempts_by_key = history.attempts_by_key()
    counts_by_kind: Counter[RefusalKind] = Counter()
    for attempts in attempts_by_key.values():
        last = attempts[-1]
        if not isinstance(last.end, Refused) or last.end.reason not in BUDGET_REASONS:
            continue
        if _is_covered(history, last):
            counts_by_kind[RefusalKind(last.end.reason, last.request.idempotent)] += 1
    return RefusalCount(len(attempts_by_key), counts_by_kind)


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
