"""Steps for the virtual clock."""

from behave import then, when

from quinceferry_lab.virtual_time import VirtualClock, run_virtual


@when("a task on virtual time sleeps for {seconds:d} seconds")
def sleep_virtually(context, seconds):
    async def sleeper():
        clock = VirtualClock()
        await clock.sleep(seconds)
        return clock.monotonic()

    context.elapsed = run_virtual(sleeper())


@then("the virtual clock shows {seconds:d} seconds")
def check_elapsed(context, seconds):
    assert context.elapsed == seconds, context.elapsed
