"""The shortest account of a violation: events of its request or workspace, and the faults."""

from quinceferry_lab.histories import History, Key, Note
from quinceferry_lab.violations import Violation

MAX_LINES = 60


def account_of(history: History, violation: Violation) -> str:
    """Return the events that concern a violation, in order of time."""
    lines = _fault_lines(history)
    if violation.key is not None:
        lines += _request_lines(history, violation.key)
    elif violation.workspace:
        lines += _workspace_lines(history, violation)
    head = f"{violation.at:9.3f}  VIOLATED: {violation.promise.value}"
    subject = violation.key or violation.workspace
    text = [f"{at:9.3f}  {what}" for at, what in sorted(lines)][:MAX_LINES]
    return "\n".join([*text, f"{head} ({subject}): {violation.detail}"])


def _fault_lines(history: History) -> list[tuple[float, str]]:
    """Return all faults and life-cycle notes."""
    return [(note.at, note.text) for note in history.notes if _is_telling(note)]


def _is_telling(note: Note) -> bool:
    """Tell whether a note belongs into every account."""
    return "internal error" not in note.text


def _request_lines(history: History, key: Key) -> list[tuple[float, str]]:
    """Return what happened to one request."""
    lines = []
    for attempt in history.attempts_by_key().get(key, []):
        what = f"attempt {attempt.number}"
        kind = "idempotent" if attempt.request.idempotent else "non-idempotent"
        lines.append((attempt.sent_at, f"{what} ({kind}) sent to {attempt.router}"))
        lines.append((attempt.ended_at, f"{what} ends: {attempt.end}"))
    for run in history.runs:
        if Key(run.workspace, str(run.request_id)) == key:
            what = f"{run.upstream} for {run.incarnation}, connection {run.attempt}"
            lines.append((run.received_at, f"{what}: received"))
            if run.started_at is not None:
                used = f"{run.prompt_tokens}+{run.output_tokens} tokens"
                end = "finished" if run.finished else "cancelled" if run.cancelled else "broken"
                lines.append((run.started_at, f"{what}: started; in the end {end}, {used}"))
    closing = history.closings.get(key.workspace)
    for bill in closing.bills if closing else ():
        if bill.request == key.request:
            lines.append((history.ended_at, f"{bill}"))
    for note in history.notes:
        if "internal error" in note.text and f"{key.request}:" in note.text:
            lines.append((note.at, note.text))
    return lines


def _workspace_lines(history: History, violation: Violation) -> list[tuple[float, str]]:
    """Return the grants of a workspace and what was used when."""
    lines = [
        (grant.started_at, f"top-up of {grant.tokens}, done at {grant.acknowledged_at:.3f}")
        for grant in history.top_ups
        if grant.workspace == violation.workspace
    ]
    closing = history.closings.get(violation.workspace)
    if closing is not None:
        billed = sum(bill.tokens for bill in closing.bills)
        lines.append((history.ended_at, f"{closing.balance}, bills of {billed} tokens"))
    runs = [run for run in history.runs if run.workspace == violation.workspace]
    used = sum(run.used_tokens for run in runs)
    lines.append((history.ended_at, f"{len(runs)} runs used {used} tokens"))
    return lines
