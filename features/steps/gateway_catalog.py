"""Steps for the list of upstreams that a gateway may use."""

from behave import given, then, when

from quinceferry_core.exceptions import KvUnavailableError
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Upstream, UpstreamList
from quinceferry_gateway.catalog_reader import UpstreamReader
from quinceferry_gateway.metrics import Metrics
from quinceferry_lab.virtual_time import VirtualClock, run_virtual

LIST_AGE = "quinceferry_gateway_upstream_list_age_seconds"


class ScriptedSource:
    """Source whose next reading is set by the scenario."""

    def __init__(self):
        self.revision = 10
        self.names = ["a", "b"]
        self.lost = False

    async def upstreams(self):
        if self.lost:
            raise KvUnavailableError("lost", step="test")
        by_id = {name: Upstream(name, "app", "127.0.0.1:1", "z", 1, False) for name in self.names}
        return UpstreamList(self.revision, by_id)


@given("a gateway that lists upstreams a and b")
def given_reader(context):
    context.source = ScriptedSource()
    context.acts = []


@when("the store is lost and regained")
def when_lost(context):
    async def lose(clock):
        context.source.lost = True
        await clock.sleep(2.0)
        context.source.lost = False

    context.acts.append(lose)


@when("the list holds a only")
def when_holds_one(context):
    hold(context, ["a"])


@when("the list holds a and b")
def when_holds_both(context):
    hold(context, ["a", "b"])


def hold(context, names):
    """Let the next readings return some upstreams."""

    async def change(clock):
        context.source.names = names
        context.source.revision += 1
        await clock.sleep(0.8)

    context.acts.append(change)


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
        clock = VirtualClock()
        board = Blackboard(Member("me", "vm", "z", "", ""))
        metrics = Metrics()
        metrics.observe_list_age(lambda: clock.monotonic() - board.upstreams_read_at)
        reader = UpstreamReader(board, context.source, clock)
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
