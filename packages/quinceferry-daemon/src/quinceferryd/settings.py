"""Settings of the router daemon, one data class for each TOML table.

The names of the keys contain their units. The defaults suit a fleet of seven to nine routers.
"""

from dataclasses import dataclass, field

from quinceferry_http import ClientLimits


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """Identity, listening address and secrets, table ``[router]``."""

    vm: str
    zone: str
    host: str
    port: int
    fleet_secret: str = field(repr=False)
    operator_key: str = field(repr=False)
    region: str = ""


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """URLs, timeouts and polling of the platform's services, table ``[platform]``."""

    kv_url: str
    vm_list_url: str
    kv_timeout_seconds: float = 2.0
    vm_list_interval_seconds: float = 2.0


@dataclass(slots=True, frozen=True)
class BudgetSettings:
    """Allotments of prepaid tokens, table ``[budgets]``."""

    allotment_horizon_seconds: float = 900.0
    min_allotment_tokens: int = 4096
    max_allotment_share: float = 0.34
    refill_below_share: float = 0.75
    idle_return_seconds: float = 300.0
    settle_wait_seconds: float = 2.0


@dataclass(slots=True, frozen=True)
class JournalSettings:
    """Group commit, compaction and retention of bills, table ``[journal]``."""

    min_commit_interval_seconds: float = 0.05
    copy_after_seconds: float = 0.25
    commit_patience_seconds: float = 5.0
    max_batch_entries: int = 2048
    fold_interval_seconds: float = 300.0
    bill_retention_days: float = 40.0


@dataclass(slots=True, frozen=True)
class RecoverySettings:
    """Recovery of terminated incarnations, table ``[recovery]``."""

    check_interval_seconds: float = 10.0
    absence_seconds: float = 15.0
    turn_seconds: float = 10.0
    wind_up_seconds: float = 120.0


@dataclass(slots=True, frozen=True)
class RoutingSettings:
    """Choice of upstream and admission, table ``[routing]``.

    ``load_interval_seconds`` is lengthened so that load and cache polls together stay below
    ``max_polls_per_second``. Requests of at least ``long_prompt_tokens`` are sent to
    ``long_work_upstream_share`` of the upstreams, and use at most ``long_work_share`` of their
    slots.
    """

    load_interval_seconds: float = 1.0
    load_report_lag_seconds: float = 0.5
    max_polls_per_second: float = 6.5
    max_active_upstreams: int = 12
    max_report_age_seconds: float = 3.0
    max_queued_requests: int = 256
    max_workspace_queue_share: float = 0.5
    max_queue_wait_seconds: float = 10.0
    sampled_candidates: int = 3
    prefill_tokens_per_second: float = 8000.0
    max_prefill_backlog_seconds: float = 0.5
    long_prompt_tokens: int = 8192
    long_work_share: float = 0.5
    long_work_upstream_share: float = 0.2
    default_slots: int = 16
    other_zone_penalty_seconds: float = 0.005


@dataclass(slots=True, frozen=True)
class StreamSettings:
    """Deadlines, buffers and retries of streams, table ``[streams]``.

    ``max_buffered_chunks`` limits the chunks buffered for a slow reader; one that reads nothing for
    ``reader_timeout_seconds`` is treated as disconnected. A request is attempted at most
    ``max_attempts`` times, and retries are limited to ``retry_share`` of all requests.
    """

    progress_timeout_seconds: float = 10.0
    max_buffered_chunks: int = 256
    reader_timeout_seconds: float = 60.0
    cancel_timeout_seconds: float = 2.0
    max_attempts: int = 6
    retry_share: float = 0.2
    min_backoff_seconds: float = 0.05
    max_backoff_seconds: float = 2.0


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Leases and heartbeats, table ``[membership]``."""

    lease_ttl_seconds: float = 9.0
    heartbeat_interval_seconds: float = 3.0


@dataclass(slots=True, frozen=True)
class AddressSettings:
    """Address answers, table ``[addresses]``."""

    answer_ttl_seconds: float = 30.0
    routers_per_workspace: int = 3


@dataclass(slots=True, frozen=True)
class ShutdownSettings:
    """Graceful stop, table ``[shutdown]``.

    The limit covers the time to live of an address answer, the longest deadline of a request and a
    minute to return tokens and write bills.
    """

    max_drain_seconds: float = 700.0


@dataclass(slots=True, frozen=True)
class CallerSettings:
    """Limits of the caller interface, table ``[callers]``.

    ``max_total_body_bytes`` limits the total size of all request bodies in memory.
    """

    max_body_bytes: int = 1024 * 1024
    max_total_body_bytes: int = 4 * 1024 * 1024
    max_service_response_bytes: int = 1024 * 1024
    body_timeout_seconds: float = 30.0
    default_deadline_seconds: float = 120.0
    max_deadline_seconds: float = 600.0


@dataclass(slots=True, frozen=True)
class ClientSettings(ClientLimits):
    """Limits of each connection and of all together, table ``[clients]``.

    ``max_connections`` is at most half of the descriptors of the process, since a request needs
    another one for its upstream. ``max_held_bytes`` limits what all connections hold for requests
    that are unfinished or unanswered.
    """

    max_connections: int = 4096
    max_held_bytes: int = 32 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a daemon."""

    router: RouterSettings
    platform: PlatformSettings
    budgets: BudgetSettings = field(default_factory=BudgetSettings)
    journal: JournalSettings = field(default_factory=JournalSettings)
    recovery: RecoverySettings = field(default_factory=RecoverySettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    streams: StreamSettings = field(default_factory=StreamSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    addresses: AddressSettings = field(default_factory=AddressSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
    callers: CallerSettings = field(default_factory=CallerSettings)
    clients: ClientSettings = field(default_factory=ClientSettings)
