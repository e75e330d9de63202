"""Steps for upstreams that fail if they have to reject too many requests."""

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when

from features.steps.gateway_fleet import play
from quinceferry_gateway.catalog import AnswerHead
from quinceferry_lab import overload
from quinceferry_platform.headers import PlatformDialect

NOTICE_INTERVAL_SECONDS = 1.1
"""Time after which a gateway notifies its peers again."""


@given(
    "{gateways:d} gateway processes before 4 upstreams that bear {rejections:d} rejections a second"
)
def given_overload(context, gateways, rejections):
    context.overload_fields = {"gateways": gateways, "announced": str(rejections)}
    context.overload_fields["max_rejections"] = rejections


@when(
    "callers send {rate:d} requests a second for {seconds:d} seconds, seed {seed:d}, and "
    "{killed:d} gateways are killed"
)
def when_overloaded(context, rate, seconds, seed, killed):
    scenario = overload.Scenario(
        burst_rate=rate, burst_seconds=seconds, restarted=killed, **context.overload_fields
    )
    with tempfile.TemporaryDirectory() as folder:
        context.overload = asyncio.run(overload.play(seed, scenario, Path(folder)))


@then("at most {most:d} upstreams have failed")
def then_failed(context, most):
    figures = overload.summarize(context.overload)
    assert overload.failures(context.overload) <= most, figures


@then("{least:d} or more requests were answered within twice their objective")
def then_answered(context, least):
    figures = overload.summarize(context.overload)
    assert figures["in_objective"] >= least, figures


@when('an answer has the rejections header "{header}"')
def when_header(context, header):
    values = [] if header == "(empty)" else header.split("|")
    headers = [(b"Server-Brittle", value.encode()) for value in values or [""]]
    context.head = PlatformDialect().decode_answer(200, headers)


@then("the upstream is read to bear {number:g} rejections a second, malformed: {malformed}")
def then_parsed(context, number, malformed):
    assert context.head.max_rejections_per_second == number, context.head
    names = ("server-brittle",) if malformed == "yes" else ()
    assert context.head.malformed_headers == names, context.head


@when("an answer to one gateway says that an upstream bears {number:g} rejections a second")
def when_announced(context, number):
    context.acts.append(lambda world: receive(context, world, number))


async def receive(context, world, number):
    """Give an answer to the first gateway."""
    context.upstream = world.upstreams_by_id["up-0"]
    answer = AnswerHead(200, (), False, "r", True, max_rejections_per_second=number)
    world.nodes[0].signals.answer_received(context.upstream, answer)


@then("{seconds:g} seconds later every gateway knows that it is fragile")
def then_known(context, seconds):
    context.acts.append(lambda world: check_known(context, world, seconds, True))


async def check_known(context, world, seconds, is_fragile):
    """Check after a time that all gateways agree on whether the upstream is fragile."""
    await world.clock.sleep(seconds)
    known = [node.fragile_upstreams.is_fragile(context.upstream) for node in world.nodes]
    assert known == [is_fragile] * len(world.nodes), known


@then("after an answer without that number none does")
def then_withdrawn(context):
    async def withdraw(world):
        await world.clock.sleep(NOTICE_INTERVAL_SECONDS)
        await receive(context, world, None)
        await check_known(context, world, 0.1, False)

    context.acts.append(withdraw)
    play(context)
