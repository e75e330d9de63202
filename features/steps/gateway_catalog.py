"""Steps for the list of upstreams that a gateway may use."""

from behave import given, then, when

from quinceferry_core.exceptions import KvUnavailableError
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import Upstream, UpstreamList
from quinceferry_gateway.catalog_reader import UpstreamReader
from quinceferry_lab.virtual_time import VirtualClock, run_virtual


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


@then("the gateway may use {names}")
def then_uses(context, names):
    expected = {"a only": {"a"}, "a and b": {"a", "b"}}[names]

    async def scene():
        clock = VirtualClock()
        board = Blackboard(Member("me", "vm", "z", "", ""))
        reader = UpstreamReader(board, context.source, clock)
        await reader.start()
        await clock.sleep(10.0)
        for act in context.acts:
            await act(clock)
        found = set(board.upstreams_by_id)
        await reader.stop()
        assert found == expected, found

    run_virtual(scene())
