"""Steps that check what the callers' interface answered."""

import re
from pathlib import Path

import openai
from behave import then

from quinceferry_core.models import Priority
from quinceferry_core.outcomes import (
    RefusalReason,
)
from quinceferryd.blackboard import RouterState
from quinceferryd.refusals import STATUS_BY_REASON

CALLERS_PAGE = Path(__file__).parents[2] / "docs" / "callers.md"


@then('the openai client reads the text "{text}"')
def check_text(context, text):
    assert context.error is None, context.error
    assert context.answer[0] == text, context.answer


@then("the openai client reads {prompt:d} prompt and {output:d} output tokens")
def check_usage(context, prompt, output):
    usage = context.answer[1]
    counted = (usage.prompt_tokens, usage.completion_tokens, usage.total_tokens)
    assert counted == (prompt, output, prompt + output), usage


@then('the pipeline was given the prompt "{prompt}"')
def check_prompt(context, prompt):
    assert context.pipeline.requests[0].prompt == prompt.replace("\\n", "\n")


@then("the pipeline ran on after its last event")
def check_ran_on(context):
    assert context.pipeline.runs_on


@then('the response names the request "{request_id}"')
def check_response_id(context, request_id):
    assert context.answer["x-request-id"] == request_id


@then('the pipeline was given the request id "{request_id}"')
def check_request_id(context, request_id):
    assert context.pipeline.requests[0].request_id == request_id


@then('the list holds only "{model}"')
def check_models(context, model):
    assert context.answer == [model], context.answer


@then('the client library raises status {status:d} with the reason "{reason}"')
def check_status_error(context, status, reason):
    assert isinstance(context.error, openai.APIStatusError), context.error
    assert context.error.status_code == status, context.error
    assert context.error.body["reason"] == reason, context.error.body


@then('the client library raises an error inside the stream with the reason "{reason}"')
def check_stream_error(context, reason):
    assert context.error is not None
    assert not isinstance(context.error, openai.APIStatusError)
    assert context.error.body["reason"] == reason, context.error.body


@then('the error says the outcome "{outcome}" with the proof "{proof}"')
@then('the error says the outcome "{outcome}" with the proof ""')
def check_outcome_told(context, outcome, proof=""):
    body = context.error.body
    assert (body["outcome"], body.get("proof", "")) == (outcome, proof), body


@then("the error asks to retry after {seconds:d} seconds")
def check_retry(context, seconds):
    headers = context.error.response.headers
    assert headers.get("retry-after", "0") == str(seconds), headers
    assert headers["x-should-retry"] == ("true" if seconds else "false"), headers


@then("each reason has a status of its own kind and the callers' page shows the same")
def check_statuses(context):
    rows = re.findall(r"^\| `(\w+)` \| (\d{3}) \|", CALLERS_PAGE.read_text(), re.MULTILINE)
    documented = {reason: int(status) for reason, status in rows}
    served_statuses = {reason.value: status for reason, status in STATUS_BY_REASON.items()}
    assert set(served_statuses) == {reason.value for reason in RefusalReason}
    assert documented == served_statuses, set(documented.items()) ^ set(served_statuses.items())


@then("the pipeline was given nothing")
def check_nothing(context):
    assert context.pipeline.requests == []


@then('the caller reads status {status:d} with the reason "{reason}"')
def check_refused(context, status, reason):
    error = context.response.json()["error"]
    assert (context.response.status_code, error["reason"]) == (status, reason), error
    assert error["outcome"] == "not_run", error


@then("the pipeline was given a low priority, a deadline of 7 seconds, a ticket and no idempotence")
def check_options(context):
    request = context.pipeline.requests[0]
    assert request.priority is Priority.LOW
    assert request.deadline_seconds == 7.0
    assert request.ticket.workspace == "choir"
    assert request.idempotent is False


@then('the pipeline was given the priority "{word}"')
def check_priority(context, word):
    assert context.pipeline.requests[0].priority is Priority[word.upper()]


@then('the caller reads status {status:d} and the outcome "{outcome}"')
def check_outcome_document(context, status, outcome):
    assert context.response.status_code == status
    assert context.response.json()["outcome"] == outcome


@then('the caller reads two addresses, 30 seconds and the ticket "{ticket}"')
def check_address(context, ticket):
    document = context.response.json()
    assert len(document["addresses"]) == 2, document
    assert (document["ttl_seconds"], document["ticket"]) == (30.0, ticket), document


@then('the caller reads status {status:d} and the body "{body}"')
def check_body(context, status, body):
    assert (context.response.status_code, context.response.text) == (status, body)
    assert context.response.headers["content-type"] == "text/plain"


@then('the pipeline was given the path "{path}" and the payload "{payload}"')
def check_service_request(context, path, payload):
    request = context.pipeline.requests[0]
    assert (request.path, request.body.decode()) == (path, payload), request
    assert (request.target.model, request.method) == ("postings", "POST"), request


@then("the pipeline was given a request that is not idempotent")
def check_not_idempotent(context):
    assert context.pipeline.requests[0].idempotent is False


@then("the pipeline's iterator was closed before its end")
def check_closed(context):
    assert context.pipeline.closed.is_set()
    assert not context.pipeline.runs_on


@then("the pipeline was pulled for less than the whole answer")
def check_pulled(context):
    assert 0 < context.pulled < len(context.pipeline.script), context.pulled


@then("the router's end sends without delay")
def check_no_delay(context):
    assert context.no_delay == 1


@then("the caller read the whole streamed answer")
def check_whole_stream(context):
    assert b"balance" in context.received, context.received
    assert context.received.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n"), context.received


@then('one was answered and one was refused with the reason "{reason}"')
def check_one_refused(context, reason):
    assert (context.first, context.refused) == ("The dues balance", reason)


@then("a third body of {size:d} bytes is answered afterwards")
def check_third(context, size):
    assert context.third == "The dues balance"


@then('the waiting caller reads status {status:d} with the reason "{reason}"')
def check_waiting(context, status, reason):
    assert context.received.startswith(f"HTTP/1.1 {status} ".encode()), context.received
    assert f'"reason":"{reason}"'.encode() in context.received, context.received


@then("only a serving router is ready and only a fenced router is not healthy")
def check_probes(context):
    expected = {
        RouterState.STARTING: (200, 503),
        RouterState.SERVING: (200, 200),
        RouterState.STOPPING: (200, 503),
        RouterState.FENCED: (503, 503),
        RouterState.LEFT: (200, 503),
    }
    assert context.statuses_by_state == expected, context.statuses_by_state
