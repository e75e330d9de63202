"""Steps for the list of upstreams that a gateway may use."""

import random

from behave import given, then, when

from features.fixtures_copy_orders import BOUND_SECONDS, HEARTBEAT_SECONDS
from quinceferry_core.exceptions import KvUnavailableError
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Upstream, UpstreamList
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.upstream_reader import UpstreamReader
from quinceferry_lab.virtual_time import VirtualClock, run_virtual

LIST_AGE = "quinceferry_gateway_upstream_list_age_seconds"


class ScriptedSource:
    """Source whose next reading is set by the scenario."""

    def __init__(self):
        self.revision = 10
        self.names = ["a", "b"]
        self.registrations_by_name = {"a": 1, "b": 2}
        self.lost = False
        self.failing_seconds = 0.0
        self.clock = None

    async def upstreams(self):
        if self.lost:
            await self.clock.sleep(self.failing_seconds)
            raise KvUnavailableError("lost", step="test")
        return UpstreamList(self.revision, {name: self.upstream(name) for name in self.names})

    def upstream(self, name):
        registration = self.registrations_by_name[name]
        return Upstream(name, "app", "127.0.0.1:1", "z", 1, False, registration=registration)

    def hold(self, names):
        """Let the next readings return some upstreams."""
        self.names = names
        self.revision += 1

    def end_leases(self):
        """Let all upstreams register anew, each when it is listed next."""
        self.revision += 1
        self.registrations_by_name = dict.fromkeys(self.registrations_by_name, self.revision)


@given("a gateway that lists upstreams a and b")
def given_reader(context):
    context.source = ScriptedSource()
    context.acts = []


@when("the list holds a only")
def when_holds_one(context):
    hold(context, ["a"])


@when("the list holds a and b")
def when_holds_both(context):
    hold(context, ["a", "b"])


def hold(context, names):
    """Let the next readings return some upstreams."""

    async def change(clock):
        context.source.hold(names)
        await clock.sleep(0.8)

    context.acts.append(change)


@given("calls to the store that fail take {seconds:g} seconds")
def given_slow_failures(context, seconds):
    context.source.failing_seconds = seconds


@when("this gateway alone is cut off for {seconds:g} seconds, and b leaves meanwhile")
@when("b leaves as calls to the store fail for {seconds:g} seconds")
@when("the store is away for {seconds:g} seconds, and of a and b only the lease of b ends")
def when_cut_off(context, seconds):
    async def cut_off(clock):
        context.source.lost = True
        context.source.hold(["a"])
        await clock.sleep(seconds)
        context.source.lost = False

    context.acts.append(cut_off)


@when("b leaves, and calls fail for {lost:g} seconds in each of {times:d} times {period:g} seconds")
def when_flaky(context, lost, times, period):
    async def flake(clock):
        context.source.hold(["a"])
        for _ in range(times):
            context.source.lost = True
            await clock.sleep(lost)
            context.source.lost = False
            await clock.sleep(period - lost)

    context.acts.append(flake)


@when("the store is away for {seconds:g} seconds, leases end, and {who} back")
def when_away(context, seconds, who):
    async def be_away(clock):
        context.source.lost = True
        await clock.sleep(seconds)
        context.source.end_leases()
        context.source.hold({"only a is": ["a"], "none is": []}[who])
        context.source.lost = False

    context.acts.append(be_away)


@when("b registers again")
def when_registers(context):
    hold(context, ["a", "b"])


@when("a list from before holds a only")
def when_older(context):
    async def hold(clock):
        context.source.names = ["a"]
        context.source.revision -= 1
        await clock.sleep(0.8)

    context.acts.append(hold)


@when("{seconds:g} seconds pass")
def when_pass(context, seconds):
    context.acts.append(lambda clock: clock.sleep(seconds))


@when("the store is lost for {seconds:g} seconds")
def when_lost_for(context, seconds):
    async def lose(clock):
        context.source.lost = True
        await clock.sleep(seconds)

    context.acts.append(lose)


def play(context):
    """Run the scenario; return the gateway's beliefs, the time at its end, and the metrics."""

    async def scene():
        context.source.clock = clock = VirtualClock()
        board = Blackboard(Member("me", "vm", "z", "", ""), is_store_reader=True)
        metrics = Metrics()
        metrics.observe_list_age(lambda: clock.monotonic() - board.upstreams_read_at)
        reader = UpstreamReader(
            board, context.source, clock, HEARTBEAT_SECONDS, random.Random(1), BOUND_SECONDS
        )
        await reader.start()
        await clock.sleep(10.0)
        for act in context.acts:
            await act(clock)
        exposition = metrics.exposition().decode()
        await reader.stop()
        return board, clock.monotonic(), exposition

    return run_virtual(scene())


@then("the gateway may use {names}")
def then_uses(context, names):
    expected = {"a only": {"a"}, "a and b": {"a", "b"}}[names]
    board, _, _ = play(context)
    assert set(board.upstreams_by_id) == expected, set(board.upstreams_by_id)


@then("the gateway notes b as missing for {least:g} to {most:g} seconds")
def then_missing(context, least, most):
    board, now, _ = play(context)
    assert set(board.missing_since_by_upstream) == {"b"}, board.missing_since_by_upstream
    age = now - board.missing_since_by_upstream["b"]
    assert least <= age <= most, age


@then("the metrics give an age of the list of {least:g} to {most:g} seconds")
def then_list_age(context, least, most):
    _, _, exposition = play(context)
    line = next(line for line in exposition.splitlines() if line.startswith(LIST_AGE))
    assert least <= float(line.split()[-1]) <= most, line


@then("the log has {event} with origin {origin}, and {least:g} to {most:g} seconds that remain")
def then_logged_remaining(context, event, origin, least, most):
    play(context)
    line = logged(context, event)
    assert line["origin"] == origin and least <= line["seconds"] <= most, line


@then("the log has upstream.removed with origin {origin}")
def then_logged(context, origin):
    line = logged(context, "upstream.removed")
    assert line["origin"] == origin, line


def logged(context, event):
    """Return the only line of an event."""
    [line] = [line for line in context.lines if line["event"] == event]
    return line
