"""Steps for upstreams that are cold after their start."""

import asyncio
import json
from dataclasses import replace
from functools import partial

from behave import then, when

from features.fixtures_fleet_faults import FAULTS
from features.fixtures_gateway import configuration, until
from features.steps.gateway import check
from features.steps.gateway_evacuation import FLEET_ZONE, heeds
from features.steps.gateway_fleet import play
from features.steps.gateway_rate_limits import no_fault, run_through_fault
from quinceferry_gateway.catalog import AnswerHead
from quinceferry_gateway.decisions.cold_starts import ColdStartLimit
from quinceferry_platform.documents import decode_upstream
from quinceferry_platform.headers import PlatformDialect

WINDOW_SECONDS = 1.0
REQUEST_PAUSE_SECONDS = 0.1
SETTLING_SECONDS = 2.0
"""Time in which the list spreads before requests are sent."""


@when("{count:d} upstreams are listed as cold for {seconds:g} seconds")
def when_listed_cold(context, count, seconds):
    async def list_cold(world):
        context.cold_ids = [f"up-{number}" for number in range(count)]
        ends_at = world.clock.monotonic() + seconds
        context.refreshing = asyncio.create_task(refresh_entries(world, context.cold_ids, ends_at))
        context.add_cleanup(context.refreshing.cancel)

    context.acts.append(list_cold)


async def refresh_entries(world, ids, ends_at):
    """Write the entries of cold upstreams at each heartbeat, until they are warm."""
    while True:
        remaining = max(0.0, ends_at - world.clock.monotonic())
        for upstream_id in ids:
            entry = world.upstreams_by_id[upstream_id]
            world.upstreams_by_id[upstream_id] = replace(
                entry, cold_seconds=min(remaining, 3.0) if remaining else 0.0
            )
        world.base_revision += 1
        if not remaining:
            return
        await world.clock.sleep(1.2)


@when(
    "2 seconds pass, and all gateways send cold upstreams what they may for "
    "{seconds:d} seconds{fault}"
)
def when_sent_with_fault(context, seconds, fault):
    send_during(context, seconds, FAULTS[fault])


@when("2 seconds pass, and all gateways send cold upstreams what they may for {seconds:d} seconds")
def when_sent(context, seconds):
    send_during(context, seconds, lambda context, world: no_fault(world))


def send_during(context, seconds, inject_fault):
    """Let all gateways send requests, and inject a fault after a third of the time."""

    async def run(world):
        context.sent_at_by_id = {upstream_id: [] for upstream_id in context.cold_ids}
        context.sending = []
        context.limited_id, context.start_sending = context.cold_ids[0], start_sending
        await world.clock.sleep(SETTLING_SECONDS)
        for node in world.nodes:
            start_sending(context, world, node)
        await run_through_fault(world, context.sending, seconds, partial(inject_fault, context))

    context.acts.append(run)


def start_sending(context, world, node):
    """Start tasks in which a gateway sends each cold upstream a request whenever it may."""

    async def send(upstream_id):
        while node.alive:
            await world.clock.sleep(REQUEST_PAUSE_SECONDS)
            upstream = node.board.upstreams_by_id.get(upstream_id)
            if upstream is None or node.board.configuration is None:
                continue
            if node.permits.pause_seconds(upstream):
                continue
            if await node.permits.acquire(upstream, 0.0) is not None:
                context.sent_at_by_id[upstream_id].append(world.clock.monotonic())

    context.sending += [asyncio.create_task(send(item)) for item in context.cold_ids]


@then(
    "in any second each cold upstream gets at most {most:d} requests, and {least:d} or more in all"
)
def then_bounded(context, most, least):
    play(context)
    for upstream_id, times in context.sent_at_by_id.items():
        windows = [sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times]
        assert max(windows, default=0) <= most, (upstream_id, max(windows))
        assert len(times) >= least, (upstream_id, len(times))


def knows_cold(node, upstream_id):
    """Return whether a gateway counts an upstream as cold."""
    upstream = node.board.upstreams_by_id.get(upstream_id)
    return upstream is not None and node.permits.needed(upstream)


@then("within {seconds:g} seconds every gateway knows that they are cold")
def then_known_cold(context, seconds):
    async def know(world):
        await world.seconds_until(
            lambda node: all(knows_cold(node, item) for item in context.cold_ids), seconds
        )

    context.acts.append(know)


@then("{seconds:g} seconds after the list says otherwise none does")
def then_none_cold(context, seconds):
    async def forget(world):
        await context.refreshing
        await world.clock.sleep(seconds)
        assert not any(knows_cold(node, item) for node in world.nodes for item in context.cold_ids)

    context.acts.append(forget)
    play(context)


@when("the operators end the evacuation")
def when_evacuation_ends(context):
    async def end(world):
        world.evacuate(FLEET_ZONE, False)

    context.acts.append(end)


@then("every gateway that heeds the end of the evacuation counts the upstreams as cold")
def then_cold_at_end(context):
    async def watch(world):
        ends_at = world.clock.monotonic() + 2
        while world.clock.monotonic() < ends_at:
            for node in world.nodes:
                assert heeds(True, node) or knows_cold(node, "up-0"), node.vm
            await world.clock.sleep(0.01)
        assert all(heeds(False, node) for node in world.nodes)

    context.acts.append(watch)
    play(context)


@when("an answer to one gateway says that an upstream is cold for {seconds:g} seconds")
def when_answer_cold(context, seconds):
    async def answer(world):
        head = AnswerHead(200, (), False, "r", True, cold_seconds=seconds)
        world.nodes[0].signals.answer_received(world.upstreams_by_id["up-0"], head)

    context.acts.append(answer)


@then("{seconds:g} seconds later every gateway knows that it is cold")
def then_all_know(context, seconds):
    async def know(world):
        await world.clock.sleep(seconds)
        unaware = [node.vm for node in world.nodes if not knows_cold(node, "up-0")]
        assert not unaware, unaware

    context.acts.append(know)
    play(context)


@when("upstream {name} is listed as cold")
def when_gateway_lists_cold(context, name):
    context.gateway.document = configuration(
        services=[{"name": "app", "cold_s": 600.0, "cold_per_s": 4.0}, {"name": "llm"}]
    )

    async def list_cold(scene):
        await scene.register(**{name: {"cold_left_ms": 600_000}})
        board = scene.applications[0].blackboard
        await until(lambda: board.upstreams_by_id[name].cold_seconds)

    context.gateway.acts.append(list_cold)


@when("{count:d} requests are sent at once")
def when_sent_at_once(context, count):
    async def send(scene):
        await asyncio.gather(*(scene.ask("GET", "/get/a") for _ in range(count)))

    context.gateway.acts.append(send)


@then("every request is answered, and {name} got at most {most:d} of them")
def then_mostly_elsewhere(context, name, most):
    check(context)
    scene = context.gateway
    assert {answer.status for answer in scene.answers} == {200}, scene.answers
    assert len(scene.upstreams_by_id[name].seen) <= most, scene.upstreams_by_id[name].seen


@then("at most {most:d} of them are answered, and the others are refused with a retry time")
def then_others_refused(context, most):
    check(context)
    refused = [answer for answer in context.gateway.answers if answer.status != 200]
    assert len(context.gateway.answers) - len(refused) <= most
    for answer in refused:
        assert answer.status == 503 and float(answer.headers[b"retry-after"]) > 0, answer


@when("an entry has the cold time {value}")
def when_entry(context, value):
    entry = {"service": "app", "addr": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"}
    entry |= {"version": "v1", "seq": 1}
    document = json.dumps(entry)[:-1] + f', "cold_left_ms": {value}}}'
    context.cold_seconds = decode_upstream("up", document.encode()).cold_seconds


@when('an answer has the cold time "{header}"')
def when_header(context, header):
    headers = [(b"X-Quinceferry-Cold-Ms", header.encode())]
    context.cold_seconds = PlatformDialect().decode_answer(200, headers).cold_seconds


@then("the upstream counts as cold for {seconds} seconds")
@then("its upstream counts as cold for {seconds} seconds")
def then_cold_seconds(context, seconds):
    assert context.cold_seconds == float(seconds), context.cold_seconds


@when(
    "an upstream tolerates {tolerated:g} requests a second, and the platform allows {excess:g} "
    "times that and {slack:g} more"
)
def when_tolerates(context, tolerated, excess, slack):
    context.permitted_rate = ColdStartLimit(excess, slack).permitted_rate(tolerated)


@then("permits are granted at {rate:g} requests a second")
def then_permitted_rate(context, rate):
    assert abs(context.permitted_rate - rate) < 0.01, context.permitted_rate
