"""Steps for upstreams that leave while cuts, outages and starts of gateways overlap."""

import random
from functools import partial

import msgspec
from behave import given, then, when

from features.fixtures_copy_orders import OrderedFleet
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.fleet.digests import summarize_copy
from quinceferry_gateway.fleet.packing import pack, unpack
from quinceferry_gateway.upstream_reader import AbsentUpstream, UpstreamReader, UpstreamsCopy
from quinceferry_lab.virtual_time import VirtualClock, run_virtual

EPISODE_SECONDS = 11.0
FIRST_EPISODE_AT = 6.0


@given("{gateways:d} gateways with {upstreams:d} upstreams, seed {seed:d}")
def given_fleet(context, gateways, upstreams, seed):
    context.fleet = OrderedFleet(gateways, upstreams, seed)


@given("the first {count:d} are cut off from second {begin:g} to {end:g}")
def given_first_cut(context, count, begin, end):
    fleet = context.fleet
    fleet.at(begin, partial(fleet.cut_off, range(count), end - begin))


@given("the last {count:d} are cut off from second {begin:g} to {end:g}")
def given_last_cut(context, count, begin, end):
    fleet = context.fleet
    numbers = range(fleet.count - count, fleet.count)
    fleet.at(begin, partial(fleet.cut_off, numbers, end - begin))


@given("gateways {first:d} and {last:d} end at second {begin:g} and start again at {end:g}")
@given("gateways {first:d} to {last:d} end at second {begin:g} and start again at {end:g}")
def given_restarts(context, first, last, begin, end):
    fleet = context.fleet
    fleet.at(begin, partial(fleet.restart, range(first, last + 1), end - begin))


@given("the store is away from second {begin:g} to {end:g}")
def given_outage(context, begin, end):
    fleet = context.fleet
    fleet.at(begin, partial(fleet.store.outage, end - begin, fleet.random))


@given("{episodes:d} episodes of {kinds} that overlap, while upstreams leave")
def given_episodes(context, episodes, kinds):
    fleet = context.fleet
    for number in range(episodes):
        draw_episode(fleet, FIRST_EPISODE_AT + number * EPISODE_SECONDS, "outages" in kinds)
    context.seconds = FIRST_EPISODE_AT + episodes * EPISODE_SECONDS


def draw_episode(fleet, began_at, has_outages):
    """Draw cuts, an outage, restarts and leaving upstreams that overlap."""
    draws, count = fleet.random, fleet.count
    for _ in range(draws.randint(1, 2)):
        numbers = draws.sample(range(count), draws.randint(1, max(1, count * 2 // 3)))
        cut_off = partial(fleet.cut_off, numbers, draws.uniform(1.0, 4.5))
        fleet.at(began_at + draws.uniform(0.0, 3.0), cut_off)
    if draws.random() < 0.5:
        numbers = draws.sample(range(count), max(1, count // 3))
        fleet.at(began_at + draws.uniform(0.0, 4.0), partial(fleet.restart, numbers, 0.5))
    if has_outages and draws.random() < 0.4:
        outage = partial(fleet.store.outage, draws.uniform(1.0, 5.0), draws)
        fleet.at(began_at + draws.uniform(1.0, 2.0), outage)
    for _ in range(2):
        fleet.at(began_at + draws.uniform(0.0, 6.0), partial(leave_any, fleet))


async def leave_any(fleet):
    """Let an upstream leave once the store is there, with or without draining first."""
    await fleet.store.wait_available()
    staying = sorted(fleet.store.registrations_by_id.keys() - fleet.store.left_at_by_id.keys())
    if len(staying) > 1:
        leave = fleet.drain if fleet.random.random() < 0.5 else fleet.leave
        await leave(fleet.random.choice(staying))


@when("{name} leaves at second {at:g}, and all is played to second {seconds:g}")
def when_leaves(context, name, at, seconds):
    context.fleet.at(at, partial(context.fleet.leave, name))
    run_virtual(context.fleet.play(seconds))


@when("{name} drains at second {at:g}, and all is played to second {seconds:g}")
def when_drains(context, name, at, seconds):
    context.fleet.at(at, partial(context.fleet.drain, name))
    run_virtual(context.fleet.play(seconds))


@when("all is played")
def when_played(context):
    run_virtual(context.fleet.play(context.seconds))


def expect_none(samples):
    """Assert that there are no samples, and show the first ones."""
    assert not samples, (len(samples), samples[:5])


@then("gateways in touch used no upstream that had left")
def then_not_late(context):
    expect_none(context.fleet.used_late)


@then("no gateway used an upstream again that it had removed after it left")
def then_not_again(context):
    expect_none(context.fleet.used_again)


@then("no gateway used an upstream again that it had removed while it was in touch")
def then_not_against_knowledge(context):
    expect_none(context.fleet.used_against_knowledge)


@then("gateways used every upstream that stays")
def then_used(context):
    expect_none(context.fleet.not_used)


@given("contact with the store from second {since:g} to {until:g}")
def given_contact(context, since, until):
    context.span = since, until


@when("its summary passes through {hops:d} gateways, {milliseconds:g} ms each")
def when_passed(context, hops, milliseconds):
    now = context.span[1]
    for _ in range(hops):
        since, until = context.span
        summary = summarize_copy(1, 0, until, now, since)
        now += milliseconds / 1000
        context.span = summary.contact_span(now)


@then("the last one knows of no answer before second {since:g}")
def then_no_answer(context, since):
    assert context.span[0] >= since, context.span


@then("the last one knows of contact for at least {seconds:g} seconds")
def then_contact(context, seconds):
    since, until = context.span
    assert until - since >= seconds, context.span


@given("an upstream that is retained for {seconds:g} seconds though it is missing")
def given_retained(context, seconds):
    listed, missing = (Upstream(name, "app", "127.0.0.1:1", "z", 1, False) for name in ("a", "b"))
    context.copy = UpstreamsCopy(5, 0.0, [listed], [AbsentUpstream(missing, seconds)])


@when("the copy of the list passes through {count:d} gateways, {seconds:g} seconds each")
def when_copy_passed(context, count, seconds):
    run_virtual(_pass_copy(context, count, seconds / 2))


async def _pass_copy(context, count, half_seconds):
    """Pass a copy through gateways; each is encoded half a transfer after it is requested."""
    clock = VirtualClock()
    context.encoded_at = clock.monotonic() + half_seconds
    body, reader = pack(msgspec.msgpack.encode(context.copy)), None
    for number in range(count):
        requested_at = clock.monotonic()
        await clock.sleep(half_seconds)
        if reader is not None:
            body = reader.encode(clock.monotonic())
        await clock.sleep(half_seconds)
        board = Blackboard(Member(f"vm-{number}-a", f"vm-{number}", "z", "", ""))
        reader = UpstreamReader(board, None, clock, 1.2, random.Random(number), 2.0)
        reader.adopt(body, "peer", requested_at)
    copy = msgspec.msgpack.decode(unpack(reader.encode(clock.monotonic())), type=UpstreamsCopy)
    context.retained_until = clock.monotonic() + copy.absent[0].seconds


@then(
    "the last one retains it to {seconds:g} seconds after the first copy was encoded, give or take "
    "{error:g}"
)
def then_retained_until(context, seconds, error):
    retained_seconds = context.retained_until - context.encoded_at
    assert abs(retained_seconds - seconds) <= error, retained_seconds
