"""Steps for the gateway on stand-ins of the users' platform."""

import asyncio
import json

from behave import given, then, when

from features.fixtures_gateway import HOST, WORKSPACE, Scene, configuration, until
from quinceferry_gateway.decisions.cached_prefixes import hash_prefix
from quinceferry_gateway.rendezvous import rank_candidates
from quinceferry_standins.managed_upstream import (
    Answered,
    Broken,
    Declined,
    EndlessEvent,
    Hanging,
    Streaming,
    event_bytes,
)

TOKENS = {"x_quinceferry_token_count": "100,40", "x_quinceferry_prompt_prefix": "a:60,b:40"}

BEHAVIOURS = {
    "answers": Answered(),
    "fails": Answered(500, b"failed"),
    "declines": Declined(),
    "answers for another request": Answered(foreign="someone-else"),
    "answers without its mark": Answered(sealed=False),
    "answers without a length": Answered(framed=False),
    "breaks the connection": Broken(),
    "breaks its body off": Broken(b"half"),
    "never answers": Hanging(),
    "answers late": Answered(delay_seconds=1.8),
    "streams 5 events": Streaming(5),
    "breaks after 2 events": Streaming(5, 2, "reset"),
    "breaks within event 3": Streaming(5, 2, "partial"),
    "falls silent after 2 events": Streaming(5, 2, "silent"),
    "sends an event without end": EndlessEvent(),
    "sends an event without end slowly": EndlessEvent(chunk_bytes=1_000, pause_seconds=0.02),
    "streams slowly": Streaming(400, pause_seconds=0.05),
    "streams 40 events in 2 seconds": Streaming(40, pause_seconds=0.05),
}

CHARGED_TOKENS = "quinceferry_gateway_charged_tokens_total"


@given("a gateway before the services")
def given_gateway(context):
    context.gateway = Scene()


@given("{count:d} gateway before the services with {tokens:d} prepaid tokens")
@given("{count:d} gateways before the services with {tokens:d} prepaid tokens")
def given_gateways(context, count, tokens):
    context.gateway = Scene(configuration(prepaid=tokens), gateways=count)


@given("a gateway without a configuration")
def given_bare_gateway(context):
    context.gateway = Scene({})


@given('upstream {name} of service {service} that "{behaviours}"')
def given_upstream(context, name, service, behaviours):
    script = [BEHAVIOURS[item] for item in behaviours.split(", then ")]
    context.gateway.add_upstream(name, service, *script)


@given('two upstreams of service {service}: the first choice "{first}", the other "{other}"')
def given_first_choice(context, service, first, other):
    for name, behaviour in zip(ranked_upstreams(service), (first, other), strict=True):
        context.gateway.add_upstream(name, service, BEHAVIOURS[behaviour])


def ranked_upstreams(service):
    """Return the two upstreams of a service, the first choice of the scenarios' prompt first."""
    return rank_candidates(hash_prefix(["a"]), [f"{service}-1", f"{service}-2"])


@given("upstream {name} of service {service} that is gone without a word")
def given_dead_upstream(context, name, service):
    context.gateway.add_upstream(name, service, Answered())

    async def kill(scene):
        await scene.upstreams_by_id[name].stop()

    context.gateway.acts.append(kill)


@when("upstream {name} is in another availability zone")
def when_elsewhere(context, name):
    move_upstreams(context, {name: "zone-b"})


def move_upstreams(context, zone_by_name):
    """Register upstreams in other zones, and wait until the gateway lists them there."""

    async def move(scene):
        await scene.register(**{name: {"zone": zone} for name, zone in zone_by_name.items()})
        board = scene.applications[0].blackboard
        await until(
            lambda: all(
                board.upstreams_by_id[name].zone == zone for name, zone in zone_by_name.items()
            )
        )

    context.gateway.acts.append(move)


@when("{count:d} request after another is posted to {target}")
@when("{count:d} requests after another are posted to {target}")
def when_posted(context, count, target):
    repeat(context, count, "POST", target)


@when("{count:d} request after another reads {target}")
@when("{count:d} requests after another read {target}")
def when_read(context, count, target):
    repeat(context, count, "GET", target)


def repeat(context, count, method, target):
    """Send some requests, one after the other."""

    async def send(scene):
        for _ in range(count):
            await scene.ask(method, target, b"body")

    context.gateway.acts.append(send)


@when("a {kind} route to service llm is asked for a whole answer")
def when_whole_answer(context, kind):
    route = {"name": "whole", "prefix": "/whole/", "kind": kind, "service": "llm", "host": HOST}
    route |= {"timeout_ms": 4000, "slo_ms": 500, "attempts": 1}
    context.gateway.document = configuration(routes=[route])
    context.gateway.acts.append(lambda scene: scene.ask("POST", "/whole/a", b"{}", **TOKENS))


@when("a stream of {target} is asked for")
def when_streams(context, target):
    context.gateway.acts.append(lambda scene: scene.ask("POST", target, b"{}", **TOKENS))


@when("{target} is asked for without token counts")
def when_asked_without_counts(context, target):
    context.gateway.acts.append(lambda scene: scene.ask("POST", target, b"{}"))


@when("gateway {number:d} is asked to stream {target} for at most {tokens:d} tokens")
def when_streams_at(context, target, tokens, number):
    counts = {"x_quinceferry_token_count": f"{tokens},0"}
    context.gateway.acts.append(
        lambda scene: scene.ask("POST", target, b"{}", gateway=number - 1, **counts)
    )


@when("gateway {number:d} begins to stream {target} for at most {tokens:d} tokens")
def when_begins(context, target, tokens, number):
    counts = {"x_quinceferry_token_count": f"{tokens},0"}

    async def begin(scene):
        context.running = asyncio.create_task(
            scene.ask("POST", target, b"{}", gateway=number - 1, **counts)
        )
        context.add_cleanup(context.running.cancel)
        await until(lambda: scene.runs == 1, lambda: scene.answers)

    context.gateway.acts.append(begin)


@when("gateway {number:d} is asked meanwhile to stream {target} for at most {tokens:d} tokens")
def when_asked_meanwhile(context, target, tokens, number):
    counts = {"x_quinceferry_token_count": f"{tokens},0"}

    async def ask(scene):
        context.meanwhile = await scene.ask("POST", target, b"{}", gateway=number - 1, **counts)

    context.gateway.acts.append(ask)


@then("the second caller is answered {status:d}")
def then_second_answered(context, status):
    check(context)
    assert context.meanwhile.status == status, context.meanwhile.status


@when('a request carries header {name} "{value}"')
def when_sends_header(context, name, value):
    changes = {name.replace("-", "_"): value}
    context.gateway.acts.append(lambda scene: scene.ask("GET", "/get/a", **changes))


@when("a request lacks header {name}")
def when_sends_without(context, name):
    changes = {name.replace("-", "_"): None}
    context.gateway.acts.append(lambda scene: scene.ask("GET", "/get/a", **changes))


@when("a request has a body of {size:d} bytes")
def when_sends_large(context, size):
    context.gateway.acts.append(lambda scene: scene.ask("POST", "/post/a", b"x" * size))


@when("a caller leaves during a stream")
def when_leaves(context):
    async def leave(scene):
        task = asyncio.create_task(scene.ask("POST", "/draft/a", b"{}", **TOKENS))
        await until(lambda: scene.runs == 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.gateway.acts.append(leave)


@when("the operators publish version {version:d} without routes")
def when_publishes(context, version):
    async def publish(scene):
        await scene.publish(configuration(version, routes=[]))
        await asyncio.sleep(1.5)

    context.gateway.acts.append(publish)


@when('the operators\' document becomes "{text}"')
def when_malformed(context, text):
    async def publish(scene):
        await scene.publish(text.encode())
        await asyncio.sleep(1.5)

    context.gateway.acts.append(publish)


@when("upstream {name} begins to leave")
def when_drains(context, name):
    async def drain(scene):
        await scene.register(**{name: {"state": "draining"}})
        board = scene.applications[0].blackboard
        await until(lambda: board.upstreams_by_id[name].draining)

    context.gateway.acts.append(drain)


@when("the store goes silent")
def when_store_silent(context):
    async def silence(scene):
        scene.store.faults.silent = True
        board = scene.applications[0].blackboard
        await until(lambda: not board.store_reachable)

    context.gateway.acts.append(silence)


@when("the store answers {seconds:g} seconds late")
def when_store_late(context, seconds):
    async def delay(scene):
        scene.store.faults.delay_seconds = seconds

    context.gateway.acts.append(delay)


@when("the gateway is told to stop during a stream")
def when_stops(context):
    async def stop(scene):
        running = asyncio.create_task(scene.ask("POST", "/draft/a", b"{}", **TOKENS))
        await until(lambda: scene.runs == 1)
        scene.request_stop()
        await asyncio.sleep(0.2)
        listen = scene.applications[0].settings.listen
        scene.readiness = await scene.fetch(listen.readiness, "/v1/readyz")
        scene.resolution = await scene.fetch(listen.directory, "/v1/resolve?name=books.example")
        scene.late = await scene.ask("GET", "/get/a")
        await running

    context.gateway.acts.append(stop)


@when("gateway {number:d} knows that all hold {tokens:d} tokens")
def when_knows(context, number, tokens):
    async def wait(scene):
        board = scene.applications[number - 1].blackboard
        await until(lambda: len(board.usable_members()) == len(scene.applications))
        await until(
            lambda: all(
                item.holder.held_by_workspace().get(WORKSPACE) == tokens
                for item in scene.applications
            )
        )

    context.gateway.acts.append(wait)


def check(context, *checks):
    """Play the scene with checks at its end."""
    context.gateway.play(*checks)


@then("the gateway answers {status:d}")
def then_status(context, status):
    check(context)
    assert context.gateway.answers[-1].status == status, context.gateway.answers[-1]


@then("the gateway answers in turn {statuses}")
def then_statuses(context, statuses):
    check(context)
    got = [answer.status for answer in context.gateway.answers]
    assert got == [int(status) for status in statuses.split(", ")], context.gateway.answers


@then("is told when to come back")
def then_retry_after(context):
    assert float(context.gateway.answers[-1].headers[b"retry-after"]) > 0


@then("{runs:d} request reached an upstream")
@then("{runs:d} requests reached an upstream")
def then_runs(context, runs):
    assert context.gateway.runs == runs, context.gateway.runs


@then("the caller gets the answer of upstream {name} unchanged")
def then_unchanged(context, name):
    check(context)
    answer = context.gateway.answers[-1]
    assert answer.status == 200 and answer.whole and answer.body == b"done", answer
    assert answer.headers[b"x-quinceferry-server-seal"] == b"seal-of-r0"
    assert len(context.gateway.upstreams_by_id[name].seen) == 1


@then("the upstream sees the request without its key, and for {workspace}")
def then_headers(context, workspace):
    (seen,) = next(iter(context.gateway.upstreams_by_id.values())).seen
    assert (seen.method, seen.target, seen.body) == (b"POST", b"/post/a?b=c", b"body"), seen
    assert b"x-quinceferry-credential" not in seen.headers
    assert seen.headers[b"x-quinceferry-tenant"] == workspace.encode()
    assert 0 < int(seen.headers[b"x-quinceferry-deadline-ms"]) <= 4000


@then("the upstream never sees header {name}")
def then_never_sees(context, name):
    check(context)
    (seen,) = next(iter(context.gateway.upstreams_by_id.values())).seen
    assert name.encode() not in seen.headers, seen


@then("the caller gets events 1 to {last:d}, each once, from its first upstream")
def then_events(context, last):
    check(context)
    answer = context.gateway.answers[-1]
    assert answer.whole, answer
    assert answer.body == b"".join(event_bytes(number) for number in range(1, last + 1)), answer


@then("the caller sees events 1 to {last:d} and then a broken connection")
def then_broken(context, last):
    check(context)
    answer = context.gateway.answers[-1]
    assert not answer.whole, answer
    assert answer.body == b"".join(event_bytes(number) for number in range(1, last + 1)), answer


@then("the upstream's connection is closed soon")
def then_closed(context):
    def closed(scene):
        (upstream,) = scene.upstreams_by_id.values()
        return until(lambda: upstream.closed_by_peer == 1)

    check(context, closed)


@then("the workspace is charged {tokens:d} tokens")
def then_charged(context, tokens):
    def charged(scene):
        accounts = scene.applications[0].holder.spent_by_workspace
        return until(lambda: accounts() == {WORKSPACE: tokens}, accounts)

    check(context, charged)


@then("it is no longer ready nor named, serves on, and ends the stream whole")
def then_graceful(context):
    check(context)
    scene = context.gateway
    assert scene.readiness.status == 503
    assert scene.resolution.status == 503, scene.resolution
    assert scene.late.status == 200
    assert scene.answers[-1].whole and scene.answers[-1].status == 200


@then("after the stop the record holds {tokens:d} spent tokens and no allotment")
def then_returned(context, tokens):
    scene = context.gateway
    record = json.loads(scene.store.value("quinceferry/budgets/0"))
    budget = record["budgets_by_workspace"][WORKSPACE]
    assert budget == {"spent": tokens}, budget


@when("{seconds:g} seconds pass at the gateway")
def when_pass(context, seconds):
    context.gateway.acts.append(lambda _scene: asyncio.sleep(seconds))


@then("the store holds no registration, and callers are told no address")
def then_not_registered(context):
    async def absent(scene):
        items = scene.store.content.items_by_key
        assert not [key for key in items if key.startswith("quinceferry/members/")], items
        directory = scene.applications[0].settings.listen.directory
        resolution = await scene.fetch(directory, "/v1/resolve?name=a&region=b&zone=c")
        assert resolution.status == 503, resolution

    check(context, absent)


@then("the store holds a registration with a lease")
def then_registered(context):
    def registered(scene):
        items = scene.store.content.items_by_key
        (member,) = [key for key in items if key.startswith("quinceferry/members/")]
        assert items[member].lease

    check(context, registered)


@then("the metrics count {count:d} request with outcome {outcome}")
def then_metrics(context, count, outcome):
    async def scrape(scene):
        listen = scene.applications[0].settings.listen
        reply = await scene.fetch(listen.metrics, "/metrics")
        line = next(
            line
            for line in reply.body.decode().splitlines()
            if line.startswith("quinceferry_gateway_requests") and f'outcome="{outcome}"' in line
        )
        assert line.endswith(f" {count}.0"), line

    check(context, scrape)


@then("the metrics charge {tokens:d} tokens as {outcome}")
def then_charged(context, tokens, outcome):
    async def scrape(scene):
        listen = scene.applications[0].settings.listen
        reply = await scene.fetch(listen.metrics, "/metrics")
        lines = reply.body.decode().splitlines()
        line = next(item for item in lines if item.startswith(f"{CHARGED_TOKENS}{{"))
        assert f'outcome="{outcome}"' in line, line
        assert line.endswith(f" {tokens}.0"), line

    check(context, scrape)


@then("the answer took less than {seconds:d} seconds")
def then_took(context, seconds):
    answer = context.gateway.answers[-1]
    assert answer.seconds < seconds, answer
