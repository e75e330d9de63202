"""Steps for injected faults between a router and its upstreams."""

import asyncio

from behave import given, then, when
from fixtures_upstreams import ENGINE, ENGINE_ID, MODEL, collect, error_of, make_dispatch, text_of

from quinceferry_core.adapters import EngineOrder, OrderKind
from quinceferry_core.exceptions import UpstreamError
from quinceferry_core.outcomes import Chunk
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.outputs import expected_output
from quinceferry_standins.upstream_faults import (
    Break,
    Duplicate,
    LoseAnswer,
    LoseRequest,
    RefuseConnection,
    Silence,
    Stall,
    Swap,
)
from quinceferry_standins.upstreams import FakeUpstreams

LONG_SECONDS = 600.0
FAULTS_BY_NAME = {
    "none": None,
    "refused": RefuseConnection(),
    "request lost": LoseRequest(),
    "answer lost": LoseAnswer(),
    "broken at 0": Break(0),
    "broken at 2": Break(2),
    "silent at 2": Silence(2),
    "doubled chunk 1": Duplicate(1),
    "swapped chunk 1": Swap(1),
}


async def _read(events, seconds=LONG_SECONDS):
    """Return the events that come in time, and how the stream ended."""
    seen = []
    try:
        async with asyncio.timeout(seconds):
            async for event in events:
                seen.append(event)
    except TimeoutError:
        return seen, "silence"
    except UpstreamError as error:
        return seen, type(error).__name__
    return seen, type(seen[-1]).__name__


@given("an in-process connection to a stand-in engine")
def connect(context):
    context.clock = VirtualClock()
    context.engine = FakeEngine(context.clock, ENGINE_ID, EngineSettings(models=(MODEL,)))
    context.upstreams_by_id = {ENGINE_ID: context.engine}
    context.client = FakeUpstreams(context.clock, context.upstreams_by_id)
    context.link = context.client.link(ENGINE_ID)
    context.expected = expected_output(make_dispatch().request)


@when("a request for {tokens:d} tokens is sent on a connection with the fault {fault}")
def send_with_fault(context, tokens, fault):
    context.link.stream_faults.append(FAULTS_BY_NAME[fault])
    stream = context.client.run(make_dispatch(tokens=tokens))
    context.events, context.ending = run_virtual(_read(stream))


@then('its chunk offsets are "{offsets}" and it ends with {ending}')
@then('its chunk offsets are "" and it ends with {ending}')
def check_events(context, ending, offsets=""):
    seen = [event.offset for event in context.events if isinstance(event, Chunk)]
    assert ",".join(map(str, seen)) == offsets, seen
    assert context.ending == ending, context.ending


@then("the faulty request ran {count:d} times")
def check_run_count(context, count):
    assert len(context.engine.runs) == count, context.engine.runs


@when("a connection stalls for {seconds:d} seconds and the stream is resumed on a new one")
def stall(context, seconds):
    async def timed(events):
        text = text_of(await collect(events))
        return text, context.clock.monotonic()

    async def run():
        context.link.stream_faults.append(Stall(2, float(seconds)))
        old = asyncio.create_task(timed(context.client.run(make_dispatch())))
        await context.clock.sleep(2.0)
        new = await timed(context.client.resume(make_dispatch(offset=2)))
        return await old, new

    (context.old_text, context.old_time), (context.new_text, context.new_time) = run_virtual(run())


@then("the new connection delivers the rest at once")
def check_new_connection(context):
    assert context.expected.endswith(context.new_text) and context.new_text
    assert context.new_time < 3.0, context.new_time


@then("the old connection delivers the same rest {seconds:d} seconds later")
def check_old_connection(context, seconds):
    assert context.old_text == context.expected, context.old_text
    assert context.old_time > seconds, context.old_time


@when("all open streams are made silent")
def silence(context):
    async def run():
        stream = asyncio.create_task(_read(context.client.run(make_dispatch()), seconds=20.0))
        await context.clock.sleep(0.1)
        context.link.silence_open_streams()
        seen, context.silenced_ending = await stream
        offset = sum(event.tokens for event in seen)
        resumed = await collect(context.client.resume(make_dispatch(offset=offset)))
        context.joined = text_of(seen) + text_of(resumed)
        context.silenced_events = seen

    run_virtual(run())


@then("a silenced stream delivers nothing more")
def check_silenced(context):
    assert context.silenced_ending == "silence", context.silenced_ending
    assert 0 < len(context.silenced_events) < 20, context.silenced_events


@then("a stream resumed on a new connection delivers the rest")
def check_after_silence(context):
    assert context.joined == context.expected, context.joined


@when(
    "one of two routers is cut off from the engine for {seconds:d} seconds while it reads a stream"
)
def partition(context, seconds):
    async def run():
        other = FakeUpstreams(context.clock, context.upstreams_by_id)
        stream = asyncio.create_task(_read(context.client.run(make_dispatch())))
        await context.clock.sleep(0.1)
        context.link.partition()
        context.new_error = await error_of(collect(context.client.run(make_dispatch("r2"))))
        context.other_events = await collect(other.run(make_dispatch("r3")))
        await context.clock.sleep(seconds)
        context.done_during = stream.done()
        context.link.heal()
        context.cut_events, _ = await stream

    run_virtual(run())


@then("its new requests raise {error}")
def check_cut_off(context, error):
    assert context.new_error == error, context.new_error


@then("its open stream is delivered whole only after the partition")
def check_late_delivery(context):
    assert not context.done_during
    assert text_of(context.cut_events) == context.expected, context.cut_events


@then("the other router is served during the partition")
def check_other_router(context):
    assert text_of(context.other_events) == expected_output(make_dispatch("r3").request)


@when("a request runs without latency and with {seconds:g} seconds of latency each way")
def run_with_latency(context, seconds):
    async def run():
        context.durations = []
        for latency in (0.0, seconds):
            context.link.latency_seconds = latency
            started_at = context.clock.monotonic()
            await collect(context.client.run(make_dispatch(f"r{latency}")))
            context.durations.append(context.clock.monotonic() - started_at)

    run_virtual(run())


@then("the second answer takes {seconds:d} second longer than the first")
def check_latency(context, seconds):
    plain, delayed = context.durations
    assert abs(delayed - plain - seconds) < 1e-6, context.durations


@when("an order is given on a connection with the fault {fault}")
def order_with_fault(context, fault):
    context.link.call_faults.append(FAULTS_BY_NAME[fault])
    order = EngineOrder(OrderKind.CHANGE_ROLE, MODEL, 1, role="prefill")
    context.order_error = run_virtual(error_of(context.client.order(ENGINE, order)))


@then("the order raises {error} and the engine received {count:d} orders")
def check_order(context, error, count):
    assert context.order_error == error, context.order_error
    assert len(context.engine.orders) == count, context.engine.orders
