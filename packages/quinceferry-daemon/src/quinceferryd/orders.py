"""Orders engines to load and unload models according to attached workspaces and demand."""

import random

from quinceferry_core.adapters import KvStore, UpstreamClient
from quinceferry_core.clocks import Clock
from quinceferry_core.demand import DemandMeter
from quinceferry_core.exceptions import KvError
from quinceferry_core.models import ModelRef, UpstreamId, UpstreamSpec
from quinceferry_core.orders import (
    EngineRecord,
    PlannedLoad,
    attached_models,
    choose_eviction,
    detached_models,
    plan_loads,
)
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController
from quinceferryd.engine_orders import EngineOrders
from quinceferryd.load_queue import LoadQueue
from quinceferryd.membership import MembershipController
from quinceferryd.model_demand import ModelDemand
from quinceferryd.order_shards import HeldShard, OrderShards

RECONCILE_INTERVAL_SECONDS = 2.0
MIN_FLEET_READ_INTERVAL_SECONDS = 5.0
"""Minimum time between two reads of all shard records and of the fleet's demand."""
MAX_UPSTREAMS_READ_PER_SECOND = 150.0
"""Rate at which each holder reads engine records; with more engines they are read less often."""
MAX_RECORDS_WAIT_SECONDS = 30.0
"""How long loads wait until all engines have records; without them every holder would load."""
DETACHED_MODEL_RETENTION_SECONDS = 300.0
"""How long a model that no workspace has attached stays loaded if there is memory for it."""
TAKEOVER_DELAY_SECONDS = 15.0
"""How long a new holder waits before it unloads: a lease time plus the longest call of the previous
holder."""
MAX_LOAD_SECONDS = 180.0
"""Maximum duration of a load, so that an engine that never finishes does not keep its turn."""
LOAD_REPEAT_INTERVAL_SECONDS = 20.0
"""Time between two orders of the same load until a report shows it."""
LOAD_CHECK_INTERVAL_SECONDS = 1.0


class OrderController(TaskGroupController):
    """Sends orders to the engines of the shards that this router holds.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param rng: source of randomness, for spreading the calls of many routers.
    :param membership: owner of the lease.
    :param upstreams: connections to engines.
    :param demand: this router's demand for models, counted by the request path.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        clock: Clock,
        rng: random.Random,
        membership: MembershipController,
        upstreams: UpstreamClient,
        demand: DemandMeter,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._clock = clock
        self._rng = rng
        self.shards = OrderShards(blackboard, kv, clock, membership)
        self.engines = EngineOrders(blackboard, upstreams, clock, self.shards)
        self._queue = LoadQueue(kv, clock, rng, membership)
        self._demand = ModelDemand(blackboard, kv, membership, demand)
        self._fleet_read_at = float("-inf")
        self._incomplete_since: float | None = None
        self._fleet_engines: dict[UpstreamId, EngineRecord] = {}
        self._fleet_demand: dict[ModelRef, float] = {}

    async def start(self) -> None:
        """Start sending orders."""
        self.spawn(self._reconcile_forever(), "orders")

    async def reconcile(self) -> None:
        """Compare the engines of the held shards with their wanted state and send orders once.

        :raises KvError: a call to the key-value service failed; repeat the call.
        """
        await self.shards.update()
        await self._demand.publish()
        await self._queue.delete_abandoned()
        if not self.shards.held_by_name:
            return
        await self._read_fleet()
        specs_by_shard = self.shards.engines_by_shard()
        for shard in list(self.shards.held_by_name.values()):
            await self._observe(shard, specs_by_shard.get(shard.name, []))
        own_engines = {
            spec.id for name in self.shards.held_by_name for spec in specs_by_shard[name]
        }
        self.engines.retain_engines(own_engines)
        if self._is_view_complete():
            self._start_loads()
        for shard in list(self.shards.held_by_name.values()):
            for spec in specs_by_shard.get(shard.name, []):
                await self._send_other_orders(shard, spec)

    async def _reconcile_forever(self) -> None:
        while True:
            await self._clock.sleep(RECONCILE_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))
            if self._blackboard.state is not RouterState.SERVING:
                continue
            try:
                await self.reconcile()
            except KvError:
                continue

    async def _read_fleet(self) -> None:
        """Read all shard records and the fleet's demand, unless they were read recently."""
        engines = len(self._blackboard.configuration.upstreams_by_id)
        interval = max(MIN_FLEET_READ_INTERVAL_SECONDS, engines / MAX_UPSTREAMS_READ_PER_SECOND)
        now = self._clock.monotonic()
        if now < self._fleet_read_at + interval:
            return
        records = await self.shards.read_all()
        self._fleet_engines = {e.upstream: e for record in records for e in record.engines}
        self._fleet_demand = await self._demand.read_fleet_rates()
        self._fleet_read_at = now

    def _is_view_complete(self) -> bool:
        """Return whether every engine has a record, or the wait for missing records has ended."""
        specs = [spec for specs in self.shards.engines_by_shard().values() for spec in specs]
        now = self._clock.monotonic()
        if all(spec.id in self._fleet_engines for spec in specs):
            self._incomplete_since = None
            return True
        if self._incomplete_since is None:
            self._incomplete_since = now
        return now >= self._incomplete_since + MAX_RECORDS_WAIT_SECONDS

    async def _observe(self, shard: HeldShard, specs: list[UpstreamSpec]) -> None:
        is_first_observation = not shard.engines
        engines = tuple([await self.engines.observe(spec) for spec in specs])
        await self.shards.publish(shard, engines)
        self._fleet_engines.update({engine.upstream: engine for engine in engines})
        if is_first_observation:
            for spec in specs:
                await self.engines.raise_fencing(shard, spec)

    def _start_loads(self) -> None:
        wanted = attached_models(self._blackboard.configuration)
        for planned_load in plan_loads(
            wanted, self._fleet_demand, list(self._fleet_engines.values())
        ):
            shard = self._shard_of(planned_load.upstream)
            state = self.engines.state(planned_load.upstream) if shard else None
            if shard is None or state is None or state.loading:
                continue
            state.loading = planned_load.model
            self.spawn(
                self._load(shard, planned_load),
                f"load {planned_load.model} at {planned_load.upstream}",
            )

    def _shard_of(self, upstream: UpstreamId) -> HeldShard | None:
        specs_by_shard = self.shards.engines_by_shard()
        for name, shard in self.shards.held_by_name.items():
            if any(spec.id == upstream for spec in specs_by_shard.get(name, [])):
                return shard
        return None

    async def _load(self, shard: HeldShard, planned_load: PlannedLoad) -> None:
        """Wait for a turn at the weight store, then order an engine to load a model."""
        try:
            async with self._queue.turn():
                await self._order_load_until_done(shard, planned_load)
        except KvError:
            return
        finally:
            self.engines.state(planned_load.upstream).loading = None

    async def _order_load_until_done(self, shard: HeldShard, planned_load: PlannedLoad) -> None:
        """Repeat a load order until a report shows the model, the shard is lost or it times out."""
        ends_at = self._clock.monotonic() + MAX_LOAD_SECONDS
        repeat_at = float("-inf")
        while self._clock.monotonic() < ends_at:
            spec = self._blackboard.configuration.upstreams_by_id.get(planned_load.upstream)
            if spec is None or not self.shards.can_send(shard):
                return
            if self._clock.monotonic() >= repeat_at:
                repeat_at = self._clock.monotonic() + LOAD_REPEAT_INTERVAL_SECONDS
                if not await self.engines.load(shard, spec, planned_load.model):
                    return
            await self._clock.sleep(LOAD_CHECK_INTERVAL_SECONDS)
            record = await self.engines.observe(spec)
            if not record.usable or planned_load.model in record.loaded:
                return

    async def _send_other_orders(self, shard: HeldShard, spec: UpstreamSpec) -> None:
        """Send role and unload orders to an engine."""
        engine = self._fleet_engines.get(spec.id)
        if engine is None or not engine.usable:
            return
        await self.engines.order_role(shard, spec)
        if self._clock.monotonic() < shard.held_since + TAKEOVER_DELAY_SECONDS:
            return
        model_to_unload = self._next_model_to_unload(engine)
        if model_to_unload is not None and self.engines.is_report_current(spec.id):
            await self.engines.unload(shard, spec, model_to_unload)

    def _next_model_to_unload(self, engine: EngineRecord) -> ModelRef | None:
        """Return a model that an engine should unload now, or None.

        It is a model that has been detached for long enough, or one to evict for a wanted model.
        """
        wanted = attached_models(self._blackboard.configuration)
        since_by_model = self.engines.state(engine.upstream).detached_since
        detached = detached_models(engine, wanted)
        now = self._clock.monotonic()
        for model in since_by_model.keys() - set(detached):
            del since_by_model[model]
        for model in detached:
            if now >= since_by_model.setdefault(model, now) + DETACHED_MODEL_RETENTION_SECONDS:
                return model
        fleet = list(self._fleet_engines.values())
        return choose_eviction(engine, wanted, self._fleet_demand, fleet)
