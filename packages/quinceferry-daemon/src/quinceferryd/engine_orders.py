"""Sends orders to the engines of held shards until the engines' reports show the wanted state.

Every order states an absolute target (loaded, not loaded, this role), so that a repeated order
changes nothing. The holder can thus revert the effect of a late order of a previous holder, even at
engines that ignore fencing numbers.
"""

from dataclasses import dataclass, field

from quinceferry_core.adapters import EngineOrder, LoadReport, OrderKind, UpstreamClient
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import UpstreamError, UpstreamRefusedError
from quinceferry_core.models import ModelRef, UpstreamId, UpstreamSpec
from quinceferry_core.orders import EngineRecord
from quinceferryd.blackboard import Blackboard
from quinceferryd.order_shards import HeldShard, OrderShards

REPORT_LAG_SECONDS = 3.0
"""How long after an order an engine may still report the state before it."""
REPORT_INTERVAL_SECONDS = 10.0
"""Minimum time between two reads of the report of an engine without recent orders."""
MAX_REPORTS_PER_SECOND = 3.0
"""Rate at which a holder reads reports; with more engines each is read less often."""
FULL_ENGINE_SECONDS = 60.0
"""How long an engine that refused a load is considered full."""
ROLE_REPEAT_INTERVAL_SECONDS = 60.0
"""Time between two orders of the same role, because reports do not contain the role."""

_NO_MODEL = ModelRef("")


@dataclass(slots=True)
class EngineState:
    """State of an engine as observed by the holder of its shard; times are in monotonic seconds."""

    report: LoadReport | None = None
    read_at: float = float("-inf")
    ordered_at: float = float("-inf")
    full_until: float = float("-inf")
    role: str = ""
    role_ordered_at: float = float("-inf")
    loading: ModelRef | None = None
    detached_since: dict[ModelRef, float] = field(default_factory=dict)


class EngineOrders:
    """Reads engines' reports and sends them orders.

    :param blackboard: shared state.
    :param upstreams: connections to engines.
    :param clock: source of time.
    :param shards: determines whether an order may be sent.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstreams: UpstreamClient,
        clock: Clock,
        shards: OrderShards,
    ) -> None:
        self._blackboard = blackboard
        self._upstreams = upstreams
        self._clock = clock
        self._shards = shards
        self._states_by_id: dict[UpstreamId, EngineState] = {}
        self._report_interval_seconds = REPORT_INTERVAL_SECONDS
        self.orders_sent = 0
        self.orders_refused = 0

    def state(self, upstream: UpstreamId) -> EngineState:
        """Return the observed state of an engine."""
        return self._states_by_id.setdefault(upstream, EngineState())

    def retain_engines(self, upstreams: set[UpstreamId]) -> None:
        """Remove the state of all other engines, and adapt the report interval to their number."""
        self._report_interval_seconds = max(
            REPORT_INTERVAL_SECONDS, len(upstreams) / MAX_REPORTS_PER_SECOND
        )
        for upstream in self._states_by_id.keys() - upstreams:
            del self._states_by_id[upstream]

    async def observe(self, spec: UpstreamSpec) -> EngineRecord:
        """Return an engine's record; read its report again if it is not recent enough."""
        state = self.state(spec.id)
        now = self._clock.monotonic()
        is_order_recent = now < state.ordered_at + REPORT_LAG_SECONDS + REPORT_INTERVAL_SECONDS
        if is_order_recent or state.loading or now >= state.read_at + self._report_interval_seconds:
            await self._read_report(spec, state)
        return self._build_record(spec, state)

    async def load(self, shard: HeldShard, spec: UpstreamSpec, model: ModelRef) -> bool:
        """Order an engine to load a model; return whether the order was accepted."""
        is_accepted = await self._send(shard, spec, OrderKind.LOAD, model)
        if not is_accepted and self._shards.can_send(shard):
            self.state(spec.id).full_until = self._clock.monotonic() + FULL_ENGINE_SECONDS
        return is_accepted

    async def unload(self, shard: HeldShard, spec: UpstreamSpec, model: ModelRef) -> bool:
        """Order an engine to unload a model; return whether the order was accepted."""
        self.state(spec.id).full_until = float("-inf")
        return await self._send(shard, spec, OrderKind.UNLOAD, model)

    async def order_role(self, shard: HeldShard, spec: UpstreamSpec) -> None:
        """Order the configured role if it changed or is due to be repeated."""
        state = self.state(spec.id)
        now = self._clock.monotonic()
        is_due = (
            state.role != spec.role or now >= state.role_ordered_at + ROLE_REPEAT_INTERVAL_SECONDS
        )
        if spec.role and is_due:
            state.role_ordered_at = now
            if await self._send(shard, spec, OrderKind.CHANGE_ROLE, _NO_MODEL, spec.role):
                state.role = spec.role

    async def raise_fencing(self, shard: HeldShard, spec: UpstreamSpec) -> None:
        """Make an engine that checks fencing numbers refuse the orders of previous holders.

        The order repeats the load of a model that the engine already has, which has no other
        effect.
        """
        report = self.state(spec.id).report
        if spec.checks_fencing and report is not None and report.loaded:
            await self._send(shard, spec, OrderKind.LOAD, report.loaded[0])

    def is_report_current(self, upstream: UpstreamId) -> bool:
        """Return whether the last report was read after the last order took effect."""
        state = self.state(upstream)
        return state.read_at >= state.ordered_at + REPORT_LAG_SECONDS

    async def _send(
        self,
        shard: HeldShard,
        spec: UpstreamSpec,
        kind: OrderKind,
        model: ModelRef,
        role: str = "",
    ) -> bool:
        order = EngineOrder(kind, model, shard.fencing, shard.next_sequence(), role)
        if not self._shards.can_send(shard):
            return False
        self.state(spec.id).ordered_at = self._clock.monotonic()
        self.orders_sent += 1
        try:
            await self._upstreams.order(spec, order)
        except UpstreamRefusedError:
            self.orders_refused += 1
            return False
        except UpstreamError:
            # The engine may have executed the order; the next report shows whether it did.
            return True
        return True

    async def _read_report(self, spec: UpstreamSpec, state: EngineState) -> None:
        requested_at = self._clock.monotonic()
        try:
            state.report = await self._upstreams.load(spec)
        except UpstreamError:
            state.report = None
        state.read_at = requested_at

    def _build_record(self, spec: UpstreamSpec, state: EngineState) -> EngineRecord:
        loading = (state.loading,) if state.loading else ()
        if state.report is None:
            return EngineRecord(spec.id, loading=loading, usable=False)
        status = self._blackboard.upstreams_by_id.get(spec.id)
        is_leaving = state.report.leaving or (status is not None and status.leaving)
        is_full = self._clock.monotonic() < state.full_until
        loaded = tuple(sorted(state.report.loaded, key=str))
        return EngineRecord(spec.id, loaded, loading, not is_leaving, is_full)
