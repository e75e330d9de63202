"""Steps for the caller interface."""

import asyncio
import dataclasses
import json
import socket

import httpx
import openai
from behave import given, when
from fixtures_caller_api import (
    GOOD_BODY,
    MESSAGES,
    ask_raw,
    chat_streamed,
    chat_whole,
    run,
    text_streamed,
    text_whole,
    try_openai,
)
from fixtures_edge import (
    GOOD_TICKET,
    KEY,
    MAX_BODY_BYTES,
    FakeApplication,
    answer_script,
    openai_client,
    served,
)

from quinceferry_core.models import Usage
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
from quinceferryd.server import HttpServer, build_app


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
    _set_digests(context, key_digest(KEY))


@given("the key digest of a workspace is empty")
def empty_digest(context):
    _set_digests(context, "", count=1)


def _set_digests(context, digest, count=None):
    """Give the first workspaces, all by default, one key digest."""
    board = context.application.blackboard
    workspaces = dict(board.configuration.workspaces_by_id)
    for workspace in list(workspaces.values())[:count]:
        workspaces[workspace.id] = dataclasses.replace(workspace, key_hashes=(digest,))
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
