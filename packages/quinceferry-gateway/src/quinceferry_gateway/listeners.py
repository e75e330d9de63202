"""Creates the listeners of a gateway, with a limit of connections for each."""

import math
from typing import Any

from quinceferry_core.clocks import Clock
from quinceferry_gateway.decisions.connection_limits import ConnectionLimits
from quinceferry_gateway.decisions.connection_memory import connection_memory_bytes
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.server import HttpListener
from quinceferry_gateway.settings import LimitSettings
from quinceferry_http import ClientLimits, ConnectionMemory, count_descriptors

LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two log lines on one listener about the same limit."""
FULL_EFFECTS = frozenset({"idle", "unfinished", "refused", "aborted"})
"""Effects of the limit of connections; all others are of limits on what a client sends."""


class Listeners:
    """Creates listeners whose connections are limited, counted and logged.

    :param process_limits: descriptors and memory of the process.
    :param client_limits: what clients may send until the listener is told otherwise.
    """

    def __init__(
        self,
        process_limits: LimitSettings,
        client_limits: ClientLimits,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._limits = ConnectionLimits.within(count_descriptors(process_limits.descriptors))
        self.memory = _create_memory(process_limits.memory_megabytes)
        self._client_limits = client_limits
        self._clock = clock
        self._metrics = metrics
        self._by_name: dict[str, HttpListener] = {}
        self._logged_at: dict[tuple[str, bool], float] = {}
        metrics.observe_connections(
            lambda: {name: item.open_connections for name, item in self._by_name.items()}
        )

    def create(
        self, name: str, app: Any, address: str, idle_timeout_seconds: float
    ) -> HttpListener:
        """Create a listener.

        :param name: its name in logs and metrics, which also selects its limit.
        """
        limit = self._limits.limit(name)

        def record_limit(effect: str) -> None:
            self._metrics.count_limited_connection(name, effect)
            self._log_limit(name, effect, limit)

        listener = HttpListener(
            app, address, idle_timeout_seconds, limit, record_limit, self.memory
        )
        listener.set_client_limits(self._client_limits)
        self._by_name[name] = listener
        return listener

    def _log_limit(self, name: str, effect: str, limit: int) -> None:
        """Log that a limit of a listener has an effect, unless that was logged recently."""
        is_full = effect in FULL_EFFECTS
        now = self._clock.monotonic()
        if now - self._logged_at.get((name, is_full), -math.inf) < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[name, is_full] = now
        if is_full:
            log.failure("connections.full", listener=name, max_connections=limit)
        else:
            log.failure("connections.cut_off", listener=name, effect=effect)


def _create_memory(megabytes: int) -> ConnectionMemory:
    """Return the memory that connections share.

    :param megabytes: memory of the machine, 0 if it is unknown.
    """
    return ConnectionMemory(connection_memory_bytes(megabytes)) if megabytes else ConnectionMemory()
