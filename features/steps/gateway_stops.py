"""Steps for requests that reach a stopping gateway."""

import asyncio
import contextlib
import itertools
import random
import re
import time

from behave import given, then, when

from features.fixtures_gateway import (
    GRACE_SECONDS,
    HOST,
    PATIENCE_SECONDS,
    configuration,
    until,
)
from features.steps.gateway import TOKENS, check
from features.steps.gateway_fleet import play as play_world
from quinceferry_gateway.addresses import host_and_port
from quinceferry_gateway.blackboard import Phase
from quinceferry_gateway.fleet_api import caller_addresses
from quinceferry_standins.managed_upstream import REQUEST_ID

CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
WAITING_ROUTE = {"name": "long", "prefix": "/post/", "kind": "unsafe", "service": "app"} | {
    "host": HOST,
    "timeout_ms": 20_000,
    "slo_ms": 500,
    "priority": 2,
    "attempts": 1,
}
ADDRESS_LIFETIME_SECONDS = 1.0
"""How long callers keep an answer to an address lookup."""
MAX_REFUSAL_SECONDS = 0.5
"""Time in which a refusal must arrive: more than it needs, less than any wait for an upstream."""
MAX_RETRY_AFTER_SECONDS = 0.5
"""Another gateway serves the caller at once."""


@when("the gateway is told to stop")
def when_told_to_stop(context):
    def stop(scene):
        scene.stop_requested_at = time.monotonic()
        scene.request_stop()

    context.gateway.acts.append(stop)


@when("{seconds:g} seconds later a caller reads {target}")
def when_read_later(context, seconds, target):
    ask_later(context, seconds, "GET", target)


@when("{seconds:g} seconds later a caller asks for a stream of {target}")
def when_streamed_later(context, seconds, target):
    ask_later(context, seconds, "POST", target, b"{}")


def ask_later(context, seconds, method, target, body=b"", **headers):
    """Send a request some time after the stop began."""

    async def ask(scene):
        await asyncio.sleep(scene.stop_requested_at + seconds - time.monotonic())
        began_at = time.monotonic()
        scene.late_answer = await scene.ask(method, target, body, **headers)
        scene.answered_after_seconds = time.monotonic() - began_at

    context.gateway.acts.append(ask)


@when("a caller looks its addresses up")
def when_looked_up(context):
    async def look_up(scene):
        listen = scene.applications[0].settings.listen
        await scene.fetch(listen.directory, f"/v1/resolve?name={HOST}")

    context.gateway.acts.append(look_up)


@then("the stopping gateway counts {requests:d} request and {answers:d} address answer")
def then_counted(context, requests, answers):
    async def compare(scene):
        listen = scene.applications[0].settings.listen
        metrics = (await scene.fetch(listen.metrics, "/metrics")).body.decode()
        assert f"quinceferry_gateway_requests_while_stopping_total {requests}.0" in metrics, metrics
        line = 'quinceferry_gateway_address_answers_total{found="false",phase="draining"}'
        assert f"{line} {answers}.0" in metrics, metrics

    check(context, compare)


@given("a caller that receives a stream")
def given_streaming(context):
    async def begin(scene):
        context.streaming = asyncio.create_task(scene.ask("POST", "/draft/a", b"{}", **TOKENS))
        context.add_cleanup(context.streaming.cancel)
        await until(lambda: scene.runs == 1)

    context.gateway.acts.append(begin)


@given("{count:d} callers that send one short request after another on open connections")
def given_busy_callers(context, count):
    async def begin(scene):
        address = scene.applications[0].settings.listen.callers
        scene.answered_ids = []
        context.callers = [
            asyncio.create_task(_send_until_closed(scene, address, f"caller-{number}"))
            for number in range(count)
        ]
        await until(lambda: len(scene.answered_ids) > 2 * count)

    context.gateway.acts.append(begin)


async def _send_until_closed(scene, address, name):
    """Send requests on one connection until it is closed, and keep the ids of those answered."""
    reader, writer = await asyncio.open_connection(*host_and_port(address))
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        for number in itertools.count():
            request_id = f"{name}-{number}"
            headers = scene.headers(**{"x-quinceferry-request-id": request_id})
            lines = b"".join(name + b": " + value + b"\r\n" for name, value in headers)
            writer.write(b"GET /get/short/a HTTP/1.1\r\n" + lines + b"\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(CONTENT_LENGTH.search(head)[1]))
            scene.answered_ids.append(request_id)
    writer.close()


@when("all connections of the callers are closed")
def when_all_closed(context):
    async def wait(scene):
        await asyncio.wait_for(asyncio.gather(*context.callers), PATIENCE_SECONDS)

    context.gateway.acts.append(wait)


@then("the callers got a whole answer to every request that reached an upstream")
def then_all_answered(context):
    check(context)
    seen = context.gateway.upstreams_by_id["app-1"].seen
    ran = {item.headers[REQUEST_ID].decode() for item in seen}
    assert not ran - set(context.gateway.answered_ids), ran - set(context.gateway.answered_ids)


@then("the caller is refused at once, told when to return, and its connection is closed")
def then_refused_at_once(context):
    check(context)
    scene = context.gateway
    answer = scene.late_answer
    assert answer.status == 503, answer
    assert 0.0 <= float(answer.headers[b"retry-after"]) <= MAX_RETRY_AFTER_SECONDS, answer
    assert answer.headers[b"connection"] == b"close", answer
    assert scene.answered_after_seconds < MAX_REFUSAL_SECONDS, scene.answered_after_seconds


@then("upstreams got {count:d} request in all")
def then_upstreams_got(context, count):
    assert context.gateway.runs == count, context.gateway.runs


@then("the caller is answered {status:d}, and its connection is closed")
def then_answered_and_closed(context, status):
    check(context)
    answer = context.gateway.late_answer
    assert answer.status == status, answer
    assert answer.headers.get(b"connection") == b"close", answer


@when("{count:d} of them begin to stop, {seconds:d} seconds after each other")
def when_begin_to_stop(context, count, seconds):
    async def stop(world):
        context.wrongly_named = []
        stopping = []
        for node in world.nodes[:count]:
            begin_stop(world, node)
            await world.clock.sleep(ADDRESS_LIFETIME_SECONDS)
            named_by = [other.vm for other in stopping if is_named(node, other.board)]
            context.wrongly_named += [(node.vm, vm) for vm in named_by]
            stopping.append(node)
            await world.clock.sleep(seconds - ADDRESS_LIFETIME_SECONDS)

    context.acts.append(stop)


def begin_stop(world, node):
    """Begin the planned stop of a modelled gateway, which goes on to serve."""
    node.board.phase = Phase.DRAINING
    node.gossip.announce_leaving()
    del world.registrations_by_key[node.board.own.incarnation]
    world.base_revision += 1


def is_named(node, board):
    """Tell whether a gateway would name another one to callers."""
    addresses = caller_addresses(board, len(board.members_by_incarnation), "", random.Random(0))
    return node.board.own.caller_address in addresses


@then("a second after each of these stops no other stopping gateway names it to callers")
def then_not_named(context):
    play_world(context)
    assert not context.wrongly_named, context.wrongly_named


@given("{count:d} callers that send each short request on a new connection until none is accepted")
def given_new_connections(context, count):
    async def begin(scene):
        address = scene.applications[0].settings.listen.callers
        scene.unanswered = []
        scene.answered_ids = []
        context.callers = [
            asyncio.create_task(_send_until_refused(scene, address, f"caller-{number}"))
            for number in range(count)
        ]
        await until(lambda: len(scene.answered_ids) > 2 * count)

    context.gateway.acts.append(begin)


async def _send_until_refused(scene, address, name):
    """Send each request on a connection of its own until no more are accepted."""
    for number in itertools.count():
        request_id = f"{name}-{number}"
        try:
            reader, writer = await asyncio.open_connection(*host_and_port(address))
        except ConnectionError:
            return
        headers = scene.headers(**{"x-quinceferry-request-id": request_id})
        lines = b"".join(name + b": " + value + b"\r\n" for name, value in headers)
        writer.write(b"GET /get/short/a HTTP/1.1\r\n" + lines + b"\r\n")
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(CONTENT_LENGTH.search(head)[1]))
            scene.answered_ids.append(request_id)
        except (ConnectionError, asyncio.IncompleteReadError):
            scene.unanswered.append(request_id)
        writer.close()


@then("the callers got a whole answer to every request that they could send")
def then_none_unanswered(context):
    check(context)
    assert not context.gateway.unanswered, context.gateway.unanswered


@when("the gateway is told to stop while its event loop is blocked for {seconds:g} seconds")
def when_stop_noticed_late(context, seconds):
    def stop(scene):
        scene.stop_requested_at = time.monotonic()
        time.sleep(seconds)
        scene.request_stop(noted_at=scene.stop_requested_at)

    context.gateway.acts.append(stop)


@when("the gateway ends")
def when_ended(context):
    async def wait(scene):
        await asyncio.wait_for(asyncio.shield(scene.tasks[0]), PATIENCE_SECONDS)
        scene.stopped_after_seconds = time.monotonic() - scene.stop_requested_at

    context.gateway.acts.append(wait)


@then("the gateway has ended {seconds:g} seconds after the signal")
def then_ended(context, seconds):
    assert context.gateway.stopped_after_seconds < seconds, context.gateway.stopped_after_seconds


@given("a caller that waits for an answer to {target}")
def given_waiting(context, target):
    async def begin(scene):
        deadline = {"x_quinceferry_deadline_ms": "20000"}
        scene.waiting = asyncio.create_task(scene.ask("POST", target, b"", **deadline))
        await until(lambda: scene.runs == 1)

    context.gateway.document = configuration(routes=[WAITING_ROUTE])
    context.gateway.acts.append(begin)


@then("the waiting caller is answered {status:d} before the end of the grace time")
def then_waiting_answered(context, status):
    async def wait(scene):
        scene.late_answer = await asyncio.wait_for(scene.waiting, PATIENCE_SECONDS)
        scene.answered_after_seconds = time.monotonic() - scene.stop_requested_at

    check(context, wait)
    scene = context.gateway
    assert scene.late_answer.status == status, scene.late_answer
    assert scene.answered_after_seconds < GRACE_SECONDS, scene.answered_after_seconds
