"""Steps for clients of a gateway that stay outside the limits."""

import asyncio

from behave import given, then, when

from features.fixtures_gateway import HOST, PATIENCE_SECONDS, until
from features.fixtures_gateway_process import process_scene
from features.fixtures_misbehaving_clients import (
    CALLER_HEADERS,
    HEAD_START,
    MEBIBYTE,
    Crowd,
    ProcessUsage,
    descriptors_returned,
    exchange,
    is_answered,
)
from quinceferry_gateway.addresses import host_and_port

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4 * MEBIBYTE + 1
LIMITS = {
    "max_header_bytes": MAX_HEADER_BYTES,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout_ms": 2_000,
    "idle_timeout_ms": 15_000,
}
ORDINARY_REQUEST = HEAD_START + CALLER_HEADERS + b"content-length: 2\r\n\r\n{}"
FIRST_EVENT = b"\n\n"
HEAD_END = b"\r\n\r\n"
ORDINARY_BY_LISTENER = {
    "callers": (ORDINARY_REQUEST, 200, FIRST_EVENT),
    "directory": (
        f"GET /v1/resolve?name={HOST} HTTP/1.1\r\nhost: a\r\n\r\n".encode(),
        200,
        HEAD_END,
    ),
    "readiness": (b"GET /v1/readyz HTTP/1.1\r\nhost: a\r\n\r\n", 200, HEAD_END),
    "metrics": (b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n", 200, HEAD_END),
    "peers": (b"GET /copies/none HTTP/1.1\r\nhost: a\r\n\r\n", 404, HEAD_END),
}
"""An ordinary request, the status of its answer and what the answer contains."""
SLOW_HEAD_SECONDS = 1.5
AMPLE_HEAD_MILLISECONDS = 10_000
"""Far above the time of a slow head, which a busy machine may lengthen."""
UNREAD_EVENTS = 200_000
"""Events of a stream that is larger than all buffers on its way."""


@given("a gateway process on a machine of {megabytes:d} MB")
def given_machine(context, megabytes):
    scene = process_scene(context)
    scene.limits = LIMITS
    scene.settings = f"[limits]\nmemory_megabytes = {megabytes}\n"
    context.megabytes = megabytes

    async def measure(scene):
        context.usage = ProcessUsage(scene.gateway.process.pid)

    scene.acts.append(measure)


@given("the gateway process may have {count:d} descriptors open")
def given_descriptors(context, count):
    process_scene(context).descriptors = count


@when("{count:d} clients send {what} without end to its address for {listener}")
@when("{count:d} clients send many {what} ahead to its address for {listener} and read the answers")
def when_read(context, count, what, listener):
    _send(context, count, what, listener, reads=True)


@when(
    "{count:d} clients send many {what} ahead to its address for {listener} and "
    "don't read the answers"
)
@when("{count:d} clients send {what} to its address for {listener} and wait")
def when_unread(context, count, what, listener):
    _send(context, count, what, listener, reads=False)


def _send(context, count, what, listener, reads):
    """Let a crowd send."""
    context.listener = listener

    async def act(scene):
        context.crowd = Crowd.of(count, scene.gateway.address(listener), what, reads)
        await context.crowd.run()

    process_scene(context).acts.append(act)


@when("{count:d} clients ask for streams and read nothing")
def when_streams(context, count):
    scene = process_scene(context)
    scene.event_pause_seconds = 0.0
    scene.events = UNREAD_EVENTS
    _send(context, count, "one request", "callers", reads=False)


@when("a client sends many requests with headers ahead and leaves")
def when_leaves(context):
    async def leave(scene):
        await until(lambda: scene.upstream.seen)
        context.crowd.leave()

    _send(context, 1, "requests with headers", "callers", reads=False)
    process_scene(context).acts.append(leave)


@then("the request of that client that runs is given up on")
def then_given_up(context):
    async def check(scene):
        def has_logged():
            scene.read_log()
            return scene.log_events("caller.left")

        await until(has_logged)
        await until(lambda: scene.upstream.closed_by_peer)

    scene = process_scene(context)
    scene.acts.append(check)
    scene.play()
    assert len(scene.upstream.seen) == 1, len(scene.upstream.seen)


@then("each of the clients was cut off")
def then_cut_off(context):
    async def check(scene):
        context.not_cut_off = await context.crowd.wait_cut_off()

    process_scene(context).acts.append(check)


@then("the gateway process lives within its memory and answers ordinary requests")
def then_lives(context):
    async def check(scene):
        context.answered = {
            listener: await is_answered(scene.gateway.address(listener), *ordinary)
            for listener, ordinary in ORDINARY_BY_LISTENER.items()
            if listener in (context.listener, "callers")
        }
        context.crowd.leave()
        await descriptors_returned(context.usage)
        context.lives = scene.gateway.running
        context.peak = context.usage.peak_mebibytes

    scene = process_scene(context)
    scene.acts.append(check)
    scene.play()
    assert context.lives, "the process has ended"
    assert context.peak <= context.megabytes, f"{context.peak:.0f} MB"
    assert all(context.answered.values()), context.answered
    assert not getattr(context, "not_cut_off", 0), f"{context.not_cut_off} were not cut off"


def _request(headers=b"", body=b"{}"):
    """Return a request with a length."""
    length = b"content-length: %d\r\n" % len(body)
    return HEAD_START + CALLER_HEADERS + headers + length + b"\r\n" + body


def _counted_bytes(request):
    """Return the size of the names and values of a request's headers, which the limit counts."""
    head = request.partition(HEAD_END)[0]
    fields = (line.partition(b": ") for line in head.split(b"\r\n")[1:])
    return sum(len(name) + len(value) for name, _, value in fields)


def _request_of(excess):
    """Return a request whose headers are larger than the limit by some bytes."""
    room = MAX_HEADER_BYTES + excess - _counted_bytes(_request(b"a: \r\n"))
    return _request(b"a: " + b"b" * room + b"\r\n")


def _request_of_short_lines():
    """Return a request whose headers fill the limit with short lines."""
    lines = (MAX_HEADER_BYTES - _counted_bytes(_request())) // 2
    return _request(b"a: b\r\n" * lines)


_CHUNKED = HEAD_START + CALLER_HEADERS + b"transfer-encoding: chunked\r\n\r\n"

INSIDE_REQUESTS = {
    "a head of exactly the limit": _request_of(0),
    "a head of short lines up to the limit": _request_of_short_lines(),
    "a head above the limit": _request_of(1),
    "a body of exactly the limit": _request(body=b"b" * MAX_BODY_BYTES),
    "a body above the limit": _request(body=b"b" * (MAX_BODY_BYTES + 1)),
    "a body in small chunks": _CHUNKED + b"1\r\na\r\n" * 20_000 + b"0\r\n\r\n",
    "trailers": _CHUNKED + b"2\r\n{}\r\n0\r\n" + b"a: b\r\n" * 20 + b"\r\n",
    "an empty line before the request": b"\r\n" + _request(),
    "Expect: 100-continue": _request(b"expect: 100-continue\r\n"),
    "a head that takes 1.5 seconds": _request(),
    "four requests ahead": _request() * 4,
}
OUTSIDE_REQUESTS = {
    "half a head": HEAD_START,
    "half a body": _request()[:-1],
    "a large head": HEAD_START + b"a: b\r\n" * 40_000 + b"\r\n",
    "a large target": b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\nhost: a\r\n\r\n",
    "many empty lines": b"\r\n" * 100_000,
    "many trailers": _CHUNKED + b"2\r\n{}\r\n0\r\n" + b"a: b\r\n" * 40_000 + b"\r\n",
    "no request": b"\x16\x03\x01" + b"a" * 200,
    "half a head after a head": b"GET /none HTTP/1.1\r\nhost: a\r\n\r\n" + HEAD_START,
}


@given("a body may take {seconds:d} seconds to arrive")
def given_body_seconds(context, seconds):
    process_scene(context).settings += f"[clients]\nbody_seconds = {seconds}\n"


@given("a client may leave an answer unread for {seconds:d} seconds")
def given_unread_seconds(context, seconds):
    process_scene(context).settings += f"[clients]\nunread_seconds = {seconds}\n"


@when("a client outside the limits sends {what}")
def when_outside(context, what):
    answers = 2 if what.endswith("after a head") else 1

    async def act(scene):
        address = scene.gateway.address("callers")
        context.received = await exchange(address, OUTSIDE_REQUESTS[what], HEAD_END, answers)

    process_scene(context).acts.append(act)


@then("it is refused with {status:d} and no upstream has seen its request")
def then_refused(context, status):
    scene = process_scene(context)
    scene.play()
    last = context.received.rstrip().rsplit(HEAD_END, 1)[-1]
    assert last.startswith(b"HTTP/1.1 %d " % status), context.received[-200:]
    assert b"connection: close" in last, last
    assert not scene.upstream.seen, scene.upstream.seen


@when("a client inside the limits sends {what}")
def when_inside(context, what):
    async def act(scene):
        address = scene.gateway.address("callers")
        if what.startswith("a head that takes"):
            context.received = await _exchange_slowly(address, INSIDE_REQUESTS[what])
            return
        answers = 4 if what == "four requests ahead" else 1
        context.received = await exchange(address, INSIDE_REQUESTS[what], FIRST_EVENT, answers)
        context.peak = context.usage.peak_mebibytes

    scene = process_scene(context)
    scene.limits = LIMITS | {"header_timeout_ms": AMPLE_HEAD_MILLISECONDS}
    if what == "four requests ahead":
        scene.events = 1
    scene.acts.append(act)


async def _exchange_slowly(address, request):
    """Send a request in two halves, and return what arrives up to the first event."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request[:60])
    await asyncio.sleep(SLOW_HEAD_SECONDS)
    writer.write(request[60:])
    try:
        return await reader.readuntil(FIRST_EVENT)
    finally:
        writer.transport.abort()


@when("{count:d} clients send a body of {megabytes:d} MB each at once")
def when_bodies(context, count, megabytes):
    request = _request(body=b"b" * megabytes * MEBIBYTE)

    async def act(scene):
        address = scene.gateway.address("callers")
        connections = [await asyncio.open_connection(*host_and_port(address)) for _ in range(count)]
        heads = (_status_line(*connection, request) for connection in connections)
        context.heads = await asyncio.gather(*heads)
        for _, writer in connections:
            writer.transport.abort()

    process_scene(context).acts.append(act)


async def _status_line(reader, writer, request):
    """Return the status line of the answer to a request, whose connection stays open."""
    writer.write(request)
    return await asyncio.wait_for(reader.readline(), PATIENCE_SECONDS)


@then("each of them is answered with 200 or 503, and upstreams have seen the former")
def then_answered_or_refused(context):
    scene = process_scene(context)
    scene.play()
    statuses = [int(head.split()[1]) for head in context.heads]
    assert set(statuses) == {200, 503}, statuses
    assert len(scene.upstream.seen) == statuses.count(200), (len(scene.upstream.seen), statuses)


@then("the gateway process has lived within its memory")
def then_within(context):
    assert context.peak <= context.megabytes, f"{context.peak:.0f} MB"


@then("it is answered with {status}")
def then_answered(context, status):
    process_scene(context).play()
    received = context.received
    match status:
        case "100 and 200":
            assert received.startswith(b"HTTP/1.1 100 "), received[:100]
            assert b"HTTP/1.1 200 " in received, received[:200]
        case "200, four times":
            assert received.count(b"HTTP/1.1 200 ") == 4, received[:200]
        case _:
            assert received.startswith(f"HTTP/1.1 {status} ".encode()), received[:100]
