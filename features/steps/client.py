"""Steps for the client library."""

import random
import tempfile
from pathlib import Path

import click
import httpx
import msgspec
from behave import given, then, when

from features.fixtures_client import (
    OTHER_PIECES,
    PIECES,
    ROUTERS,
    ScriptedFleet,
    refusal,
    streamed_answer,
    whole_answer,
)
from quinceferry import Client, OperatorClient, RequestError, RevisionConflictError
from quinceferry.configuration import read_file
from quinceferry_core.operator_messages import RemoveUpstream
from quinceferry_core.operator_replies import AwaitedRouterReply, ChangeReply, OperatorFailure
from quinceferry_lab.virtual_time import VirtualClock, run_virtual


@given("a scripted fleet whose address answer holds for {seconds:d} seconds")
def fleet_with_ttl(context, seconds):
    context.fleet = ScriptedFleet(ttl_seconds=seconds)


@given('a scripted fleet whose router "{name}" drops each request')
def fleet_with_dropping_router(context, name):
    def answer(request):
        if request.url.host == name:
            raise httpx.ReadError("connection reset", request=request)
        return whole_answer()

    context.fleet = ScriptedFleet(answer)


@given("a scripted fleet that refuses once with retry after {seconds:d} seconds")
def fleet_refusing_once(context, seconds):
    answers = [refusal(429, "rate_limited", seconds), whole_answer()]
    context.fleet = ScriptedFleet(lambda request: answers.pop(0))


@given("a scripted fleet that refuses for a spent budget")
def fleet_refusing(context):
    context.fleet = ScriptedFleet(lambda request: refusal(402, "budget_spent"))


@given("a scripted fleet whose stream breaks after {count:d} of 5 pieces")
def fleet_with_broken_stream(context, count):
    answers = [streamed_answer(PIECES[:count], False), streamed_answer(PIECES, True)]
    context.fleet = ScriptedFleet(lambda request: answers.pop(0))


@given("a scripted fleet whose stream breaks after {count:d} of 5 pieces and differs when repeated")
def fleet_with_differing_stream(context, count):
    answers = [streamed_answer(PIECES[:count], False), streamed_answer(OTHER_PIECES, True)]
    context.fleet = ScriptedFleet(lambda request: answers.pop(0))


@given("a scripted fleet that never answers a service call")
def silent_fleet(context):
    def answer(request):
        raise httpx.ReadTimeout("no answer", request=request)

    context.fleet = ScriptedFleet(answer)


@given("a scripted fleet that takes no connections for requests")
def closed_fleet(context):
    def answer(request):
        raise httpx.ConnectError("refused", request=request)

    context.fleet = ScriptedFleet(answer)


@given("a scripted fleet whose first home turns out to be gone without having run a call")
def fleet_with_closed_home(context):
    proof = "journal_closed_without_it"
    answers = [
        refusal(503, "router_stopping", 1.0, "never_sent"),
        refusal(409, "home_gone", 1.0, proof),
        httpx.Response(200, content=b"posted"),
    ]
    context.fleet = ScriptedFleet(lambda request: answers.pop(0))


@given("a scripted fleet that breaks off a call and then refuses it once as never sent")
def fleet_breaking_then_refusing(context):
    answers = [None, refusal(503, "router_stopping", 1.0), httpx.Response(200, content=b"posted")]

    def answer(request):
        scripted = answers.pop(0)
        if scripted is None:
            raise httpx.ReadError("connection reset", request=request)
        return scripted

    context.fleet = ScriptedFleet(answer)


@given("a scripted fleet whose service answers with status {status:d}")
def fleet_with_failing_service(context, status):
    context.fleet = ScriptedFleet(lambda request: httpx.Response(status, content=b"busy"))


@given("a scripted fleet that loses the answer of the first change")
def fleet_losing_an_answer(context):
    changed = []

    def answer(request):
        operation = msgspec.json.decode(request.content)["operation_id"]
        if not changed:
            changed.append(operation)
            raise httpx.ReadError("connection reset", request=request)
        assert operation == changed[0], "the repeat is another change"
        return _change_response(operation, "accepted")

    context.fleet = ScriptedFleet(answer)


@given('a scripted fleet whose revision has moved on to {revision:d} by "{operation}"')
def fleet_with_conflict(context, revision, operation):
    failure = OperatorFailure(
        code="revision_conflict", detail="changed", revision=revision, changed_by=[operation]
    )
    body = msgspec.json.encode(failure)
    context.fleet = ScriptedFleet(lambda request: httpx.Response(409, content=body))


@given('a scripted fleet where router "{router}" never applies a change')
def fleet_with_awaited_router(context, router):
    def answer(request):
        operation = msgspec.json.decode(request.content)["operation_id"]
        return _change_response(operation, "proposed", [router])

    context.fleet = ScriptedFleet(answer)


@when('the client asks at the virtual seconds "{moments}"')
def ask_at(context, moments):
    async def work(client, clock):
        for moment in moments.split(", "):
            await clock.sleep(int(moment) - clock.monotonic())
            await client.ask("model", "prompt")

    context.fleet.address_calls = 0
    _run_client(context, work)


@then("the scripted fleet was asked for addresses {count:d} times")
def check_address_calls(context, count):
    assert context.fleet.address_calls == count, context.fleet.address_calls


@when("the client asks once")
def ask_once(context):
    async def work(client, clock):
        context.answer_text = (await client.ask("model", "prompt")).text

    _run_client(context, work)


@when("the client streams once")
def stream_once(context):
    async def work(client, clock):
        pieces = [piece.text async for piece in client.stream("model", "prompt")]
        context.answer_text = "".join(pieces)

    _run_client(context, work)


@when("the client makes a non-idempotent service call")
def call_service(context):
    async def work(client, clock):
        context.service = await client.call_service("ledger", "/postings", b"{}")

    _run_client(context, work)


@when("an operator client removes an upstream")
def remove_upstream(context):
    _run_operator(context, 0.0)


@when("an operator client removes an upstream and waits {seconds:d} seconds")
def remove_upstream_and_wait(context, seconds):
    _run_operator(context, seconds)


@then("the client has a whole answer")
def check_whole(context):
    assert context.error is None, context.error
    assert context.answer_text == "".join(PIECES), context.answer_text


@then('the scripted requests went to routers "{names}"')
def check_routers(context, names):
    hosts = [request.url.host for request in context.fleet.requests]
    assert hosts == names.split(", "), hosts


@then('the scripted requests share one request id and the ticket "{ticket}"')
def check_identity(context, ticket):
    check_request_id(context)
    tickets = {request.headers["x-quinceferry-ticket"] for request in context.fleet.requests}
    assert tickets == {ticket}, tickets


@then("the scripted requests share one request id")
def check_request_id(context):
    requests = context.fleet.requests
    assert len(requests) > 1, requests
    assert len({request.headers["idempotency-key"] for request in requests}) == 1


@then('the scripted requests carried the tickets "{tickets}"')
def check_tickets(context, tickets):
    carried = [request.headers["x-quinceferry-ticket"] for request in context.fleet.requests]
    assert carried == tickets.split(", "), carried


@then("at least {seconds:d} virtual seconds passed in the client")
def check_elapsed_in_client(context, seconds):
    assert context.client_seconds >= seconds, context.client_seconds


@then('the client raises RefusedError for "{reason}" with status {status:d}')
def check_refusal(context, reason, status):
    error = context.error
    assert type(error).__name__ == "RefusedError", error
    assert (error.reason, error.response.status_code) == (reason, status), error
    assert error.request is not None


@then("the client raises {name:w}")
def check_error(context, name):
    assert type(context.error).__name__ == name, context.error


@then("the scripted fleet received {count:d} requests")
def check_requests(context, count):
    assert len(context.fleet.requests) == count, context.fleet.requests


@then("the client has the service's status {status:d}")
def check_service_status(context, status):
    assert context.error is None, context.error
    assert context.service.status == status, context.service


@then("the scripted changes number {count:d} and share one operation id")
def check_changes(context, count):
    bodies = [msgspec.json.decode(request.content) for request in context.fleet.requests]
    assert len(bodies) == count, bodies
    assert len({body["operation_id"] for body in bodies}) == 1, bodies
    assert {body["expected_revision"] for body in bodies} == {4}, bodies


@then("the operator client was told revision {revision:d}")
def check_change_reply(context, revision):
    assert context.error is None, context.error
    assert context.reply.revision == revision, context.reply


@then('the operator client is told of revision {revision:d} by "{operation}"')
def check_conflict(context, revision, operation):
    assert isinstance(context.error, RevisionConflictError), context.error
    failure = context.error.failure
    assert (failure.revision, failure.changed_by) == (revision, [operation]), failure


@then('the operator client is told that "{router}" is awaited')
def check_awaited(context, router):
    assert type(context.error).__name__ == "ChangePendingError", context.error
    assert context.error.awaited_routers == (router,), context.error


@given('a client configuration file with an unknown key "{key}" and a number as zone')
def faulty_file(context, key):
    context.file_text = f'{key} = "http://a"\nzone = 3\n'


@when("the client configuration file is read")
def read_faulty_file(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "client.toml"
        path.write_text(context.file_text)
        try:
            read_file(path)
        except click.UsageError as error:
            context.fault_text = error.message


@then("both faults are told with their keys")
def check_faults(context):
    assert "router: unknown key" in context.fault_text, context.fault_text
    assert "zone: must be a string" in context.fault_text, context.fault_text


def _run_client(context, work):
    """Run work with a client on virtual time, and keep its error."""

    async def run():
        clock = VirtualClock()
        transport = context.fleet.transport
        options = {"clock": clock, "generator": random.Random(3), "transport": transport}
        async with Client(ROUTERS, "key", **options) as client:
            try:
                await work(client, clock)
            except RequestError as error:
                context.error = error
        context.client_seconds = clock.monotonic()

    context.error = None
    run_virtual(run())


def _run_operator(context, wait_seconds):
    """Remove an upstream with an operator client, and keep its error."""

    async def run():
        options = {
            "clock": VirtualClock(),
            "generator": random.Random(3),
            "transport": context.fleet.transport,
        }
        async with OperatorClient(ROUTERS, "key", **options) as client:
            try:
                context.reply = await client.change(RemoveUpstream, upstream="engine-1")
                if wait_seconds:
                    await client.wait_accepted(context.reply, wait_seconds)
            except RequestError as error:
                context.error = error

    context.error = None
    run_virtual(run())


def _change_response(operation, state, awaited=()):
    """Return the answer to a change that made revision 5."""
    routers = [
        AwaitedRouterReply(router=name, vm="vm-2", reason="lease_lapsed", applied_revision=4)
        for name in awaited
    ]
    reply = ChangeReply(operation_id=operation, revision=5, state=state, awaited_routers=routers)
    return httpx.Response(200, content=msgspec.json.encode(reply))
