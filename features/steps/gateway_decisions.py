"""Steps for the decisions of a gateway, on upstream states and modelled engines."""

import asyncio
import json
import random
import time

import msgspec
from behave import given, then, when

from features.fixtures_gateway import Scene, configuration, until
from quinceferry_core.clocks import SystemClock
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Load, Upstream
from quinceferry_gateway.decisions import Demand, Placer, UpstreamStates
from quinceferry_gateway.decisions.cached_prefixes import hash_prefix
from quinceferry_gateway.decisions.prefill import PrefillQueue, PrefillTimes
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.sends import SendNotifier
from quinceferry_lab.placement_experiment import SLOW_SPELL, play
from quinceferry_lab.placement_load import CUSTOMERS

SERVICE = "llm"
KEY = "ledger"
SLACK = 1e-6
KEPT_EACH = 20
"""One prompt in so many is cached whole by its engine, contrary to the estimate."""


class StoppedClock:
    """Clock at the beginning of time."""

    def monotonic(self):
        return 0.0


def engine(name="engine", started_at=0.0):
    """Return an upstream that prefills prompts."""
    return Upstream(name, SERVICE, "10.0.0.1:80", "z", 64, False, started_at)


@given("a gateway whose routes allow 1 attempt")
def given_one_attempt(context):
    document = configuration()
    for route in document["routes"]:
        route["attempts"] = 1
    context.gateway = Scene(document)


@when("the entry of {name} still names an address that {other} has now")
def when_stale(context, name, other):
    async def change(scene):
        address = scene.upstreams_by_id[other].address
        await scene.register(**{name: {"addr": address}})
        board = scene.applications[0].blackboard
        await until(lambda: board.upstreams_by_id[name].address == address)

    context.gateway.acts.append(change)


@then("at most {count:d} request was sent to {name} in vain")
def then_in_vain(context, count, name):
    expected = b"x-quinceferry-expect-instance"
    upstreams = context.gateway.upstreams_by_id.values()
    seen = [item for upstream in upstreams for item in upstream.seen]
    found = sum(item.headers.get(expected, b"").decode() == name for item in seen)
    assert found <= count, found


@given("the state of an upstream")
def given_state(context):
    context.upstream_states = UpstreamStates()
    context.upstream = engine()
    context.now = 100.0
    context.avoided = []


@when("it fails once the time before is over, {count:d} times")
def when_fails(context, count):
    for _ in range(count):
        context.now += 0.1
        attempt = context.upstream_states.start_attempt(context.upstream, 0, "", context.now)
        attempt.record_failure(context.now)
        until_time = context.upstream_states.get(context.upstream).suspect_until
        context.avoided.append(until_time - context.now)
        context.now = until_time


@when("{count:d} requests to it fail together")
def when_fail_together(context, count):
    attempts = [
        context.upstream_states.start_attempt(context.upstream, 0, "", context.now)
        for _ in range(count)
    ]
    for attempt in attempts:
        attempt.record_failure(context.now)
    context.avoided.append(
        context.upstream_states.get(context.upstream).suspect_until - context.now
    )


@when("it answers")
def when_answers(context):
    context.upstream_states.start_attempt(context.upstream, 0, "", context.now).record_success()


@when('it is sent a prompt of {tokens:d} tokens with the parts "{key}"')
def when_sent_prompt(context, tokens, key):
    context.attempt = context.upstream_states.start_attempt(
        context.upstream, tokens, key, context.now
    )


@when("it starts again under its identifier")
def when_starts_again(context):
    context.upstream = engine(started_at=7.5)


@then("it was avoided for {seconds} seconds")
def then_avoided(context, seconds):
    expected = [float(item) for item in seconds.split(",")]
    assert len(expected) == len(context.avoided), context.avoided
    pairs = zip(expected, context.avoided, strict=True)
    assert all(abs(a - b) < SLACK for a, b in pairs), context.avoided


@then("it is not avoided, has nothing to read, and keeps nothing")
def then_nothing_known(context):
    state = context.upstream_states.get(context.upstream)
    assert state.suspect_until <= context.now
    assert state.prefill_queue.backlog_seconds(context.now) == 0.0
    assert not context.upstream_states.cached_prefixes.caching_upstreams(KEY, context.now)


@then("what ends of its earlier lifetime changes nothing")
def then_ends(context):
    context.attempt.record_first_event(context.now)
    context.attempt.finish(context.now)
    assert context.upstream_states.get(context.upstream).in_flight == 0


@given("a reading queue of prompts of {first:g}, {second:g} and {third:g} seconds")
def given_queue(context, first, second, third):
    context.queue = PrefillQueue()
    context.numbers = [context.queue.add(0.0, seconds) for seconds in (first, second, third)]


@when("the second prompt was read after {seconds:g} seconds")
def when_read(context, seconds):
    context.queue.record_finished(context.numbers[1], seconds)


@then("its backlog is {backlog:g} after {seconds:g} seconds")
def then_backlog(context, backlog, seconds):
    found = context.queue.backlog_seconds(seconds)
    assert abs(found - backlog) < SLACK, found


@given("answers of engines that prefill {rate:d} tokens a second after {base:g} seconds")
def given_answers(context, rate, base):
    context.reading_rate, context.reading_base = rate, base


@given(
    "one answer in {share:d} waited {seconds:g} seconds behind others, one in 20 had its prompt "
    "cached"
)
def given_waits(context, share, seconds):
    source = random.Random(1)
    context.prefill_times = PrefillTimes()
    for number in range(600):
        tokens = source.choice((100, 400, 1500, 3000, 7000, 12_000, 25_000, 50_000))
        waited = seconds if number % share == 0 else 0.0
        read = tokens if number % KEPT_EACH else 0
        time = context.reading_base + read / context.reading_rate + waited
        context.prefill_times.record_sample(tokens, time)


@then("a prompt of {tokens:d} tokens is estimated to take {least:g} to {most:g} seconds")
def then_takes(context, tokens, least, most):
    found = context.prefill_times.estimate_seconds(tokens)
    assert least <= found <= most, found


@given("the load of the {customer} on modelled engines, seeds 0 to {last:d}")
def given_load(context, customer, last):
    context.customer = CUSTOMERS[customer]
    context.seeds = last + 1


def credit(context, variant):
    """Return the share of the value that a placement policy earns."""
    return play(context.customer, variant, context.seeds, 1.0).credit()


@when("it is placed by shared prefixes alone, and as a gateway does")
def when_placed(context):
    context.credit_by_variant = {name: credit(context, name) for name in ("home", "ours")}


@when("it is placed with peers notified, and without")
def when_placed_notified(context):
    context.credit_by_variant = {name: credit(context, name) for name in ("untold", "ours")}


@then("placing it as a gateway does earns {least:g} or more of the value besides")
def then_besides(context, least):
    found = context.credit_by_variant
    assert found["ours"] - found["home"] >= least, found


@then("{least:g} or more of the value is earned")
def then_earned(context, least):
    assert context.credit_by_variant["ours"] >= least, context.credit_by_variant


@then("notifying peers earns {least:g} or more of the value")
def then_notified(context, least):
    found = context.credit_by_variant
    assert found["ours"] - found["untold"] >= least, found


@given("the states of {count:d} engines that prefill {rate:d} tokens a second")
def given_engines(context, count, rate):
    context.upstream_states = UpstreamStates()
    context.engines = [engine(f"engine{number}") for number in range(count)]
    context.placer = Placer("z", context.upstream_states, random.Random(1))
    context.now = 100.0
    context.placements = []
    prefill_times = context.upstream_states.prefill_times(SERVICE)
    for tokens in (100, 1500, 3000, 6000, 12_000, 24_000, 50_000):
        prefill_times.record_sample(tokens, 0.05 + tokens / rate)


@when("a prompt of {tokens:d} tokens is placed")
@when('a prompt of {tokens:d} tokens with the parts "{key}" is placed')
def when_prompt_placed(context, tokens, key="alone"):
    demand = Demand(key, 1000, tokens - 1000, 0.3)
    found = context.placer.place(demand, context.engines, (), context.now)
    context.upstream_states.start_attempt(found.upstream, found.uncached_tokens, key, context.now)
    context.placements.append(found)


@when("{count:d} engines report {many:d} running requests, and one reports {few:d}")
def when_engines_report(context, count, many, few):
    for number, upstream in enumerate(context.engines):
        running = many if number < count else few
        attempt = context.upstream_states.start_attempt(upstream, 0, "", context.now)
        attempt.record_load(Load(running, 0, 64), context.now)
        attempt.finish(context.now)


@then("it went to the engine with the fewest running requests")
def then_fewest(context):
    assert context.placements[-1].upstream is context.engines[-1], context.placements[-1]


@when("its engine gets another prompt of {tokens:d} tokens")
def when_engine_busy(context, tokens):
    upstream = context.placements[-1].upstream
    context.upstream_states.record_peer_prompt(upstream, tokens, "others", context.now)


@then("the second goes elsewhere and fetches the prefix from the first engine")
def then_fetches(context):
    first, second = context.placements
    assert second.upstream.id != first.upstream.id
    assert second.fetch_from is not None and second.fetch_from.id == first.upstream.id
    assert second.uncached_tokens == 4000, second


@given("a send notifier before one known engine")
def given_notifier(context):
    board = Blackboard(Member("me", "vm", "z", "", ""))
    board.upstreams_by_id = {"engine": engine()}
    context.upstream_states = UpstreamStates()
    context.port = DatagramPort("127.0.0.1:1", Metrics())
    SendNotifier(board, context.upstream_states, context.port, StoppedClock(), random.Random(1))


@when("it takes the datagram {text}")
def when_takes(context, text):
    context.port.receive(_datagram(text.strip()), "peer")


def _datagram(text):
    """Return the datagram of a message written as JSON; other text as it is."""
    try:
        fields = json.loads(text)
    except ValueError:
        return text.encode()
    return msgspec.msgpack.encode(["sent", *fields] if isinstance(fields, list) else fields)


def backlog_seconds(context):
    """Return how long the engine is estimated to prefill."""
    return context.upstream_states.get(engine()).prefill_queue.backlog_seconds(0.0)


@then("the engine is estimated to have nothing to prefill")
def then_no_backlog(context):
    assert backlog_seconds(context) == 0.0


@then("the engine is estimated to prefill {tokens:d} tokens")
def then_backlog(context, tokens):
    expected = context.upstream_states.prefill_times(SERVICE).estimate_seconds(tokens)
    assert abs(backlog_seconds(context) - expected) < 0.01, backlog_seconds(context)


@when("gateway {number:d} is asked to stream a prompt of {tokens:d} tokens")
def when_asked_prompt(context, number, tokens):
    counts = {
        "x_quinceferry_token_count": f"{tokens},40",
        "x_quinceferry_prompt_prefix": f"a:1000,b:{tokens - 1000}",
    }

    async def ask(scene):
        await until(lambda: all(len(app.blackboard.peers()) == 1 for app in scene.applications))
        await scene.ask("POST", "/draft/a", b"{}", gateway=number - 1, **counts)

    context.gateway.acts.append(ask)


@then("gateway {number:d} estimates that {name} caches the prompt's prefix")
def then_caches(context, number, name):
    def check(scene):
        upstream_states = scene.applications[number - 1].upstream_states
        caching = upstream_states.cached_prefixes.caching_upstreams(
            hash_prefix(["a"]), SystemClock().monotonic()
        )
        assert list(caching) == [name], caching

    context.gateway.play(check)


@when(
    "one engine works five times as long for 7 of 24 seconds, with and without estimates of "
    "slowdown"
)
def when_slow_engine(context):
    estimated = play(context.customer, "ours", context.seeds, 1.0, slow=SLOW_SPELL).credit()
    ignored = play(context.customer, "unslowed", context.seeds, 1.0, slow=SLOW_SPELL).credit()
    context.credits = (estimated, ignored)


@then("estimating it earns more of the value")
def then_estimating_earns(context):
    estimated, ignored = context.credits
    assert estimated > ignored, context.credits


@when("{count:d} first events of one engine take {factor:d} times as long as expected")
def when_slow_events(context, count, factor):
    for _ in range(count):
        attempt = context.upstream_states.start_attempt(context.engines[0], 1000, "", context.now)
        expected = context.upstream_states.prefill_times(SERVICE)
        context.now += factor * (expected.base_seconds + expected.estimate_seconds(1000))
        attempt.record_first_event(context.now)
        attempt.finish(context.now)


@then("it is estimated to take {least:g} to {most:g} times as long")
@then("after {seconds:g} seconds it is estimated to take {least:g} to {most:g} times as long")
def then_slow(context, least, most, seconds=0.0):
    found = context.upstream_states.get(context.engines[0]).slowdown(context.now + seconds)
    assert least <= found <= most, found


@when("the time of day jumps by hours, both ways, while {count:d} requests are posted to {target}")
def when_clock_jumps(context, count, target):
    async def jump(scene):
        original = time.time
        try:
            for number in range(count):
                offset = 7200.0 * (-1) ** number
                time.time = lambda offset=offset: original() + offset
                await scene.ask("POST", target, b"body")
                await asyncio.sleep(0.3)
        finally:
            time.time = original

    context.gateway.acts.append(jump)
