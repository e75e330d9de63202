"""Steps for planned stops of a gateway that runs as a process of its own."""

import asyncio

from behave import given, then, when

from features.fixtures_gateway_process import (
    GRACE_SECONDS,
    LAST_SHARE_OF_GRACE,
    process_scene,
)


@given("a gateway process that relays {count:d} endless streams")
def given_streams(context, count):
    async def begin(scene):
        await scene.receive_streams(count)

    process_scene(context).acts.append(begin)


@when("the gateway process is stalled for {seconds:g} seconds and gets SIGTERM {delay:g} s later")
def when_signalled_after_stall(context, seconds, delay):
    async def act(scene):
        await scene.stall(seconds)
        await asyncio.sleep(delay)
        scene.send_stop()

    process_scene(context).acts.append(act)


@when("the gateway process gets SIGTERM {delay:g} s into a stall of {seconds:g} seconds")
def when_signalled_in_stall(context, delay, seconds):
    async def act(scene):
        stall = asyncio.create_task(scene.stall(seconds))
        await asyncio.sleep(delay)
        scene.send_stop()
        await stall

    process_scene(context).acts.append(act)


@when("the gateway process has ended, at the latest by SIGKILL after its grace time")
def when_ended(context):
    async def wait(scene):
        await scene.end_task
        await asyncio.gather(*scene.tasks)

    process_scene(context).acts.append(wait)


@then("no stream ended before the last sixth of the grace time")
def then_not_early(context):
    scene = process_scene(context)
    scene.play()
    earliest = (1 - LAST_SHARE_OF_GRACE) * GRACE_SECONDS
    ended_after = [round(item.ended_at - scene.signalled_at, 3) for item in scene.streams]
    assert min(ended_after) >= earliest, (ended_after, scene.log_events("gateway.draining"))
