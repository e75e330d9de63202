"""Steps for the evacuation of availability zones."""

import asyncio
from functools import partial

from behave import then, when

from features.fixtures_gateway import until
from features.steps.gateway import TOKENS, check, move_upstreams, ranked_upstreams
from features.steps.gateway_fleet import BETWEEN_SECONDS, obeys, play

FLEET_ZONE = "z"
"""Zone of all upstreams of the modelled fleet."""
MAX_DELAY_SECONDS = 5.0
"""The platform's bound for an evacuation."""


def heeds(is_set, node):
    """Return whether a gateway has the evacuation, or its end, in force."""
    return (FLEET_ZONE in node.board.evacuated_zones) == is_set


@when("the operators evacuate a zone and restore it, {times:d} times")
def when_evacuated_repeatedly(context, times):
    async def evacuate(world):
        context.delays = []
        for is_set in [True, False] * times:
            world.evacuate(FLEET_ZONE, is_set)
            await record_delay(context, world, partial(heeds, is_set))

    context.acts.append(evacuate)


async def record_delay(context, world, holds):
    """Record how long it takes until a condition holds everywhere, and pause after that."""
    context.delays.append(await world.seconds_until(holds, MAX_DELAY_SECONDS))
    await world.clock.sleep(BETWEEN_SECONDS)


@then("each time the evacuation is in force or over everywhere within {bound:g} seconds")
def then_in_force_in_time(context, bound):
    play(context)
    assert len(context.delays) == 10, context.delays
    assert max(context.delays) <= bound, context.delays


@when("the operators evacuate a zone")
def when_evacuated(context):
    async def evacuate(world):
        world.evacuate(FLEET_ZONE, True)

    context.acts.append(evacuate)


@then("no gateway has a list of upstreams without the evacuation")
def then_never_without(context):
    async def watch(world):
        ends_at = world.clock.monotonic() + 6
        while world.clock.monotonic() < ends_at:
            for node in world.nodes:
                if node.board.has_catalog:
                    assert heeds(True, node), node.vm
            await world.clock.sleep(0.02)
        assert all(node.board.has_catalog for node in world.nodes)

    context.acts.append(watch)
    play(context)


@when("the operators write a configuration and evacuate a zone at once, {times:d} times")
def when_both(context, times):
    async def write(world):
        context.delays = []
        for number in range(times):
            is_set = number % 2 == 0
            world.configure(str(number + 2).encode())
            world.evacuate(FLEET_ZONE, is_set)
            await record_delay(
                context,
                world,
                lambda node, number=number, is_set=is_set: obeys(number + 2, node)
                and heeds(is_set, node),
            )

    context.acts.append(write)


@then("each time both are in force everywhere within {bound:g} seconds")
def then_both_in_time(context, bound):
    play(context)
    assert context.delays and max(context.delays) <= bound, context.delays


@then("the evacuation is in force everywhere")
def then_still_in_force(context):
    async def look(world):
        assert all(heeds(True, node) for node in world.living)

    context.acts.append(look)
    play(context)


async def evacuate_zone(scene, zone, is_set=True):
    """Write or remove the evacuation of a zone, and wait until all gateways heed it."""
    key = f"op/evacuate/{zone}"
    await (scene.store.put(key, b"{}") if is_set else scene.store.remove(key))
    boards = [application.blackboard for application in scene.applications]
    await until(lambda: all((zone in board.evacuated_zones) == is_set for board in boards))


@when("the operators evacuate {zone}-{name}")
def when_zone_evacuated(context, zone, name):
    context.gateway.acts.append(lambda scene: evacuate_zone(scene, f"{zone}-{name}"))


@when("the operators restore {zone}")
def when_zone_restored(context, zone):
    context.gateway.acts.append(lambda scene: evacuate_zone(scene, zone, is_set=False))


@then("every answer has status 200, and only {name} got requests")
def then_only(context, name):
    check(context)
    scene = context.gateway
    assert {answer.status for answer in scene.answers} == {200}, scene.answers
    got = {key for key, upstream in scene.upstreams_by_id.items() if upstream.seen}
    assert got == {name}, got


@when("a stream of {target} is asked for while the operators evacuate {zone}")
def when_streams_meanwhile(context, target, zone):
    async def stream(scene):
        running = asyncio.create_task(scene.ask("POST", target, b"{}", **TOKENS))
        await until(lambda: scene.runs == 1)
        await evacuate_zone(scene, zone)
        await running

    context.gateway.acts.append(stream)


@when("the second choice of service {service} is in another availability zone")
def when_second_elsewhere(context, service):
    move_upstreams(context, {ranked_upstreams(service)[1]: "zone-b"})


@then("the second choice of service {service} got {count:d} request")
def then_second_got(context, service, count):
    assert len(context.gateway.upstreams_by_id[ranked_upstreams(service)[1]].seen) == count


@when("{name} has answered once, and accepts a request only in {seconds:g} seconds")
def when_limited(context, name, seconds):
    async def limit(scene):
        scene.upstreams_by_id[name].rate_limit = str(1 / seconds)
        await scene.ask("GET", "/get/a")

    context.gateway.acts.append(limit)


@when("a request waits for it while the operators evacuate {zone}")
def when_evacuated_while_waiting(context, zone):
    async def evacuate(scene):
        waiting = asyncio.create_task(scene.ask("GET", "/get/a"))
        # The first permit of a new schedule is two intervals away.
        await asyncio.sleep(0.05)
        scene.applications[0].blackboard.evacuated_zones = frozenset({zone})
        await waiting

    context.gateway.acts.append(evacuate)


@then("the waiting request is refused with {status:d}, and {name} got {count:d} request")
def then_waiting_refused(context, status, name, count):
    check(context)
    scene = context.gateway
    assert scene.answers[-1].status == status, scene.answers
    assert len(scene.upstreams_by_id[name].seen) == count


@then("the metrics show {count:d} evacuated zone")
def then_metric(context, count):
    async def scrape(scene):
        listen = scene.applications[0].settings.listen
        reply = await scene.fetch(listen.metrics, "/metrics")
        assert f"quinceferry_gateway_evacuated_zones {count}.0" in reply.body.decode()

    check(context, scrape)
