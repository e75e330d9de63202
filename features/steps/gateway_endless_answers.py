"""Steps for answers without end in small pieces."""

import asyncio
import contextlib
from dataclasses import dataclass

from behave import given, then, when

from quinceferry_gateway import HttpClient
from quinceferry_gateway.exceptions import ConnectionBrokenError
from quinceferry_gateway.transport import OpenReply
from quinceferry_lab.virtual_time import run_virtual

PIECES = {
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
}
"""What a server sends at first, and then again and again."""
PATIENCE_SECONDS = 20.0


@dataclass
class ArrivedResponse:
    """Response of the HTTP library whose whole body has arrived, so that nothing is waited for."""

    chunks: int
    size: int
    status: int = 500
    headers: tuple = ()

    async def aiter_stream(self):
        """Yield all chunks."""
        for _ in range(self.chunks):
            yield b"x" * self.size


@given("an answer of {chunks:d} chunks of {size:d} byte, all of which have arrived")
@given("an answer of {chunks:d} chunks of {size:d} bytes, all of which have arrived")
def given_arrived(context, chunks, size):
    context.arrived = ArrivedResponse(chunks, size)


@when("it is read alone")
def when_read(context):
    run_virtual(read_arrived(context))


@when("it is read while another task waits for its turns")
def when_read_beside(context):
    async def play():
        other = asyncio.create_task(take_turns(context))
        await read_arrived(context)
        other.cancel()

    context.turns = 0
    asyncio.run(play())


async def take_turns(context):
    """Count the turns that the event loop gives to a task."""
    while True:
        context.turns += 1
        await asyncio.sleep(0)


async def read_arrived(context):
    """Read an answer, and keep how long that takes on the event loop's clock."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    async for chunk in OpenReply(context.arrived, "peer").chunks():
        assert len(chunk) == context.arrived.size
    context.read_seconds = loop.time() - began_at


@then("the other task has had a turn for each {chunks:d} chunks")
def then_turns(context, chunks):
    assert context.turns >= context.arrived.chunks // chunks, context.turns


@then("reading has taken {least:d} to {most:d} seconds of virtual time")
def then_seconds(context, least, most):
    assert least <= context.read_seconds <= most, context.read_seconds


@given("a server that sends {what} without end")
def given_server(context, what):
    context.pieces = PIECES[what]


@when("a request is sent to it")
def when_sent(context):
    first, again = context.pieces

    async def connected(reader, writer):
        with contextlib.suppress(OSError):
            writer.write(first)
            while not reader.at_eof() and not writer.is_closing():
                writer.write(again * 1_000)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()

    async def play():
        server = await asyncio.start_server(connected, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        context.given_up = None
        async with server:
            try:
                async with (
                    asyncio.timeout(PATIENCE_SECONDS),
                    HttpClient().open(f"127.0.0.1:{port}", b"GET", b"/", [(b"host", b"a")]),
                ):
                    pass
            except (ConnectionBrokenError, TimeoutError) as error:
                context.given_up = error

    asyncio.run(play())


@then("the connection is given up for its head")
def then_given_up(context):
    assert isinstance(context.given_up, ConnectionBrokenError), repr(context.given_up)
