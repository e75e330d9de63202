"""What must hold in a soak, checked against what callers and upstreams saw."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from quinceferry_lab.gateway_processes import StopRecord
from quinceferry_lab.soak_callers import Kind, Try

AFTER_GRACE_SECONDS = 1.0
"""How long after the grace time an answer that ends early counts as cut by the stop."""
LATE_SENT_SECONDS = 3.0
"""Time from SIGTERM after which a gateway may accept only what it can finish."""
LAST_SHARE_OF_GRACE = 1 / 6
"""Last part of the grace time, in which a stop may end requests that are still in progress."""
LIMIT_TOLERANCE_SECONDS = 0.1
"""How much earlier than the caller a gateway may see the end of the caller's time."""
RECOVERY_SECONDS = 12.0
"""Time from the start of all gateways after which requests must be served again."""
MIN_SERVED_SHARE = 0.25
"""Share of the requests that must be served before and after a kill of all gateways."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True, frozen=True)
class Outage:
    """Time from the last kill of all gateways until all were started again."""

    killed_at: float
    returned_at: float


@dataclass(slots=True, frozen=True)
class TokenCounts:
    """Where the tokens of a workspace are at the end.

    ``delivered`` counts what callers received; the others are those of the gateways' record:
    ``spent`` as reported, ``outstanding`` with holders, dead ones included, and ``undrawn``.
    """

    delivered: int = 0
    spent: int = 0
    outstanding: int = 0
    undrawn: int = 0


@dataclass(slots=True, frozen=True)
class Soaked:
    """All that was seen in a soak.

    ``run_ids`` has an entry for each request that an upstream began, ``kills_by_vm`` the times at
    which gateways were killed without a planned stop.
    """

    tries: list[Try]
    run_ids: list[str]
    stops: list[StopRecord]
    vms_by_address: Mapping[str, str]
    kills_by_vm: Mapping[str, list[float]]
    grace_seconds: float
    prepaid_tokens: int
    tokens: TokenCounts = TokenCounts()
    outage: Outage | None = None

    @property
    def served_after_return(self) -> float | None:
        """Return the share of requests served once service must have recovered, if any."""
        if self.outage is None:
            return None
        return self.served_share(self.outage.returned_at + RECOVERY_SECONDS, math.inf)

    def served_share(self, after: float, before: float) -> float | None:
        """Return the share of the requests sent in a span of time that were served, if any."""
        tries = [item for item in self.tries if after <= item.sent_at < before]
        return sum(item.served for item in tries) / len(tries) if tries else None


def find_faults(soaked: Soaked) -> list[str]:
    """Return a line for each promise that was broken."""
    return [
        *_cut_answers(soaked),
        *_repeated_runs(soaked),
        *_false_refusals(soaked),
        *_overspent(soaked),
        *_not_recovered(soaked),
    ]


def _cut_answers(soaked: Soaked) -> Iterable[str]:
    """Find requests that reached an upstream and were cut by a planned stop without excuse."""
    ran = set(soaked.run_ids)
    for item in soaked.tries:
        stop = _stop_at(soaked, item)
        if item.whole or stop is None or item.request_id not in ran:
            continue
        if not _is_excused(soaked, item, stop):
            yield (
                f"cut: {item.request_id} at {item.address} ({stop.vm}), status {item.status}, sent "
                f"{item.sent_at - stop.signalled_at:.2f} s and ended "
                f"{item.ended_at - stop.signalled_at:.2f} s after SIGTERM, "
                f"killed: {stop.killed}"
            )


def _stop_at(soaked: Soaked, item: Try) -> StopRecord | None:
    """Return the planned stop during which an answer ended, if any."""
    vm = soaked.vms_by_address.get(item.address)
    latest_seconds = soaked.grace_seconds + AFTER_GRACE_SECONDS
    for stop in soaked.stops:
        seconds = item.ended_at - stop.signalled_at
        if stop.vm == vm and 0 <= seconds <= latest_seconds and item.sent_at < stop.exited_at:
            return stop
    return None


def _is_excused(soaked: Soaked, item: Try, stop: StopRecord) -> bool:
    """Return whether an answer may have ended early."""
    if item.ended_at >= item.limit_at - LIMIT_TOLERANCE_SECONDS:
        return True
    kills = soaked.kills_by_vm.get(stop.vm, ())
    if any(item.sent_at <= killed_at <= item.ended_at for killed_at in kills):
        return True
    in_last_part_at = stop.signalled_at + (1 - LAST_SHARE_OF_GRACE) * soaked.grace_seconds
    was_sent_early = item.sent_at <= stop.signalled_at + LATE_SENT_SECONDS
    return was_sent_early and item.ended_at >= in_last_part_at


def _repeated_runs(soaked: Soaked) -> Iterable[str]:
    """Find requests that ran twice though they may run once only."""
    kinds_by_id = {item.request_id: item.kind for item in soaked.tries}
    for request_id, count in Counter(soaked.run_ids).items():
        if count > 1 and kinds_by_id[request_id] is not Kind.SAFE:
            yield f"twice: {request_id} ran {count} times"


def _false_refusals(soaked: Soaked) -> Iterable[str]:
    """Find requests that were refused as not run and have run."""
    ran = set(soaked.run_ids)
    for item in soaked.tries:
        if item.status in NOT_RUN_STATUSES and item.request_id in ran and item.kind != Kind.SAFE:
            yield f"refused: {item.request_id} has run, status {item.status}"


def _overspent(soaked: Soaked) -> Iterable[str]:
    """Find tokens that were delivered beyond the prepaid ones."""
    used = sum(item.tokens for item in soaked.tries)
    if used > soaked.prepaid_tokens:
        yield f"overspent: {used} of {soaked.prepaid_tokens} tokens"


def _not_recovered(soaked: Soaked) -> Iterable[str]:
    """Find a service that doesn't return in time after all gateways were killed."""
    if soaked.outage is None:
        return
    before = soaked.served_share(0.0, soaked.outage.killed_at)
    after = soaked.served_after_return
    if before is not None and before < MIN_SERVED_SHARE:
        return
    if after is None or after < MIN_SERVED_SHARE:
        yield f"not recovered: {after} of the requests served, {before} before the kill"
