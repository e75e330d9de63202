"""Steps for the operator API."""

import httpx
import msgspec
from behave import given, then, when

from features.fixtures_operators import (
    ADDRESS,
    OPERATOR_KEY,
    hash_of,
    operated_router,
    operator_client,
    routes_app,
    undescribed,
)
from quinceferry import OperatorCallError
from quinceferry_core import operator_messages as messages
from quinceferry_core import operator_replies as replies
from quinceferry_lab.virtual_time import run_virtual
from quinceferryd.blackboard import RouterState
from quinceferryd.operator_api import build_operator_routes
from quinceferryd.operator_schema import SCHEMA_PATH, schema_document


@given("an operated router")
def router_given(context):
    context.router = operated_router()
    context.routes = build_operator_routes(context.router)


@given("an operated router with one route more")
def router_with_more(context):
    router_given(context)
    context.routes[0].register(undescribed)


@given('an operated router with the workspace "{workspace}"')
def router_with_workspace(context, workspace):
    router_given(context)
    _call(context, messages.RegisterModel, name="ledger-large")
    _call(
        context,
        messages.CreateWorkspace,
        workspace=workspace,
        key_hash=hash_of(workspace),
        models=["ledger-large"],
        concurrent_streams=4,
    )


@given("an operated router whose key-value service is out")
def router_without_kv(context):
    router_given(context)
    context.router.operators.kv_out = True


@given("an operated router that is starting")
def router_starting(context):
    context.router = operated_router(RouterState.STARTING)


@then("its routes have the committed operator schema")
def check_schema(context):
    assert schema_document(context.routes) == SCHEMA_PATH.read_bytes()


@then("its routes differ from the committed operator schema")
def check_schema_differs(context):
    assert schema_document(context.routes) != SCHEMA_PATH.read_bytes()


@then("it serves the committed operator schema")
def check_served_schema(context):
    response = run_virtual(_send(context, "GET", "schema.json", f"Bearer {OPERATOR_KEY}"))
    assert response.content == SCHEMA_PATH.read_bytes()


@when('an operator with the authorization "{authorization}" registers the model "{name}"')
def register_with_authorization(context, authorization, name):
    message = messages.RegisterModel(operation_id="op-1", expected_revision=0, name=name)
    body = msgspec.json.encode(message)
    given = "" if authorization == "none" else authorization
    response = run_virtual(_send(context, "POST", "RegisterModel", given, body))
    context.status = response.status_code
    context.failure = msgspec.json.decode(response.content, type=replies.OperatorFailure)


@when('an operator registers the model "{name}"')
def register_model(context, name):
    _call(context, messages.RegisterModel, name=name)


@when('an operator registers the model "{name}" as operation "{operation}" at revision {number:d}')
def register_model_as(context, name, operation, number):
    fields = {"operation_id": operation, "expected_revision": number}
    _call(context, messages.RegisterModel, name=name, **fields)


@when('an operator creates the workspace "{workspace}" with the model "{model}"')
def create_workspace(context, workspace, model):
    fields = {"workspace": workspace, "key_hash": hash_of(workspace), "models": [model]}
    _call(context, messages.CreateWorkspace, **fields)


@when('an operator tops up "{workspace}" by {tokens:d} tokens')
def top_up(context, workspace, tokens):
    _call(context, messages.TopUp, workspace=workspace, tokens=tokens)


@when('an operator tops up "{workspace}" by {tokens:d} tokens at revision {revision:d}')
def top_up_at(context, workspace, tokens, revision):
    fields = {"workspace": workspace, "tokens": tokens, "expected_revision": revision}
    _call(context, messages.TopUp, **fields)


@when('an operator sets the priority of "{workspace}" to "{priority}"')
def set_priority(context, workspace, priority):
    _call(context, messages.UpdateWorkspace, workspace=workspace, priority=priority)


@when('an operator rotates the key of "{workspace}" and keeps the previous one')
def rotate_and_keep(context, workspace):
    fields = {"workspace": workspace, "key_hash": hash_of("second"), "keep_previous": True}
    _call(context, messages.RotateWorkspaceKey, **fields)


@when('an operator rotates the key of "{workspace}"')
def rotate(context, workspace):
    fields = {"workspace": workspace, "key_hash": hash_of("third")}
    _call(context, messages.RotateWorkspaceKey, **fields)


@when('an operator sends "{call}" with {fields}')
def send_fields(context, call, fields):
    text = fields.replace("%choir", hash_of("choir")).replace("%a", hash_of("a"))
    document = {"operation_id": "op-9", "expected_revision": 2, **msgspec.json.decode(text)}
    body = msgspec.json.encode(document)
    response = run_virtual(_send(context, "POST", call, f"Bearer {OPERATOR_KEY}", body))
    context.status = response.status_code
    context.failure = msgspec.json.decode(response.content, type=replies.OperatorFailure)


@when('an operator drains the router "{router}"')
def drain_router(context, router):
    _call(context, messages.Drain, router=router)


@when('an operator declares the router "{router}" gone')
def declare_gone(context, router):
    _call(context, messages.DeclareGone, router=router)


@then('the operator call names the VM "{vm}"')
def check_vm(context, vm):
    assert context.failure is None, context.failure
    assert context.reply.vm == vm, context.reply


@then('the operator call fails with status {status:d} and code "{code}"')
def check_failure(context, status, code):
    assert context.failure is not None, "the call succeeded"
    assert (context.status, context.failure.code) == (status, code), context.failure


@then('the operator failure says "{detail}"')
def check_detail(context, detail):
    assert detail in context.failure.detail, context.failure


@then('the operator failure names revision {revision:d} and operation "{operation}"')
def check_race(context, revision, operation):
    failure = context.failure
    assert (failure.revision, failure.changed_by) == (revision, [operation]), failure


@then("the operator call made revision {revision:d}")
def check_made(context, revision):
    assert context.failure is None, context.failure
    assert context.reply.revision == revision, context.reply


@then("the operated configuration has revision {revision:d}")
def check_revision(context, revision):
    assert context.router.blackboard.configuration.revision == revision


@then('the operated workspace "{workspace}" has the model "{model}" and {count:d} key')
def check_workspace(context, workspace, model, count):
    spec = context.router.blackboard.configuration.workspaces_by_id[workspace]
    assert [str(ref) for ref in spec.models] == [model], spec
    assert len(spec.key_hashes) == count, spec


@then(
    'the operated workspace "{workspace}" has the priority "{priority}" '
    "and {count:d} concurrent streams"
)
def check_priority(context, workspace, priority, count):
    spec = context.router.blackboard.configuration.workspaces_by_id[workspace]
    assert (spec.priority.name, spec.limits.concurrent_streams) == (priority, count), spec


@then('the balance of the operated workspace "{workspace}" is {tokens:d} tokens')
def check_balance(context, workspace, tokens):
    _call(context, messages.GetBalance, workspace=workspace)
    assert context.reply.granted == tokens, context.reply


@then('its operator status is "{state}"')
def check_status(context, state):
    _call(context, messages.GetStatus)
    assert context.reply.state == state, context.reply


@then('the operated router "{router}" is draining')
def check_drained(context, router):
    assert context.router.operators.drained == [router], context.failure


def _call(context, kind, **fields):
    """Make a call with the product's client; keep its reply or its failure."""

    async def work():
        async with operator_client(context.router) as client:
            try:
                if issubclass(kind, messages.Change):
                    context.reply = await client.change(kind, **fields)
                else:
                    context.reply = await client.call(kind(**fields))
            except OperatorCallError as error:
                context.failure = error.failure
                context.status = error.response.status_code

    context.failure = None
    run_virtual(work())


async def _send(context, method, call, authorization, body=b""):
    """Send a request as any HTTP client would."""
    transport = httpx.ASGITransport(routes_app(context.router))
    headers = {"Content-Type": "application/json"}
    if authorization:
        headers["Authorization"] = authorization
    async with httpx.AsyncClient(transport=transport, base_url=ADDRESS) as http:
        path = f"{messages.OPERATOR_PATH}/{call}"
        return await http.request(method, path, content=body, headers=headers)
