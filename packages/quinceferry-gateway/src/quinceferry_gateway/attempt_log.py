"""Logs each attempt at an upstream."""

from quinceferry_gateway.answers import (
    AttemptOutcome,
    NotRun,
    StreamedAnswer,
    UnknownOutcome,
    WholeAnswer,
)
from quinceferry_gateway.decisions import Placement
from quinceferry_gateway.logs import log
from quinceferry_gateway.progress import Progress


def log_attempt(
    progress: Progress,
    placement: Placement,
    outcome: AttemptOutcome,
    missing_seconds: float | None,
) -> None:
    """Log the outcome of an attempt and the reasons for its placement.

    :param missing_seconds: how long the upstream has been missing from the list, None if it is
        listed.
    """
    fields: dict[str, object] = {
        "request": progress.call.request_id,
        "upstream": placement.upstream.id,
        "address": placement.upstream.address,
        "attempt": len(progress.tried_upstream_ids),
    }
    if placement.uncached_tokens:
        fields["unread"] = placement.uncached_tokens
        fields["backlog_seconds"] = round(placement.backlog_seconds, 3)
    if placement.fetch_from is not None:
        fields["fetched_from"] = placement.fetch_from.id
    if missing_seconds is not None:
        fields["missing_seconds"] = round(missing_seconds, 3)
    match outcome:
        case NotRun(detail, sent):
            log.failure("attempt.not_run", sent=sent, detail=detail, **fields)
        case UnknownOutcome(detail):
            fields["events"] = progress.stream.buffer.count
            fields["content"] = progress.fingerprint
            log.failure("attempt.unknown", detail=detail, **fields)
        case WholeAnswer(head, _):
            log.success("attempt.answered", status=head.status, **fields)
        case StreamedAnswer(events):
            pace = progress.stream.pace
            log.success(
                "attempt.streamed",
                events=events,
                first_event_seconds=round(pace.first_event_seconds, 3),
                longest_pause_seconds=round(pace.longest_pause_seconds, 3),
                **fields,
            )
