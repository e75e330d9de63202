"""Steps that send requests to a router while it stops."""

import asyncio
from dataclasses import replace

from behave import then, when
from fixtures_router_scenes import DEAD, add_act, send

from features.fixtures_routers import WORKSPACE
from quinceferry_core.copies import EntryCopy, HoldReply, HoldRequest
from quinceferry_core.journals import Settle
from quinceferry_core.outcomes import NotRun
from quinceferryd.blackboard import RouterState
from quinceferryd.settings import ShutdownSettings

TRAFFIC_SECONDS = 0.2


@when("{router:w} begins a stop of at most {bound:d} seconds, and {seconds:d} seconds pass")
def begin_stop(context, router, bound, seconds):
    async def act(fleet):
        application = fleet.applications_by_name[router]
        application.shutdown._settings = ShutdownSettings(max_drain_seconds=float(bound))
        fleet.stopping = asyncio.create_task(application.stop())
        await fleet.clock.sleep(seconds)

    add_act(context, act)


@when(
    'ticketed request "{name:w}" of home {home:w}, with {seconds:d} seconds, '
    "is sent to {router:w} for {tokens:d} tokens"
)
def send_due(context, name, home, seconds, router, tokens):
    async def act(fleet):
        request = fleet.request(
            name,
            idempotent=False,
            ticket=fleet.ticket(router, home),
            deadline_seconds=float(seconds),
            max_output_tokens=tokens,
        )
        await send(fleet, router, request)

    add_act(context, act)


@when(
    'ticketed idempotent request "{name:w}" of home {home:w}, with {seconds:d} seconds, '
    "is sent to {router:w}"
)
def send_idempotent_due(context, name, home, seconds, router):
    async def act(fleet):
        ticket = fleet.ticket(router, home)
        request = fleet.request(name, ticket=ticket, deadline_seconds=float(seconds))
        await send(fleet, router, request)

    add_act(context, act)


@when('a copy of request "{name:w}", with {seconds:d} seconds, comes to {router:w}')
def send_hurried_copy(context, name, seconds, router):
    async def act(fleet):
        copy = replace(fleet.sent[name], deadline_seconds=float(seconds))
        await send(fleet, router, copy)

    add_act(context, act)


@when(
    "ticketed requests of home {home:w}, with {seconds:d} seconds each, "
    "are sent to {router:w} until it has stopped"
)
def send_steadily(context, home, seconds, router):
    async def act(fleet):
        ticket = fleet.ticket(router, home)
        sent = []
        while fleet.applications_by_name[router].blackboard.state is not RouterState.LEFT:
            request = fleet.request(
                f"steady-{len(sent)}",
                idempotent=False,
                ticket=ticket,
                deadline_seconds=float(seconds),
            )
            sent.append(asyncio.create_task(send(fleet, router, request)))
            await fleet.clock.sleep(TRAFFIC_SECONDS)
        await asyncio.gather(*sent)

    add_act(context, act)


@when("a copy of a bill is sent to {router:w}")
def send_bill_copy(context, router):
    async def act(fleet):
        holder = fleet.applications_by_name[router]
        copies = (EntryCopy(0, Settle(WORKSPACE, "a", 7, True, DEAD)),)
        request = HoldRequest(holder.blackboard.identity.incarnation, DEAD, copies)
        fleet.hold_reply = holder.copies.hold(request)

    add_act(context, act)


@then("the copy is not held")
def check_not_held(context):
    async def check(fleet):
        assert [bill.request for bill in await fleet.bills()] == []
        assert fleet.hold_reply is HoldReply.NOT_HOLDER, fleet.hold_reply

    context.scene.play(check)


@then("every request was answered whole or refused as never sent")
def check_none_cut(context):
    async def check(fleet):
        answers = {name: fleet.answers_by_request[name] for name in fleet.sent}
        whole = {name for name, request in fleet.sent.items() if fleet.is_whole(request)}
        broken = [
            answer
            for name, answer in answers.items()
            if name not in whole
            and not (answer.failed and isinstance(answer.failed.outcome, NotRun))
        ]
        assert not broken, (len(broken), broken[0])
        assert whole
        assert not [name for name in answers if name not in whole and fleet.runs(name)]

    context.scene.play(check)


@then("the stop of {router:w} cut {count:d} requests")
def check_cut_requests(context, router, count):
    async def check(fleet):
        await fleet.stopping
        aborted = fleet.applications_by_name[router].shutdown.aborted_requests
        assert aborted == count, aborted

    context.scene.play(check)
