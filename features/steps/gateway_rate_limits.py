"""Steps for upstreams that limit the rate of their requests."""

import asyncio

from behave import given, then, when

from features.fixtures_fleet import Node
from features.steps.gateway_fleet import play
from quinceferry_gateway.catalog import AnswerHead
from quinceferry_gateway.fleet.calls import Call
from quinceferry_gateway.issuers import permit_issuer
from quinceferry_platform.headers import PlatformDialect

WINDOW_SECONDS = 4.0
"""Length of the sliding window in which requests are counted."""
SETTLING_SECONDS = 0.5
"""Time after the first arrival that is not counted, since the limit is still spreading."""
CALLER_PAUSE_SECONDS = 0.1
MAX_WAIT_SECONDS = 0.3
REQUEST_PAUSE_SECONDS = 0.05


@given('{name} accepts "{rate}" requests a second')
def given_limit(context, name, rate):
    context.fleet.upstreams_by_id[name].rate_limit = rate


@when("{callers:d} callers send requests on {target} for {seconds:d} seconds")
def when_callers(context, callers, target, seconds):
    async def run_callers(scene):
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            *(send_until(scene, number, target, ends_at) for number in range(callers))
        )

    context.fleet.acts.append(run_callers)


async def send_until(scene, number, target, ends_at):
    """Send requests to the gateways in turn until the given time."""
    while asyncio.get_running_loop().time() < ends_at:
        await scene.ask("GET", target, gateway=number % len(scene.applications))
        number += 1
        await asyncio.sleep(CALLER_PAUSE_SECONDS)


@then("{name} got at most {most:d} requests in any 4 seconds, and {least:d} or more in all")
def then_rate_kept(context, name, most, least):
    if not context.fleet.answers:
        context.fleet.play()
    upstream = context.fleet.upstreams_by_id[name]
    counted_from = upstream.arrived_at[0] + SETTLING_SECONDS
    counted = [at for at in upstream.arrived_at if at >= counted_from]
    windows = [sum(at <= other <= at + WINDOW_SECONDS for other in counted) for at in counted]
    assert max(windows, default=0) <= most, (max(windows), len(upstream.arrived_at))
    assert len(upstream.arrived_at) >= least, upstream.arrived_at


@then("no request was refused")
def then_none_refused(context):
    statuses = {answer.status for answer in context.fleet.answers}
    assert statuses == {200}, statuses


@then("refused requests have not run and have a retry time")
def then_refused(context):
    refused = [answer for answer in context.fleet.answers if answer.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer
        assert float(answer.headers[b"retry-after"]) > 0, answer


@when("{name} withdraws its limit")
def when_limit_withdrawn(context, name):
    def withdraw(scene):
        scene.upstreams_by_id[name].rate_limit = ""

    context.fleet.acts.append(withdraw)


@then("{name} got {least:d} or more requests in all")
def then_got(context, name, least):
    context.fleet.play()
    arrived = len(context.fleet.upstreams_by_id[name].arrived_at)
    assert arrived >= least, arrived


@when("an upstream announces a limit of {rate:g} requests a second to one gateway")
def when_limit_announced(context, rate):
    async def announce(world):
        context.upstream = world.upstreams_by_id["up-0"]
        answer = AnswerHead(200, (), False, "r", True, max_requests_per_second=rate)
        world.nodes[0].signals.answer_received(context.upstream, answer)

    context.acts.append(announce)
    context.permitted_at = []


@when("1 second passes, and all gateways request permits for {seconds:d} seconds")
def when_permits_requested(context, seconds):
    request_permits_during(context, seconds, no_fault)


@when(
    "1 second passes, and all gateways request permits for {seconds:d} seconds, while the issuer "
    "is killed"
)
def when_issuer_killed(context, seconds):
    async def kill(world):
        issuer = permit_issuer(world.nodes[0].board, context.upstream.id)
        await next(node for node in world.nodes if node.vm == issuer.vm).stop()

    request_permits_during(context, seconds, kill)


@when(
    "1 second passes, and all gateways request permits for {seconds:d} seconds, while half of the "
    "gateways restart"
)
def when_half_restarts(context, seconds):
    async def restart(world):
        for number in range(0, len(world.nodes), 2):
            await world.nodes[number].stop()
            world.nodes[number] = node = Node(world, number, "second")
            await node.start()
            start_requesting(context, world, node)

    request_permits_during(context, seconds, restart)


async def no_fault(world):
    """Keep all gateways running."""


def request_permits_during(context, seconds, inject_fault):
    """Let all gateways request permits, and inject a fault after a third of the time."""

    async def run(world):
        await world.clock.sleep(1)
        context.permit_tasks = []
        for node in world.nodes:
            start_requesting(context, world, node)
        await run_through_fault(world, context.permit_tasks, seconds, inject_fault)

    context.acts.append(run)


async def run_through_fault(world, tasks, seconds, inject_fault):
    """Let tasks run for a time, inject a fault after a third of it, and cancel the tasks."""
    await world.clock.sleep(seconds / 3)
    await inject_fault(world)
    await world.clock.sleep(seconds * 2 / 3)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def start_requesting(context, world, node):
    """Start a task in which a gateway requests permits until it stops."""

    async def request_permits():
        while node.alive:
            await world.clock.sleep(REQUEST_PAUSE_SECONDS)
            if not node.permits.needed(context.upstream):
                continue
            if node.permits.pause_seconds(context.upstream) > MAX_WAIT_SECONDS:
                continue
            wait = await node.permits.acquire(context.upstream, MAX_WAIT_SECONDS)
            if wait is not None:
                await world.clock.sleep(wait)
                context.permitted_at.append(world.clock.monotonic())

    context.permit_tasks.append(asyncio.create_task(request_permits()))


@when(
    "1 second passes, and all gateways continuously need immediate permits for {seconds:d} seconds"
)
def when_immediate_permits_needed(context, seconds):
    async def request_permits(world, node):
        while True:
            await world.clock.sleep(REQUEST_PAUSE_SECONDS)
            if node.permits.pause_seconds(context.upstream):
                continue
            if await node.permits.acquire(context.upstream, 0.0) is not None:
                context.permitted_at.append(world.clock.monotonic())

    async def run(world):
        await world.clock.sleep(1)
        world.network.sent_by_type.clear()
        tasks = [asyncio.create_task(request_permits(world, node)) for node in world.nodes]
        await world.clock.sleep(seconds)
        context.calls_per_second = world.network.sent_by_type[Call] / seconds
        context.permits_per_second = len(context.permitted_at) / seconds
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.acts.append(run)


@then(
    "gateways make at most {most:d} calls a second, and {least:d} or more permits a second are "
    "granted"
)
def then_call_rate(context, most, least):
    play(context)
    assert context.calls_per_second <= most, context.calls_per_second
    assert context.permits_per_second >= least, context.permits_per_second


@then("in any 4 seconds at most {most:d} requests are permitted, and {least:d} or more in all")
def then_permitted(context, most, least):
    play(context)
    times = context.permitted_at
    windows = [sum(at <= other <= at + WINDOW_SECONDS for other in times) for at in times]
    assert max(windows, default=0) <= most, (max(windows), len(times))
    assert len(times) >= least, len(times)


@when('an answer has the limit header "{header}"')
def when_header(context, header):
    values = [] if header == "(empty)" else header.split("|")
    headers = [(b"Server-Limit", value.encode()) for value in values or [""]]
    context.head = PlatformDialect().decode_answer(200, headers)


@then("the limit is read as {rate}")
def then_limit_parsed(context, rate):
    if rate == "malformed":
        assert context.head.malformed_headers == ("server-limit",), context.head
        assert context.head.max_requests_per_second is None, context.head
    else:
        assert context.head.max_requests_per_second == float(rate), context.head
        assert not context.head.malformed_headers, context.head
