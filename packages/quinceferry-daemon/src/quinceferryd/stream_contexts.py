"""State that all streams of one router share."""

import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from quinceferry_core.adapters import UpstreamClient
from quinceferry_core.clocks import Clock
from quinceferry_core.retries import RetryBudget
from quinceferryd.blackboard import Identity
from quinceferryd.connections import ConnectionEnding
from quinceferryd.crashes import CrashWatch
from quinceferryd.scheduling import Scheduler
from quinceferryd.settings import StreamSettings


@dataclass(slots=True)
class StreamCounters:
    """Counters since the start of the process, exported as metrics."""

    endings: Counter[ConnectionEnding] = field(default_factory=Counter)
    resumes: int = 0
    reruns: int = 0
    cancels: int = 0
    retries_denied: int = 0
    duplicate_chunks: int = 0


@dataclass(slots=True)
class StreamContext:
    """Dependencies, settings and counters that all streams of one router share."""

    upstreams: UpstreamClient
    scheduler: Scheduler
    clock: Clock
    rng: random.Random
    settings: StreamSettings
    identity: Callable[[], Identity]
    retry_budget: RetryBudget
    crash_watch: CrashWatch
    counters: StreamCounters = field(default_factory=StreamCounters)
    connection_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    """Connection numbers, unique in this process, so that no two runs have the same number."""
