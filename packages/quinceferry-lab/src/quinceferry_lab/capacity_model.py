"""What the measured slopes come to at the long-run size, for each role."""

import msgspec

from quinceferry_lab.capacity_figures import Derivation, Figure, Report
from quinceferry_lab.capacity_fits import Point, Series, fit
from quinceferry_lab.capacity_router import (
    MICROSECONDS,
    derive_bytes,
    derive_cpu,
    derive_memory,
    entry_bytes,
)
from quinceferry_lab.capacity_sizes import LIMITS, LONG_RUN, SECONDS_PER_DAY
from quinceferryd.compaction import MAX_FLEET_DELETES_PER_SECOND, MAX_SEGMENT_BILLS
from quinceferryd.journal import MAX_FLEET_COMMITS_PER_SECOND
from quinceferryd.recovery import MAX_FLEET_CHECKS_PER_SECOND
from quinceferryd.runs import ANSWER_RETENTION_SECONDS, OUTCOME_RETENTION_SECONDS
from quinceferryd.settings import (
    AddressSettings,
    BudgetSettings,
    JournalSettings,
    MembershipSettings,
    RoutingSettings,
)

STREAM_BATCH_SECONDS = 0.1
"""Time between two batches of entries to a committer, in the work that the page names."""
COMMITTERS_PER_ZONE = 2


def settings() -> dict[str, float]:
    """Return the settings and constants that the derivation uses."""
    return {
        "journal interval (s)": JournalSettings().min_commit_interval_seconds,
        "journal commits of the fleet (1/s)": MAX_FLEET_COMMITS_PER_SECOND,
        "journal deletes of the fleet (1/s)": MAX_FLEET_DELETES_PER_SECOND,
        "heartbeat interval (s)": MembershipSettings().heartbeat_interval_seconds,
        "allotment horizon (s)": BudgetSettings().allotment_horizon_seconds,
        "refill below share": BudgetSettings().refill_below_share,
        "routers per workspace": AddressSettings().routers_per_workspace,
        "load polls of a router (1/s)": RoutingSettings().max_polls_per_second,
        "answers kept (s)": ANSWER_RETENTION_SECONDS,
        "outcomes kept (s)": OUTCOME_RETENTION_SECONDS,
        "batch to a committer (s)": STREAM_BATCH_SECONDS,
        "committers in a zone": COMMITTERS_PER_ZONE,
    }


def complete(report: Report) -> Report:
    """Return the report with the derived figures."""
    return msgspec.structs.replace(
        report,
        settings=settings(),
        sizes=msgspec.structs.asdict(LONG_RUN),
        limits=msgspec.structs.asdict(LIMITS),
        figures=tuple(_derived(report)),
    )


def _derived(report: Report) -> list[Figure]:
    """Return all figures."""
    made = Derivation(report)
    derive_load(made)
    derive_kv_writes(made)
    derive_kv_reads(made)
    derive_cpu(made)
    derive_memory(made)
    derive_bytes(made)
    derive_journals(made)
    derive_bills(made)
    derive_changes(made)
    derive_events(made)
    return made.made


def derive_load(made: Derivation) -> None:
    """Derive the load of one router."""
    size = LONG_RUN
    made.add(
        "requests", "requests of a router", size.requests_per_second / size.routers, "requests/s"
    )
    made.add(
        "tokens", "tokens relayed by a router", size.tokens_per_second / size.routers, "tokens/s"
    )
    made.add(
        "tokens_per_request",
        "tokens of a request",
        size.tokens_per_second / size.requests_per_second,
        "",
    )
    made.add(
        "changes", "configuration changes", size.changes_per_day / SECONDS_PER_DAY, "changes/s"
    )
    open_seconds = LIMITS.first_token_seconds + made["tokens_per_request"] * LIMITS.token_seconds
    text = "requests × (first token + tokens × time between tokens)"
    made.add("streams", "open streams of a router", made["requests"] * open_seconds, "", text)
    holdings = size.workspaces * AddressSettings().routers_per_workspace
    made.add("holdings", "budgets held, over all routers", holdings, "")
    made.add("own_holdings", "budgets held by a router", holdings / size.routers, "")


def derive_kv_writes(made: Derivation) -> None:
    """Derive the writes of the key-value service."""
    size = LONG_RUN
    heartbeats = size.routers * made.slope("kv_writes_lease_routers")
    made.add("kv_heartbeats", "heartbeats", heartbeats, "writes/s", "slope × routers")
    made.add("refill_seconds", "time between two refills", _refill_seconds(), "s")
    refills = made["holdings"] / _refill_seconds()
    text = "budgets held / (horizon × (1 − refill share))"
    made.add("kv_refills", "refills of allotments", refills, "writes/s", text)
    made.add(
        "kv_confirmations",
        "confirmations of changes",
        made["changes"] * size.routers,
        "writes/s",
    )
    commits = min(
        MAX_FLEET_COMMITS_PER_SECOND,
        size.routers / JournalSettings().min_commit_interval_seconds,
    )
    made.add("kv_commits", "journal commits", commits, "writes/s", "shared rate")
    made.add("kv_deletes", "deletes of folded slots", commits, "writes/s", "one for each commit")
    moved = 2 * (size.vm_replacements_per_day + size.vm_failures_per_day) / SECONDS_PER_DAY
    join = min(made.phases("cold start"), key=lambda phase: phase.routers)
    text = "joins and leaves × writes of a join in the smallest fleet"
    moves = moved * join.writes / join.routers
    made.add("kv_moves", "routers joining and leaving", moves, "writes/s", text)
    parts = ("heartbeats", "refills", "confirmations", "commits", "deletes", "moves")
    total = sum(made[f"kv_{part}"] for part in parts)
    made.add("kv_writes", "all writes", total, "writes/s", "", LIMITS.kv_writes_per_second)
    before = size.routers / JournalSettings().min_commit_interval_seconds
    made.add(
        "kv_commits_unshared",
        "journal commits if each router kept its own rate",
        before,
        "writes/s",
        "routers / interval",
        LIMITS.kv_writes_per_second,
    )


def derive_kv_reads(made: Derivation) -> None:
    """Derive the reads of the key-value service."""
    size = LONG_RUN
    idle = made.largest_idle()
    reads = idle.reads / idle.seconds / idle.routers * size.routers
    text = f"per router at {idle.routers} routers × {size.routers}; a bound, polls are shared"
    made.add("kv_reads_idle", "reads of membership, configuration, orders", reads, "reads/s", text)
    made.add("kv_reads_refills", "reads of budgets", made["kv_refills"], "reads/s")
    made.add(
        "kv_reads_recovery",
        "reads of recovery",
        MAX_FLEET_CHECKS_PER_SECOND,
        "reads/s",
        "shared rate",
    )
    made.add(
        "kv_reads_watch",
        "watches renewed after changes",
        2 * made["changes"] * size.routers,
        "reads/s",
        "two a change and router",
    )
    total = sum(made[f"kv_reads_{part}"] for part in ("idle", "refills", "recovery", "watch"))
    made.add("kv_reads", "all reads", total, "reads/s", "", LIMITS.kv_reads_per_second)


def derive_journals(made: Derivation) -> None:
    """Derive the ways to carry the journals."""
    largest = made.report.journals[-1]
    made.add(
        "begin_wait",
        "mean wait of a begin for its commit",
        largest.mean_wait_seconds,
        "s",
        "measured",
    )
    made.add(
        "begin_wait_p95",
        "95th percentile of it",
        largest.p95_wait_seconds,
        "s",
        "measured",
        LIMITS.first_token_seconds,
    )
    reach = int(MAX_FLEET_COMMITS_PER_SECOND * LIMITS.first_token_seconds / 2)
    made.add(
        "journal_reach",
        "routers whose begins wait half a second at most",
        reach,
        "",
        "rate × half of the first token's time",
    )
    committers = LONG_RUN.zones * COMMITTERS_PER_ZONE
    made.add("committers", "zone committers", committers, "")
    interval = committers / MAX_FLEET_COMMITS_PER_SECOND
    made.add(
        "committer_interval",
        "time between a committer's commits",
        interval,
        "s",
        "committers / rate",
    )
    made.add(
        "committer_wait",
        "longest wait of a begin with committers",
        interval + STREAM_BATCH_SECONDS,
        "s",
        "interval + batch",
        LIMITS.first_token_seconds,
    )
    clients = LONG_RUN.routers / committers
    calls = clients / STREAM_BATCH_SECONDS
    fixed = made.fixed("cpu_peer_entry_receiver") / MICROSECONDS
    entry = made.slope("cpu_peer_entry_receiver") / MICROSECONDS
    entries = 2 * made["requests"] * clients
    limit = LIMITS.control_cpu_seconds_per_second
    made.add(
        "committer_cpu_calls",
        "a committer, a call for each batch",
        calls * fixed + entries * entry,
        "s/s",
        "batches × fixed part + entries × slope",
        limit,
    )
    made.add(
        "committer_cpu_entries",
        "a committer, entries alone (open streams)",
        entries * entry,
        "s/s",
        "entries × slope",
        limit,
    )


def derive_bills(made: Derivation) -> None:
    """Derive what the kept bills come to."""
    bills = LONG_RUN.requests_per_second * SECONDS_PER_DAY
    made.add("bills_count", "bills a day, if the peak lasted", bills, "")
    size = bills * entry_bytes(made)
    made.add("bills_bytes", "their bytes", size, "bytes", "bills × bytes of an entry")
    segments = bills / MAX_SEGMENT_BILLS
    made.add("bills_segments", "segments a day", segments, "", "bills / bills of a segment")


def derive_changes(made: Derivation) -> None:
    """Derive how long a change takes until it is in force everywhere."""
    phases = made.phases("change until accepted")
    series = Series("change_seconds", "router", "s")
    line = fit(series, [Point(phase.routers, phase.seconds) for phase in phases])
    seconds = line.fixed + line.per_item * LONG_RUN.routers
    text = (
        f"a line over the fleets, {line.per_item * 1000:.3g} ± {line.error * 1000:.2g} ms a router"
    )
    limit = LIMITS.change_in_force_seconds
    made.add(
        "force_seconds", "time until a change is in force everywhere", seconds, "s", text, limit
    )


def derive_events(made: Derivation) -> None:
    """Derive what the loss of an availability zone and a cold start cost."""
    size = LONG_RUN
    lost = size.routers / size.zones
    made.add("event_zone_routers", "routers of an availability zone", lost, "")
    writes = lost * (2 + 2 * made["own_holdings"])
    text = "routers × (2 to close + 2 for each budget held)"
    made.add("event_zone_writes", "writes of recovering them", writes, "", text)
    seconds = writes / LIMITS.kv_writes_per_second
    made.add("event_zone_time", "least time for them", seconds, "s", "writes / limit")
    start = max(made.phases("cold start"), key=lambda phase: phase.routers)
    text = f"per router at {start.routers} routers × {size.routers}"
    writes = start.writes / start.routers * size.routers
    made.add("event_start_writes", "writes of a cold start", writes, "", text)
    reads = start.reads / start.routers * size.routers
    made.add("event_start_reads", "reads of a cold start", reads, "", text)
    seconds = max(writes / LIMITS.kv_writes_per_second, reads / LIMITS.kv_reads_per_second)
    made.add("event_start_time", "least time for them", seconds, "s", "calls / limit")


def _refill_seconds() -> float:
    """Return the time in which a router uses what a refill brings."""
    budgets = BudgetSettings()
    return budgets.allotment_horizon_seconds * (1 - budgets.refill_below_share)
