"""Fleet whose routers give orders to stand-in engines."""

import random

from fixtures_membership import Fleet, FleetRouter

from quinceferry_core.changes import PutUpstream, PutWorkspace
from quinceferry_core.demand import DemandMeter
from quinceferry_core.models import ModelRef, UpstreamSpec, WorkspaceSpec
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.weights import FakeWeightStore
from quinceferryd.orders import OrderController

CALL_SECONDS = 0.005
MODEL_BYTES = 5_000_000_000


class OrderConnections:
    """One router's connections to the engines; its orders may be held up on the way."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.delays = {}
        """Seconds by kind of order; each delays the next order of its kind, after all checks."""

    async def load(self, spec):
        await self._fleet.clock.sleep(CALL_SECONDS)
        return self._fleet.engines_by_id[spec.id].load()

    async def order(self, spec, order):
        await self._fleet.clock.sleep(CALL_SECONDS + self.delays.pop(order.kind, 0.0))
        self._fleet.engines_by_id[spec.id].order(order)


class OrderRouter(FleetRouter):
    """A router that gives orders."""

    def __init__(self, fleet, vm, seed):
        super().__init__(fleet, vm, seed)
        self.connections = OrderConnections(fleet)
        self.demand = DemandMeter(self.clock)
        self.orders = OrderController(
            self.blackboard,
            self.kv,
            self.clock,
            self.rng,
            self.membership,
            self.connections,
            self.demand,
        )
        self.controllers.append(self.orders)


class OrderFleet(Fleet):
    """Routers and engines; the weight store takes ten seconds for each model."""

    router_class = OrderRouter

    def __init__(self, context):
        super().__init__(context)
        self.weights = FakeWeightStore(self.clock)
        self.engines_by_id = {}
        self.operations = 0

    def add_engine(self, upstream, zone, checks_fencing, models=(), max_models=8, role=""):
        settings = EngineSettings(
            models=tuple(ModelRef.parse(model) for model in models),
            checks_fencing=checks_fencing,
            max_models=max_models,
        )
        self.engines_by_id[upstream] = self.call(self._new_engine, upstream, settings)
        spec = UpstreamSpec(
            upstream, f"http://{upstream}", zone, checks_fencing=checks_fencing, role=role
        )
        self.change(PutUpstream(spec))

    def attach(self, workspace, models):
        refs = tuple(ModelRef.parse(model) for model in models)
        self.change(PutWorkspace(WorkspaceSpec(workspace, models=refs)))

    def change(self, change):
        self.run(self.change_now(change))

    async def change_now(self, change):
        self.operations += 1
        router = next(iter(self.routers_by_vm.values()))
        await router.configuration.synchronize()
        result = await router.configuration.propose(
            change, router.applied, f"op-{self.operations}", str(self.operations)
        )
        result.unwrap()

    def holders(self, upstream):
        """Return the routers that believe they hold the shard of an engine."""
        return [
            router
            for router in self.routers_by_vm.values()
            for name, specs in router.orders.shards.engines_by_shard().items()
            if name in router.orders.shards.held_by_name
            and any(spec.id == upstream for spec in specs)
        ]

    def loads_in_progress(self):
        return sum(len(e.models._loads_by_model) for e in self.engines_by_id.values())

    def loaded(self, upstream):
        return {str(model) for model in self.engines_by_id[upstream].models.loaded}

    async def _kill_all(self):
        await super()._kill_all()
        for engine in self.engines_by_id.values():
            await engine.stop()

    def _new_engine(self, upstream, settings):
        weights = self.weights.connect(upstream)
        return FakeEngine(self.clock, upstream, settings, random.Random(1), weights)
