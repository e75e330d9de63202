"""Checks of single requests: their answers, outcomes and runs."""

from collections.abc import Iterator

from quinceferry_core.models import RequestKind
from quinceferry_core.outcomes import NotRun
from quinceferry_lab.histories import Answered, Attempt, History, NotConnected, Refused
from quinceferry_lab.violations import Promise, Violation
from quinceferry_standins.outputs import expected_output
from quinceferry_standins.runs import RunRecord
from quinceferry_standins.service import expected_reply


def wrong_answers(history: History) -> Iterator[Violation]:
    """Compare what arrived with the only right answer."""
    for attempt in history.attempts:
        fault = _answer_fault(attempt)
        if fault:
            yield Violation(
                Promise.WHOLE_OWN_ANSWER,
                attempt.ended_at,
                f"attempt {attempt.number}: {fault}",
                attempt.key.workspace,
                attempt.key,
            )


def _answer_fault(attempt: Attempt) -> str:
    """Return what is wrong with what one attempt received, or nothing."""
    if attempt.request.kind is RequestKind.SERVICE:
        expected, got = expected_reply(attempt.request), attempt.data
        if attempt.text:
            return "text in the answer of a plain service"
    else:
        expected, got = expected_output(attempt.request).encode(), attempt.text.encode()
    if not expected.startswith(got):
        return f"foreign, doubled or missing bytes after {_common_length(expected, got)}"
    if isinstance(attempt.end, Answered) and got != expected:
        return f"called whole after {len(got)} of {len(expected)} bytes"
    return ""


def _common_length(one: bytes, other: bytes) -> int:
    """Return the length of the common prefix."""
    pairs = zip(one, other, strict=False)
    return next((at for at, (a, b) in enumerate(pairs) if a != b), min(len(one), len(other)))


def false_not_run(history: History) -> Iterator[Violation]:
    """Find requests that ran although the caller was told that they did not."""
    runs_by_key = history.runs_by_key()
    for key, attempts in history.attempts_by_key().items():
        runs = runs_by_key.get(key, [])
        for position, attempt in enumerate(attempts):
            if not _told_not_run(attempt):
                continue
            earlier = attempts[:position]
            later = attempts[position + 1 :]
            until = later[0].sent_at if later else float("inf")
            fault = _not_run_fault(attempt, earlier, runs, until)
            if fault:
                yield Violation(
                    Promise.NOT_RUN_IS_TRUE, attempt.ended_at, fault, key.workspace, key
                )


def _told_not_run(attempt: Attempt) -> bool:
    """Tell whether the system said that the request was not run."""
    return isinstance(attempt.end, Refused) and isinstance(attempt.end.outcome, NotRun)


def _not_run_fault(
    attempt: Attempt, earlier: list[Attempt], runs: list[RunRecord], until: float
) -> str:
    """Return why "not run" was false, or nothing.

    While an earlier attempt may still run, only a non-idempotent request is judged: its home knows.
    """
    may_run_still = any(is_open_ended(found) for found in earlier)
    if not attempt.request.idempotent:
        since = 0.0
    elif may_run_still:
        return ""
    else:
        since = attempt.sent_at
    for run in runs:
        if run.started_at is not None and since <= run.started_at < until:
            return (
                f"attempt {attempt.number} was told not run at {attempt.ended_at:.3f}, "
                f"but {run.upstream} ran it at {run.started_at:.3f}"
            )
    return ""


def is_open_ended(attempt: Attempt) -> bool:
    """Tell whether a request may run on after its attempt has ended."""
    if isinstance(attempt.end, Refused):
        return not isinstance(attempt.end.outcome, NotRun)
    return not isinstance(attempt.end, NotConnected)


def run_twice(history: History) -> Iterator[Violation]:
    """Find non-idempotent requests that ran more than once."""
    runs_by_key = history.runs_by_key()
    for key, attempts in history.attempts_by_key().items():
        runs = runs_by_key.get(key, [])
        if attempts[0].request.idempotent or len(runs) <= 1:
            continue
        places = ", ".join(f"{run.upstream} at {run.started_at:.3f}" for run in runs)
        last = max(run.started_at or 0.0 for run in runs)
        yield Violation(
            Promise.AT_MOST_ONCE, last, f"ran {len(runs)} times: {places}", key.workspace, key
        )
