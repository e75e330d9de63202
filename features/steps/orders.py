"""Steps for orders to engines."""

import asyncio
import random

from behave import given, then, when
from fixtures_membership import ZONES
from fixtures_orders import OrderFleet

from quinceferry_core.adapters import EngineOrder, OrderKind
from quinceferry_core.changes import PutUpstream, PutWorkspace
from quinceferry_core.exceptions import KvError
from quinceferry_core.models import ModelRef, UpstreamSpec, WorkspaceSpec
from quinceferry_core.orders import attached_models

ASK_SECONDS = 0.5


def build_fleet(context, routers, checks):
    """Start routers, and one engine for each entry of ``checks``."""
    context.fleet = OrderFleet(context)
    context.first_incarnations_by_vm = {}
    for number in range(routers):
        context.fleet.add_router(f"vm-{number + 1}")
    context.fleet.advance(10)
    add_engines(context, checks)


def add_engines(context, checks, **settings):
    for number, checks_fencing in enumerate(checks):
        zone = ZONES[number % len(ZONES)]
        context.fleet.add_engine(f"engine-{number + 1}", zone, checks_fencing, **settings)


def alternating(count):
    return [number % 2 == 1 for number in range(count)]


@given("an order fleet of {routers:d} routers and {engines:d} engines")
def start_order_fleet(context, routers, engines):
    build_fleet(context, routers, alternating(engines))


@given("an order fleet of {routers:d} routers and {engines:d} engines with room for 1 model")
def start_small_fleet(context, routers, engines):
    build_fleet(context, routers, [])
    add_engines(context, alternating(engines), max_models=1)


@given(
    "an order fleet of {routers:d} routers and {engines:d} engines which {habit} fencing numbers"
)
def start_fleet_with_habit(context, routers, engines, habit):
    build_fleet(context, routers, [habit == "check"] * engines)
    context.fleet.advance(30)


@given('engine "{upstream}" has model "{model}" loaded')
def preload(context, upstream, model):
    engine = context.fleet.engines_by_id[upstream]
    engine.models.loaded += (ModelRef.parse(model),)
    context.fleet.call(engine._record_load)
    context.fleet.advance(15)


@given('engine "{upstream}" is configured for role "{role}"')
def configure_role(context, upstream, role):
    router = next(iter(context.fleet.routers_by_vm.values()))
    spec = router.blackboard.configuration.upstreams_by_id[upstream]
    change = UpstreamSpec(
        spec.id, spec.address, spec.zone, checks_fencing=spec.checks_fencing, role=role
    )
    context.fleet.change(PutUpstream(change))
    context.fleet.advance(15)
    assert context.fleet.engines_by_id[upstream].models.role == role


@when('workspace "{workspace}" has model "{model}" attached')
def attach_one(context, workspace, model):
    context.fleet.attach(workspace, [model])


@when('workspace "{workspace}" has {count:d} models attached at once')
def attach_many(context, workspace, count):
    context.fleet.attach(workspace, [f"model-{number}" for number in range(count)])


@when("engines are added and {seconds:d} fleet seconds pass")
def add_engines_later(context, seconds):
    add_engines(context, alternating(3))
    context.fleet.advance(seconds)


def ask_for(context, models, seconds):
    async def ask():
        rng = random.Random(1)
        for _ in range(int(seconds / ASK_SECONDS)):
            router = rng.choice(list(context.fleet.routers_by_vm.values()))
            router.demand.record_request(ModelRef.parse(rng.choice(models)))
            await context.fleet.clock.sleep(ASK_SECONDS)

    context.fleet.run(ask())


@when('callers ask for model "{model}" for {seconds:d} fleet seconds')
def ask_for_model(context, model, seconds):
    ask_for(context, [model], seconds)


@when("callers ask for the first {count:d} models for {seconds:d} fleet seconds")
def ask_for_first(context, count, seconds):
    ask_for(context, [f"model-{number}" for number in range(count)], seconds)


@then('model "{model}" is loaded at {count:d} engines')
def check_loaded(context, model, count):
    engines = [u for u in context.fleet.engines_by_id if model in context.fleet.loaded(u)]
    assert len(engines) == count, engines


@then("at most {limit:d} loads are in progress at any time in {seconds:d} fleet seconds")
def check_no_stampede(context, limit, seconds):
    most = 0
    for _ in range(seconds):
        context.fleet.advance(1)
        most = max(most, context.fleet.loads_in_progress())
    assert 0 < most <= limit, most


@then("each of the {count:d} models is loaded")
def check_all_loaded(context, count):
    loaded = set().union(*(context.fleet.loaded(u) for u in context.fleet.engines_by_id))
    missing = {f"model-{number}" for number in range(count)} - loaded
    assert not missing, missing


@then("each engine has exactly one holder")
def check_holders(context):
    for upstream in context.fleet.engines_by_id:
        holders = [router.vm for router in context.fleet.holders(upstream)]
        assert len(holders) == 1, (upstream, holders)


def held_fencing(context, upstream):
    (holder,) = context.fleet.holders(upstream)
    shards = holder.orders.shards
    specs_by_shard = shards.engines_by_shard()
    name = next(n for n, specs in specs_by_shard.items() if any(s.id == upstream for s in specs))
    return shards.held_by_name[name].fencing


@when('the holder of "{upstream}" is killed')
def kill_holder(context, upstream):
    context.fencing = held_fencing(context, upstream)
    (holder,) = context.fleet.holders(upstream)
    context.fleet.run(holder.kill())
    del context.fleet.routers_by_vm[holder.vm]


@then('the successor\'s fencing number at "{upstream}" is higher')
def check_fencing_rose(context, upstream):
    assert held_fencing(context, upstream) > context.fencing


@when('the engine that loads model "{model}" dies')
def kill_loading_engine(context, model):
    for _ in range(60):
        context.fleet.advance(0.5)
        for engine in context.fleet.engines_by_id.values():
            if ModelRef.parse(model) in engine.models._loads_by_model:
                return context.fleet.run(engine.stop())
    raise AssertionError("no engine began to load")


@when("the answers to all calls about turns are lost for {seconds:d} fleet seconds")
def lose_turns(context, seconds):
    """Refuse some and lose other answers, so that tickets are left behind."""
    faults = context.fleet.kv.faults
    faults.key_prefix = "loads/"
    faults.refuse_probability = 0.5
    faults.lose_probability = 0.5
    context.fleet.advance(seconds)
    faults.clear()


@given("the weight store is out")
def stop_weights(context):
    context.fleet.weights.outage = True


@when("the weight store returns")
def start_weights(context):
    context.fleet.weights.outage = False


@when("the key-value service goes out")
def begin_order_outage(context):
    context.fleet.kv.faults.outage = True


@when("orders are counted for {seconds:d} fleet seconds")
def count_orders(context, seconds):
    before = sum(len(engine.orders) for engine in context.fleet.engines_by_id.values())
    context.fleet.advance(seconds)
    after = sum(len(engine.orders) for engine in context.fleet.engines_by_id.values())
    context.orders_counted = after - before


@then("no order was sent")
def check_no_orders(context):
    assert context.orders_counted == 0, context.orders_counted


def send_late(context, upstream, kind, model, role, seconds):
    """Have the holder pass its last check, and hold up what it sends."""
    (holder,) = context.fleet.holders(upstream)
    shards = holder.orders.shards
    name = next(
        n for n, specs in shards.engines_by_shard().items() if any(s.id == upstream for s in specs)
    )
    shard = shards.held_by_name[name]
    assert context.fleet.call(shards.can_send, shard)
    context.late_order = EngineOrder(kind, model, shard.fencing, shard.next_sequence(), role)
    holder.connections.delays[kind] = seconds
    spec = holder.blackboard.configuration.upstreams_by_id[upstream]

    async def send():
        task = asyncio.create_task(holder.connections.order(spec, context.late_order))
        task.add_done_callback(lambda ended: ended.exception())
        return task

    context.late_task = context.fleet.run(send())
    context.late_holder = holder


@when(
    'the holder of "{upstream}" sends an order to unload "{model}" that is held up '
    "for {seconds:d} seconds"
)
def send_late_unload(context, upstream, model, seconds):
    send_late(context, upstream, OrderKind.UNLOAD, ModelRef.parse(model), "", seconds)


@when(
    'the holder of "{upstream}" sends an order to take role "{role}" that is held up '
    "for {seconds:d} seconds"
)
def send_late_role(context, upstream, role, seconds):
    send_late(context, upstream, OrderKind.CHANGE_ROLE, ModelRef(""), role, seconds)


@when("its process is paused meanwhile")
def pause_holder(context):
    context.late_holder.clock.pause()
    others = [r for r in context.fleet.routers_by_vm.values() if r is not context.late_holder]
    context.fleet.routers_by_vm = {router.vm: router for router in [*others, context.late_holder]}


@then('"{upstream}" has another holder')
def check_other_holder(context, upstream):
    holders = context.fleet.holders(upstream)
    assert any(holder is not context.late_holder for holder in holders), holders


@then("the late order was {fate}")
def check_late_order(context, fate):
    (engine,) = context.fleet.engines_by_id.values()
    record = next(r for r in engine.orders if r.order == context.late_order)
    assert record.obeyed == (fate == "obeyed"), record


@then('"{upstream}" has role "{role}"')
def check_role(context, upstream, role):
    assert context.fleet.engines_by_id[upstream].models.role == role


class OrderFaults:
    """Draws faults and changes of configuration from a seed."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(seed)

    async def run(self, seconds):
        ends_at = self._fleet.clock.monotonic() + seconds
        tasks = []
        while self._fleet.clock.monotonic() < ends_at:
            await self._fleet.clock.sleep(self._rng.uniform(1.0, 8.0))
            fault = self._rng.choice(
                [self._pause, self._cut_off, self._hold_up, self._lose, self._change, self._change]
            )
            tasks.append(asyncio.create_task(fault()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def heal(self):
        self._fleet.kv.faults.clear()
        for router in self._fleet.routers_by_vm.values():
            router.kv.faults.clear()
            router.connections.delays.clear()
            router.clock.resume()

    def _any_router(self):
        return self._rng.choice(list(self._fleet.routers_by_vm.values()))

    async def _pause(self):
        router = self._any_router()
        router.clock.pause()
        await self._fleet.clock.sleep(self._rng.uniform(5.0, 40.0))
        router.clock.resume()

    async def _cut_off(self):
        faults = self._rng.choice([self._fleet.kv.faults, self._any_router().kv.faults])
        faults.outage = True
        await self._fleet.clock.sleep(self._rng.uniform(5.0, 30.0))
        faults.outage = False

    async def _hold_up(self):
        self._any_router().connections.delays[self._rng.choice(list(OrderKind))] = 60.0

    async def _lose(self):
        faults = self._any_router().kv.faults
        faults.lose_probability = 0.5
        await self._fleet.clock.sleep(self._rng.uniform(1.0, 10.0))
        faults.lose_probability = 0.0

    async def _change(self):
        models = tuple(ModelRef(f"model-{self._rng.randrange(5)}") for _ in range(2))
        try:
            await self._fleet.change_now(PutWorkspace(WorkspaceSpec("choir", models=models)))
        except KvError:
            return


@when("order faults drawn from seed {seed:d} strike for {seconds:d} fleet seconds")
def strike(context, seed, seconds):
    context.order_faults = OrderFaults(context.fleet, seed)
    context.fleet.run(context.order_faults.run(seconds))


@when("all is healed and {seconds:d} fleet seconds pass")
def heal(context, seconds):
    context.order_faults.heal()
    context.fleet.advance(seconds)


@then("every engine has what the newest configuration asks for")
def check_desired(context):
    router = next(iter(context.fleet.routers_by_vm.values()))
    wanted = {str(model) for model in attached_models(router.blackboard.configuration)}
    loaded = set().union(*(context.fleet.loaded(u) for u in context.fleet.engines_by_id))
    assert wanted, "no change was made"
    assert loaded == wanted, (loaded, wanted)
    check_holders(context)


@then("engines that check fencing numbers obeyed them in order")
def check_fencing_order(context):
    for engine in context.fleet.engines_by_id.values():
        if engine.settings.checks_fencing:
            numbers = [record.order.fencing for record in engine.orders if record.obeyed]
            assert numbers == sorted(numbers), (engine.upstream, numbers)
