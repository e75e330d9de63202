"""Steps for what a fleet knows of gateways that reach no upstream of a service."""

from behave import then, when

from features.steps.gateway_fleet import play
from quinceferry_gateway.fleet_api import caller_addresses

KNOWN_SHARE = 0.95
LASTING_SHARE = 0.9
"""Least share of the pairs of gateways that know it at any time while it lasts."""
LASTING_SECONDS = 6.0
"""Longer than a claim is valid that its member does not repeat."""
STEP_SECONDS = 0.02
SERVICES = frozenset({"app"})


@when("{which} of them lose a service")
def when_lost(context, which):
    async def lose(world):
        count = len(world.nodes)
        context.cut = {
            "one": world.nodes[:1],
            "a zone": [item for item in world.nodes if item.board.own.zone == "zone-0"],
            "two thirds": world.nodes[: 2 * count // 3],
            "all but one": world.nodes[: count - 1],
        }[which]
        announce(context.cut, SERVICES)

    context.acts.append(lose)


def announce(nodes, services):
    """Let gateways say which services they don't reach."""
    for node in nodes:
        node.board.unreachable_services = services
        node.gossip.announce_reachability()


def share_known(world, cut):
    """Return which share of the pairs of a gateway and another, cut-off one know of it."""
    incarnations = {node.board.own.incarnation for node in cut}
    known = total = 0
    for node in world.living:
        others = incarnations - {node.board.own.incarnation}
        known += len(node.board.cut_off_members & others)
        total += len(others)
    return known / total


async def seconds_until(world, holds, most):
    """Return how long it takes until a condition holds; fail after most."""
    began_at = world.clock.monotonic()
    while not holds():
        passed = world.clock.monotonic() - began_at
        assert passed <= most, f"seed {world.seed}: not within {most} seconds"
        await world.clock.sleep(STEP_SECONDS)
    return world.clock.monotonic() - began_at


@then("95 of 100 know it within {seconds:g} seconds")
def then_known(context, seconds):
    async def know(world):
        await seconds_until(world, lambda: share_known(world, context.cut) >= KNOWN_SHARE, seconds)

    context.acts.append(know)


@then("most of them as long as it lasts, with at most {most:g} digests a second each on average")
def then_lasts(context, most):
    async def last(world):
        world.network.sent.clear()
        ends_at = world.clock.monotonic() + LASTING_SECONDS
        while world.clock.monotonic() < ends_at:
            share = share_known(world, context.cut)
            assert share >= LASTING_SHARE, (world.seed, share)
            await world.clock.sleep(STEP_SECONDS)
        rate = sum(world.network.sent.values()) / LASTING_SECONDS / len(world.nodes)
        assert rate <= most, (world.seed, rate)

    context.acts.append(last)


@then("address answers name only the others while these are at least half")
def then_named(context):
    async def resolve(world):
        cut = {node.board.own.incarnation for node in context.cut}
        wrong = [node.vm for node in world.living if not names_rightly(node, cut, world)]
        assert len(wrong) <= (1 - KNOWN_SHARE) * len(world.nodes), (world.seed, wrong)

    context.acts.append(resolve)


def names_rightly(node, cut, world):
    """Tell whether a gateway names the connected members, or all if these are too few."""
    named = caller_addresses(node.board, len(world.nodes), "", world.network.random)
    members = node.board.usable_members()
    connected = [item for item in members if item.incarnation not in cut]
    expected = connected if 2 * len(connected) >= len(members) else members
    return sorted(named) == sorted(item.caller_address for item in expected)


@then("after the return 95 of 100 have forgotten it within {seconds:g} seconds")
def then_forgotten(context, seconds):
    async def forget(world):
        announce(context.cut, frozenset())
        await seconds_until(
            world, lambda: share_known(world, context.cut) <= 1 - KNOWN_SHARE, seconds
        )

    context.acts.append(forget)
    play(context)
