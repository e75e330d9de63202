"""Settings of the router daemon, one data class for each TOML table.

Units stand in the key names. Every default suits a fleet of seven to nine routers.
"""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """Identity and listening address, table ``[router]``."""

    vm: str
    zone: str
    host: str
    port: int
    fleet_secret: str
    operator_key: str
    region: str = ""


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Addresses of the platform's services, table ``[platform]``."""

    kv_url: str
    vm_list_url: str
    kv_timeout_seconds: float = 2.0
    vm_list_interval_seconds: float = 2.0


@dataclass(slots=True, frozen=True)
class BudgetSettings:
    """Allotments of prepaid tokens, table ``[budgets]``."""

    allotment_horizon_seconds: float = 60.0
    min_allotment_tokens: int = 4096
    max_allotment_share: float = 0.25
    settle_wait_seconds: float = 2.0


@dataclass(slots=True, frozen=True)
class JournalSettings:
    """Group commit of bills, table ``[journal]``."""

    min_commit_interval_seconds: float = 0.05
    max_batch_entries: int = 2048


@dataclass(slots=True, frozen=True)
class RoutingSettings:
    """Choice of upstream and admission, table ``[routing]``."""

    load_interval_seconds: float = 1.0


@dataclass(slots=True, frozen=True)
class StreamSettings:
    """Deadlines and buffers of streams, table ``[streams]``."""

    progress_timeout_seconds: float = 10.0
    max_buffered_chunks: int = 256


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
    """Graceful stop, table ``[shutdown]``."""

    max_drain_seconds: float = 300.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one daemon."""

    router: RouterSettings
    platform: PlatformSettings
    budgets: BudgetSettings = field(default_factory=BudgetSettings)
    journal: JournalSettings = field(default_factory=JournalSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    streams: StreamSettings = field(default_factory=StreamSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    addresses: AddressSettings = field(default_factory=AddressSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
