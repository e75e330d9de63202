"""Steps for the caller interface."""

import asyncio
import dataclasses
import json
import re
import socket
from pathlib import Path

import httpx
import openai
from behave import given, then, when
from fixtures_edge import (
    GOOD_TICKET,
    KEY,
    MAX_BODY_BYTES,
    FakeApplication,
    answer_script,
    openai_client,
    served,
)

from quinceferry_core.models import Priority, Usage
from quinceferry_core.outcomes import (
    Chunk,
    Failed,
    Finished,
    NotRun,
    NotRunProof,
    RefusalReason,
    Run,
    Unknown,
)
from quinceferryd.blackboard import RouterState
from quinceferryd.keys import key_digest
from quinceferryd.refusals import STATUS_BY_REASON
from quinceferryd.server import HttpServer, build_app

CALLERS_PAGE = Path(__file__).parents[2] / "docs" / "callers.md"
MESSAGES = [
    {"role": "system", "content": "Be brief."},
    {"role": "user", "content": [{"type": "text", "text": "Explain."}]},
]
GOOD_BODY = {"model": "ledger", "messages": MESSAGES}
TIMEOUT_SECONDS = 20.0


def run(work):
    return asyncio.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


async def ask_raw(application, method, path, key=KEY, **options):
    headers = {"authorization": f"Bearer {key}", **options.pop("headers", {})}
    async with served(application) as address, httpx.AsyncClient(trust_env=False) as client:
        url = f"http://{address}{path}"
        return await client.request(method, url, headers=headers, **options)


async def ask_openai(application, call, key=KEY):
    async with served(application) as address, openai_client(address, key) as client:
        return await call(client)


def try_openai(context, call, key=KEY):
    context.error = None
    try:
        context.answer = run(ask_openai(context.application, call, key))
    except openai.APIError as error:
        context.error = error


async def chat_whole(client):
    answer = await client.chat.completions.create(model="ledger", messages=MESSAGES)
    assert answer.choices[0].finish_reason == "stop"
    return answer.choices[0].message.content, answer.usage


async def chat_streamed(client):
    stream = await client.chat.completions.create(
        model="ledger", messages=MESSAGES, stream=True, stream_options={"include_usage": True}
    )
    text, usage, reasons = "", None, []
    async for event in stream:
        usage = event.usage or usage
        for choice in event.choices:
            text += choice.delta.content or ""
            reasons.append(choice.finish_reason)
    assert reasons[-1] == "stop", reasons
    return text, usage


async def text_whole(client):
    answer = await client.completions.create(model="ledger", prompt="Explain.")
    return answer.choices[0].text, answer.usage


async def text_streamed(client):
    stream = await client.completions.create(model="ledger", prompt="Explain.", stream=True)
    text = ""
    async for event in stream:
        text += "".join(choice.text for choice in event.choices)
    return text, None


@given("a router whose pipeline is a fake")
def make_application(context):
    context.application = FakeApplication()
    context.pipeline = context.application.pipeline


@given("the pipeline refuses with {reason} and a retry after {seconds:d} seconds")
def script_refusal(context, reason, seconds):
    failed = Failed(RefusalReason(reason), NotRun(NotRunProof.NEVER_SENT), float(seconds))
    context.pipeline.script = [failed]


@given("the pipeline breaks off after {count:d} chunks with an unknown outcome")
def script_break(context, count):
    failed = Failed(RefusalReason.UPSTREAM_FAILED, Unknown())
    context.pipeline.script = [*answer_script()[:count], failed]


@given("the pipeline raises an error after {count:d} chunks")
def script_error(context, count):
    context.pipeline.script = [*answer_script()[:count], RuntimeError("broken")]


@given("the pipeline waits for ever after {count:d} chunk")
@given("the pipeline waits for ever after {count:d} chunks")
@given("the pipeline waits after {count:d} chunk until the server is told to stop")
def script_wait(context, count):
    context.pipeline.hang_after = count


@given("the pipeline has a very long answer")
def script_long(context):
    piece = "x" * 10_000
    chunks = [Chunk(index, 1, piece) for index in range(5_000)]
    context.pipeline.script = [*chunks, Finished(Usage(1, len(chunks)))]


@given("the pipeline answers as a plain service with status {status:d}")
def script_service(context, status):
    end = Finished(Usage(0, 0), status=status, content_type="text/plain")
    context.pipeline.script = [Chunk(0, 0, "", b"pos"), Chunk(0, 0, "", b"ted"), end]


@given('the request "{request_id}" of the workspace "{workspace}" has run')
def script_outcome(context, request_id, workspace):
    context.pipeline.outcomes_by_key[workspace, request_id] = Run(Usage(5, 3))


@given("no router of the fleet is serving")
def set_no_addresses(context):
    context.application.addresses.addresses = ()


@given("the router has not joined yet")
def set_starting(context):
    context.application.blackboard.state = RouterState.STARTING


@given("the router can hold {size:d} bytes of bodies")
def set_total_bytes(context, size):
    settings = context.application.settings
    callers = dataclasses.replace(settings.callers, max_total_body_bytes=size)
    context.application.settings = dataclasses.replace(settings, callers=callers)


@when("the openai client asks for a chat answer as a whole")
@when("the openai client asks for a whole chat answer")
def ask_chat_whole(context):
    try_openai(context, chat_whole)


@when("the openai client asks for a streamed chat answer")
def ask_chat_streamed(context):
    try_openai(context, chat_streamed)


@when("the openai client asks for a text completion as a whole")
def ask_text_whole(context):
    try_openai(context, text_whole)


@when("the openai client asks for a streamed text completion")
def ask_text_streamed(context):
    try_openai(context, text_streamed)


@when('the openai client asks with the idempotency key "{request_id}"')
def ask_with_id(context, request_id):
    async def call(client):
        raw = await client.chat.completions.with_raw_response.create(
            model="ledger", messages=MESSAGES, extra_headers={"Idempotency-Key": request_id}
        )
        return raw.headers

    try_openai(context, call)


@when('the openai client asks with the key "{key}"')
def ask_with_key(context, key):
    try_openai(context, chat_whole, key)


@when("the openai client lists the models")
def list_models(context):
    async def call(client):
        return [model.id for model in (await client.models.list()).data]

    try_openai(context, call)


async def _chunked(body):
    yield body[: len(body) // 2]
    yield body[len(body) // 2 :]


def _bad_body(name):
    oversized = b'{"model": "' + b"x" * MAX_BODY_BYTES + b'"}'
    image = [{"role": "user", "content": [{"type": "image_url", "image_url": {"url": "x"}}]}]
    bodies_by_name = {
        "an oversized body": oversized,
        "an oversized chunked body": _chunked(oversized),
        "a truncated document": b'{"model": "ledger", "messa',
        "invalid UTF-8": b'{"model": "ledger", "messages": [{"role": "\xff", "content": ""}]}',
        "no messages": json.dumps({"model": "ledger"}),
        "an unknown model": json.dumps({**GOOD_BODY, "model": "no-such"}),
        "a model not attached": json.dumps({**GOOD_BODY, "model": "hidden"}),
        "too large an output cap": json.dumps({**GOOD_BODY, "max_tokens": 101}),
        "an output cap of zero": json.dumps({**GOOD_BODY, "max_completion_tokens": 0}),
        "two choices": json.dumps({**GOOD_BODY, "n": 2}),
        "an image": json.dumps({**GOOD_BODY, "messages": image}),
    }
    return bodies_by_name[name]


@when("a caller posts {name} to the chat path")
def post_bad_body(context, name):
    path = "/v1/chat/completions"
    context.response = run(ask_raw(context.application, "POST", path, content=_bad_body(name)))


@when('a caller posts a good body with the header "{header}" set to "{value}"')
def post_header(context, header, value):
    path, headers = "/v1/chat/completions", {header: value}
    work = ask_raw(context.application, "POST", path, json=GOOD_BODY, headers=headers)
    context.response = run(work)


@when("a caller posts a good body with every header set")
def post_all_headers(context):
    headers = {
        "Idempotency-Key": "posting-9",
        "X-Quinceferry-Priority": "low",
        "X-Quinceferry-Deadline-Seconds": "7",
        "X-Quinceferry-Non-Idempotent": "true",
        "X-Quinceferry-Ticket": GOOD_TICKET,
    }
    path = "/v1/chat/completions"
    run(ask_raw(context.application, "POST", path, json=GOOD_BODY, headers=headers))


@when('a caller with the key "{key}" asks for the outcome of "{request_id}"')
def ask_outcome(context, key, request_id):
    path = f"/v1/requests/{request_id}"
    context.response = run(ask_raw(context.application, "GET", path, key))


@when("a caller asks which address to use")
def ask_address(context):
    context.response = run(ask_raw(context.application, "GET", "/v1/address?zone=a"))


@when('a caller posts "{payload}" to the service path "{path}" marked idempotent')
def post_service(context, payload, path):
    headers = {"X-Quinceferry-Non-Idempotent": "false"}
    work = ask_raw(context.application, "POST", path, content=payload, headers=headers)
    context.response = run(work)


@when('a caller posts "{payload}" to the service path "{path}" with a request id')
def post_service_with_id(context, payload, path):
    headers = {"Idempotency-Key": "posting-10"}
    work = ask_raw(context.application, "POST", path, content=payload, headers=headers)
    context.response = run(work)


async def _raw_stream(address):
    """Send a request for a streamed answer over a plain socket and read nothing."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
    body = json.dumps({**GOOD_BODY, "stream": True}).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\n"
    head += f"authorization: Bearer {KEY}\r\ncontent-length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    await writer.drain()
    return reader, writer


@when("a caller leaves in the middle of a streamed answer")
@when("a caller leaves before a streamed answer begins")
def leave(context):
    async def work():
        async with served(context.application) as address:
            _, writer = await _raw_stream(address)
            await context.pipeline.in_progress.wait()
            writer.close()
            await context.pipeline.closed.wait()

    run(work())


@when("a caller asks for it and reads nothing")
def read_nothing(context):
    async def work():
        async with served(context.application) as address:
            _, writer = await _raw_stream(address)
            pulled = -1
            while pulled != context.pipeline.pulled or not pulled:
                pulled = context.pipeline.pulled
                await asyncio.sleep(0.3)
            context.pulled = pulled
            writer.transport.abort()
            await context.pipeline.closed.wait()

    run(work())


@given("readers may stall for {seconds:f} seconds")
def set_reader_timeout(context, seconds):
    settings = context.application.settings
    streams = dataclasses.replace(settings.streams, reader_timeout_seconds=seconds)
    context.application.settings = dataclasses.replace(settings, streams=streams)


@when("a caller asks for it and waits without reading")
def wait_without_reading(context):
    async def work():
        async with served(context.application) as address:
            _, writer = await _raw_stream(address)
            await context.pipeline.closed.wait()
            writer.transport.abort()

    run(work())


@when("a connection to the router is opened")
def open_connection(context):
    async def work():
        server = HttpServer(build_app(context.application), "127.0.0.1", 0, 5.0)
        await server.start()
        async with httpx.AsyncClient(trust_env=False) as client:
            await client.get(f"http://127.0.0.1:{server.port}/health")
            (connection,) = server.connections
            accepted = connection.transport.get_extra_info("socket")
            context.no_delay = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        await server.stop()

    run(work())


@when("a streamed answer is in progress while the server stops")
def stop_midway(context):
    async def work():
        async with served(context.application) as address:
            reader, writer = await _raw_stream(address)
            await context.pipeline.in_progress.wait()
            asyncio.get_running_loop().call_later(0.3, context.pipeline.release.set)
        context.received = await reader.read()
        writer.close()

    run(work())


@when("two callers post bodies of {size:d} bytes at once")
def post_two(context, size):
    context.pipeline.hang_after = 1
    body = {**GOOD_BODY, "user": "x" * size}

    async def work():
        async with served(context.application) as address, openai_client(address) as client:
            first = asyncio.create_task(_post_large(client, body))
            await context.pipeline.in_progress.wait()
            try:
                await _post_large(client, body)
            except openai.APIStatusError as error:
                context.refused = error.body["reason"]
            context.pipeline.release.set()
            context.first = await first
            context.third = await _post_large(client, body)

    run(work())


async def _post_large(client, body):
    answer = await client.chat.completions.create(**body)
    return answer.choices[0].message.content


@given("bodies may take {seconds:f} seconds to arrive")
def set_body_timeout(context, seconds):
    settings = context.application.settings
    callers = dataclasses.replace(settings.callers, body_timeout_seconds=seconds)
    context.application.settings = dataclasses.replace(settings, callers=callers)


@given("the keys of both workspaces are the same")
def share_key(context):
    board = context.application.blackboard
    workspaces = {
        workspace.id: dataclasses.replace(workspace, key_hashes=(key_digest(KEY),))
        for workspace in board.configuration.workspaces_by_id.values()
    }
    board.configuration = dataclasses.replace(
        board.configuration, revision=2, workspaces_by_id=workspaces
    )


@when("a caller sends half of its body and waits")
def send_half(context):
    body = json.dumps(GOOD_BODY).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n"
    head += f"content-length: {len(body)}\r\n\r\n"

    async def work():
        async with served(context.application) as address:
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body[: len(body) // 2])
            context.received = await reader.readuntil(b"}}")
            writer.close()

    run(work())


@when('a probe asks "{health}" and "{ready}" in each state of the router')
def probe(context, health, ready):
    context.statuses_by_state = {}
    for state in RouterState:
        context.application.blackboard.state = state
        context.statuses_by_state[state] = tuple(
            run(ask_raw(context.application, "GET", path)).status_code for path in (health, ready)
        )


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
