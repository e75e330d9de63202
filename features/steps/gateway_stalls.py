"""Steps for event loops that stall."""

import asyncio
import tempfile
import time

from behave import given, then, when

from quinceferry_core.clocks import SystemClock
from quinceferry_gateway import Metrics
from quinceferry_gateway.loop_monitor import LoopMonitor
from quinceferry_gateway.stack_watchdog import StackWatchdog


@given("a loop monitor whose watchdog waits {seconds:g} seconds")
def given_monitor(context, seconds):
    context.watchdog_seconds = seconds


@when("a step holds the event loop for {seconds:d} second")
def when_held(context, seconds):
    async def hold_the_loop():
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            pass

    monitor(context, hold_the_loop)


@when("the event loop runs for {seconds:d} seconds")
def when_runs(context, seconds):
    monitor(context, lambda: asyncio.sleep(seconds))


def monitor(context, step):
    """Run a step while a monitor watches the event loop; keep what its watchdog has written."""

    async def play(dump):
        watchdog = StackWatchdog(dump, context.watchdog_seconds)
        loop_monitor = LoopMonitor(SystemClock(), Metrics(), watchdog.rearm)
        await loop_monitor.start()
        await asyncio.sleep(0)
        await step()
        dump.seek(0)
        context.seen = dump.read()
        await loop_monitor.stop()
        watchdog.disarm()

    with tempfile.TemporaryFile("w+") as dump:
        asyncio.run(play(dump))


@then("the dump names the step before it has ended")
def then_named(context):
    assert "hold_the_loop" in context.seen, context.seen


@then("there is no dump")
def then_none(context):
    assert not context.seen, context.seen
