"""Steps for requests that crash upstreams, on real gateways and stand-ins."""

import asyncio
import itertools
import random
import time
from collections import deque
from types import SimpleNamespace

from behave import given, then, when

from features.fixtures_fleet import Node
from features.fixtures_fleet_faults import cut_link
from features.fixtures_gateway import Scene, configuration, until
from features.steps.gateway_fleet import play
from quinceferry_core.quarantine import RunStage
from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.logs import log
from quinceferry_standins.managed_upstream import Answered, Broken, Streaming

SLOW_STREAM = Streaming(12, pause_seconds=0.05)
RESTART_SECONDS = 0.5
"""Time after which the next upstream is listed in place of one that has crashed."""
TOLD_SECONDS = 2.0
"""Time in which each gateway has told all others what it saw, and digests have gone around."""
TOKENS = {"x_quinceferry_token_count": "100,40", "x_quinceferry_prompt_prefix": "a:60,b:40"}


@given("a fleet of {count:d} gateway before {upstreams:d} upstreams of service {service}")
@given("a fleet of {count:d} gateways before {upstreams:d} upstreams of service {service}")
@given("a fleet of {count:d} gateways before {upstreams:d} upstream of service {service}")
def given_fleet(context, count, upstreams, service):
    context.fleet = scene = Scene(configuration(), gateways=count)
    behaviour = Streaming(3) if service == "llm" else Answered()
    for number in range(1, upstreams + 1):
        scene.add_upstream(f"{service}-{number}", service, behaviour)

    async def meet(scene):
        boards = [item.blackboard for item in scene.applications]
        await until(lambda: all(len(board.usable_members()) == count for board in boards))

    scene.acts.append(meet)


@given("its log is kept")
def given_log(context):
    original = log.change, log.failure
    context.lines = []

    def keep(event, **fields):
        context.lines.append({"event": event, **fields})

    log.change = log.failure = keep
    context.add_cleanup(setattr, log, "change", original[0])
    context.add_cleanup(setattr, log, "failure", original[1])


@given('"{body}" crashes all upstreams of the fleet')
def given_fatal(context, body):
    for upstream in context.fleet.upstreams_by_id.values():
        upstream.fatal_body = body.encode()


@given('"{body}" crashes all upstreams of the fleet, and another one starts for each')
def given_replaced(context, body):
    given_fatal(context, body)

    async def replace(scene):
        while True:
            for key, upstream in list(scene.upstreams_by_id.items()):
                if upstream.crashed and f"{key}-next" not in scene.upstreams_by_id:
                    await start_next(scene, key, upstream.fatal_body)
            await asyncio.sleep(0.05)

    async def begin(scene):
        task = asyncio.create_task(replace(scene))
        scene.ending.callback(task.cancel)

    context.fleet.acts.append(begin)


@given(
    '"{body}" crashes all upstreams of the fleet, and each is back after {seconds:g} seconds under '
    "its identifier"
)
def given_back(context, body, seconds):
    given_fatal(context, body)
    context.crashed_at = []

    async def bring_back(scene):
        while True:
            crashed = [item for item in scene.upstreams_by_id.values() if item.crashed_at]
            for upstream in crashed:
                context.crashed_at.append(upstream.crashed_at)
                upstream.crashed_at = None
                tasks.append(asyncio.create_task(restart(scene, upstream, seconds)))
            await asyncio.sleep(0.02)

    tasks = []

    async def begin(scene):
        await scene.register(**{key: {"born": 1} for key in scene.upstreams_by_id})
        tasks.append(asyncio.create_task(bring_back(scene)))
        scene.ending.callback(lambda: [task.cancel() for task in tasks])

    context.fleet.acts.append(begin)


async def restart(scene, upstream, seconds):
    """Start an upstream again some seconds after its crash, as a later lifetime."""
    await asyncio.sleep(seconds)
    await upstream.restart()
    await scene.register_one(upstream.id, born=round(time.time() * 1000))


@when(
    '"{body}" comes on {target} for {seconds:d} seconds, whenever an upstream is up, and with seed '
    "{seed:d}"
)
def when_comes(context, body, target, seconds, seed):
    async def ask(scene):
        draws, ends_at = random.Random(seed), asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(draws.uniform(0.1, 0.4))
            if any(not item.crashed for item in scene.upstreams_by_id.values()):
                gateway = draws.randrange(len(scene.applications))
                await scene.ask("POST", target, body.encode(), gateway=gateway)

    context.fleet.acts.append(ask)


@then(
    "it reaches upstreams at most {most:d} times later than {seconds:d} seconds after the third "
    "crash"
)
def then_seldom(context, most, seconds):
    context.fleet.play()
    third = sorted(context.crashed_at)[2]
    arrived_at = [at for item in context.fleet.upstreams_by_id.values() for at in item.arrived_at]
    late = [round(at - third, 2) for at in sorted(arrived_at) if at > third + seconds]
    assert len(late) <= most, (len(context.crashed_at), late)


@when(
    'gateway {number:d} loses its links {times:d} times while it sends "{body}" on {target}, and '
    "connections are refused"
)
def when_loses(context, number, times, body, target):
    async def lose(scene):
        for upstream in scene.upstreams_by_id.values():
            upstream.script = deque([Answered(delay_seconds=1.0)])
        for _ in range(times):
            request = scene.ask("POST", target, body.encode(), gateway=number - 1)
            task = asyncio.create_task(request)
            await asyncio.sleep(0.3)
            scene.cut_links(number - 1, refuses=True)
            for upstream in scene.upstreams_by_id.values():
                upstream.reset_connections()
            await asyncio.sleep(0.7)
            scene.heal_links(number - 1)
            await task
            await asyncio.sleep(1.5)

    context.fleet.acts.append(lose)


@then('the log has "{event}" for these cuts')
def then_has(context, event):
    assert any(line["event"] == event for line in context.lines), context.lines


async def start_next(scene, key, fatal_body):
    """Start another upstream in place of one that has crashed."""
    name = f"{key}-next"
    scene.add_upstream(name, scene.services_by_id[key], SLOW_STREAM)
    upstream = scene.upstreams_by_id[name]
    upstream.fatal_body = fatal_body
    await upstream.start()
    scene.ending.push_async_callback(upstream.stop)
    await asyncio.sleep(RESTART_SECONDS)
    await scene.store.remove(f"servers/{key}")
    await scene.register_one(name)


@when(
    '{callers:d} callers stream other things meanwhile, and "{body}" comes {times:d} times, with '
    "seed {seed:d}"
)
def when_crowd(context, callers, body, times, seed):
    async def crowd(scene):
        draws = random.Random(seed)
        for upstream in scene.upstreams_by_id.values():
            upstream.script = deque([SLOW_STREAM])
        others = [
            asyncio.create_task(call_again(scene, number, draws)) for number in range(callers)
        ]
        for _ in range(times):
            await asyncio.sleep(draws.uniform(0.2, 0.8))
            gateway = draws.randrange(len(scene.applications))
            await scene.ask("POST", "/draft/", body.encode(), gateway=gateway, **TOKENS)
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        context.crashed = [key for key, item in scene.upstreams_by_id.items() if item.crashed]

    context.fleet.acts.append(crowd)


async def call_again(scene, number, draws):
    """Send one request after another, and each once more when it was not answered."""
    for request in itertools.count():
        body = f"caller {number}, request {request}".encode()
        for _ in range(2):
            gateway = draws.randrange(len(scene.applications))
            answer = await scene.ask("POST", "/draft/", body, gateway=gateway, **TOKENS)
            if answer.status == 200 and answer.whole:
                break


@then("{least:d} to {most:d} upstreams of the fleet have crashed")
def then_some_crashed(context, least, most):
    context.fleet.play()
    assert least <= len(context.crashed) <= most, context.crashed


@then('nothing but "{body}" was refused for its content')
def then_only_refused(context, body):
    refused = [line for line in context.lines if line.get("reason") == "quarantined"]
    assert refused and len({line["detail"] for line in refused}) == 1, refused
    assert sum(answer.status == 200 for answer in context.fleet.answers) > len(refused)


@when("{first} and {second} break the next connection")
def when_break(context, first, second):
    async def change(scene):
        for name in (first, second):
            scene.upstreams_by_id[name].script.appendleft(Broken())

    context.fleet.acts.append(change)


@when('gateway {number:d} gets "{body}" on {target} {times:d} time')
@when('gateway {number:d} gets "{body}" on {target} {times:d} times')
def when_gets(context, number, body, target, times):
    async def ask(scene):
        for _ in range(times):
            await scene.ask("POST", target, body.encode(), gateway=number - 1, **TOKENS)

    context.fleet.acts.append(ask)


@when('the gateways get "{body}" on {target} in turn, {times:d} times')
def when_in_turn(context, body, target, times):
    async def ask(scene):
        for number in range(times):
            gateway = number % len(scene.applications)
            await scene.ask("POST", target, body.encode(), gateway=gateway, **TOKENS)

    context.fleet.acts.append(ask)


@then('the log names "{event}" {times:d} time')
@then('the log names "{event}" {times:d} times')
def then_log(context, event, times):
    if not context.fleet.answers:
        context.fleet.play()
    context.named = [line for line in context.lines if line["event"] == event]
    assert len(context.named) == times, context.lines


@then("all of these lines name the same content")
def then_same(context):
    contents = {line["content"] for line in context.named}
    assert len(contents) == 1 and all(contents), contents


@then("{count:d} upstreams of the fleet have crashed")
def then_crashed(context, count):
    def crashed(scene):
        context.crashed = [key for key, item in scene.upstreams_by_id.items() if item.crashed]

    context.fleet.acts.append(crashed)
    context.expected = count


@then("the last {count:d} were refused with {status:d}, and told when to come back")
def then_refused(context, count, status):
    def refused(scene):
        context.refused = list(scene.answers[-count:])

    context.fleet.acts.append(refused)
    context.refusal = (count, status)


@then('"{body}" on {target} is answered at each gateway')
def then_answered(context, body, target):
    async def ask(scene):
        for number in range(len(scene.applications)):
            await scene.ask("POST", target, body.encode(), gateway=number, **TOKENS)

    context.fleet.play(ask)
    assert len(context.crashed) == context.expected, context.crashed
    if "refusal" in context:
        count, status = context.refusal
        found = [(item.status, b"retry-after" in item.headers) for item in context.refused]
        assert found == [(status, True)] * count, found
    served = context.fleet.answers[-len(context.fleet.applications) :]
    assert all(item.status == 200 and item.whole for item in served), served


class FatalRequest:
    """One request with the content that crashes upstreams, as far as a crash watch looks at it."""

    fingerprint = "content-of-one-caller"
    traits = ()
    service = "llm"
    call = SimpleNamespace(request_id="r")


def see_crash(context, world, node):
    """Let a gateway see one more upstream crash under the content."""
    context.seen = getattr(context, "seen", 0) + 1
    upstream = Upstream(f"gone-{context.seen}", "llm", "10.0.1.9:80", "z", 4, False)
    return node.crashes.connection_closed(FatalRequest, upstream, RunStage.BEGUN)


async def see_crashes(context, world, count):
    """Let some gateways see one crash each, a second apart."""
    nodes = world.living[2:] if len(world.living) > 3 else world.living
    for number, node in enumerate(nodes[:count]):
        await world.clock.sleep(1.0 if number else 0.0)
        await see_crash(context, world, node)


@when("{count} gateways each see one crash under the same content")
def when_see(context, count):
    number = {"two": 2, "three": 3}[count]
    context.acts.append(lambda world: see_crashes(context, world, number))


@when("the store is away for {seconds:d} seconds, and three gateways each see one crash meanwhile")
def when_see_in_outage(context, seconds):
    async def see(world):
        world.away = True
        await see_crashes(context, world, 3)
        await world.clock.sleep(seconds - 2)
        world.away = False

    context.acts.append(see)


@when("gateway {number:d} is killed and starts again")
def when_restarts(context, number):
    async def restart(world):
        await world.nodes[number - 1].stop()
        world.nodes[number - 1] = node = Node(world, number - 1, "second")
        await node.start()

    context.acts.append(restart)


@when("{seconds:d} second passes until all gateways are killed and start again")
def when_all_restart(context, seconds):
    async def restart(world):
        await world.clock.sleep(seconds)
        for node in world.nodes:
            await node.stop()
        world.nodes = [Node(world, number, "second") for number in range(len(world.nodes))]
        await world.start()

    context.acts.append(restart)


@when("gateways {first:d} and {second:d} are cut off from the others")
def when_cut(context, first, second):
    async def cut(world):
        for number in (first, second):
            for other in world.nodes:
                cut_link(world, world.nodes[number - 1], other)
                cut_link(world, other, world.nodes[number - 1])

    context.acts.append(cut)


@when("the cut is over")
def when_healed(context):
    async def heal(world):
        await world.clock.sleep(TOLD_SECONDS)
        refusing = [
            node.vm for node in world.nodes if node.crashes.quarantine_seconds(FatalRequest)
        ]
        assert len(refusing) == len(world.nodes) - 2, refusing
        world.network.cut.clear()

    context.acts.append(heal)


@when("gateway {number:d} answers the same content")
def when_answers(context, number):
    async def answer(world):
        await world.clock.sleep(TOLD_SECONDS)
        world.nodes[number - 1].crashes.request_completed(FatalRequest)
        await world.clock.sleep(TOLD_SECONDS)

    context.acts.append(answer)


@then("all gateways refuse it within {seconds:d} seconds")
def then_all_refuse(context, seconds):
    context.acts.append(
        lambda world: world.seconds_until(
            lambda node: node.crashes.quarantine_seconds(FatalRequest), seconds
        )
    )
    play(context)


@then("no gateway refuses it after {seconds:d} seconds")
def then_none_refuses(context, seconds):
    async def look(world):
        await world.clock.sleep(seconds)
        refusing = [
            node.vm for node in world.nodes if node.crashes.quarantine_seconds(FatalRequest)
        ]
        assert not refusing, refusing
        assert all(node.crashes.may_retry(FatalRequest) is False for node in world.nodes)

    context.acts.append(look)
    play(context)


@then(
    "the store holds one record of it after {seconds:d} seconds, written by at most {most:d} "
    "gateways"
)
def then_one_record(context, seconds, most):
    async def look(world):
        await world.clock.sleep(seconds)
        assert list(world.records_by_key) == [f"quinceferry/quarantine/{FatalRequest.fingerprint}"]
        assert 1 <= world.calls["put_if"] <= most, world.calls

    context.acts.append(look)
    play(context)
