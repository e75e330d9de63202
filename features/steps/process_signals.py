"""Steps for signals, and the times of stops that they request."""

import asyncio
import signal
import threading
import time

from behave import given, then, when

from quinceferry_gateway.decisions.planned_stops import PlannedStop
from quinceferry_gateway.process_signals import SignalWatch
from quinceferry_gateway.settings import StopSettings

NUMBER = signal.SIGUSR1
BEFORE_SIGNAL_SECONDS = 0.1
PATIENCE_SECONDS = 10.0


async def _receive(*acts, blocked_since=None):
    """Open a watch, play some acts, and return as many arrivals."""
    arrivals = asyncio.Queue()
    loop = asyncio.get_running_loop()
    watch = SignalWatch([NUMBER], loop, arrivals.put_nowait, blocked_since)
    watch.open()
    received = []
    try:
        for act in acts:
            act()
            received.append(await asyncio.wait_for(arrivals.get(), PATIENCE_SECONDS))
    finally:
        watch.close()
    return received


def _send():
    # Threads of earlier features don't block the signal, and would end the process by it.
    signal.pthread_kill(threading.main_thread().ident, NUMBER)


@given("a signal watch")
@given("signals that are blocked")
def given_main_thread(context):
    assert threading.current_thread() is threading.main_thread()


@when("a signal arrives while the event loop is busy for {seconds:g} seconds")
def when_busy(context, seconds):
    def act():
        threading.Timer(BEFORE_SIGNAL_SECONDS, _send).start()
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            pass
        context.free_at = time.monotonic()

    context.arrivals = asyncio.run(_receive(act))


@then("it was noted before the event loop was free")
def then_noted(context):
    assert context.arrivals[0].noted_at < context.free_at, (context.arrivals, context.free_at)


@when("a signal arrives, and a signal watch is opened after it")
def when_blocked(context):
    signal.pthread_sigmask(signal.SIG_BLOCK, [NUMBER])
    context.blocked_since = time.monotonic()
    _send()


@when("another signal arrives")
def when_other(context):
    acts = (lambda: None, _send)
    context.arrivals = asyncio.run(_receive(*acts, blocked_since=context.blocked_since))


@then("the first signal arrived after signals were blocked, and the other one when it was noted")
def then_bounds(context):
    bounds = [arrival.blocked_since for arrival in context.arrivals]
    assert bounds == [context.blocked_since, None], context.arrivals


@given("a grace time of {grace:g} seconds, and {leave:g} seconds for callers to leave")
def given_settings(context, grace, leave):
    context.stop_settings = StopSettings(grace, leave)


@when("a stop is requested between {earliest:g} s and {latest:g} s")
def when_requested(context, earliest, latest):
    context.stop = PlannedStop.starting_between(earliest, latest, context.stop_settings)


@then("it accepts all requests until {left:g} s, and later ones that end by {safe:g} s")
def then_accepts(context, left, safe):
    assert context.stop.accepts(100.0, left - 0.01)
    assert not context.stop.accepts(safe + 0.01, left)
    assert context.stop.accepts(safe, left)


@then("requests in progress end at {work_ends:g} s, and all else by {closed:g} s")
def then_ends(context, work_ends, closed):
    times = (context.stop.work_ends_at, context.stop.closed_at)
    assert times == (work_ends, closed), times
