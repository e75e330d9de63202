"""Explanation of how one request ended, from the log lines of several gateways."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

_GATEWAY_EVENT_PREFIXES = ("store.", "configuration.applied", "zone.", "gateway.", "log.dropped")
_UPSTREAM_EVENT_PREFIXES = ("upstream.", "attempt.unknown", "attempt.not_run")
NEARBY_FAILURE_SECONDS = 2.0
"""Time around a failed attempt in which other failures at its upstream are counted."""
_RESERVED_TOKENS = re.compile(r": (\d+) of \d+")
_OMITTED_FIELDS = frozenset({"vm", "event", "timestamp", "request"})

CAUSE_BY_REASON = {
    "starting": "The gateway had just started and had no configuration yet. It did not run.",
    "too_many_connections": (
        "The gateway had its most connections, all of them in use. It did not run."
    ),
    "stopping": "The gateway was stopping and might have ended before the request. It did not run.",
    "malformed": "The request was malformed. It did not run.",
    "oversized": "The request exceeds the limits of the configuration. It did not run.",
    "no_route": "The configuration has no route for its host and path. It did not run.",
    "unknown_key": "The configuration has no such workspace key. It did not run.",
    "no_upstream": "No upstream of its service was registered and usable. It did not run.",
    "no_home_upstream": "No upstream of its service is in a region in which its route and workspace"
    " may run. It did not run.",
    "zone_evacuated": "Operators evacuate every zone that has upstreams of its service. It did not"
    " run.",
    "quarantined": "The same content has crashed upstreams before. It did not run.",
    "upstreams_limited": "Every remaining upstream limits its request rate. It did not run.",
    "configuration_outdated": (
        "The gateway knew of a newer configuration than its own, or its own was too old to reject "
        "requests by it. It did not run."
    ),
    "upstreams_paused": "Every usable upstream had requested a pause. It did not run.",
    "upstreams_unreachable": "The gateway reached no upstream of its service, and no peer that does"
    " could take it. It did not run.",
    "upstreams_refused": "Every upstream that it was sent to refused it. It did not run.",
    "outcome_unknown": "It was sent, the answer was lost, and it must not be sent again. It may"
    " have run: ask the owners of the upstream.",
    "timed_out": "It timed out after it had been sent. It may have run.",
    "timed_out_unsent": "It timed out before it was sent to an upstream. It did not run.",
    "internal": "The gateway itself failed; its log line request.bug has the error.",
    "budget_exhausted": "Its workspace has fewer tokens left than it may need; tokens of gateways"
    " that were killed count as spent. It did not run.",
    "budget_running_out": "Its workspace is about to run out of tokens, and the last ones are kept"
    " for smaller requests. It did not run.",
    "budget_out_of_reach": "The gateways that hold tokens of its workspace had too few available,"
    " and no more could be drawn in time. It did not run.",
    "budget_until_store": "The gateways held too few tokens of its workspace, and none can be drawn"
    " while the store is unavailable. It did not run.",
}


@dataclass(slots=True, frozen=True)
class LogRecord:
    """A parsed log line."""

    time: datetime
    vm: str
    event: str
    fields: dict[str, Any]

    def is_about(self, request_id: str) -> bool:
        """Return whether the line belongs to a request."""
        return self.fields.get("request") == request_id


@dataclass(slots=True, frozen=True)
class Explanation:
    """The lines that explain how a request ended, in order, and the cause."""

    lines: list[str]
    cause: str


def read_records(lines: Iterable[str], request_id: str) -> list[LogRecord]:
    """Return the lines that are relevant for a request, ordered by time.

    Text before the JSON object, such as the name of a vm, is ignored, and so are all other lines.
    """
    prefixes = _GATEWAY_EVENT_PREFIXES + _UPSTREAM_EVENT_PREFIXES
    records = [
        record
        for record in map(_parse_line, lines)
        if record and (record.is_about(request_id) or record.event.startswith(prefixes))
    ]
    return sorted(records, key=lambda record: record.time)


def explain(records: list[LogRecord], request_id: str) -> Explanation:
    """Explain how a request ended.

    :param records: records as returned by :func:`read_records`.
    """
    request_records = [record for record in records if record.is_about(request_id)]
    if not request_records:
        return Explanation(_dropped_line_notices(records), "No line is about this request.")
    first, last = request_records[0], request_records[-1]
    lines = [*_gateway_state(records, first)]
    for record in request_records:
        lines.append(_format_record(record))
        lines.extend(_upstream_context(records, record))
    return Explanation(lines, _cause(request_records, last))


def _parse_line(line: str) -> LogRecord | None:
    """Parse a log line; return None for any other line."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
        time = datetime.fromisoformat(fields["timestamp"])
        return LogRecord(time.astimezone(UTC), fields.get("vm", "?"), fields["event"], fields)
    except (ValueError, KeyError, TypeError):
        return None


def _format_record(record: LogRecord) -> str:
    """Format a record as one line of the explanation."""
    fields = ", ".join(
        f"{key}={value}" for key, value in record.fields.items() if key not in _OMITTED_FIELDS
    )
    return f"{record.time:%H:%M:%S.%f} {record.vm} {record.event}: {fields}"


def _gateway_state(records: list[LogRecord], first: LogRecord) -> list[str]:
    """Return the latest state of the request's gateway at its first line, with its age."""
    latest_by_topic: dict[str, LogRecord] = {}
    for record in records:
        if record.vm == first.vm and record.time <= first.time:
            topic = record.event.split(".")[0]
            if record.event.startswith(("store.", "configuration.applied", "gateway.")):
                latest_by_topic[topic] = record
    return [
        f"{_format_record(record)} ({(first.time - record.time).total_seconds():.1f} s before)"
        for record in sorted(latest_by_topic.values(), key=lambda record: record.time)
    ]


def _upstream_context(records: list[LogRecord], attempt: LogRecord) -> list[str]:
    """Return related failures and changes of the upstream of a failed attempt."""
    upstream = attempt.fields.get("upstream")
    if not attempt.event.startswith(("attempt.unknown", "attempt.not_run")):
        return []
    others = [
        record
        for record in records
        if record.fields.get("upstream") == upstream and record is not attempt
    ]
    failures = [
        record
        for record in others
        if record.event.startswith("attempt.")
        and abs((record.time - attempt.time).total_seconds()) <= NEARBY_FAILURE_SECONDS
    ]
    lines = [
        f"  {len(failures)} other failures at {upstream} within {NEARBY_FAILURE_SECONDS:.0f} s"
    ]
    changes = [record for record in others if record.event.startswith("upstream.")]
    return lines + [f"  {_format_record(record)}" for record in changes if record.vm == attempt.vm]


def _cause(request_records: list[LogRecord], last: LogRecord) -> str:
    """Return the cause of a request's end."""
    match last.event:
        case "request.answered":
            return f"It was answered, and {last.fields.get('tokens', 0)} tokens were charged."
        case "request.refused":
            return _refusal_cause(last)
        case "stream.broken":
            return (
                "The stream was cut, because it could not be continued at another upstream:"
                f" {last.fields.get('detail', '')}. The caller keeps the events it received."
            )
        case "caller.left":
            attempts = [record for record in request_records if record.event.startswith("attempt.")]
            waited = "after failed attempts" if attempts else "while its upstream sent nothing more"
            return f"The caller closed its connection {waited}; the run was cancelled."
        case "request.cut":
            return "It was in progress when the process of its stopping gateway ended."
        case "request.bug":
            return CAUSE_BY_REASON["internal"]
        case _:
            return "Its last line was dropped, or it is still running."


def _refusal_cause(last: LogRecord) -> str:
    """Return the cause of a refusal by the gateway."""
    reason = str(last.fields.get("reason"))
    cause = CAUSE_BY_REASON.get(reason, f"The gateway refused it: {reason}.")
    if not reason.startswith("budget_"):
        return cause
    detail = str(last.fields.get("detail", ""))
    offered = sum(int(tokens) for tokens in _RESERVED_TOKENS.findall(detail))
    needed = detail.split(" ", 1)[0]
    return f"{cause} It needed {needed} tokens; {offered} were offered."


def _dropped_line_notices(records: list[LogRecord]) -> list[str]:
    """Return the lines that report dropped log lines."""
    return [_format_record(record) for record in records if record.event == "log.dropped"]
