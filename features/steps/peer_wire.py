"""Steps for the calls between routers."""

import asyncio
import time

import httpx
from behave import given, then, when
from fixtures_edge import FLEET_SECRET, FakeApplication, answer_script, served

from quinceferry_core.clocks import SystemClock
from quinceferry_core.exceptions import (
    KvUnavailableError,
    PeerNotBegunError,
    PeerUnavailableError,
)
from quinceferry_core.models import (
    CallerRequest,
    ModelRef,
    Priority,
    RequestKind,
    Ticket,
    Usage,
)
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
from quinceferryd import peer_api, wire
from quinceferryd.peer_client import HttpPeerClient
from quinceferryd.signatures import SIGNATURE_HEADER, Signer

TIMEOUT_SECONDS = 20.0
HOUR_SECONDS = 3600
REQUEST = CallerRequest(
    "choir",
    "posting-1",
    RequestKind.SERVICE,
    ModelRef("ledger", "fi", "2"),
    prompt="user: ä",
    body=b"\x00\xff binary",
    max_output_tokens=7,
    priority=Priority.LOW,
    idempotent=False,
    ticket=Ticket("choir", "incarnation-1", "127.0.0.1:1", SystemClock().now()),
    deadline_seconds=1.5,
    forwarded=True,
)
EVENTS_BY_NAME = {
    "chunk": Chunk(3, 1, "ä\n"),
    "service chunk": Chunk(0, 0, "", b"\x00\xff"),
    "finished": Finished(Usage(5, 3), "length", 201, "text/plain"),
    "failed, not run": Failed(
        RefusalReason.QUEUE_FULL, NotRun(NotRunProof.REFUSED_BY_UPSTREAM), 2.5, "d", "s", "p"
    ),
    "failed, run": Failed(RefusalReason.INTERNAL, Run(Usage(1, 2))),
    "failed, unknown": Failed(RefusalReason.HOME_GONE, Unknown()),
}


def run(work):
    return asyncio.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


async def with_peer(context, call, secret=FLEET_SECRET):
    peers = HttpPeerClient(secret, SystemClock())
    try:
        async with served(context.peer) as address:
            return await call(peers, address)
    finally:
        await peers.aclose()


async def collect(context, peers, address):
    context.events, context.error = [], None
    try:
        async for event in peers.forward(address, REQUEST):
            context.events.append(event)
    except PeerUnavailableError as error:
        context.error = error


@given("a peer router whose pipeline is a fake")
def make_peer(context):
    context.peer = FakeApplication()


@given('the peer knows that "{request_id}" of "{workspace}" has run')
def know_outcome(context, request_id, workspace):
    context.peer.pipeline.outcomes_by_key[workspace, request_id] = Run(Usage(5, 3))


@given("the peer's pipeline stops without a last event after {count:d} chunks")
def script_death(context, count):
    context.peer.pipeline.script = answer_script()[:count]


def _raw_answer(lines, ending):
    pieces = b"".join(b"%x\r\n%b\r\n" % (len(line), line) for line in lines)
    return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + pieces + ending


@given("a peer whose connection breaks after {count:d} chunks")
def break_connection(context, count):
    lines = [wire.encode_event(event) for event in answer_script()[:count]]
    context.raw_answer = _raw_answer(lines, b"")


@given("a peer that answers with a malformed line after {count:d} chunks")
def send_nonsense(context, count):
    lines = [wire.encode_event(event) for event in answer_script()[:count]]
    context.raw_answer = _raw_answer([*lines, b'{"type": "nonsense"}\n'], b"0\r\n\r\n")


@given("the peer's pipeline waits for ever after {count:d} chunk")
@given("the peer's pipeline waits for ever after {count:d} chunks")
def script_silence(context, count):
    context.peer.pipeline.hang_after = count


@when("a router forwards a request to the peer")
def forward(context):
    run(with_peer(context, lambda peers, address: collect(context, peers, address)))


@when("a router with another secret forwards a request to the peer")
def forward_with_other_secret(context):
    run(with_peer(context, lambda peers, address: collect(context, peers, address), "other"))


@when("a router forwards a request to a port where nobody listens")
def forward_to_nobody(context):
    async def work():
        peers = HttpPeerClient(FLEET_SECRET, SystemClock())
        async with served(context.peer) as address:
            pass
        await collect(context, peers, address)
        await peers.aclose()

    run(work())


@when("a router forwards a request over that connection")
def forward_raw(context):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(context.raw_answer)
        writer.close()

    async def work():
        peers = HttpPeerClient(FLEET_SECRET, SystemClock())
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server:
            await collect(context, peers, f"{host}:{port}")
        await peers.aclose()

    run(work())


@when("the event {name} is encoded and decoded")
def round_trip(context, name):
    context.before = EVENTS_BY_NAME[name]
    line = wire.encode_event(context.before)
    assert line.count(b"\n") == 1 and line.endswith(b"\n"), line
    context.after = wire.decode_event(line)


@when('a router asks the peer for the outcomes of "{first}" and "{second}" of "{workspace}"')
def ask_outcomes(context, first, second, workspace):
    async def call(peers, address):
        return [await peers.ask_outcome(address, workspace, name) for name in (first, second)]

    context.outcomes = run(with_peer(context, call))


@when('a router recalls {wanted:d} tokens of "{workspace}" from the peer')
def recall(context, wanted, workspace):
    async def call(peers, address):
        return await peers.recall(address, workspace, wanted)

    context.reply = run(with_peer(context, call))


def _headers(how, body):
    now, path = time.time(), peer_api.FORWARD_PATH
    signer = Signer(FLEET_SECRET)
    values_by_name = {
        "without a signature": "",
        "signed with another secret": Signer("other").sign("POST", path, body, now),
        "with another body": signer.sign("POST", path, body + b" ", now),
        "with the signature of a recall": signer.sign("POST", peer_api.RECALL_PATH, body, now),
        "signed an hour ago": signer.sign("POST", path, body, now - HOUR_SECONDS),
        "with a malformed signature": "1.2",
    }
    return {SIGNATURE_HEADER: values_by_name[how]}


@when("a forwarded request is sent {how}")
def send_raw(context, how):
    body = wire.encode_request(REQUEST)

    async def work():
        async with served(context.peer) as address, httpx.AsyncClient(trust_env=False) as client:
            url = f"http://{address}{peer_api.FORWARD_PATH}"
            return await client.post(url, content=body, headers=_headers(how, body))

    context.response = run(work())


@given("the peer can't reach the key-value service")
def break_recall(context):
    async def fail(workspace, wanted):
        raise KvUnavailableError("no answer", step="kv.put_if")

    context.peer.allotments.recall = fail


@when('a router recalls {wanted:d} tokens of "{workspace}" from the peer and fails')
def recall_in_vain(context, wanted, workspace):
    async def call(peers, address):
        try:
            await peers.recall(address, workspace, wanted)
        except PeerUnavailableError as error:
            return error

    context.error = run(with_peer(context, call))


@then("the recall fails, but not as not begun")
def check_recall_failed(context):
    assert isinstance(context.error, PeerUnavailableError)
    assert not isinstance(context.error, PeerNotBegunError)
    assert "503" in str(context.error), context.error


@when("a stranger sends only the head of a forwarded request")
def send_head_only(context):
    head = f"POST {peer_api.FORWARD_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n"

    async def work():
        async with served(context.peer) as address:
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode())
            context.received = await reader.readuntil(b"\r\n\r\n")
            writer.close()

    run(work())


@then("the peer answered 401 before the body arrived")
def check_early_refusal(context):
    assert context.received.startswith(b"HTTP/1.1 401 "), context.received


@when("a router closes its forward after the first chunk")
def close_forward(context):
    async def call(peers, address):
        events = peers.forward(address, REQUEST)
        await anext(events)
        await events.aclose()
        await context.peer.pipeline.closed.wait()

    run(with_peer(context, call))


@when("a connection to the peer stays open for two intervals of silence")
def stay_silent(context):
    async def work():
        usual, peer_api.KEEP_ALIVE_INTERVAL_SECONDS = peer_api.KEEP_ALIVE_INTERVAL_SECONDS, 0.01
        body = wire.encode_request(REQUEST)
        signature = Signer(FLEET_SECRET).sign("POST", peer_api.FORWARD_PATH, body, time.time())
        try:
            async with served(context.peer) as address, httpx.AsyncClient() as client:
                url = f"http://{address}{peer_api.FORWARD_PATH}"
                headers = {SIGNATURE_HEADER: signature}
                async with client.stream("POST", url, content=body, headers=headers) as response:
                    context.received = b""
                    async for piece in response.aiter_raw():
                        context.received += piece
                        if len(context.received) > 2:
                            return
        finally:
            peer_api.KEEP_ALIVE_INTERVAL_SECONDS = usual

    run(work())


@then("the peer's pipeline was given the same request")
def check_request(context):
    assert context.peer.pipeline.requests == [REQUEST], context.peer.pipeline.requests


@then("the router received the same events as the peer produced")
def check_events(context):
    assert context.error is None, context.error
    assert context.events == context.peer.pipeline.script, context.events


@then("it is equal to the event before")
def check_round_trip(context):
    assert context.after == context.before, context.after


@then("it learns that the first has run and that the second was never seen")
def check_outcomes(context):
    assert context.outcomes == [Run(Usage(5, 3)), None], context.outcomes


@then("it learns that {returned:d} were returned and {held:d} are still held")
def check_recall(context, returned, held):
    assert (context.reply.returned, context.reply.still_held) == (returned, held), context.reply


@then("the peer answers {status:d}")
def check_status(context, status):
    assert context.response.status_code == status, context.response


@then("the peer's pipeline was given nothing")
def check_no_request(context):
    assert context.peer.pipeline.requests == []


@then("the forward fails as not begun")
def check_not_begun(context):
    assert isinstance(context.error, PeerNotBegunError), context.error
    assert context.error.step == "peer.forward" and context.error.peer, context.error
    assert context.peer.pipeline.requests == []


@then("the forward fails, but not as not begun, after {count:d} chunks")
def check_lost(context, count):
    assert isinstance(context.error, PeerUnavailableError), context.error
    assert not isinstance(context.error, PeerNotBegunError)
    assert len(context.events) == count, context.events


@then("the router received {count:d} chunks and an internal failure with an unknown outcome")
def check_internal(context, count):
    *chunks, last = context.events
    assert chunks == context.peer.pipeline.script, context.events
    assert (last.reason, last.outcome) == (RefusalReason.INTERNAL, Unknown()), last


@then("the peer's pipeline was cancelled")
def check_cancelled(context):
    assert context.peer.pipeline.closed.is_set()
    assert not context.peer.pipeline.runs_on


@then("at least two empty lines arrived and no event")
def check_signs_of_life(context):
    assert set(context.received) == {ord("\n")}, context.received
