"""Steps for configurations that take long to transfer."""

import asyncio
from functools import partial

import msgspec
from behave import given, then, when

from features.fixtures_fleet import UNREADABLE
from features.fixtures_large_configurations import Link, SlowServer, large_document
from features.steps.gateway_fleet import BETWEEN_SECONDS, obeys, play
from features.steps.gateway_fleet_parts import lists
from quinceferry_gateway import HttpClient
from quinceferry_gateway.blackboard import Member
from quinceferry_gateway.configuration_reader import ConfigurationCopy
from quinceferry_gateway.exceptions import ConnectionBrokenError
from quinceferry_gateway.fleet.digests import DIGEST_FORMAT, CopySummary, Digest
from quinceferry_gateway.fleet.packing import pack

BYTES_PER_MEGABIT = 125_000
FIRST_VERSION = 2


@given("links of {usual:g} Mbit/s, every third one of {thin:g} Mbit/s")
def given_links(context, usual, thin):
    async def connect(world):
        for index, node in enumerate(world.nodes):
            rate = (thin if index % 3 == 0 else usual) * BYTES_PER_MEGABIT
            address = node.board.own.peer_address
            world.network.links_in[address] = Link(rate)
            world.network.links_out[address] = Link(rate)

    context.acts.append(connect)


@given("a configuration of {routes:d} routes from the beginning")
def given_document(context, routes):
    async def write(world):
        world.document = large_document(FIRST_VERSION, routes, world.seed)

    context.acts.append(write)


def write_large(world, version, routes):
    """Let the operators write a configuration; return its size."""
    world.configure(large_document(version, routes, world.seed))
    return len(world.document)


@when("the operators write a configuration of {routes:d} routes, {times:d} times")
def when_written(context, routes, times):
    async def write(world):
        context.delays = []
        context.written_bytes = 0
        world.network.copied_bytes.clear()
        world.documents_sent = 0
        for version in range(FIRST_VERSION, FIRST_VERSION + times):
            context.written_bytes += write_large(world, version, routes)
            delay = await world.seconds_until(partial(obeys, version), world.bound_seconds)
            context.delays.append(delay)
            await world.clock.sleep(BETWEEN_SECONDS)

    context.acts.append(write)


@then("each time a large one is in force everywhere within the bound")
def then_in_force(context):
    world = play(context)
    assert context.delays, context.delays
    assert max(context.delays) <= world.bound_seconds, context.delays


@then("no gateway received more than {percent:d} of 100 of the documents from the others")
def then_received(context, percent):
    world = play(context)
    most = max(world.network.copied_bytes.values())
    assert most <= percent / 100 * context.written_bytes, (most, context.written_bytes)


@then("the store sent at most {most:d} documents for each of them")
def then_sent(context, most):
    world = play(context)
    sent = world.documents_sent / len(context.delays)
    assert sent <= most, (sent, context.delays)


@when("the operators write {times:d} configurations of {routes:d} routes, {pause:g} seconds apart")
def when_written_quickly(context, times, routes, pause):
    async def write(world):
        for version in range(FIRST_VERSION, FIRST_VERSION + times):
            await world.clock.sleep(pause)
            write_large(world, version, routes)
        context.last_version = version

    context.acts.append(write)


@then("the last one is in force everywhere within the bound")
def then_last_in_force(context):
    async def obey(world):
        await world.seconds_until(partial(obeys, context.last_version), world.bound_seconds)

    context.acts.append(obey)
    play(context)


@then("all of them have it within {seconds:d} seconds")
def then_have(context, seconds):
    def has_it(node):
        configuration = node.board.configuration
        return configuration is not None and configuration.version == FIRST_VERSION

    context.acts.append(lambda world: world.seconds_until(has_it, seconds))
    play(context)


@given("a server that sends {count:d} pieces of {size:d} bytes, one each {pause:g} seconds")
def given_slow_server(context, count, size, pause):
    context.server = SlowServer(count, count, size, pause)


@given(
    "a server that sends {count:d} pieces of {size:d} bytes, one each {pause:g} seconds, and no "
    "more"
)
def given_silent_server(context, count, size, pause):
    context.server = SlowServer(count + 1, count, size, pause)


@when("its answer is fetched with a timeout of {seconds:d} seconds")
def when_fetched(context, seconds):
    async def fetch():
        loop = asyncio.get_running_loop()
        async with context.server as server:
            began_at = loop.time()
            headers = [(b"host", server.address.encode())]
            try:
                context.outcome = await HttpClient().fetch(
                    server.address, b"GET", b"/", headers, timeout_seconds=seconds
                )
            except ConnectionBrokenError as error:
                context.outcome = error
            context.took_seconds = loop.time() - began_at

    asyncio.run(fetch())


@then("{size:d} bytes arrive")
def then_arrive(context, size):
    assert not isinstance(context.outcome, ConnectionBrokenError), context.outcome
    assert len(context.outcome.body) == size, len(context.outcome.body)


@then("it fails after {least:d} to {most:d} seconds, with {size:d} bytes received")
def then_fails(context, least, most, size):
    assert isinstance(context.outcome, ConnectionBrokenError), context.outcome
    assert f"after {size} bytes" in str(context.outcome), context.outcome
    assert least <= context.took_seconds <= most, context.took_seconds


def newer_copy(node, document):
    """Return the message with a copy that is newer than a gateway's own."""
    copy = ConfigurationCopy(node.board.revision + 100, 0.0, pack(document))
    return msgspec.msgpack.encode(copy)


@when("a peer hands gateway {number:d} an unreadable configuration")
def when_unreadable(context, number):
    async def get(world):
        node, peer = world.nodes[number - 1], world.nodes[number]
        body = newer_copy(node, UNREADABLE)
        peer.copies.encode = lambda _: body
        context.before = lists(node)
        context.claimed_before = node.copies.summaries(world.clock.monotonic())["configuration"]
        await node.copies._fetch("configuration", peer.board.own)
        context.after = lists(node)
        context.claimed = node.copies.summaries(world.clock.monotonic())["configuration"]

    context.acts.append(get)


@then("it claims no newer configuration than before")
def then_claims_the_same(context):
    before, after = context.claimed_before, context.claimed
    assert (after.revision, after.content) == (before.revision, before.content), (before, after)
    assert after.age >= before.age, (before, after)


@when("gateway {number:d} takes {seconds:g} seconds to get a newer configuration")
def when_slow_copy(context, number, seconds):
    async def get(world):
        node, peer = world.nodes[number - 1], world.nodes[number]
        body = newer_copy(node, b"7")
        peer.copies.encode = lambda _: body
        rate = len(body) / seconds
        world.network.links_in[node.board.own.peer_address] = Link(rate)
        context.asked_at = world.clock.monotonic()
        await node.copies._fetch("configuration", peer.board.own)
        context.read_at = node.board.configuration_read_at
        assert obeys(7, node)

    context.acts.append(get)


@then("it does not believe it more recent than the request for it")
def then_not_more_recent(context):
    play(context)
    assert context.read_at <= context.asked_at, (context.read_at, context.asked_at)


@when("a peer tells of a newer configuration")
def when_newer_is_told(context):
    def tell(scene):
        application = scene.applications[0]
        address = "127.0.0.1:9"
        peer = Member("vm-9-1", "vm-9", "zone-a", address, address)
        newer = CopySummary(application.blackboard.revision + 100, 1, 0)
        digest = Digest(DIGEST_FORMAT, peer, {}, [], {"configuration": newer})
        application._gossip.handle_digest(digest, address)

    context.gateway.acts.append(tell)


@when(
    "gateway {number:d} is told of a newer configuration, and of another one {seconds:d} seconds "
    "later"
)
def when_told_of_two(context, number, seconds):
    async def tell(world):
        context.node, context.peer = world.nodes[number - 1], world.nodes[number]
        context.first_revision = context.node.board.revision + 1_000
        for index in range(2):
            await world.clock.sleep(index * seconds)
            newer = CopySummary(context.first_revision + 1_000 * index, index, 0)
            now = world.clock.monotonic()
            context.node.copies.compare(context.peer.board.own, {"configuration": newer}, now)

    context.acts.append(tell)


@when("it gets the first of them")
def when_gets_first(context):
    async def get(world):
        copy = ConfigurationCopy(context.first_revision, 0.0, pack(b"7"))
        now = world.clock.monotonic()
        reader = context.node.copies._lists_by_kind["configuration"]
        reader.adopt(msgspec.msgpack.encode(copy), "peer", now)
        context.missed = context.node.copies.outdated_seconds("configuration", now)

    context.acts.append(get)


@then("it has missed a configuration for {least:d} seconds, and not for {most:d}")
def then_missed_seconds(context, least, most):
    play(context)
    assert context.missed is not None
    assert least <= context.missed < most, context.missed
