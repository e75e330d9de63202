"""Sizes that the fleet is designed for, and the limits that bind it there."""

import msgspec

SECONDS_PER_DAY = 86_400


class LongRun(msgspec.Struct, frozen=True):
    """The fleet in the long run, at its peak."""

    routers: int = 400
    upstreams: int = 4400
    requests_per_second: int = 13_000
    tokens_per_second: int = 3_100_000
    budgets: int = 15_000
    workspaces: int = 12_000
    models: int = 3
    changes_per_day: int = 14_000
    regions: int = 2
    zones: int = 6
    vm_failures_per_day: int = 31
    vm_replacements_per_day: int = 330


class Limits(msgspec.Struct, frozen=True):
    """What a router may spend on control, and what the platform's service takes.

    The service takes "several hundred" writes a second; the figure is the stand-in's.
    """

    control_cpu_seconds_per_second: float = 0.014
    control_memory_bytes: int = 64 * 1000 * 1000
    control_bytes_per_second: int = 22_000
    kv_writes_per_second: int = 400
    kv_reads_per_second: int = 2000
    first_token_seconds: float = 1.0
    token_seconds: float = 0.027
    change_in_force_seconds: float = 9.0


LONG_RUN = LongRun()
LIMITS = Limits()
