"""Logs and counts each attempt at an upstream."""

from quinceferry_gateway.answers import (
    AttemptOutcome,
    NotRun,
    StreamedAnswer,
    UnknownOutcome,
    WholeAnswer,
)
from quinceferry_gateway.decisions import Placement
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.progress import Progress


class AttemptLog:
    """Logs and counts the outcomes of attempts.

    :param metrics: counts them by service.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record(
        self,
        progress: Progress,
        placement: Placement,
        outcome: AttemptOutcome,
        missing_seconds: float | None,
    ) -> None:
        """Log the outcome of an attempt with the reasons for its placement, and count it.

        :param missing_seconds: how long the upstream has been missing from the list, None if it is
            listed.
        """
        self._metrics.count_attempt(progress.service, _outcome_name(outcome))
        _log_attempt(progress, placement, outcome, missing_seconds)


def _outcome_name(outcome: AttemptOutcome) -> str:
    """Return the name of an outcome for metrics."""
    match outcome:
        case NotRun(_, sent):
            return "not_run" if sent else "not_connected"
        case UnknownOutcome():
            return "unknown"
        case WholeAnswer():
            return "answered"
        case StreamedAnswer():
            return "streamed"


def _log_attempt(
    progress: Progress,
    placement: Placement,
    outcome: AttemptOutcome,
    missing_seconds: float | None,
) -> None:
    """Log the outcome of an attempt."""
    fields: dict[str, object] = {
        "request": progress.call.request_id,
        "upstream": placement.upstream.id,
        "address": placement.upstream.address,
        "version": placement.upstream.software_version,
        "attempt": len(progress.tried_upstream_ids),
    }
    if progress.call.resumed_request_id:
        fields["resumes"] = progress.call.resumed_request_id
    if placement.uncached_tokens:
        fields["unread"] = placement.uncached_tokens
        fields["backlog_seconds"] = round(placement.backlog_seconds, 3)
    if placement.fetch_from is not None:
        fields["fetched_from"] = placement.fetch_from.id
    if missing_seconds is not None:
        fields["missing_seconds"] = round(missing_seconds, 3)
    match outcome:
        case NotRun(detail, sent, _, load):
            if load is not None:
                fields["load"] = f"{load.running} running, {load.waiting} waiting"
                fields["slots"] = load.slots
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
