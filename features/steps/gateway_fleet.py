"""Steps for what a fleet of gateways knows of itself."""

import asyncio
from functools import partial

from behave import given, then, when

from features.fixtures_fleet import Node, World
from features.fixtures_fleet_faults import cut_link
from quinceferry_gateway.blackboard import Member
from quinceferry_gateway.fleet.digests import DIGEST_FORMAT, Digest, incarnation_checksum
from quinceferry_gateway.fleet_api import caller_addresses
from quinceferry_lab.virtual_time import run_virtual

SETTLE_SECONDS = 8.0
"""Time after which a fleet that started together is calm."""
BETWEEN_SECONDS = 1.3
"""Pause between two changes of one kind, not in step with any period."""


def bound_seconds(count):
    """Return the platform's bound for changes at deployments of about that size."""
    return 2.0 if count < 60 else 3.0 if count < 150 else 4.0


@given("{count:d} gateways that start together, losing {lost:d} of 100 digests, seed {seed:d}")
def given_starting(context, count, lost, seed):
    context.size = (count, seed, lost / 100, bound_seconds(count))
    context.acts = []


@given("{count:d} gateways that know each other, losing {lost:d} of 100 digests, seed {seed:d}")
def given_calm(context, count, lost, seed):
    given_starting(context, count, lost, seed)
    context.acts.append(lambda world: world.clock.sleep(SETTLE_SECONDS))


@given("no trouble")
def given_no_trouble(context):
    pass


@given("all readers are cut off from the store")
def given_readers_cut(context):
    async def cut(world):
        world.cut_off = {node.vm for node in world.nodes if node.board.is_store_reader}
        assert 1 <= len(world.cut_off) < len(world.nodes), world.cut_off

    context.acts.append(cut)


@given("a third is cut off from the store")
def given_third_cut(context):
    async def cut(world):
        world.cut_off = {node.vm for node in world.nodes[::3]}

    context.acts.append(cut)


@given("all readers hear and are heard by nobody")
def given_readers_mute(context):
    async def mute(world):
        readers = [node for node in world.nodes if node.board.is_store_reader]
        for node in readers:
            for other in world.nodes:
                cut_link(world, node, other)
                cut_link(world, other, node)

    context.acts.append(mute)


@when("an upstream leaves the store's list, {times:d} times")
def when_leaves(context, times):
    async def leave(world):
        context.delays = []
        for number in range(times):
            gone = f"up-{number}"
            del world.upstreams_by_id[gone]
            delay = await world.seconds_until(partial(lacks, gone), world.bound_seconds)
            context.delays.append(delay)
            await world.clock.sleep(BETWEEN_SECONDS)

    context.acts.append(leave)


def lacks(upstream, node):
    """Tell whether a gateway does not use an upstream."""
    return upstream not in node.board.upstreams_by_id


def obeys(version, node):
    """Tell whether a version is in force at a gateway."""
    return node.board.configuration.version == version


@then("each time no gateway uses it after the bound")
def then_not_used(context):
    world = play(context)
    assert len(context.delays) == 10, context.delays
    assert max(context.delays) <= world.bound_seconds, context.delays


@when("the operators write a configuration, {times:d} times")
def when_configured(context, times):
    async def configure(world):
        context.delays = []
        for version in range(2, times + 2):
            world.configure(str(version).encode())
            delay = await world.seconds_until(partial(obeys, version), world.bound_seconds)
            context.delays.append(delay)
            await world.clock.sleep(BETWEEN_SECONDS)

    context.acts.append(configure)


@then("each time it is in force everywhere within the bound")
def then_in_force(context):
    then_not_used(context)


@when("{seconds:d} seconds pass in the fleet")
def when_pass(context, seconds):
    async def count(world):
        world.calls.clear()
        world.network.sent.clear()
        context.seconds = seconds
        watch(context, world)
        await world.clock.sleep(seconds)

    context.acts.append(count)


def watch(context, world):
    """Collect from now on which living gateways are called unreachable."""
    context.wrongly = set()

    async def look():
        while True:
            living = {node.board.own.incarnation for node in world.living}
            for node in world.living:
                context.wrongly |= node.board.unreachable & living
            await world.clock.sleep(0.1)

    world.watching = asyncio.create_task(look())


@then("its lists cost at most {most:d} calls a second")
def then_calls(context, most):
    world = play(context)
    rate = sum(world.calls.values()) / context.seconds
    assert rate <= most, (rate, world.calls)


@then("the gateways send at most {most:g} digests a second each on average")
def then_digests(context, most):
    world = play(context)
    rate = sum(world.network.sent.values()) / context.seconds / len(world.nodes)
    assert rate <= most, rate


@when("half of the gateways are killed")
def when_half_killed(context):
    async def kill(world):
        watch(context, world)
        for node in world.nodes[::2]:
            await node.stop()

    context.acts.append(kill)


@then("the living call just the killed unreachable after {seconds:d} seconds")
def then_unreachable(context, seconds):
    context.acts.append(lambda world: world.clock.sleep(seconds))
    world = play(context)
    killed = {node.board.own.incarnation for node in world.nodes if node in world.ended}
    for node in world.nodes:
        if node not in world.ended:
            assert node.board.unreachable == killed, (node.vm, node.board.unreachable)


@then("no address answer names a killed one after {seconds:d} seconds")
def then_not_named(context, seconds):
    async def resolve(world):
        await world.clock.sleep(seconds)
        killed = {node.board.own.caller_address for node in world.nodes if not node.alive}
        for node in world.living:
            named = caller_addresses(node.board, len(world.nodes), "", world.network.random)
            assert not killed & set(named), (node.vm, len(killed & set(named)))

    context.acts.append(resolve)
    play(context)


@then("they did not call a living one unreachable")
def then_not_wrongly(context):
    play(context)
    assert not context.wrongly, context.wrongly


@when("gateway {number:d} can send nothing to half of the others")
def when_mute(context, number):
    async def mute(world):
        origin = world.nodes[number - 1]
        for target in world.nodes[::2]:
            cut_link(world, origin, target)

    context.acts.append(mute)


@when("all gateways are killed and start again")
def when_all_killed(context):
    async def kill(world):
        count = len(world.nodes)
        for node in world.nodes:
            await node.stop()
        world.nodes = [Node(world, number, "second") for number in range(count)]
        context.starting = asyncio.create_task(world.start())

    context.acts.append(kill)


@then("all of them know all within {seconds:d} seconds")
def then_know_all(context, seconds):
    async def know(world):
        names = {node.board.own.incarnation for node in world.nodes}
        await world.seconds_until(
            lambda node: {item.incarnation for item in node.board.usable_members()} == names,
            seconds,
        )

    context.acts.append(know)
    play(context)


@when("the store is away for {seconds:d} seconds")
def when_away(context, seconds):
    async def be_away(world):
        world.away = True
        world.calls.clear()
        context.seconds = seconds
        await world.clock.sleep(seconds)
        context.calls_away = sum(world.calls.values())
        world.away = False

    context.acts.append(be_away)


@then("all have a list that is younger than {age:d} seconds within {seconds:d} seconds")
def then_young(context, age, seconds):
    async def be_young(world):
        def is_young(node):
            read_at = node.board.upstreams_read_at
            return read_at is not None and world.clock.monotonic() - read_at < age

        await world.seconds_until(is_young, seconds)

    context.acts.append(be_young)
    play(context)


@when("gateway {number:d} gets a digest {fault}")
def when_bad_digest(context, number, fault):
    async def get(world):
        node = world.nodes[number - 1]
        known = world.nodes[number].board.own
        stranger = Member("vm-x-1", "vm-x", "zone-x", "10.9.9.9:1", "10.9.9.9:1")
        digest = {
            "of another form": Digest(DIGEST_FORMAT + 1, stranger, {}, [], {}),
            "of itself": Digest(DIGEST_FORMAT, node.board.own, {}, [], {}),
            "that names unknown members": Digest(DIGEST_FORMAT, known, {1: 0, 2: 0}, [3], {}),
            "of an unknown one that is leaving": Digest(
                DIGEST_FORMAT, stranger, {}, [incarnation_checksum(stranger.incarnation)], {}
            ),
        }[fault]
        context.before = beliefs(node.board)
        node.gossip.handle_digest(digest, "peer")
        context.after = beliefs(node.board)

    context.acts.append(get)


@then("it knows the same as before")
def then_same(context):
    play(context)
    assert context.after == context.before, (context.before, context.after)


def beliefs(board):
    """Return what a gateway believes of the others."""
    return sorted(board.members_by_incarnation), set(board.unreachable), set(board.leaving)


def play(context):
    """Run the acts of the scenario, once."""
    if getattr(context, "played", None) == len(context.acts):
        return context.world

    async def scene():
        world = World(*context.size)
        world.watching = None
        starting = asyncio.create_task(world.start())
        for act in context.acts:
            await act(world)
        await starting
        world.ended = {node for node in world.nodes if not node.alive}
        if world.watching is not None:
            world.watching.cancel()
        await world.close()
        return world

    context.world = run_virtual(scene())
    context.played = len(context.acts)
    return context.world
