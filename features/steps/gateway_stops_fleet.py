"""Steps for what a fleet knows of gateways that stop, and what these know of it."""

import asyncio
import functools
import random

from behave import given, then, when

from features.fixtures_fleet import Node
from features.fixtures_gateway import WORKSPACE, until
from features.steps.gateway import check as check_gateways
from features.steps.gateway_budgets import play as play_holders
from features.steps.gateway_fleet import play as play_world
from features.steps.gateway_stops import begin_stop, is_named
from quinceferry_core.exceptions import KvUnavailableError
from quinceferry_gateway.blackboard import Blackboard, Member, Phase
from quinceferry_gateway.interfaces import AnswerHead
from quinceferry_gateway.membership import MEMBER_PREFIX, Registration
from quinceferry_gateway.peers import InheritRequest
from quinceferry_gateway.signals import LeavingNotice
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.kv import FakeKv

STORE_TIMEOUT_SECONDS = 1.0
CALM_SECONDS = 0.5
"""Time after a withdrawal in which writes that were on their way arrive."""

NAMED_WITHIN_SECONDS = 1.0
"""Time after its registration in which a gateway must be named to callers."""
COUNTED_SECONDS = 4.0
"""How long calls to the store are counted."""
WITHDRAWN_WITHIN_SECONDS = 6.0
"""Time in which a gateway reads that a registration was withdrawn, or gets a copy."""
NEW_KNOWN_WITHIN_SECONDS = 4.0
"""Time after the registration of a gateway in which all others know it, and it knows them."""
LIMIT_PER_SECOND = 3.0
COLD_SECONDS = 2.5
PASSED_ON_WITHIN_SECONDS = 3.0
"""Time in which a stopping gateway passes its tokens on: a few attempts at the store and peers."""


class LateWrites:
    """A connection to the store whose next write of a key takes long to arrive or to be answered.

    Writes still arrive when the caller has given up.
    """

    def __init__(self, connection, clock):
        self._connection = connection
        self._clock = clock
        self.arrives_after_seconds = 0.0
        self.answered_after_seconds = 0.0

    def __getattr__(self, name):
        return getattr(self._connection, name)

    async def put_if(self, key, value, expected_version, lease=""):
        """Write a key by compare-and-swap."""
        task = asyncio.create_task(self._put_late(key, value, expected_version, lease))
        # Nobody waits for the outcome of a write whose caller has given up.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        try:
            async with asyncio.timeout(STORE_TIMEOUT_SECONDS):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise KvUnavailableError("no answer", step="put_if") from error

    async def _put_late(self, key, value, expected_version, lease):
        arrives_after, self.arrives_after_seconds = self.arrives_after_seconds, 0.0
        answered_after, self.answered_after_seconds = self.answered_after_seconds, 0.0
        await self._clock.sleep(arrives_after)
        entry = await self._connection.put_if(key, value, expected_version, lease)
        await self._clock.sleep(answered_after)
        return entry


class Registering:
    """A gateway that registers in a store, in virtual time."""

    def __init__(self):
        self.clock = VirtualClock()
        self.kv = FakeKv(self.clock, random.Random(1))
        self.connection = self.kv.connect("a", STORE_TIMEOUT_SECONDS)
        self.store = LateWrites(self.connection, self.clock)
        self.board = Blackboard(Member("a-1", "a", "z", "", ""), phase=Phase.SERVING)
        # The registration only checks whether there is one.
        self.board.configuration = object()
        self.board.upstreams_revision = 1
        self.registration = Registration(self.board, self.store, self.clock)
        self.withdrawn_after_seconds = None

    async def keys(self):
        """Return the keys of the registered members."""
        return [entry.key for entry in await self.kv.list(MEMBER_PREFIX)]


@given("a gateway that registers in a store")
def given_registering(context):
    context.acts = []
    context.prepare = []


@given("it is registered")
def given_registered(context):
    context.acts.append(lambda scene: scene.registration.registered.wait())


@when("the write of its registration takes effect and is not answered for {seconds:g} seconds")
def when_answered_late(context, seconds):
    def delay(scene):
        scene.store.answered_after_seconds = seconds

    context.prepare.append(delay)


@when("the write of its registration arrives {seconds:g} seconds late")
def when_arrives_late(context, seconds):
    def delay(scene):
        scene.store.arrives_after_seconds = seconds

    context.prepare.append(delay)


@when("the write of its registration is refused once")
def when_refused_once(context):
    def refuse(scene):
        scene.connection.faults.key_prefix = MEMBER_PREFIX
        scene.connection.faults.refuse_next = 1

    context.prepare.append(refuse)


@when("the store refuses writes for {seconds:g} seconds")
def when_refuses(context, seconds):
    async def refuse(scene):
        scene.connection.faults.refuse_probability = 1.0
        asyncio.get_running_loop().call_later(seconds, scene.connection.faults.clear)

    context.acts.append(refuse)


@when("the store answers nothing for {seconds:g} seconds")
def when_silent(context, seconds):
    async def fall_silent(scene):
        scene.connection.faults.outage = True
        asyncio.get_running_loop().call_later(seconds, scene.connection.faults.clear)

    context.acts.append(fall_silent)


@when("the gateway withdraws its registration {seconds:g} seconds later")
def when_withdraws(context, seconds):
    async def withdraw(scene):
        await scene.clock.sleep(seconds)
        began_at = scene.clock.monotonic()
        scene.board.phase = Phase.DRAINING
        await scene.registration.withdraw()
        scene.withdrawn_after_seconds = scene.clock.monotonic() - began_at

    context.acts.append(withdraw)


@when("{seconds:g} seconds pass at the registering gateway")
def when_registering_passes(context, seconds):
    context.acts.append(lambda scene: scene.clock.sleep(seconds))


@then("nothing is registered half a second later")
def then_nothing_registered(context):
    async def look(scene):
        await scene.clock.sleep(CALM_SECONDS)
        assert not await scene.keys(), await scene.keys()

    play_registration(context, look)


@then("the withdrawal ended within {seconds:g} seconds")
def then_withdrawn_within(context, seconds):
    async def look(scene):
        assert scene.withdrawn_after_seconds <= seconds, scene.withdrawn_after_seconds

    play_registration(context, look)


@then("its key is registered, and it knows that")
def then_registered(context):
    async def look(scene):
        assert await scene.keys() == [MEMBER_PREFIX + "a-1"], await scene.keys()
        assert scene.registration.registered.is_set()

    play_registration(context, look)


def play_registration(context, check):
    """Start the registration, run the acts of the scenario and then a check."""

    async def scene():
        registering = Registering()
        for prepare in context.prepare:
            prepare(registering)
        await registering.registration.start()
        for act in context.acts:
            await act(registering)
        await check(registering)
        await registering.registration.stop()

    run_virtual(scene())


@when("all of them begin to stop, and another one starts a second later")
def when_all_stop(context):
    async def stop(world):
        stopping = list(world.nodes)
        for node in stopping:
            begin_stop(world, node)
        await world.clock.sleep(1.0)
        context.list_calls_a_second = await list_calls_a_second(world)
        new = Node(world, len(stopping), "first")
        await new.start()
        await world.clock.sleep(NAMED_WITHIN_SECONDS)
        context.not_naming = [node.vm for node in stopping if not is_named(new, node.board)]
        await new.stop()

    context.acts.append(stop)


@when("all of them begin to stop while the store is away")
def when_all_stop_without_store(context):
    async def stop(world):
        world.away = True
        await world.clock.sleep(1.0)
        for node in world.nodes:
            begin_stop(world, node)
        context.list_calls_a_second = await list_calls_a_second(world)

    context.acts.append(stop)


async def list_calls_a_second(world):
    """Return how often each gateway reads any list in a second, on average."""
    before = world.calls["list"]
    await world.clock.sleep(COUNTED_SECONDS)
    return (world.calls["list"] - before) / COUNTED_SECONDS / len(world.nodes)


@then("a second after its registration all of them name it to callers")
def then_all_name_it(context):
    play_world(context)
    assert not context.not_naming, context.not_naming


@then("they make at most {most:g} calls for lists a second each")
def then_few_list_calls(context, most):
    play_world(context)
    assert context.list_calls_a_second <= most, context.list_calls_a_second


@when(
    "the store is away, and gateway {number:d} returns its tokens while the others don't know that"
)
def when_closed_unknown(context, number):
    async def close(scene):
        scene.store.faults.status = 503
        await until(lambda: not any(item.blackboard.store_reachable for item in scene.applications))
        scene.held = [
            item.holder.held_by_workspace().get(WORKSPACE, 0) for item in scene.applications
        ]
        assert all(scene.held), scene.held
        assert not await scene.applications[number - 1].holder.return_tokens()

    context.gateway.acts.append(close)


@when("gateway {number:d} stops")
def when_gateway_stops(context, number):
    async def stop(scene):
        scene.request_stop(number - 1)
        holder = scene.applications[number - 1].holder
        await until(lambda: not holder.held_by_workspace())
        await asyncio.sleep(PASSED_ON_WITHIN_SECONDS)

    context.gateway.acts.append(stop)


@then("gateway {heir:d} has the tokens of gateway {number:d} and its own")
def then_has_tokens(context, heir, number):
    async def compare(scene):
        available = scene.applications[heir - 1].holder.held_by_workspace()[WORKSPACE]
        expected = scene.held[heir - 1] + scene.held[number - 1]
        assert available == expected, (available, scene.held)

    check_gateways(context, compare)


@when("holder {heir:d} takes over the tokens of holder {number:d}, and then returns its own")
def when_takes_over(context, heir, number):
    async def take_over(bench):
        bench.kv.faults.outage = True
        bench.refresh()
        holder = bench.holders_by_name[f"g{number}"]
        await holder.return_tokens()
        context.inherit_request = holder.inherit_request()
        context.heir = bench.holders_by_name[f"g{heir}"]
        assert context.heir.inherit(context.inherit_request)
        await context.heir.return_tokens()

    context.acts.append(take_over)


@then(
    "holder {heir:d} confirms the tokens of holder {number:d} again, and refuses those of another "
    "one"
)
def then_confirms(context, heir, number):
    async def repeat(bench):
        assert context.heir.inherit(context.inherit_request)
        other = InheritRequest("another", context.inherit_request.inheritances)
        assert not context.heir.inherit(other)

    play_holders(context, repeat)


@when("{count:d} of them begin to stop, and another one does not list them any more")
def when_withdrawn(context, count):
    async def stop(world):
        context.stopping = world.nodes[:count]
        for node in context.stopping:
            begin_stop(world, node)
        gone = {node.board.own.incarnation for node in context.stopping}

        def unaware():
            listed = ((node, node.board.members_by_incarnation) for node in world.nodes[count:])
            return [node for node, members in listed if not gone & members.keys()]

        await world.seconds_until(lambda node: unaware(), WITHDRAWN_WITHIN_SECONDS)
        context.serving = unaware()[0]

    context.acts.append(stop)


@when(
    "{teller} gateway learns that an upstream is leaving, another one limited and a third one cold"
)
def when_learns(context, teller):
    async def learn(world):
        if teller == "a serving":
            node = context.serving
        elif teller == "a stopping":
            node = context.stopping[0]
        else:
            node = Node(world, len(world.nodes), "first")
            world.nodes.append(node)
            await node.start()
            await world.clock.sleep(NEW_KNOWN_WITHIN_SECONDS)
        tell_peers(node)

    context.acts.append(learn)


def tell_peers(node):
    """Let a gateway get answers that its peers must hear of."""
    leaving, limited, cold = (node.board.upstreams_by_id[f"up-{number}"] for number in range(3))
    answered = functools.partial(AnswerHead, 200, (), False, "r", True)
    node.signals.answer_received(leaving, answered(leaving=True))
    node.signals.answer_received(limited, answered(max_requests_per_second=LIMIT_PER_SECOND))
    node.signals.answer_received(cold, answered(cold_seconds=COLD_SECONDS))


@then("a tenth of a second later the stopping gateways know that, too")
def then_know_too(context):
    async def look(world):
        await world.clock.sleep(0.1)
        context.untold = [node.vm for node in context.stopping if not knows_upstreams(node)]

    context.acts.append(look)
    play_world(context)
    assert not context.untold, context.untold


def knows_upstreams(node):
    """Tell whether a gateway knows what another one learned of three upstreams."""
    leaving, limited, cold = (node.board.upstreams_by_id[f"up-{number}"] for number in range(3))
    states = node.upstream_states
    return (
        states.is_leaving(leaving)
        and states.get(limited).rate_limit.announced == LIMIT_PER_SECOND
        and node.cold_starts.rate(cold) is not None
    )


@when("these {count:d} end, and {seconds:d} seconds pass")
def when_ended(context, count, seconds):
    async def end(world):
        assert len(context.stopping) == count
        for node in context.stopping:
            await node.stop()
        await world.clock.sleep(seconds)

    context.acts.append(end)


@when("these {count:d} end, and start again")
def when_restarted(context, count):
    async def restart(world):
        assert len(context.stopping) == count
        for number, node in enumerate(context.stopping):
            await node.stop()
            world.nodes[number] = Node(world, number, "second")
            await world.nodes[number].start()
        await world.clock.sleep(NEW_KNOWN_WITHIN_SECONDS)

    context.acts.append(restart)


@then("a serving gateway sends notices about upstreams to {count:d} addresses")
def then_sent_to(context, count):
    async def tell(world):
        before = world.network.sent_by_type[LeavingNotice]
        tell_peers(context.serving)
        context.notices = world.network.sent_by_type[LeavingNotice] - before

    context.acts.append(tell)
    play_world(context)
    assert context.notices == count, context.notices
