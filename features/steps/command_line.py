"""Steps for the command line."""

import functools
import os
import shlex
from unittest import mock

import httpx
import msgspec
from behave import given, then, when
from click.testing import CliRunner

from features.fixtures_operators import (
    OPERATOR_KEY,
    hash_of,
    operated_router,
    operator_client,
    routes_app,
)
from quinceferry import OperatorClient, RequestError, operator_calls
from quinceferry.drains import follow_drain
from quinceferry.main import EXIT_FAILED, quinceferry
from quinceferry_lab.virtual_time import run_virtual


@given("a shell beside an operated router")
def shell_given(context):
    context.router = operated_router()


@when('the shell runs "{command}"')
def run_command(context, command):
    transport = httpx.ASGITransport(routes_app(context.router))
    client = functools.partial(OperatorClient, transport=transport)
    environment = {
        "QUINCEFERRY_ROUTERS": "http://10.0.0.1:7700",
        "QUINCEFERRY_OPERATOR_KEY": OPERATOR_KEY,
        "QUINCEFERRY_CONFIG": os.devnull,
    }
    with mock.patch.object(operator_calls, "OperatorClient", client):
        result = CliRunner(env=environment).invoke(quinceferry, shlex.split(command))
    context.shell_status = result.exit_code
    context.shell_errors = result.stderr
    context.shell_output = result.stdout
    if isinstance(result.exception, RequestError):
        context.shell_status = EXIT_FAILED
        context.shell_errors = str(result.exception)
    elif result.exception and not isinstance(result.exception, SystemExit):
        raise result.exception


@given("an operated router that leaves {count:d} looks after its drain")
def router_that_leaves(context, count):
    context.router = operated_router()
    context.router.pipeline.open_requests = 2
    context.router.operators.looks_until_left = count


@when('an operator follows the drain of "{name}"')
def follow(context, name):
    async def work():
        async with operator_client(context.router) as client:
            context.drained = await follow_drain(client, name, {}, context.shown.append, 60.0)

    context.shown = []
    run_virtual(work())


@then("the shell command ends with status {status:d}")
def check_shell_status(context, status):
    assert context.shell_status == status, (context.shell_status, context.shell_errors)


@then('the shell is told "{words}"')
def check_shell_errors(context, words):
    assert words in context.shell_errors, context.shell_errors


@then('the printed key opens the workspace "{workspace}"')
def check_printed_key(context, workspace):
    key = msgspec.json.decode(context.shell_output)["key"]
    spec = context.router.blackboard.configuration.workspaces_by_id[workspace]
    assert spec.key_hashes == (hash_of(key),), spec


@then('the drain has shown "{line}"')
def check_drain_lines(context, line):
    assert context.shown == [line], context.shown


@then('the drain ended with the state "{state}"')
def check_drain_state(context, state):
    assert context.drained.state == state, context.drained
