"""Steps for upstreams that limit the rate of their requests."""

import asyncio

from behave import given, then, when

WINDOW_SECONDS = 4.0
"""Any span of this length must keep the bound."""
TOLD_SECONDS = 0.5
"""Time after the first answer with a limit in which requests do not count yet."""
CALLER_PAUSE_SECONDS = 0.1


@given('{name} accepts "{rate}" requests a second')
def given_limit(context, name, rate):
    context.fleet.upstreams_by_id[name].rate_limit = rate


@when("{callers:d} callers send requests on {target} for {seconds:d} seconds")
def when_callers(context, callers, target, seconds):
    async def crowd(scene):
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            *(call_until(scene, number, target, ends_at) for number in range(callers))
        )

    context.fleet.acts.append(crowd)


async def call_until(scene, number, target, ends_at):
    """Send one request after another to the gateways in turn, until the time is over."""
    while asyncio.get_running_loop().time() < ends_at:
        await scene.ask("GET", target, gateway=number % len(scene.applications))
        number += 1
        await asyncio.sleep(CALLER_PAUSE_SECONDS)


@then("{name} got at most {most:d} requests in any 4 seconds, and {least:d} or more in all")
def then_kept(context, name, most, least):
    if not context.fleet.answers:
        context.fleet.play()
    upstream = context.fleet.upstreams_by_id[name]
    counted_from = upstream.arrived_at[0] + TOLD_SECONDS
    counted = [at for at in upstream.arrived_at if at >= counted_from]
    windows = [sum(at <= other <= at + WINDOW_SECONDS for other in counted) for at in counted]
    assert max(windows, default=0) <= most, (max(windows), len(upstream.arrived_at))
    assert len(upstream.arrived_at) >= least, upstream.arrived_at


@then("none of them was refused")
def then_none_refused(context):
    statuses = {answer.status for answer in context.fleet.answers}
    assert statuses == {200}, statuses


@then("those refused have not run, and were told when to come back")
def then_refused(context):
    refused = [answer for answer in context.fleet.answers if answer.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer
        assert float(answer.headers[b"retry-after"]) > 0, answer
