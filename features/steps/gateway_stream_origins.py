"""Steps for the records of where streams began, in modelled fleets on virtual time."""

import asyncio
from types import SimpleNamespace

from behave import then, when

from features.fixtures_fleet import Node
from features.fixtures_fleet_faults import cut_link
from features.steps.gateway_fleet import play
from quinceferry_gateway.catalog import RouteKind, StreamOrigin
from quinceferry_gateway.decisions.origin_records import HOLDERS
from quinceferry_gateway.stream_origins import OriginNotices

VERSIONS = ("v1", "v2", "v3")
STOP_INTERVAL_SECONDS = 3.0
"""Time between the stops of two gateways; leases lapse and lists are read in it."""
ROUTE = SimpleNamespace(
    kind=RouteKind.STREAM,
    resumable=True,
    timeout_seconds=300.0,
    destinations=(SimpleNamespace(service="llm"),),
)


def request(world, request_id, resumed="", after=""):
    """Return a request as far as the records of origins look at it."""
    return SimpleNamespace(
        call=SimpleNamespace(request_id=request_id, resumed_request_id=resumed, resume_after=after),
        route=ROUTE,
        forwarded=False,
        service="llm",
        deadline_at=world.clock.monotonic() + ROUTE.timeout_seconds,
        stream=SimpleNamespace(origin=None),
    )


async def begin(context, world, count):
    """Begin streams at gateways and versions drawn at random."""
    context.began = {}
    for number in range(count):
        node = world.network.random.choice(world.living)
        origin = StreamOrigin("llm", world.network.random.choice(VERSIONS))
        context.began[f"stream-{number}"] = (node.vm, origin)
        node.origins.record(request(world, f"stream-{number}"), origin)
    await world.clock.sleep(0.1)


async def resume(context, world, gateways):
    """Resume each stream at one of some gateways other than the one that served it."""
    context.found = context.wrong = 0
    for request_id, (vm, origin) in context.began.items():
        others = [node for node in gateways if node.vm != vm]
        node = world.network.random.choice(others)
        resumed = request(world, f"{request_id}-again", request_id, "2")
        refusal = await node.origins.resolve(resumed)
        context.found += refusal is None and resumed.stream.origin == origin
        context.wrong += refusal is None and resumed.stream.origin != origin


@when("{count:d} streams begin, and each is resumed at another gateway")
def when_resumed(context, count):
    async def act(world):
        await begin(context, world, count)
        await resume(context, world, world.living)

    context.acts.append(act)


@when(
    "{count:d} streams begin, {killed:d} gateways are killed at once, and each is resumed at a "
    "living one"
)
def when_killed(context, count, killed):
    async def act(world):
        await begin(context, world, count)
        survivors = world.network.random.sample(world.nodes, len(world.nodes) - killed)
        killed_numbers = [
            number for number, node in enumerate(world.nodes) if node not in survivors
        ]
        for number in killed_numbers:
            await world.nodes[number].stop()
            world.nodes[number] = Node(world, number, "second")
        await asyncio.gather(*(world.nodes[number].start() for number in killed_numbers))
        await resume(context, world, survivors)

    context.acts.append(act)


@when("{count:d} streams begin, all gateways are stopped and started in turn, and each is resumed")
def when_rolled(context, count):
    async def act(world):
        await begin(context, world, count)
        for number, node in enumerate(world.nodes):
            node.gossip.announce_leaving()
            await node.origins.hand_over()
            await world.clock.sleep(STOP_INTERVAL_SECONDS)
            del world.registrations_by_key[node.board.own.incarnation]
            await node.stop()
            world.nodes[number] = Node(world, number, "second")
            await world.nodes[number].start()
            await world.clock.sleep(STOP_INTERVAL_SECONDS)
        await resume(context, world, world.living)

    context.acts.append(act)


@when("{count:d} streams begin, and each is resumed at a gateway that is cut off from the others")
def when_cut(context, count):
    async def act(world):
        lonely = world.nodes[0]
        for other in world.nodes[1:]:
            cut_link(world, lonely, other)
            cut_link(world, other, lonely)
        await begin(context, world, count)
        await resume(context, world, [lonely, world.nodes[1]])

    context.acts.append(act)


@then("at least {least:d} of {count:d} origins are found, and none is wrong")
def then_found(context, least, count):
    play(context)
    assert len(context.began) == count
    assert not context.wrong, context.wrong
    assert context.found >= least, context.found


@then("each stream cost {messages:d} messages to holders")
def then_cost(context, messages):
    sent = context.world.network.sent_by_type[OriginNotices]
    assert messages == HOLDERS and sent == messages * len(context.began), sent
