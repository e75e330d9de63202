"""Steps for the parts of a large fleet: holders, calls by datagram, copies, addresses."""

import asyncio
import random

import msgspec
from behave import given, then, when

from features.fixtures_fleet import LATENCY_SECONDS
from features.fixtures_gateway_budgets import WORKSPACE, Bench
from features.steps.gateway_fleet import play
from quinceferry_gateway.configuration_reader import ConfigurationCopy
from quinceferry_gateway.fleet.calls import CallTimeoutError, DatagramCalls
from quinceferry_gateway.fleet.packing import pack
from quinceferry_gateway.fleet_api import caller_addresses
from quinceferry_gateway.membership import MembersCopy
from quinceferry_gateway.peers import Settlement
from quinceferry_gateway.upstream_reader import UpstreamsCopy
from quinceferry_lab.virtual_time import VirtualClock, run_virtual

MEETING_SECONDS = 2.0
"""Time in which holders that start together meet each other one by one."""
TIMEOUT_SECONDS = 0.35


@given("{count:d} token holders that {know} each other and a budget of {prepaid:d} tokens")
def given_many(context, count, know, prepaid):
    context.many = (count, prepaid)
    context.meets = know == "come to know"
    context.acts = []


async def meet_slowly(bench):
    """Let holders that have started learn of each other one by one."""
    boards = list(bench.boards_by_name.values())
    members = {board.own.incarnation: board.own for board in boards}
    for number in range(1, len(boards) + 1):
        known = dict(list(members.items())[:number])
        for board in boards:
            own = board.own
            board.members_by_incarnation = {**known, own.incarnation: own}
            board.members_changed_at = bench.clock.monotonic()
            board.store_reachable = True
        await bench.clock.sleep(MEETING_SECONDS / len(boards))


@when("they serve requests for {seconds:d} seconds")
def when_serve(context, seconds):
    async def serve(bench):
        for number in range(seconds * 20):
            holders = holding(bench)
            if holders:
                name = bench.random.choice(holders)
                holder = bench.holders_by_name[name]
                reserved = holder.reserve(f"r{number}", WORKSPACE, 500).reserved
                bench.used += reserved
                holder.settle(Settlement(f"r{number}", WORKSPACE, reserved))
            await bench.clock.sleep(0.05)

    context.acts.append(serve)


def holding(bench):
    """Return the names of the gateways that have tokens."""
    return [
        name
        for name, holder in bench.holders_by_name.items()
        if holder.held_by_workspace().get(WORKSPACE, 0) > 0
    ]


@when("all of them are killed and others start on their vms")
def when_killed(context):
    async def kill(bench):
        context.vms_before = {bench.boards_by_name[name].own.vm for name in holding(bench)}
        names = list(bench.holders_by_name)
        for name in names:
            await bench.holders_by_name.pop(name).stop()
            del bench.boards_by_name[name]
            del bench.open_by_name[name]
        for name in names:
            await bench.add(f"{name}-2", name)
        bench.refresh()

    context.acts.append(kill)


@when("{seconds:d} seconds pass for the many holders")
def when_many_pass(context, seconds):
    context.acts.append(lambda bench: bench.clock.sleep(seconds))


def play_many(context, check):
    """Run the acts on many holders, then a check."""

    async def scene():
        bench = Bench(*context.many)
        if context.meets:
            for number in range(bench.count):
                await bench.add(f"g{number}", f"g{number}")
            await meet_slowly(bench)
        else:
            await bench.fill()
        for act in context.acts:
            await act(bench)
        check(bench)
        await bench.close()

    run_virtual(scene())


@then("at most {most:d} gateways hold tokens")
def then_few_hold(context, most):
    def check(bench):
        assert 1 <= len(holding(bench)) <= most, holding(bench)

    play_many(context, check)


@then("at most 1 in {many:d} of their writes is refused")
def then_few_refused(context, many):
    def check(bench):
        written, refused = bench.writes["written"], bench.writes["refused"]
        assert written > many, bench.writes
        assert refused * many <= written + refused, bench.writes

    play_many(context, check)


@then("exactly {count:d} gateways hold tokens, on the vms that held them before")
def then_same_hold(context, count):
    def check(bench):
        vms = {bench.boards_by_name[name].own.vm for name in holding(bench)}
        assert len(vms) == count and vms == context.vms_before, (vms, context.vms_before)

    play_many(context, check)


class LossyPort:
    """One of two datagram ports; the first messages of the pair are lost."""

    def __init__(self, number, lost):
        self._number = number
        self._lost = lost
        self._handlers_by_type = {}
        self.other = None

    def add_handler(self, message_type, handler):
        """Hand messages of a type to a handler."""
        self._handlers_by_type[message_type] = handler

    def send(self, message, addresses):
        """Send a message to the other port, unless it is lost."""
        if self._lost:
            self._lost.pop()
            return
        sender = ("10.0.0.1", self._number)
        take = self.other._handlers_by_type[type(message)]
        asyncio.get_running_loop().call_later(LATENCY_SECONDS, take, message, sender)


@given("two datagram ports between which the first {count:d} messages are lost")
def given_ports(context, count):
    lost = [None] * count
    context.ports = (LossyPort(1, lost), LossyPort(2, lost))
    context.ports[0].other, context.ports[1].other = context.ports[1], context.ports[0]


@when("a call is made that takes {seconds:g} seconds to carry out")
def when_called(context, seconds):
    context.carried_out = 0

    async def scene():
        clock = VirtualClock()
        caller, server = (DatagramCalls(port, clock, 1) for port in context.ports)

        async def carry_out(body):
            context.carried_out += 1
            await clock.sleep(seconds)
            return body

        server.register_handler("echo", carry_out)
        context.answer = None
        timeout = TIMEOUT_SECONDS if seconds < TIMEOUT_SECONDS / 2 else 2.0
        try:
            body = msgspec.msgpack.encode("hello")
            context.answer = await caller.call("10.0.0.1:2", "echo", body, timeout)
        except CallTimeoutError:
            context.ended_at = clock.monotonic()
        await caller.stop()
        await server.stop()

    run_virtual(scene())


@then("it is answered, and was carried out {times:d} times")
def then_answered(context, times):
    assert context.answer == msgspec.msgpack.encode("hello"), context.answer
    assert context.carried_out == times, context.carried_out


@then("it ends without an answer after {seconds:g} seconds")
def then_unanswered(context, seconds):
    assert context.answer is None
    assert abs(context.ended_at - seconds) < 0.01, context.ended_at


@when("gateway {number:d} gets a copy of its {kind} that is {fault}")
def when_bad_copy(context, number, kind, fault):
    async def get(world):
        node = world.nodes[number - 1]
        older = {
            "configuration": ConfigurationCopy(1, 0.0, pack(b"7")),
            "upstreams": UpstreamsCopy(1, 0.0, [], []),
            "members": MembersCopy(1, 0.0, []),
        }[kind]
        packed = msgspec.msgpack.encode(older)
        body = b"half" if fault == "malformed" else packed
        if fault == "older" and kind != "configuration":
            body = pack(packed)
        peer = world.nodes[number]
        peer.copies.encode = lambda _: body
        context.before = lists(node)
        await node.copies._fetch(kind, peer.board.own)
        context.after = lists(node)

    context.acts.append(get)


def lists(node):
    """Return what a gateway has of each list."""
    board = node.board
    return board.configuration, dict(board.upstreams_by_id), sorted(board.members_by_incarnation)


@then("its lists are the same as before")
def then_same_lists(context):
    play(context)
    assert context.after == context.before, (context.before, context.after)


@when("the machine of gateway {number:d} was suspended for {seconds:d} seconds")
def when_suspended(context, number, seconds):
    async def suspend(world):
        node = world.nodes[number - 1]
        suspended_at = world.clock.monotonic()
        node.gossip._total_suspended_seconds = lambda: float(seconds)
        await world.clock.sleep(1.0)
        board = node.board
        context.read_at = (
            board.configuration_read_at,
            board.upstreams_read_at,
        )
        context.suspended_at = suspended_at

    context.acts.append(suspend)


@then("it reads all lists anew within a second")
def then_reads_anew(context):
    play(context)
    assert min(context.read_at) >= context.suspended_at - 0.5, (
        context.read_at,
        context.suspended_at,
    )


@when("a caller in {zone} asks gateway {number:d} for addresses {times:d} times")
def when_asks_addresses(context, zone, number, times):
    async def ask(world):
        board = world.nodes[number - 1].board
        source = random.Random(1)
        context.answers = [caller_addresses(board, 64, zone, source) for _ in range(times)]
        context.zone_by_address = {
            node.board.own.caller_address: node.board.own.zone for node in world.nodes
        }

    context.acts.append(ask)


@then("each answer names {count:d} gateways, the {near:d} of {zone} among them")
def then_names(context, count, near, zone):
    play(context)
    for answer in context.answers:
        zones = [context.zone_by_address[address] for address in answer]
        assert len(set(answer)) == count, len(set(answer))
        assert zones.count(zone) == near, zones.count(zone)


@then("all gateways are named in some answer")
def then_all_named(context):
    play(context)
    named = {address for answer in context.answers for address in answer}
    assert named == set(context.zone_by_address), len(named)
