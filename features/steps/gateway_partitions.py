"""Steps for gateways that are partitioned from upstreams."""

import asyncio
import time
from dataclasses import dataclass

from behave import given, then, when

from features.steps.gateway import BEHAVIOURS, TOKENS, check

REQUEST_INTERVAL_SECONDS = 0.1
CALLS = (
    ("GET", "/get/a", b"", {}),
    ("POST", "/post/a", b"body", {}),
    ("POST", "/draft/a", b"{}", TOKENS),
    ("POST", "/ask/a", b"{}", TOKENS),
)
"""One request of each kind: idempotent, non-idempotent, a resumable stream and any other stream."""


@dataclass(slots=True, frozen=True)
class Served:
    """A request, its answer, and how long that took.

    ``sent_after`` is the time since the partition began, in seconds.
    """

    target: str
    sent_after: float
    status: int
    seconds: float


@given('{count:d} upstreams of service {service} that "{behaviour}"')
def given_upstreams(context, count, service, behaviour):
    for number in range(1, count + 1):
        context.gateway.add_upstream(f"{service}-{number}", service, BEHAVIOURS[behaviour])


@when("{count:d} of the gateways lose their links to all upstreams, and connections {how}")
def when_cut(context, count, how):
    def cut(scene):
        scene.cut_at = time.monotonic()
        for gateway in range(count):
            scene.cut_links(gateway, refuses=how == "are refused")

    context.gateway.acts.append(cut)


@when("requests of every kind reach gateway {number:d} for {seconds:d} seconds")
def when_requests_reach(context, number, seconds):
    async def send(scene):
        scene.served = []
        running = []
        while time.monotonic() < scene.cut_at + seconds:
            call = CALLS[len(running) % len(CALLS)]
            running.append(asyncio.create_task(ask(scene, number - 1, call)))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        await asyncio.gather(*running)

    context.gateway.acts.append(send)


async def ask(scene, gateway, call):
    """Send a request and keep how it was answered."""
    method, target, body, headers = call
    sent_at = time.monotonic()
    identifier = {"x_quinceferry_request_id": f"p-{sent_at}"}
    answer = await scene.ask(method, target, body, gateway=gateway, **headers, **identifier)
    seconds = time.monotonic() - sent_at
    status = answer.status if answer.whole else 0
    scene.served.append(Served(target, sent_at - scene.cut_at, status, seconds))


def check_served(context, after_seconds, max_seconds, statuses):
    """Check the requests that were sent some time after the partition began."""
    check(context)
    late = [item for item in context.gateway.served if item.sent_after >= after_seconds]
    assert len(late) >= len(CALLS), context.gateway.served
    wrong = [item for item in late if item.status not in statuses or item.seconds > max_seconds]
    assert not wrong, f"{len(wrong)} of {len(late)}: {wrong[:5]}"


@then(
    "all requests sent {after:d} seconds after the cut or later are served within"
    " {seconds:g} seconds"
)
def then_served(context, after, seconds):
    check_served(context, after, seconds, {200})


@then(
    "all requests sent {after:d} seconds after the cut or later are refused within"
    " {seconds:g} seconds as not run"
)
def then_refused(context, after, seconds):
    check_served(context, after, seconds, {503})


@when("one request of non-idempotent route /post/ reaches gateway {number:d}")
def when_one_reaches(context, number):
    async def send(scene):
        scene.served = []
        await ask(scene, number - 1, ("POST", "/post/a", b"", {"x_quinceferry_deadline_ms": "800"}))

    context.gateway.acts.append(send)


@then("the caller is answered {status:d}")
def then_answered(context, status):
    check(context)
    assert [item.status for item in context.gateway.served] == [status], context.gateway.served
