"""Steps for the command that explains a request from log lines."""

import json
import re

from behave import given, then, when
from click.testing import CliRunner

from quinceferry.main import quinceferry

DAY = "2026-11-03T10:00:"
LINES = [
    ("gw-1", "00.0", "gateway.starting", {"incarnation": "gw-1-aa"}),
    ("gw-1", "01.0", "configuration.applied", {"version": 4, "before": 0}),
    ("gw-1", "10.0", "store.lost", {"error": "ConnectTimeout"}),
    (
        "gw-1",
        "15.3",
        "request.refused",
        {
            "request": "8caa",
            "reason": "budget_until_store",
            "detail": "5331 tokens of rax; gw-1-aa: 0 of 5331, left at most 200987; gw-2-bb: 2416"
            " of 5331, left at most 200987; gw-3-cc: 2360 of 2915, left at most 200987",
        },
    ),
    ("gw-2", "20.0", "attempt.unknown", {"request": "b3b3", "upstream": "i-84b0", "events": 0}),
    ("gw-2", "20.1", "request.refused", {"request": "b3b3", "reason": "outcome_unknown"}),
    ("gw-3", "21.0", "attempt.unknown", {"request": "1111", "upstream": "i-84b0", "events": 0}),
    ("gw-3", "29.0", "attempt.unknown", {"request": "2222", "upstream": "i-84b0", "events": 0}),
    ("gw-3", "30.0", "attempt.unknown", {"request": "2598", "upstream": "i-3c3b", "events": 6}),
    ("gw-3", "35.0", "attempt.streamed", {"request": "2598", "upstream": "i-c8f0", "events": 206}),
    ("gw-3", "35.1", "request.answered", {"request": "2598", "tokens": 1342}),
    ("gw-3", "40.0", "attempt.unknown", {"request": "77aa", "upstream": "i-3c3b", "events": 2}),
    ("gw-3", "40.1", "stream.broken", {"request": "77aa", "detail": "ReadError"}),
    ("gw-3", "41.0", "log.dropped", {"lines": 12}),
]


@given("the log lines of a played day")
def given_lines(context):
    written = [
        json.dumps({"vm": vm, "event": event, "timestamp": f"{DAY}{second}Z"} | fields)
        for vm, second, event, fields in LINES
    ]
    # The lines of several gateways come in any order, with text of others between them.
    context.log_text = "\n".join(
        ["Traceback (most recent call last):", '{"not": "ours"}', "{broken", *reversed(written)]
    )


@when("request {request_id} is explained")
def when_explained(context, request_id):
    context.explained = CliRunner().invoke(
        quinceferry, ["explain", request_id], input=context.log_text
    )


@then("the story tells in order {events}")
def then_in_order(context, events):
    told = re.findall(r"^\S+ \S+ ([a-z_.]+):", context.explained.output, re.MULTILINE)
    expected = events.split(", ")
    assert [event for event in told if event in expected] == expected, context.explained.output
    assert context.explained.exit_code == 0


@then('it says "{text}"')
def then_says(context, text):
    assert text in context.explained.output, context.explained.output


@then('it does not say "{text}"')
def then_does_not_say(context, text):
    assert text not in context.explained.output, context.explained.output


@then('the cause says "{text}"')
def then_cause(context, text):
    cause = context.explained.output.splitlines()[-1]
    assert cause.startswith("cause: ")
    assert text in cause, cause


@then("the command exits with {code:d}")
def then_exit(context, code):
    assert context.explained.exit_code == code, context.explained
