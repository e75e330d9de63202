"""Steps for upstreams that fail if they have to reject too many requests."""

import asyncio
import tempfile
from dataclasses import replace
from functools import partial
from pathlib import Path

from behave import given, then, when

from features.fixtures_fleet import LATENCY_SECONDS
from features.fixtures_fleet_faults import FAULTS
from features.steps.gateway_fleet import play
from features.steps.gateway_rate_limits import no_fault, run_through_fault
from quinceferry_gateway.catalog import AnswerHead
from quinceferry_lab import overload
from quinceferry_platform.headers import PlatformDialect

MODEL_REJECTIONS = 5
RUN_SECONDS = 0.2
MAX_WAIT_SECONDS = 0.3
DENIED_PAUSE_SECONDS = 0.05
LIST_SECONDS = 2.0
"""Time in which all gateways have read a change of the list."""
CONTACT_SECONDS = 3.0
"""Time from the announcement until rejections count."""
NOTICE_INTERVAL_SECONDS = 1.1
"""Time after which a gateway notifies its peers again."""


@given(
    "{gateways:d} gateway processes before 4 upstreams that bear {rejections:d} rejections a second"
)
def given_overload(context, gateways, rejections):
    context.overload_fields = {"gateways": gateways, "announced": str(rejections)}
    context.overload_fields["max_rejections"] = rejections


@when(
    "callers send {rate:d} requests a second for {seconds:d} seconds, seed {seed:d}, and "
    "{killed:d} gateways are killed"
)
def when_overloaded(context, rate, seconds, seed, killed):
    scenario = overload.Scenario(
        burst_rate=rate, burst_seconds=seconds, restarted=killed, **context.overload_fields
    )
    with tempfile.TemporaryDirectory() as folder:
        context.overload = asyncio.run(overload.play(seed, scenario, Path(folder)))


@then("at most {most:d} upstreams have failed")
def then_failed(context, most):
    figures = overload.summarize(context.overload)
    assert overload.failures(context.overload) <= most, figures


@then("{least:d} or more requests were answered within twice their objective")
def then_answered(context, least):
    figures = overload.summarize(context.overload)
    assert figures["in_objective"] >= least, figures


@when('an answer has the rejections header "{header}"')
def when_header(context, header):
    values = [] if header == "(empty)" else header.split("|")
    headers = [(b"Server-Brittle", value.encode()) for value in values or [""]]
    context.head = PlatformDialect().decode_answer(200, headers)


@then("the upstream is read to bear {number:g} rejections a second, malformed: {malformed}")
def then_parsed(context, number, malformed):
    assert context.head.max_rejections_per_second == number, context.head
    names = ("server-brittle",) if malformed == "yes" else ()
    assert context.head.malformed_headers == names, context.head


@when("an answer to one gateway says that an upstream bears {number:g} rejections a second")
def when_announced(context, number):
    context.acts.append(lambda world: receive(context, world, number))


async def receive(context, world, number):
    """Give an answer to the first gateway."""
    context.upstream = world.upstreams_by_id["up-0"]
    answer = AnswerHead(200, (), False, "r", True, max_rejections_per_second=number)
    world.nodes[0].signals.answer_received(context.upstream, answer)


@then("{seconds:g} seconds later every gateway knows that it is fragile")
def then_known(context, seconds):
    context.acts.append(lambda world: check_known(context, world, seconds, True))


async def check_known(context, world, seconds, is_fragile):
    """Check after a time that all gateways agree on whether the upstream is fragile."""
    await world.clock.sleep(seconds)
    known = [node.fragile_upstreams.is_fragile(context.upstream) for node in world.nodes]
    assert known == [is_fragile] * len(world.nodes), known


@then("after an answer without that number none does")
def then_withdrawn(context):
    async def withdraw(world):
        await world.clock.sleep(NOTICE_INTERVAL_SECONDS)
        await receive(context, world, None)
        await check_known(context, world, 0.1, False)

    context.acts.append(withdraw)
    play(context)


class ModelledUpstream:
    """An upstream with slots and no queue; ``rejected_at`` has the times of rejections."""

    def __init__(self, world, identifier):
        self._world = world
        self.upstream = world.upstreams_by_id[identifier]
        self.run_seconds = RUN_SECONDS
        self.running = 0
        self.served = 0
        self.rejected_at = []

    async def run(self):
        """Run a request, or reject it; return the head of the answer."""
        await self._world.clock.sleep(LATENCY_SECONDS)
        if self.running >= self.upstream.slots:
            self.rejected_at.append(self._world.clock.monotonic())
            return AnswerHead(503, (), True, "r", max_rejections_per_second=MODEL_REJECTIONS)
        self.running += 1
        try:
            await self._world.clock.sleep(self.run_seconds)
            self.served += 1
        finally:
            self.running -= 1
        return AnswerHead(200, (), False, "r", True, max_rejections_per_second=MODEL_REJECTIONS)


@when(
    "an upstream with {slots:d} slots and no queue tells one gateway that it bears {number:d} "
    "rejections a second"
)
def when_modelled(context, slots, number):
    async def announce(world):
        world.upstreams_by_id["up-0"] = replace(world.upstreams_by_id["up-0"], slots=slots)
        world.base_revision += 1
        await world.clock.sleep(LIST_SECONDS)
        context.modelled = ModelledUpstream(world, "up-0")
        for node in world.nodes:
            await node.start_admissions()
        await receive(context, world, number)
        await world.clock.sleep(CONTACT_SECONDS)

    context.acts.append(announce)


@when("its requests run for {seconds:g} seconds")
def when_long(context, seconds):
    async def lengthen(world):
        context.modelled.run_seconds = seconds

    context.acts.append(lengthen)


@when("the list lacks it for {seconds:g} seconds while each gateway has a request there")
def when_missing(context, seconds):
    async def hide(world):
        for node in world.nodes:
            node.upstream_states.start_attempt(context.upstream, 0, "", world.clock.monotonic())
        hidden = world.upstreams_by_id.pop(context.upstream.id)
        world.base_revision += 1
        await world.clock.sleep(seconds)
        world.upstreams_by_id[hidden.id] = hidden
        world.base_revision += 1

    context.acts.append(hide)


@then("{seconds:g} seconds later every gateway reports its request there")
def then_reported(context, seconds):
    async def count(world):
        await world.clock.sleep(seconds)
        for node in world.nodes:
            reported = [item.id for item in node.fragile_upstreams.listed()]
            assert reported == [context.upstream.id], (node.vm, reported)

    context.acts.append(count)
    play(context)


@when("all gateways always have {count:d} requests for it, for {seconds:d} seconds{fault}")
def when_loaded_with_fault(context, count, seconds, fault):
    load_during(context, count, seconds, FAULTS[fault])


@when("all gateways always have {count:d} requests for it, for {seconds:d} seconds")
def when_loaded(context, count, seconds):
    load_during(context, count, seconds, lambda context, world: no_fault(world))


def load_during(context, count, seconds, inject_fault):
    """Let all gateways send requests, and inject a fault after a third of the time."""

    async def run(world):
        context.sending, context.per_gateway = [], count
        context.limited_id, context.start_sending = context.upstream.id, start_sending
        for node in world.nodes:
            start_sending(context, world, node)
        await run_through_fault(world, context.sending, seconds, partial(inject_fault, context))

    context.acts.append(run)


def start_sending(context, world, node):
    """Start tasks in which a gateway sends one request after the other as it is admitted."""

    async def send():
        while node.alive:
            upstream = node.board.upstreams_by_id.get("up-0")
            if upstream is None or not await is_admitted(world, node, upstream):
                await world.clock.sleep(DENIED_PAUSE_SECONDS)
                continue
            attempt = node.upstream_states.start_attempt(upstream, 0, "", world.clock.monotonic())
            running = asyncio.ensure_future(context.modelled.run())
            while not running.done() and node.alive:
                await asyncio.wait((running,), timeout=LATENCY_SECONDS)
            if not node.alive:
                running.cancel()
                return
            node.signals.answer_received(upstream, running.result())
            attempt.finish(world.clock.monotonic())
            node.permits.request_finished(upstream)

    async def send_all():
        await node.start_admissions()
        await asyncio.gather(*(send() for _ in range(context.per_gateway)))

    context.sending.append(asyncio.create_task(send_all()))


async def is_admitted(world, node, upstream):
    """Wait for an admission as a request does; return whether there is one."""
    if node.permits.pause_seconds(upstream) > MAX_WAIT_SECONDS:
        return False
    await world.clock.sleep(node.permits.pause_seconds(upstream))
    return await node.permits.acquire(upstream, MAX_WAIT_SECONDS) is not None


@then("it rejects at most {most:d} requests in any second, and runs {least:d} or more in all")
def then_modelled(context, most, least):
    play(context)
    modelled = context.modelled
    assert overload.most_in_window(modelled.rejected_at, 1.0) <= most, modelled.rejected_at
    assert modelled.served >= least, modelled.served
    print("MEASURED", modelled.served, overload.most_in_window(modelled.rejected_at, 1.0))
