"""Steps for the gates and the network of the history check."""

import asyncio
from contextlib import aclosing
from dataclasses import dataclass, field
from random import Random

from behave import given, then, when

from quinceferry_core.models import Usage
from quinceferry_core.outcomes import Chunk, Finished
from quinceferry_lab.connections import NotConnectedError
from quinceferry_lab.gates import CallKind, Gate, PauseAtSend, run_gated
from quinceferry_lab.network import Network
from quinceferry_lab.platform_links import GatedKv
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.kv import FakeKv

EVENTS = 4
TOLERANCE_SECONDS = 0.1


@dataclass
class Server:
    """An endpoint without an application."""

    name: str = "server"
    label: str = "server#1"
    zone: str = "zone-a"
    gate: Gate = field(default_factory=lambda: Gate("server"))
    application: None = None
    listening: bool = True
    served: int = 0

    async def serve(self):
        for number in range(EVENTS):
            await asyncio.sleep(1.0)
            self.served += 1
            yield Chunk(number, 1, str(number))
        yield Finished(Usage(0, EVENTS))


@given("a gated router that checks a flag and then writes a key")
def check_then_write(context):
    async def work(kv, seen):
        seen.append(("checked", VirtualClock().monotonic()))
        await kv.put_if("key", b"value", 0)
        seen.append(("written", VirtualClock().monotonic()))

    context.gated_work = work


@when("it is paused between the check and the write, for {seconds:d} seconds")
def pause_at_write(context, seconds):
    async def run():
        gate, kv, seen = Gate("router"), FakeKv(VirtualClock()), []
        gate.pause_at_send = PauseAtSend(CallKind.KV_WRITE, seconds)
        await gate.spawn(context.gated_work(GatedKv(gate, kv.connect("router")), seen))
        return dict(seen)

    context.seen_at = run_gated(run())


@then("the key is written {seconds:d} seconds after the check")
def check_write_time(context, seconds):
    waited = context.seen_at["written"] - context.seen_at["checked"]
    assert seconds <= waited < seconds + TOLERANCE_SECONDS, waited


@then("the gated router had seen its flag only before the pause")
def check_seen_before(context):
    assert context.seen_at["checked"] == 0.0, context.seen_at


@given("a gated router that ticks each second")
def ticking(context):
    async def work(ticks):
        clock = VirtualClock()
        while True:
            await clock.sleep(1.0)
            ticks.append(clock.monotonic())

    context.gated_work = work


@when("it is paused from second {start:g} to second {end:g}")
def pause_ticking(context, start, end):
    async def run():
        gate, ticks = Gate("router"), []
        task = gate.spawn(context.gated_work(ticks))
        await asyncio.sleep(start)
        gate.pause()
        await asyncio.sleep(end - start)
        gate.resume()
        await asyncio.sleep(1.5)
        task.cancel()
        return ticks

    context.ticks = run_gated(run())


@then("it ticked at seconds 1, 2, 7.5 and 8.5")
def check_ticks(context):
    assert context.ticks == [1.0, 2.0, 7.5, 8.5], context.ticks


@given("a gated router that writes one key and then another")
def two_writes(context):
    async def work(kv, seen):
        await kv.put_if("first", b"1", 0)
        seen.append("first")
        await kv.put_if("second", b"2", 0)

    context.gated_work = work


def _run_two_writes(context, disturb):
    async def run():
        gate, kv, seen = Gate("router"), FakeKv(VirtualClock(), latency_seconds=1.0), []
        task = gate.spawn(context.gated_work(GatedKv(gate, kv.connect("router")), seen))
        await asyncio.sleep(0.25)
        disturb(gate, task)
        await asyncio.sleep(10.0)
        keys = [entry.key for entry in await kv.list("")]
        gate.discard()
        return keys, seen

    context.keys, context.seen = run_gated(run())


@when("it is killed while the first write is on its way")
def kill_writing(context):
    _run_two_writes(context, lambda gate, task: gate.kill())


@when("the writing task is cancelled while the first write is on its way")
def cancel_writing(context):
    _run_two_writes(context, lambda gate, task: task.cancel())


@then("only the first key is written")
def check_first_key(context):
    assert context.keys == ["first"], context.keys


@then("the gated router never learned of it")
def check_unlearned(context):
    assert context.seen == [], context.seen


@given("a gated server that answers one event each second")
def gated_server(context):
    context.server = Server()


async def _connect(context, network):
    return await network.open("caller", "address", context.server.serve, 60.0)


def _network(context):
    network = Network(VirtualClock(), Random(1), lambda label, error: None)
    network.endpoints_by_address["address"] = context.server
    return network


async def _read(network, connection, got):
    clock = VirtualClock()
    async with aclosing(network.read(connection)) as items:
        async for item in items:
            got.append((clock.monotonic(), item))


@when("a caller connects, and the way back is cut for 5 seconds after 1.5 seconds")
def cut_way_back(context):
    async def run():
        network, got = _network(context), []
        reading = asyncio.create_task(_read(network, await _connect(context, network), got))
        await asyncio.sleep(1.5)
        network.cut("server", "caller")
        try:
            await _connect(context, network)
            begun = True
        except NotConnectedError:
            begun = False
        await asyncio.sleep(3.0)
        network.heal("server", "caller")
        await reading
        return got, begun

    context.got, context.begun = run_gated(run())


@then("the caller gets the held events when the way is open again")
def check_held(context):
    times = [at for at, _ in context.got]
    assert len(times) == EVENTS + 1, context.got
    assert times[0] < 1.5 and min(times[1:]) >= 6.5, times


@then("a new connection during the cut was not begun")
def check_not_begun(context):
    assert context.begun is False


@when("a caller connects, and the connection goes silent after 1.5 seconds")
def go_silent(context):
    async def run():
        network, got, later = _network(context), [], []
        reading = asyncio.create_task(_read(network, await _connect(context, network), got))
        await asyncio.sleep(1.5)
        network.silence("caller", "server")
        await asyncio.sleep(8.5)
        await _read(network, await _connect(context, network), later)
        reading.cancel()
        return got, later

    context.got, context.got_later = run_gated(run())


@then("the caller has got 1 event after 10 seconds")
def check_one_event(context):
    assert len(context.got) == 1, context.got


@then("a caller on a new connection gets all events")
def check_new_connection(context):
    assert len(context.got_later) == EVENTS + 1, context.got_later


@when("a caller connects and leaves after 1.5 seconds")
def caller_leaves(context):
    async def run():
        network = _network(context)
        reading = asyncio.create_task(_read(network, await _connect(context, network), []))
        await asyncio.sleep(1.5)
        reading.cancel()
        await asyncio.sleep(10.0)

    run_gated(run())


@then("the server stopped after 1 event")
def check_server_stopped(context):
    assert context.server.served == 1, context.server.served
