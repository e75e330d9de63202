"""Steps for requests that reach a stopping gateway."""

import asyncio
import time

from behave import then, when

from features.fixtures_gateway import HOST
from features.steps.gateway import TOKENS, check


@when("the gateway is told to stop")
def when_told_to_stop(context):
    def stop(scene):
        scene.stop_requested_at = time.monotonic()
        scene.stops[0].set()

    context.gateway.acts.append(stop)


@when("{seconds:g} seconds later a caller reads {target}")
def when_read_later(context, seconds, target):
    ask_later(context, seconds, "GET", target)


@when("{seconds:g} seconds later a caller asks for a stream of {target}")
def when_streamed_later(context, seconds, target):
    ask_later(context, seconds, "POST", target, b"{}", **TOKENS)


def ask_later(context, seconds, method, target, body=b"", **headers):
    """Send a request some time after the stop began."""

    async def ask(scene):
        await asyncio.sleep(scene.stop_requested_at + seconds - time.monotonic())
        began_at = time.monotonic()
        await scene.ask(method, target, body, **headers)
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
