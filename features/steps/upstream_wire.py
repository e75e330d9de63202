"""Steps for calls to upstreams over HTTP."""

import asyncio
from dataclasses import replace
from unittest.mock import Mock

from behave import given, then, when
from fixtures_upstreams import (
    MODEL,
    ScriptedServer,
    collect,
    connected_upstreams,
    error_of,
    make_dispatch,
    make_service_dispatch,
    text_of,
)

from quinceferry_core.adapters import EngineOrder, OrderKind
from quinceferry_core.models import ModelRef, Usage
from quinceferry_core.outcomes import Chunk, Finished
from quinceferry_standins.outputs import count_prompt_tokens, expected_output
from quinceferry_standins.service import CONTENT_TYPE, expected_reply
from quinceferryd.event_streams import EventReader
from quinceferryd.http_connections import MAX_BUFFERED_BYTES, HttpConnection
from quinceferryd.upstream_client import HttpUpstreams

PIECE = b'data: {"choices":[{"delta":{"content":"\xc3\xa4"}}],"offset":0,"tokens":1}\r\n\r\n'
PIECE_2 = b'data: {"choices":[{"delta":{"content":"b"}}],"offset":1,"tokens":1}\n\n'
USAGE = (
    b'data: {"choices":[{"finish_reason":"stop"}],'
    b'"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n'
)
DONE = b"data: [DONE]\n\n"
WHOLE = b": comment\n\n" + PIECE + PIECE_2 + USAGE + DONE


def _response(body, status=b"200 OK", length=None):
    head = b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n" % (status, length or len(body))
    return head + body


ANSWERS_BY_NAME = {
    "nothing": b"",
    "half a head": b"HTTP/1.1 200 OK\r\ncontent-",
    "no HTTP": b"SSH-2.0-server\r\n\r\n",
    "status 404": _response(b"{}", b"404 Not Found"),
    "status 429": _response(b"{}", b"429 Too Many Requests"),
    "status 500": _response(b"{}", b"500 Internal Server Error"),
    "a stream cut short": _response(PIECE, length=len(WHOLE)),
    "a stream without usage": _response(PIECE + DONE),
    "a stream without its end": _response(PIECE + USAGE),
    "a malformed message": _response(PIECE + b'data: {"choices":3}\n\n'),
    "a whole stream": _response(WHOLE),
}

BODY = "äb".encode()
FRAMINGS_BY_NAME = {
    "a length": _response(BODY),
    "pieces": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"2\r\n\xc3\xa4\r\n1\r\nb\r\n0\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
    "an interim answer first": b"HTTP/1.1 100 Continue\r\n\r\n" + _response(BODY),
    "a length and no body": b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n",
    "its own status 503": _response(BODY, b"503 Service Unavailable"),
}


@given("stand-in upstreams reached {wire}")
def choose_wire(context, wire):
    context.wire = wire


def _over_wire(context, work):
    """Run a coroutine function with a client, its upstreams and their specs."""

    async def run():
        async with connected_upstreams(context.wire) as parts:
            await work(*parts)

    asyncio.run(run())


@then("over that wire a run returns the expected answer, its use and one record")
def check_run(context):
    async def work(client, engine, _service, spec, _service_spec):
        dispatch = make_dispatch(upstream=spec)
        events = await collect(client.run(dispatch))
        prompt_tokens = count_prompt_tokens(dispatch.request.prompt)
        assert text_of(events) == expected_output(dispatch.request), events
        assert events[-1] == Finished(Usage(prompt_tokens, 20)), events[-1]
        (run,) = engine.runs
        assert (run.workspace, run.request_id, run.incarnation) == ("choir", "r1", "router-1")
        assert (run.fencing, run.attempt, run.finished) == (7, 1, True)
        assert run.used_tokens == prompt_tokens + 20

    _over_wire(context, work)


@then("over that wire a dropped stream is resumed with exactly the missing tokens")
def check_resume(context):
    async def work(client, engine, _service, spec, _service_spec):
        first = await collect(client.run(make_dispatch(upstream=spec)), limit=3)
        offset = sum(chunk.tokens for chunk in first)
        dispatch = make_dispatch(upstream=spec, offset=offset)
        rest = await collect(client.resume(dispatch))
        assert text_of(first) + text_of(rest) == expected_output(dispatch.request), rest
        assert isinstance(rest[-1], Finished) and len(engine.runs) == 1, rest[-1]
        by_run = replace(dispatch, attempt=5, run_attempt=1)
        assert text_of(await collect(client.resume(by_run))) == text_of(rest)
        other = replace(dispatch, attempt=5, run_attempt=4)
        unknown = "UpstreamUnknownRequestError"
        assert await error_of(collect(client.resume(other))) == unknown

    _over_wire(context, work)


@then("over that wire a refused and an unknown request raise their errors")
def check_errors(context):
    async def work(client, engine, _service, spec, service_spec):
        unloaded = make_dispatch(upstream=spec, target=ModelRef("other"))
        assert await error_of(collect(client.run(unloaded))) == "UpstreamRefusedError"
        capped = make_dispatch(upstream=spec, cap=1)
        assert await error_of(collect(client.run(capped))) == "UpstreamRefusedError"
        unknown = "UpstreamUnknownRequestError"
        assert await error_of(collect(client.resume(make_dispatch(upstream=spec)))) == unknown
        call = make_service_dispatch("c1", service_spec)
        assert await error_of(collect(client.resume(call))) == unknown
        assert not engine.runs, engine.runs

    _over_wire(context, work)


@then("over that wire a cancelled run reports its use")
def check_cancel(context):
    async def work(client, engine, _service, spec, service_spec):
        dispatch = make_dispatch(upstream=spec, tokens=5000)
        await collect(client.run(dispatch), limit=2)
        named = (spec, dispatch.request.request_id, dispatch.request.workspace)
        assert await client.cancel(*named, "router-2") is None
        used = await client.cancel(*named, dispatch.incarnation)
        (run,) = engine.runs
        assert run.cancelled and used == run.used_tokens, (used, run)
        assert 2 <= run.output_tokens < 5000, run
        assert await client.cancel(spec, "never", dispatch.request.workspace) is None
        assert await client.cancel(service_spec, "never") is None

    _over_wire(context, work)


@then("over that wire an old order is refused and the load report shows the models")
def check_order(context):
    async def work(client, engine, _service, spec, service_spec):
        adapter = ModelRef("ledger", "choirs", "2")
        await client.order(spec, EngineOrder(OrderKind.LOAD, adapter, fencing=9))
        old = EngineOrder(OrderKind.UNLOAD, adapter, fencing=8)
        assert await error_of(client.order(spec, old)) == "UpstreamRefusedError"
        engine.leave()
        report = await client.load(spec)
        assert report.loaded == (MODEL, adapter) and report.leaving, report
        assert (await client.load(service_spec)).running == 0
        assert await client.cache_events(spec, 0) == ()

    _over_wire(context, work)


@then("over that wire each service call is executed once and its reply returned")
def check_service(context):
    async def work(client, _engine, service, _spec, service_spec):
        for request_id in ("c1", "c2"):
            dispatch = make_service_dispatch(request_id, service_spec)
            *chunks, finished = await collect(client.run(dispatch))
            assert b"".join(chunk.data for chunk in chunks) == expected_reply(dispatch.request)
            assert finished == Finished(Usage(0, 0), content_type=CONTENT_TYPE), finished
        assert service.executions() == {("choir", "c1"): 1, ("choir", "c2"): 1}

    _over_wire(context, work)


@when("a request goes to a port where nobody listens")
def send_to_nobody(context):
    async def run():
        server = ScriptedServer([])
        spec = await server.start()
        await server.stop()
        client = HttpUpstreams()
        context.error = await error_of(collect(client.run(make_dispatch(upstream=spec))))

    asyncio.run(run())


@when("a server answers a {verb} with {answer} and closes the connection")
def send_to_script(context, verb, answer):
    async def run():
        server = ScriptedServer([ANSWERS_BY_NAME[answer]])
        dispatch = make_dispatch(upstream=await server.start())
        client = HttpUpstreams()
        stream = client.run(dispatch) if verb == "run" else client.resume(dispatch)
        context.error = await error_of(collect(stream))
        await client.aclose()
        await server.stop()
        assert server.connections == 1, server.connections

    asyncio.run(run())


@then("the HTTP client raises {error}")
def check_error(context, error):
    assert (context.error or "no error") == error, context.error


@when("a stream over HTTP is closed while the server is silent")
def close_stream(context):
    async def run():
        server = ScriptedServer([_response(PIECE, length=len(WHOLE))], closes=False)
        client = HttpUpstreams()
        events = await collect(client.run(make_dispatch(upstream=await server.start())), limit=1)
        context.closed_events = events
        async with asyncio.timeout(10.0):
            await server.dropped.wait()
        context.dropped = server.dropped.is_set()
        await server.stop()

    asyncio.run(run())


@then("the server sees the connection end")
def check_dropped(context):
    assert context.dropped and context.closed_events == [Chunk(0, 1, "ä")]


@when("2 idempotent runs, then 2 non-idempotent runs go to a server that keeps connections")
def run_four(context):
    async def run():
        server = ScriptedServer([_response(WHOLE)] * 4)
        spec = await server.start()
        client = HttpUpstreams()
        for idempotent in (True, True, False, False):
            await collect(client.run(make_dispatch(upstream=spec, idempotent=idempotent)))
        context.connections = server.connections
        await client.aclose()
        await server.stop()

    asyncio.run(run())


@then("the server has seen {count:d} connections")
def check_connections(context, count):
    assert context.connections == count, context.connections


@when("the bytes of a stream are fed to the reader in every way of cutting them in two")
def cut_stream(context):
    context.readings = []
    for cut in range(len(WHOLE) + 1):
        reader = EventReader()
        context.readings.append(reader.feed(WHOLE[:cut]) + reader.feed(WHOLE[cut:]))


@then("each way gives the same text, tokens and end")
def check_cuts(context):
    for events in context.readings:
        assert text_of(events) == "äb", events
        assert sum(event.tokens for event in events[:-1]) == 2, events
        assert events[-1] == Finished(Usage(3, 2), "stop"), events


@when("a stream with a doubled and a missing piece is fed to the reader at once")
def feed_disordered(context):
    piece_4 = PIECE_2.replace(b'"offset":1', b'"offset":3')
    context.pieces = EventReader().feed(PIECE + PIECE_2 + PIECE_2 + piece_4)


@then("the reader returns the pieces with their own offsets")
def check_disordered(context):
    assert context.pieces == [Chunk(0, 2, "äb"), Chunk(1, 1, "b"), Chunk(3, 1, "b")], context.pieces


@when("a run over HTTP asks for more tokens than the router allows")
def run_greedy(context):
    context.wire = "over HTTP"

    async def work(client, engine, _service, spec, _service_spec):
        dispatch = make_dispatch(upstream=spec, tokens=4, wanted_tokens=50)
        context.events = await collect(client.run(dispatch))
        context.run = engine.runs[0]

    _over_wire(context, work)


@then("the engine over HTTP generates only what the router allows")
def check_greedy(context):
    assert context.run.output_tokens == 4 and context.events[-1].usage.output_tokens == 4


@when("a service answers a {method} with {framing} and closes the connection")
def send_to_service(context, method, framing):
    async def run():
        server = ScriptedServer([FRAMINGS_BY_NAME[framing]])
        dispatch = make_service_dispatch("c1", await server.start(), method=method)
        client = HttpUpstreams()
        context.events = await collect(client.run(dispatch))
        await client.aclose()
        await server.stop()

    asyncio.run(run())


@then('the service answer is status {status:d} with body "{body}"')
@then('the service answer is status {status:d} with body ""')
def check_service_answer(context, status, body=""):
    *chunks, finished = context.events
    assert b"".join(chunk.data for chunk in chunks).decode() == body, chunks
    assert finished.status == status, finished


@when("more bytes arrive than a connection may hold")
def overfill(context):
    async def run():
        transport = Mock()
        transport.is_closing.return_value = False
        connection = HttpConnection()
        connection.connection_made(transport)
        connection.send(b"", b"", has_no_body=False)
        _arrive(connection, b"HTTP/1.1 200 OK\r\n\r\n")
        arrived = 0
        while not transport.pause_reading.called and arrived < 2 * MAX_BUFFERED_BYTES:
            arrived += _arrive(connection, b"x" * 4096)
        context.held = arrived
        context.resumed_early = transport.resume_reading.called
        context.taken = len(await connection.read_body())
        context.resumed = transport.resume_reading.called

    asyncio.run(run())


def _arrive(connection, data):
    """Hand bytes to a connection as the event loop does."""
    connection.get_buffer(-1)[: len(data)] = data
    connection.buffer_updated(len(data))
    return len(data)


@then("the connection stops reading until its reader has taken them")
def check_backpressure(context):
    assert context.held == context.taken == MAX_BUFFERED_BYTES + 4096, context.held
    assert context.resumed and not context.resumed_early
