"""Steps for the life of the daemon's process."""

import asyncio
import dataclasses
import os
import signal
import socket

import httpx
from behave import given, then, when
from fixtures_edge import KEY, FakeApplication, served

from quinceferryd.blackboard import RouterState
from quinceferryd.daemon import serve_until, stop_on_signals

TIMEOUT_SECONDS = 20.0
SIGNALS_BY_CAUSE = {
    "a SIGTERM": [signal.SIGTERM],
    "a SIGINT": [signal.SIGINT],
    "two SIGTERMs": [signal.SIGTERM, signal.SIGTERM],
    "an operator's order": [],
}


def run(work):
    return asyncio.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


class FakeShutdown:
    def __init__(self):
        self.stop_requested = asyncio.Event()


class StoppableApplication(FakeApplication):
    """Application whose start and stop take as long as the test wants."""

    def __init__(self):
        super().__init__()
        self.blackboard.state = RouterState.STARTING
        self.shutdown = FakeShutdown()
        self.may_start = asyncio.Event()
        self.started = asyncio.Event()
        self.stopping = asyncio.Event()
        self.may_stop = asyncio.Event()

    async def start(self):
        await self.may_start.wait()
        self.blackboard.state = RouterState.SERVING
        self.started.set()

    async def stop(self):
        self.blackboard.state = RouterState.STOPPING
        self.stopping.set()
        await self.may_stop.wait()


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


async def wait_for_port(port):
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.01)
        else:
            writer.close()
            return


async def get_status(context, path):
    async with httpx.AsyncClient(trust_env=False) as client:
        response = await client.get(f"http://127.0.0.1:{context.port}{path}")
        return response.status_code


@given("a daemon around a fake application")
def make_daemon(context):
    context.port = free_port()
    context.application = StoppableApplication()
    router = dataclasses.replace(context.application.settings.router, port=context.port)
    settings = dataclasses.replace(context.application.settings, router=router)
    context.application.settings = settings


@when("the daemon's application takes its time to start")
def start_slowly(context):
    async def work():
        stopping = asyncio.Event()
        daemon = asyncio.create_task(serve_until(context.application, stopping))
        await wait_for_port(context.port)
        context.statuses = [await get_status(context, path) for path in ("/health", "/ready")]
        context.application.may_start.set()
        context.application.may_stop.set()
        stopping.set()
        await daemon

    run(work())


@when("the daemon is stopped by {cause} while a streamed answer is in progress")
def stop_daemon(context, cause):
    application, pipeline = context.application, context.application.pipeline
    pipeline.hang_after = 1
    application.may_start.set()

    async def work():
        daemon = asyncio.create_task(serve_until(application, stop_on_signals()))
        await application.started.wait()
        await wait_for_port(context.port)
        answer = asyncio.create_task(read_stream(context))
        await pipeline.in_progress.wait()
        for number in SIGNALS_BY_CAUSE[cause]:
            os.kill(os.getpid(), number)
        if not SIGNALS_BY_CAUSE[cause]:
            application.shutdown.stop_requested.set()
        await application.stopping.wait()
        context.status = await get_status(context, "/health")
        application.may_stop.set()
        await asyncio.sleep(0)
        pipeline.release.set()
        context.answer = await answer
        await daemon

    run(work())


async def read_stream(context):
    body = {"model": "ledger", "prompt": "Explain.", "stream": True}
    async with httpx.AsyncClient(trust_env=False) as client:
        url = f"http://127.0.0.1:{context.port}/v1/completions"
        headers = {"authorization": f"Bearer {KEY}"}
        return (await client.post(url, json=body, headers=headers)).content


@when("a caller asks a stopping router for an answer")
def ask_stopping(context):
    context.application.blackboard.state = RouterState.STOPPING

    async def work():
        async with served(context.application) as address, httpx.AsyncClient() as client:
            headers = {"authorization": f"Bearer {KEY}"}
            body = {"model": "ledger", "prompt": "Explain."}
            url = f"http://{address}/v1/completions"
            return await client.post(url, json=body, headers=headers)

    context.response = run(work())


@then("the daemon was healthy but not ready meanwhile")
def check_not_ready(context):
    assert context.statuses == [200, 503], context.statuses


@then("the daemon still answered while its application stopped")
def check_answered(context):
    assert context.status == 200


@then("the streamed answer was read to its end")
def check_answer(context):
    assert context.answer.endswith(b"data: [DONE]\n\n"), context.answer


@then("the daemon's port is closed")
def check_closed(context):
    with socket.socket() as probe:
        assert probe.connect_ex(("127.0.0.1", context.port)) != 0


@then("the caller reads the answer and is asked to close the connection")
def check_close(context):
    assert context.response.status_code == 200, context.response.text
    assert context.response.headers["connection"] == "close"
