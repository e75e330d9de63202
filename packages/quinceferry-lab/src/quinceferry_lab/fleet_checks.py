"""Checks of the fleet as a whole: leaving upstreams, planned stops and the configuration."""

from collections.abc import Iterator

from quinceferry_core.outcomes import NotRun, RefusalReason, Run
from quinceferry_lab.histories import Attempt, Broken, History, Key, Refused
from quinceferry_lab.violations import Promise, Violation

IN_FORCE_SECONDS = 5.0
"""An accepted configuration is in force everywhere after this."""
DEPARTURE_SECONDS = 5.0
"""A leaving upstream receives no new work after this."""


def sent_to_leaving(history: History) -> Iterator[Violation]:
    """Find work that a leaving upstream received too late."""
    left_at_by_upstream = {left.upstream: left.at for left in history.departures}
    for run in history.runs:
        left_at = left_at_by_upstream.get(run.upstream, float("inf"))
        if run.received_at > left_at + DEPARTURE_SECONDS:
            late = run.received_at - left_at
            yield Violation(
                Promise.LEAVING_GETS_NO_WORK,
                run.received_at,
                f"{run.upstream} received work {late:.1f} s after it announced its leaving",
                run.workspace,
                Key(run.workspace, str(run.request_id)),
            )


def cut_by_stop(history: History) -> Iterator[Violation]:
    """Find requests in progress that a planned stop cut."""
    for stop in history.stops:
        if stop.disturbed:
            continue
        for attempt in history.attempts:
            if attempt.router == stop.router and _is_cut(attempt, stop.started_at):
                yield Violation(
                    Promise.STOP_CUTS_NOTHING,
                    attempt.ended_at,
                    f"{stop.router} stopped gracefully from {stop.started_at:.3f} and cut "
                    f"attempt {attempt.number}, sent at {attempt.sent_at:.3f}: {attempt.end}",
                    attempt.key.workspace,
                    attempt.key,
                )


def _is_cut(attempt: Attempt, stop_at: float) -> bool:
    """Tell whether a stop cut an attempt."""
    if attempt.ended_at < stop_at:
        return False
    if isinstance(attempt.end, Broken):
        return attempt.end.by == "router"
    if isinstance(attempt.end, Refused) and attempt.end.reason is RefusalReason.ROUTER_STOPPING:
        return not isinstance(attempt.end.outcome, NotRun | Run)
    return False


def not_in_force(history: History) -> Iterator[Violation]:
    """Find routers that serve under an older revision than an accepted one."""
    for seen in history.revisions:
        if not seen.serving:
            continue
        due = [one for one in history.accepted if one.at + IN_FORCE_SECONDS <= seen.at]
        accepted = max((one.revision for one in due), default=0)
        if seen.revision < accepted:
            detail = f"{seen.router} serves under revision {seen.revision}, accepted: {accepted}"
            yield Violation(Promise.CONFIGURATION_IN_FORCE, seen.at, detail)
            return


def sent_to_removed(history: History) -> Iterator[Violation]:
    """Find work that an upstream received although an accepted revision did not name it."""
    for run in history.runs:
        for removal in history.removals:
            since = removal.accepted_at + IN_FORCE_SECONDS
            if run.upstream == removal.upstream and since < run.received_at < removal.restored_at:
                late = run.received_at - removal.accepted_at
                yield Violation(
                    Promise.CONFIGURATION_IN_FORCE,
                    run.received_at,
                    f"{run.upstream} received work {late:.1f} s after its accepted removal",
                    run.workspace,
                    Key(run.workspace, str(run.request_id)),
                )


def reverted(history: History) -> Iterator[Violation]:
    """Find routers that went back to an older revision."""
    highest_by_router: dict[str, int] = {}
    for seen in history.revisions:
        highest = highest_by_router.get(seen.router, 0)
        if seen.revision < highest:
            detail = f"{seen.router} went back from revision {highest} to {seen.revision}"
            yield Violation(Promise.CONFIGURATION_IN_FORCE, seen.at, detail)
            return
        highest_by_router[seen.router] = seen.revision
