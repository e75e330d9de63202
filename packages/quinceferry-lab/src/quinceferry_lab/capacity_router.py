"""Processor time, memory and bytes of one router at the long-run size."""

import math

from quinceferry_lab.capacity_figures import Derivation
from quinceferry_lab.capacity_sizes import LIMITS, LONG_RUN
from quinceferryd.journal import MAX_FLEET_COMMITS_PER_SECOND
from quinceferryd.members import MAX_FLEET_POLLS_PER_SECOND, MIN_POLL_INTERVAL_SECONDS
from quinceferryd.recovery import MAX_FLEET_CHECKS_PER_SECOND
from quinceferryd.runs import ANSWER_RETENTION_SECONDS, OUTCOME_RETENTION_SECONDS
from quinceferryd.settings import RoutingSettings

MICROSECONDS = 1e6


def derive_cpu(made: Derivation) -> None:
    """Derive the processor time of one router."""
    size = LONG_RUN
    polled = RoutingSettings().max_active_upstreams
    idle = made.fixed("cpu_idle_engines") + polled * made.slope("cpu_idle_engines")
    limit = LIMITS.control_cpu_seconds_per_second
    text = f"the line at {polled} engines polled, with polls, heartbeats and watches"
    made.add("cpu_idle", "an idle router", idle / MICROSECONDS, "s/s", text, limit)
    call = made.slope("cpu_kv_write_caller") / MICROSECONDS
    parts = ("refills", "commits", "deletes", "reads_refills")
    calls = sum(made[f"kv_{part}"] for part in parts) / size.routers
    made.add("cpu_kv", "KV calls beyond it", calls * call, "s/s", "calls × slope")
    change = made.slope("cpu_change_follower") / MICROSECONDS
    made.add("cpu_changes", "configuration changes", made["changes"] * change, "s/s")
    listing = size.routers * made.slope("cpu_incarnation") / MICROSECONDS
    checks = MAX_FLEET_CHECKS_PER_SECOND / size.routers
    made.add("cpu_checks", "checks for the dead", listing * checks, "s/s")
    control = sum(made[f"cpu_{part}"] for part in ("idle", "kv", "changes", "checks"))
    made.add("cpu_control", "control of a router", control, "s/s", "", limit)
    token = made.slope("cpu_request_token") / MICROSECONDS
    coarse = made.slope("cpu_request_coarse_token") / MICROSECONDS
    made.add(
        "cpu_tokens",
        "relaying, a chunk for each token",
        made["tokens"] * token,
        "s/s",
        "tokens × slope",
        1.0,
    )
    made.add(
        "cpu_tokens_coarse",
        "relaying, eight tokens a chunk",
        made["tokens"] * coarse,
        "s/s",
        "tokens × slope",
        1.0,
    )
    request = made.fixed("cpu_request_token") / MICROSECONDS
    made.add(
        "cpu_requests",
        "requests without their tokens",
        made["requests"] * request,
        "s/s",
        "requests × fixed part",
        1.0,
    )
    processes = math.ceil(made["cpu_tokens"] + made["cpu_requests"])
    made.add(
        "processes", "router processes a VM at a chunk for each token, fully used", processes, ""
    )


def derive_memory(made: Derivation) -> None:
    """Derive the memory of one router."""
    size = LONG_RUN
    base = made.reading("memory_daemon_idle")
    made.add("memory_base", "an idle router", base, "bytes", "reading")
    parts = {
        "workspaces": ("workspace", size.workspaces),
        "budgets": ("budget", made["own_holdings"]),
        "budgets_all": ("budget", size.budgets),
        "peers": ("peer", size.routers),
        "upstreams": ("upstream", size.upstreams),
        "entries": ("journal_entry", 2 * made["requests"] * _interval()),
        "copies": ("copied_entry", 3 * 2 * made["requests"] * _interval()),
    }
    for name, (slope, count) in parts.items():
        value = made.slope(f"memory_{slope}") * count
        made.add(
            f"memory_{name}",
            f"{name.replace('_', ', ')}",
            value,
            "bytes",
            f"{count:,.0f} × slope",
        )
    state = sum(made[f"memory_{name}"] for name in parts if name != "budgets_all")
    made.add(
        "memory_control",
        "control state with the base",
        base + state,
        "bytes",
        "",
        LIMITS.control_memory_bytes,
    )
    answers = made["requests"] * ANSWER_RETENTION_SECONDS
    made.add(
        "memory_answers",
        "stored answers",
        made.slope("memory_answer") * answers,
        "bytes",
        f"{answers:,.0f} × slope",
    )
    outcomes = made["requests"] * OUTCOME_RETENTION_SECONDS
    made.add(
        "memory_outcomes",
        "stored outcomes",
        made.slope("memory_outcome") * outcomes,
        "bytes",
        f"{outcomes:,.0f} × slope",
    )
    made.add(
        "memory_streams",
        "open streams",
        made.slope("memory_stream") * made["streams"],
        "bytes",
        f"{made['streams']:,.0f} × slope",
    )


def derive_bytes(made: Derivation) -> None:
    """Derive the control bytes of one router."""
    size = LONG_RUN
    calls = (made["kv_writes"] + made["kv_reads"]) / size.routers
    made.add(
        "bytes_calls",
        "KV calls without large values",
        calls * made.slope("bytes_kv_write"),
        "bytes/s",
    )
    made.add(
        "bytes_polls",
        "load polls",
        RoutingSettings().max_polls_per_second * made.slope("bytes_peer"),
        "bytes/s",
        "polls × bytes of a short call",
    )
    slot = 2 * made["requests"] * entry_bytes(made)
    made.add("bytes_journal", "journal entries", slot, "bytes/s", "two entries a request")
    made.add("bytes_folds", "journal read again by folding", slot, "bytes/s", "every entry once")
    idle = made.largest_idle()
    scale = _poll_rate(size.routers) / _poll_rate(idle.routers)
    members = idle.bytes_per_router / idle.seconds * size.routers / idle.routers * scale
    text = f"measured at {idle.routers} routers, × routers, polled more rarely"
    made.add("bytes_members", "membership and configuration polled", members, "bytes/s", text)
    listing = made.slope("bytes_incarnation") * MAX_FLEET_CHECKS_PER_SECOND
    made.add("bytes_incarnations", "checks for the dead", listing, "bytes/s", "slope × checks")
    total = sum(
        made[f"bytes_{part}"]
        for part in ("calls", "polls", "journal", "folds", "members", "incarnations")
    )
    made.add(
        "bytes_control",
        "control of a router",
        total,
        "bytes/s",
        "",
        LIMITS.control_bytes_per_second,
    )


def _interval() -> float:
    """Return the time between two commits of a router."""
    return LONG_RUN.routers / MAX_FLEET_COMMITS_PER_SECOND


def entry_bytes(made: Derivation) -> float:
    """Return the bytes of one entry in a slot of the largest fleet."""
    largest = made.report.journals[-1]
    return largest.bytes_per_commit / largest.entries_per_commit


def _poll_rate(routers: int) -> float:
    """Return how often a router polls the member records, in calls a second."""
    return 1 / max(MIN_POLL_INTERVAL_SECONDS, routers / MAX_FLEET_POLLS_PER_SECOND)
