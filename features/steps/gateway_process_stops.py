"""Steps for planned stops of a gateway that runs as a process of its own."""

import asyncio
import signal

from behave import given, then, when

from features.fixtures_gateway import until
from features.fixtures_gateway_process import (
    GRACE_SECONDS,
    process_scene,
)
from quinceferry_lab.soak_checks import LAST_SHARE_OF_GRACE


@given("a gateway process that relays {count:d} endless streams")
def given_streams(context, count):
    async def begin(scene):
        await scene.receive_streams(count)

    process_scene(context).acts.append(begin)


@given("a gateway process that has just been started")
def given_starting(context):
    async def wait(scene):
        await scene.wait_blocked(signal.SIGTERM)

    process_scene(context).waits_ready = False
    process_scene(context).acts.append(wait)


@given("the gateway process gets {share:g} of a core")
def given_starved(context, share):
    async def begin(scene):
        scene.begin_starving(share)

    process_scene(context).acts.append(begin)


@when("the gateway process gets SIGTERM")
def when_stopped(context):
    async def act(scene):
        scene.send_stop()

    process_scene(context).acts.append(act)


@when("the gateway process gets SIGHUP")
def when_reloaded(context):
    async def act(scene):
        scene.gateway.send(signal.SIGHUP)

    process_scene(context).acts.append(act)


@when("the gateway process is ready")
def when_ready(context):
    async def wait(scene):
        await scene.gateway.wait_ready(scene.http)

    process_scene(context).acts.append(wait)


@when("the gateway process is stalled for {seconds:g} seconds and gets SIGTERM {delay:g} s later")
def when_signalled_after_stall(context, seconds, delay):
    async def act(scene):
        await scene.gateway.stall(seconds)
        await asyncio.sleep(delay)
        scene.send_stop()

    process_scene(context).acts.append(act)


@when("the gateway process gets SIGTERM {delay:g} s into a stall of {seconds:g} seconds")
def when_signalled_in_stall(context, delay, seconds):
    async def act(scene):
        stall = asyncio.create_task(scene.gateway.stall(seconds))
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
    ended_after = [round(item.ended_at - scene.stop.signalled_at, 3) for item in scene.streams]
    assert min(ended_after) >= earliest, (ended_after, scene.log_events("gateway.draining"))


@then("the gateway process ended by itself")
def then_ended(context):
    scene = process_scene(context)
    scene.play()
    ended_after = round(scene.stop.exited_at - scene.stop.signalled_at, 3)
    stopped = scene.log_events("gateway.stopped")
    assert scene.gateway.process.returncode == 0, (ended_after, stopped)
    assert stopped, scene.log_lines


@then("the gateway process has never begun to serve")
def then_never_served(context):
    scene = process_scene(context)
    scene.play()
    assert not scene.log_events("gateway.starting"), scene.log_lines
    assert scene.log_events("gateway.stopped"), scene.log_lines


@then("the gateway process has checked its settings again")
def then_checked(context):
    def has_checked(scene):
        scene.read_log()
        return [line["changed"] for line in scene.log_events("settings.reloaded")] == [False]

    async def wait(scene):
        await until(lambda: has_checked(scene))

    scene = process_scene(context)
    scene.acts.append(wait)
    scene.play()
