"""Steps for the stand-in model engine."""

import asyncio
import random
from dataclasses import replace

from behave import given, then, when
from fixtures_upstreams import ENGINE_ID, MODEL, collect, error_of, make_dispatch, text_of

from quinceferry_core.adapters import EngineOrder, OrderKind
from quinceferry_core.models import ModelRef, Priority
from quinceferry_core.prefixes import BLOCK_CHARS
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.outputs import count_prompt_tokens, expected_output
from quinceferry_standins.weights import FakeWeightStore

OTHER_MODEL = ModelRef("ledger", "choirs", "2")
LONG_PROMPT = "dues " * (8 * BLOCK_CHARS // 5)


def _engine(context, weights=None, **settings):
    context.clock = VirtualClock()
    context.settings = EngineSettings(models=(MODEL,), **settings)
    rng = random.Random(1)
    context.engine = FakeEngine(context.clock, ENGINE_ID, context.settings, rng, weights)


async def _first_token_seconds(context, request_id, prompt):
    started_at = context.clock.monotonic()
    dispatch = make_dispatch(request_id, prompt=prompt, tokens=1)
    await collect(context.engine.run(dispatch), limit=1)
    return context.clock.monotonic() - started_at


@given("a stand-in engine with {slots:d} slots")
def engine_with_slots(context, slots):
    _engine(context, slots=slots)


@given("a stand-in engine with room for {blocks:d} cached blocks")
def engine_with_cache(context, blocks):
    _engine(context, cache_blocks=blocks)


@given("a stand-in engine that {checks} fencing numbers")
def engine_with_fencing(context, checks):
    _engine(context, checks_fencing=checks == "checks")


@given("a stand-in engine that loses half of its cache events")
def engine_with_lost_events(context):
    _engine(context, cache_event_loss=0.5)


@given("a stand-in engine with a weight store that needs {seconds:d} seconds for a model")
def engine_with_weights(context, seconds):
    _engine(context)
    store = FakeWeightStore(context.clock, 1e9, {OTHER_MODEL: seconds * 1_000_000_000})
    _engine(context, weights=store.connect(ENGINE_ID))
    context.store = store


@when("1 request and then {count:d} requests at once run at the engine")
def run_batch(context, count):
    async def run():
        seconds = []
        for batch in (1, count):
            started_at = context.clock.monotonic()
            streams = [context.engine.run(make_dispatch(f"{batch}-{i}")) for i in range(batch)]
            await asyncio.gather(*map(collect, streams))
            seconds.append(context.clock.monotonic() - started_at)
        return seconds

    context.single_seconds, context.batch_seconds = run_virtual(run())


@then("the batch took longer than the single request but less than {times:d} times as long")
def check_batch(context, times):
    single = context.single_seconds
    assert single < context.batch_seconds < times * single, (single, context.batch_seconds)


@when("a request runs and then low, normal and high priority requests wait")
def run_priorities(context):
    async def run():
        engine = context.engine
        tasks = [asyncio.create_task(collect(engine.run(make_dispatch("first"))))]
        await context.clock.sleep(0.1)
        for priority in (Priority.LOW, Priority.NORMAL, Priority.HIGH):
            dispatch = make_dispatch(priority.name.lower(), priority=priority)
            tasks.append(asyncio.create_task(collect(engine.run(dispatch))))
        running = []
        while not all(task.done() for task in tasks):
            running.append(engine.load_now().running)
            await context.clock.sleep(0.01)
        return max(running)

    context.most_running = run_virtual(run())


@then("the engine runs at most {count:d} stream at a time")
def check_slots(context, count):
    assert context.most_running == count, context.most_running


@then("the waiting requests start as {order}")
def check_priorities(context, order):
    runs = sorted(context.engine.runs, key=lambda run: run.started_at)
    assert [run.request_id for run in runs[1:]] == order.split(", "), runs


@when("a short prompt, a long prompt and the long prompt again run at the engine")
def run_prompts(context):
    async def run():
        prompts = ("short", LONG_PROMPT, LONG_PROMPT)
        return [await _first_token_seconds(context, f"r{i}", p) for i, p in enumerate(prompts)]

    context.short, context.long, context.repeated = run_virtual(run())


@when("a long prompt runs, then {blocks:d} blocks of other prompts, then the long prompt again")
def run_evicting(context, blocks):
    async def run():
        first = await _first_token_seconds(context, "first", LONG_PROMPT)
        await _first_token_seconds(context, "other", "x" * blocks * BLOCK_CHARS)
        return first, await _first_token_seconds(context, "again", LONG_PROMPT)

    context.long, context.repeated = run_virtual(run())


@then("the long prompt has its first token later than the short one")
def check_prefill(context):
    assert context.long > context.short, (context.long, context.short)


@then("the repeated long prompt has its first token {when}")
def check_cached(context, when):
    if when == "sooner":
        assert context.repeated < context.long, (context.repeated, context.long)
    else:
        assert abs(context.repeated - context.long) < 1e-6, (context.repeated, context.long)


@when("a request for {tokens:d} tokens runs with a cap {room:d} tokens above its prompt")
def run_capped(context, tokens, room):
    dispatch = make_dispatch(tokens=tokens)
    cap = count_prompt_tokens(dispatch.request.prompt) + room
    capped = make_dispatch(tokens=tokens, cap=cap)
    context.events = run_virtual(collect(context.engine.run(capped)))


@then('the engine generated {tokens:d} tokens and ended with "{reason}"')
def check_capped(context, tokens, reason):
    run = context.engine.runs[0]
    finished = context.events[-1]
    assert run.output_tokens == finished.usage.output_tokens == tokens, run
    assert finished.reason == reason, finished


@when("a request runs with a cap {missing:d} tokens below its prompt")
def run_over_cap(context, missing):
    cap = count_prompt_tokens(make_dispatch().request.prompt) - missing
    context.error = run_virtual(error_of(collect(context.engine.run(make_dispatch(cap=cap)))))


@then("the engine raises {error}")
def check_error(context, error):
    assert context.error == error, context.error


@then("the engine records {count:d} runs")
def check_runs(context, count):
    assert len(context.engine.runs) == count, context.engine.runs


@when("a stream is dropped after {chunks:d} chunks and resumed {when}")
def drop_and_resume(context, chunks, when):
    retention = context.settings.retain_seconds
    pause = {"at once": 0.0, "after it has ended": 10.0, "after its retention": retention + 10.0}

    async def run():
        first = await collect(context.engine.run(make_dispatch()), limit=chunks)
        await context.clock.sleep(pause[when])
        offset = sum(chunk.tokens for chunk in first)
        context.events = first
        context.events += await collect(context.engine.resume(make_dispatch(offset=offset)))

    context.error = run_virtual(error_of(run()))


@then("both parts together are the expected answer")
def check_resumed(context):
    assert not context.error, context.error
    assert text_of(context.events) == expected_output(make_dispatch().request), context.events


@when("the same request is sent twice")
def run_twice(context):
    async def run():
        streams = [context.engine.run(make_dispatch()) for _ in range(2)]
        await asyncio.gather(*map(collect, streams))

    run_virtual(run())


@when("a stream of each of two workspaces with one request id is read for {chunks:d} chunks")
def read_two_workspaces(context, chunks):
    context.read_chunks = chunks


@when("one workspace cancels its request twice")
def cancel_twice(context):
    async def run():
        engine = context.engine
        mine = engine.run(make_dispatch("same", workspace="choir"))
        other = make_dispatch("same", workspace="band")
        theirs = asyncio.create_task(collect(engine.run(other)))
        await collect(mine, limit=context.read_chunks)
        context.ambiguous = engine.cancel("same")
        context.used = [engine.cancel("same", "choir") for _ in range(2)]
        context.unknown = engine.cancel("same", "club")
        await context.clock.sleep(10.0)
        context.their_text = text_of(await theirs)
        context.their_expected = expected_output(other.request)

    run_virtual(run())


@when("attempt {first:d} of a request has run and attempt {second:d} is still on its way")
def run_one_attempt(context, first, second):
    async def run():
        sent = replace(make_dispatch("twice"), attempt=first)
        await collect(context.engine.run(sent))
        named = ("twice", sent.request.workspace, sent.incarnation)
        context.used = [context.engine.cancel(*named, number) for number in (second, first)]

    run_virtual(run())


@then("cancelling attempt {second:d} reports nothing and cancelling attempt {first:d} its use")
def check_attempts(context, second, first):
    assert context.used == [None, context.engine.runs[0].used_tokens], context.used


@then("both cancellations report the prompt and the tokens generated by then")
def check_cancelled(context):
    run = next(run for run in context.engine.runs if run.workspace == "choir")
    prompt_tokens = count_prompt_tokens(make_dispatch().request.prompt)
    assert run.cancelled and not run.finished, run
    assert context.used == [prompt_tokens + context.read_chunks] * 2, context.used
    assert run.output_tokens == context.read_chunks, run


@then("the other workspace still receives its whole answer")
def check_other_workspace(context):
    assert context.their_text == context.their_expected, context.their_text


@then("cancelling an unknown or an ambiguous request reports nothing")
def check_unknown_cancel(context):
    assert context.unknown is None and context.ambiguous is None


@when("orders with fencing numbers {first:d}, {second:d} and {third:d} arrive")
def give_orders(context, first, second, third):
    async def run():
        for fencing in (first, second, third):
            order = EngineOrder(OrderKind.CHANGE_ROLE, MODEL, fencing, role=f"role-{fencing}")
            await error_of(_obey(context.engine, order))

    run_virtual(run())


async def _obey(engine, order):
    engine.order(order)


@then("the engine obeyed {obeyed}")
def check_orders(context, obeyed):
    seen = [str(order.obeyed).lower() for order in context.engine.orders]
    assert seen == obeyed.strip().split(","), seen
    assert context.engine.models.role == "role-5"


@when("a model is ordered")
def order_model(context):
    async def run():
        context.engine.order(EngineOrder(OrderKind.LOAD, OTHER_MODEL, 1))
        dispatch = make_dispatch(target=OTHER_MODEL)
        await context.clock.sleep(9.0)
        context.early = await error_of(collect(context.engine.run(dispatch)))
        await context.clock.sleep(2.0)
        context.late = await error_of(collect(context.engine.run(dispatch)))
        context.engine.order(EngineOrder(OrderKind.UNLOAD, OTHER_MODEL, 1))
        context.unloaded = await error_of(collect(context.engine.run(dispatch)))

    run_virtual(run())


@then("a request for it is refused after 9 seconds and runs after 11 seconds")
def check_load(context):
    assert context.early == "UpstreamRefusedError", context.early
    assert context.late == "", context.late


@then("it is refused again once the model is unloaded")
def check_unload(context):
    assert context.unloaded == "UpstreamRefusedError", context.unloaded


@when("a model is ordered during an outage of the weight store")
def order_during_outage(context):
    async def run():
        context.store.outage = True
        context.engine.order(EngineOrder(OrderKind.LOAD, OTHER_MODEL, 1))
        await context.clock.sleep(60.0)

    run_virtual(run())


@then("the engine has failed {count:d} load and does not hold the model")
def check_failed_load(context, count):
    models = context.engine.models
    assert models.failed_loads == count and OTHER_MODEL not in models.loaded


@when("{count:d} requests arrive at the engine")
def arrive(context, count):
    async def run():
        context.reports = []
        for index in range(count):
            context.engine.begin(make_dispatch(f"r{index}"))
        for pause in (0.0, 0.1, context.settings.report_lag_seconds):
            await context.clock.sleep(pause)
            context.reports.append(context.engine.load().running)

    run_virtual(run())


@then("the load report shows {early:d} running streams at once and {late:d} after its lag")
def check_reports(context, early, late):
    assert context.reports == [early, early, late], context.reports


@when("a prompt of {blocks:d} blocks runs at the engine")
def run_blocks(context, blocks):
    async def run():
        prompt = "y" * blocks * BLOCK_CHARS
        await collect(context.engine.run(make_dispatch(prompt=prompt, tokens=1)))
        context.early_events = context.engine.cache_events(0)
        await context.clock.sleep(context.settings.cache_event_lag_seconds)
        context.late_events = context.engine.cache_events(0)

    run_virtual(run())


@then("no cache event is visible before its lag")
def check_early_events(context):
    assert context.early_events == ()


@then("afterwards some but not all of {count:d} events are visible, in order")
def check_late_events(context, count):
    sequences = [event.sequence for event in context.late_events]
    assert 0 < len(sequences) < count, sequences
    assert sequences == sorted(set(sequences)) and sequences[-1] <= count, sequences


@when("the engine crashes while a stream is read")
def crash(context):
    async def run():
        engine = context.engine
        reading = asyncio.create_task(error_of(collect(engine.run(make_dispatch()))))
        await context.clock.sleep(0.1)
        engine.crash()
        context.read_error = await reading
        context.new_error = await error_of(collect(engine.run(make_dispatch("r2"))))
        engine.restart()
        context.resume_error = await error_of(collect(engine.resume(make_dispatch())))
        context.restarted_error = await error_of(collect(engine.run(make_dispatch("r3"))))

    run_virtual(run())


@then("the stream raises {error}")
def check_crashed_stream(context, error):
    assert context.read_error == error, context.read_error


@then("a new request raises {error} until the engine restarts")
def check_crashed_engine(context, error):
    assert context.new_error == error, context.new_error
    assert context.restarted_error == "", context.restarted_error


@then("resuming the old stream raises {error}")
def check_forgotten(context, error):
    assert context.resume_error == error, context.resume_error


@when("attempt 1 of a request runs and attempt 2, which was lost on its way, is resumed")
def resume_lost(context):
    async def run():
        await collect(context.engine.run(make_dispatch()), limit=3)
        context.resumed = await collect(
            context.engine.resume(replace(make_dispatch(), attempt=2, run_attempt=1))
        )
        await collect(context.engine.resume(replace(make_dispatch(), attempt=3, run_attempt=2)))

    context.error = run_virtual(error_of(run()))


@then("the resume of attempt 1 returns the whole answer")
def check_resumed_attempt(context):
    assert text_of(context.resumed) == expected_output(make_dispatch().request), context.resumed
