"""Steps for requests that crash upstreams, on real gateways and stand-ins."""

from behave import given, then, when

from features.fixtures_gateway import Scene, configuration, until
from quinceferry_gateway.logs import log
from quinceferry_standins.managed_upstream import Answered, Broken, Streaming

TOKENS = {"x_quinceferry_token_count": "100,40", "x_quinceferry_prompt_prefix": "a:60,b:40"}
CONCLUDED_SECONDS = 3.0
"""Time within which the platform wants a request that has crashed three upstreams to be known."""


@given("a fleet of {count:d} gateway before {upstreams:d} upstreams of service {service}")
@given("a fleet of {count:d} gateways before {upstreams:d} upstreams of service {service}")
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
