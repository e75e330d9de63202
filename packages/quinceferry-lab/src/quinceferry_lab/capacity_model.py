"""What the measured slopes come to at the long-run size, for each role."""

import math
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from quinceferry_lab.capacity_fits import Slope
from quinceferry_lab.capacity_fleet import Calls
from quinceferry_lab.capacity_journals import JournalCost
from quinceferry_lab.capacity_sizes import LIMITS, LONG_RUN, SECONDS_PER_DAY
from quinceferry_lab.measure_membership import Phase
from quinceferryd.folds import MAX_FLEET_DELETES_PER_SECOND
from quinceferryd.journal import MAX_FLEET_COMMITS_PER_SECOND
from quinceferryd.runs import ANSWER_RETENTION_SECONDS, OUTCOME_RETENTION_SECONDS
from quinceferryd.settings import (
    AddressSettings,
    BudgetSettings,
    JournalSettings,
    MembershipSettings,
    RoutingSettings,
)

OPEN_SECONDS = 8.0
"""How long a request is open: its tokens at the long-run time between tokens."""
STREAM_BATCH_SECONDS = 0.1
"""Time between two batches of entries to a committer, in the work that the page names."""
COMMITTERS_PER_ZONE = 2
MICROSECONDS = 1e6


class Verdict(Enum):
    """Whether a role fits its limits at the long-run size."""

    FITS = "fits"
    NAMED = "fits with work named"
    EXCEEDS = "does not fit"


class Figure(msgspec.Struct, frozen=True):
    """One derived figure; ``limit`` is zero where none is given."""

    name: str
    what: str
    value: float
    unit: str
    limit: float
    formula: str

    @property
    def share(self) -> float:
        """Return the part of the limit that is used."""
        return self.value / self.limit if self.limit else 0.0


class Report(msgspec.Struct, frozen=True):
    """Everything that ``make capacity`` measured, and what was derived from it."""

    slopes: tuple[Slope, ...]
    readings: dict[str, float]
    fleets: tuple[Calls, ...]
    journals: tuple[JournalCost, ...]
    membership: tuple[Phase, ...]
    settings: dict[str, float] = {}
    sizes: dict[str, float] = {}
    limits: dict[str, float] = {}
    figures: tuple[Figure, ...] = ()


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
        "open time of a request (s)": OPEN_SECONDS,
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
        figures=tuple(_Derivation(report).figures()),
    )


@dataclass(slots=True)
class _Derivation:
    """Works the figures out, one role after the other."""

    report: Report
    made: list[Figure] = field(default_factory=list)

    def figures(self) -> list[Figure]:
        """Return all figures."""
        self._load()
        self._kv()
        self._cpu()
        self._memory()
        self._bytes()
        self._journal()
        return self.made

    def _load(self) -> None:
        """Derive the load of one router."""
        size = LONG_RUN
        self._add(
            "requests", "requests of a router", size.requests_per_second / size.routers, "1/s"
        )
        self._add(
            "tokens", "tokens relayed by a router", size.tokens_per_second / size.routers, "1/s"
        )
        self._add(
            "tokens_per_request",
            "tokens of a request",
            size.tokens_per_second / size.requests_per_second,
            "",
        )
        self._add("changes", "configuration changes", size.changes_per_day / SECONDS_PER_DAY, "1/s")
        self._add("streams", "open streams of a router", self["requests"] * OPEN_SECONDS, "")
        holdings = size.workspaces * AddressSettings().routers_per_workspace
        self._add("holdings", "budgets held, over all routers", holdings, "")
        self._add("own_holdings", "budgets held by a router", holdings / size.routers, "")

    def _kv(self) -> None:
        """Derive the calls of the key-value service."""
        size, budgets = LONG_RUN, BudgetSettings()
        heartbeats = size.routers * self.slope("kv_writes_lease_routers")
        self._add("kv_heartbeats", "heartbeats", heartbeats, "writes/s", "slope × routers")
        spent_before_refill = budgets.allotment_horizon_seconds * (1 - budgets.refill_below_share)
        refills = self["holdings"] / spent_before_refill
        text = "budgets held / (horizon × (1 − refill share))"
        self._add("kv_refills", "refills of allotments", refills, "writes/s", text)
        self._add(
            "kv_confirmations",
            "confirmations of changes",
            self["changes"] * size.routers,
            "writes/s",
        )
        commits = min(
            MAX_FLEET_COMMITS_PER_SECOND,
            size.routers / JournalSettings().min_commit_interval_seconds,
        )
        self._add("kv_commits", "journal commits", commits, "writes/s", "shared rate")
        self._add(
            "kv_deletes", "deletes of folded slots", commits, "writes/s", "one for each commit"
        )
        moved = size.vm_replacements_per_day + size.vm_failures_per_day
        self._add(
            "kv_moves",
            "routers joining and leaving",
            12 * moved / SECONDS_PER_DAY,
            "writes/s",
            "12 writes each",
        )
        parts = ("heartbeats", "refills", "confirmations", "commits", "deletes", "moves")
        total = sum(self[f"kv_{part}"] for part in parts)
        self._add("kv_writes", "all writes", total, "writes/s", "", LIMITS.kv_writes_per_second)
        before = size.routers / JournalSettings().min_commit_interval_seconds
        self._add(
            "kv_commits_unshared",
            "journal commits if each router kept its own rate",
            before,
            "writes/s",
            "routers / interval",
            LIMITS.kv_writes_per_second,
        )
        largest = max(
            self.report.membership, key=lambda phase: (phase.name == "idle", phase.routers)
        )
        idle_reads = largest.reads / largest.seconds / largest.routers * size.routers
        self._add(
            "kv_reads_idle",
            "reads of membership, configuration and orders",
            idle_reads,
            "reads/s",
            "idle fleet, per router × routers",
        )
        self._add("kv_reads_refills", "reads of budgets", refills, "reads/s")
        self._add(
            "kv_reads_recovery",
            "reads of recovery",
            size.routers * self.slope("kv_reads_incarnations_routers"),
            "reads/s",
            "slope × routers",
        )
        self._add(
            "kv_reads_watch",
            "watches renewed after changes",
            2 * self["changes"] * size.routers,
            "reads/s",
            "two a change and router",
        )
        total = sum(self[f"kv_reads_{part}"] for part in ("idle", "refills", "recovery", "watch"))
        self._add("kv_reads", "all reads", total, "reads/s", "", LIMITS.kv_reads_per_second)

    def _cpu(self) -> None:
        """Derive the processor time of one router."""
        size = LONG_RUN
        idle = self.reading("cpu_daemon_idle")
        limit = LIMITS.control_cpu_seconds_per_second
        self._add("cpu_idle", "an idle router with a few engines", idle, "s/s", "reading", limit)
        call = self.slope("cpu_kv_write_caller") / MICROSECONDS
        calls = (self["kv_writes"] + self["kv_reads"]) / size.routers
        self._add("cpu_kv", "KV calls", calls * call, "s/s", "calls of a router × µs of a call")
        change = self.slope("cpu_change_follower") / MICROSECONDS
        self._add("cpu_changes", "configuration changes", self["changes"] * change, "s/s")
        polls = RoutingSettings().max_polls_per_second
        self._add("cpu_polls", "load polls", polls * call, "s/s", "polls × µs of a call")
        control = self["cpu_kv"] + self["cpu_changes"] + self["cpu_polls"]
        self._add("cpu_control", "control of a router", control, "s/s", "", limit)
        token = self.slope("cpu_request_token") / MICROSECONDS
        coarse = self.slope("cpu_request_coarse_token") / MICROSECONDS
        self._add(
            "cpu_tokens",
            "relaying, a chunk for each token",
            self["tokens"] * token,
            "s/s",
            "tokens × slope",
            1.0,
        )
        self._add(
            "cpu_tokens_coarse",
            "relaying, eight tokens a chunk",
            self["tokens"] * coarse,
            "s/s",
            "tokens × slope",
            1.0,
        )
        request = self.fixed("cpu_request_token") / MICROSECONDS
        self._add(
            "cpu_requests",
            "requests without their tokens",
            self["requests"] * request,
            "s/s",
            "requests × fixed part",
            1.0,
        )
        processes = math.ceil(self["cpu_tokens"] + self["cpu_requests"])
        self._add(
            "processes", "router processes for each of the 400 at one chunk a token", processes, ""
        )

    def _memory(self) -> None:
        """Derive the memory of one router."""
        size = LONG_RUN
        base = self.reading("memory_daemon_idle")
        self._add("memory_base", "an idle router", base, "bytes", "reading")
        parts = {
            "workspaces": ("workspace", size.workspaces),
            "budgets": ("budget", self["own_holdings"]),
            "budgets_all": ("budget", size.budgets),
            "peers": ("peer", size.routers),
            "upstreams": ("upstream", size.upstreams),
            "entries": ("journal_entry", 2 * self["requests"] * self._interval()),
            "copies": ("copied_entry", 3 * 2 * self["requests"] * self._interval()),
        }
        for name, (slope, count) in parts.items():
            value = self.slope(f"memory_{slope}") * count
            self._add(
                f"memory_{name}",
                f"{name.replace('_', ', ')}",
                value,
                "bytes",
                f"{count:,.0f} × slope",
            )
        state = sum(self[f"memory_{name}"] for name in parts if name != "budgets_all")
        self._add(
            "memory_control",
            "control state with the base",
            base + state,
            "bytes",
            "",
            LIMITS.control_memory_bytes,
        )
        answers = self["requests"] * ANSWER_RETENTION_SECONDS
        self._add(
            "memory_answers",
            "stored answers",
            self.slope("memory_answer") * answers,
            "bytes",
            f"{answers:,.0f} × slope",
        )
        outcomes = self["requests"] * OUTCOME_RETENTION_SECONDS
        self._add(
            "memory_outcomes",
            "stored outcomes",
            self.slope("memory_outcome") * outcomes,
            "bytes",
            f"{outcomes:,.0f} × slope",
        )
        self._add(
            "memory_streams",
            "open streams",
            self.slope("memory_stream") * self["streams"],
            "bytes",
            f"{self['streams']:,.0f} × slope",
        )

    def _bytes(self) -> None:
        """Derive the control bytes of one router."""
        size = LONG_RUN
        calls = (self["kv_writes"] + self["kv_reads"]) / size.routers
        self._add(
            "bytes_calls",
            "KV calls without large values",
            calls * self.slope("bytes_kv_write"),
            "bytes/s",
        )
        self._add(
            "bytes_polls",
            "load polls",
            RoutingSettings().max_polls_per_second * self.slope("bytes_peer"),
            "bytes/s",
            "polls × bytes of a short call",
        )
        slot = 2 * self["requests"] * self.journal_entry_bytes()
        self._add("bytes_journal", "journal entries", slot, "bytes/s", "two entries a request")
        self._add(
            "bytes_folds", "journal read again by folding", slot, "bytes/s", "every entry once"
        )
        largest = max(
            self.report.membership, key=lambda phase: (phase.name == "idle", phase.routers)
        )
        self._add(
            "bytes_members",
            "member records polled",
            largest.bytes_per_router / largest.seconds,
            "bytes/s",
            f"measured at {largest.routers} routers, which bounds it",
        )
        total = sum(
            self[f"bytes_{part}"] for part in ("calls", "polls", "journal", "folds", "members")
        )
        self._add(
            "bytes_control",
            "control of a router",
            total,
            "bytes/s",
            "",
            LIMITS.control_bytes_per_second,
        )

    def _journal(self) -> None:
        """Derive the ways to carry the journals."""
        largest = self.report.journals[-1]
        self._add(
            "begin_wait",
            "mean wait of a begin for its commit",
            largest.mean_wait_seconds,
            "s",
            "measured",
        )
        self._add(
            "begin_wait_p95",
            "95th percentile of it",
            largest.p95_wait_seconds,
            "s",
            "measured",
            LIMITS.first_token_seconds,
        )
        reach = int(MAX_FLEET_COMMITS_PER_SECOND * LIMITS.first_token_seconds / 2)
        self._add(
            "journal_reach",
            "routers whose begins wait half a second at most",
            reach,
            "",
            "rate × half of the first token's time",
        )
        committers = LONG_RUN.zones * COMMITTERS_PER_ZONE
        self._add("committers", "zone committers", committers, "")
        interval = committers / MAX_FLEET_COMMITS_PER_SECOND
        self._add(
            "committer_interval",
            "time between a committer's commits",
            interval,
            "s",
            "committers / rate",
        )
        self._add(
            "committer_wait",
            "longest wait of a begin with committers",
            interval + STREAM_BATCH_SECONDS,
            "s",
            "interval + batch",
            LIMITS.first_token_seconds,
        )
        clients = LONG_RUN.routers / committers
        calls = clients / STREAM_BATCH_SECONDS
        fixed = self.fixed("cpu_peer_entry_receiver") / MICROSECONDS
        entry = self.slope("cpu_peer_entry_receiver") / MICROSECONDS
        entries = 2 * self["requests"] * clients
        limit = LIMITS.control_cpu_seconds_per_second
        self._add(
            "committer_cpu_calls",
            "a committer, a call for each batch",
            calls * fixed + entries * entry,
            "s/s",
            "batches × fixed part + entries × slope",
            limit,
        )
        self._add(
            "committer_cpu_entries",
            "a committer, entries alone (open streams)",
            entries * entry,
            "s/s",
            "entries × slope",
            limit,
        )

    def _interval(self) -> float:
        """Return the time between two commits of a router."""
        return LONG_RUN.routers / MAX_FLEET_COMMITS_PER_SECOND

    def journal_entry_bytes(self) -> float:
        """Return the bytes of one entry in a slot of the largest fleet."""
        largest = self.report.journals[-1]
        return largest.bytes_per_commit / largest.entries_per_commit

    def slope(self, name: str) -> float:
        """Return a measured slope."""
        return self._slope(name).per_item

    def fixed(self, name: str) -> float:
        """Return the fixed part of a measured line."""
        return max(0.0, self._slope(name).fixed)

    def reading(self, name: str) -> float:
        """Return a single reading."""
        return self.report.readings[name]

    def _slope(self, name: str) -> Slope:
        return next(slope for slope in self.report.slopes if slope.name == name)

    def __getitem__(self, name: str) -> float:
        """Return a figure that was derived before."""
        return next(figure.value for figure in self.made if figure.name == name)

    def _add(
        self, name: str, what: str, value: float, unit: str, formula: str = "", limit: float = 0.0
    ) -> None:
        """Add a figure."""
        self.made.append(Figure(name, what, float(f"{value:.4g}"), unit, limit, formula))
