"""Steps for metrics and log lines."""

import asyncio
import io
import json
import random
import re

import httpx
import structlog
from behave import given, then, when
from fixtures_edge import KEY, OPERATOR_KEY, FakeApplication, openai_client, served

from quinceferry_core.clocks import SystemClock
from quinceferry_core.kv_calls import call_kind
from quinceferry_core.models import Configuration, Priority, Usage
from quinceferry_core.outcomes import Chunk, Finished
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferryd import logs
from quinceferryd.application import Application, Dependencies
from quinceferryd.blackboard import Blackboard, Identity, RouterState
from quinceferryd.exports import export_router_metrics
from quinceferryd.metrics import ScrapedMetrics
from quinceferryd.workspace_labels import OTHER_WORKSPACES, WorkspaceLabels

TIMEOUT_SECONDS = 20.0
MESSAGES = [{"role": "user", "content": "Explain."}]


def run(work):
    return asyncio.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


def capture_logs(context):
    context.add_cleanup(structlog.configure, **structlog.get_config())
    context.log = io.StringIO()
    logs.configure(context.log)


def log_lines(context):
    return [json.loads(line) for line in context.log.getvalue().splitlines()]


@given("a router with scraped metrics")
def make_router(context):
    context.application = FakeApplication()
    context.application.metrics = ScrapedMetrics(WorkspaceLabels())
    capture_logs(context)


@given("labels for at most {count:d} workspaces")
def make_labels(context, count):
    context.labels = WorkspaceLabels(count)


@given("a log of a router's changes")
def make_change_log(context):
    capture_logs(context)
    context.board = Blackboard(Identity("vm-1", "a", "127.0.0.1:1"))


@given("a real router that was never started, with scraped metrics")
def make_real_router(context):
    context.metrics = ScrapedMetrics(WorkspaceLabels())
    unused = Dependencies(SystemClock(), None, None, None, None, random.Random(1))
    context.router = Application(FakeApplication().settings, unused)
    export_router_metrics(context.router, context.metrics)


@when('it has admitted {admitted:d} requests, read "{key}" {calls:d} times and become ready')
def use_real_router(context, admitted, calls, key):
    context.router.scheduler.counters.admitted[Priority.HIGH] += admitted
    context.router.kv.calls_by_kind[call_kind("get", key)] += calls
    context.router.blackboard.state = RouterState.SERVING


@then("its exposition shows these lines")
def check_exposition(context):
    shown = context.metrics.exposition().decode().splitlines()
    for row in context.table:
        assert row["line"] in shown, (row["line"], shown)


@when('{answers:d} streamed answers of {chunks:d} chunks are read by the workspace "{workspace}"')
def read_answers(context, answers, chunks, workspace):
    script = [Chunk(index, 1, "x") for index in range(chunks)]
    context.application.pipeline.script = [*script, Finished(Usage(1, chunks))]

    async def work():
        async with served(context.application) as address, openai_client(address) as client:
            for _ in range(answers):
                stream = await client.chat.completions.create(
                    model="ledger", messages=MESSAGES, stream=True
                )
                assert len([event async for event in stream]) > chunks

    run(work())


@when('"{name}" sends {count:d} malformed requests and a wrong key is used {wrong:d} times')
def send_bad(context, name, count, wrong):
    async def work():
        async with served(context.application) as address, httpx.AsyncClient() as client:
            url = f"http://{address}/v1/completions"
            for key in [KEY] * count + ["wrong"] * wrong:
                headers = {"authorization": f"Bearer {key}"}
                await client.post(url, headers=headers, content=b"{")

    run(work())


@when('a caller of the workspace "{name}" leaves a streamed answer')
def leave_answer(context, name):
    context.application.pipeline.hang_after = 1

    async def work():
        async with served(context.application) as address, openai_client(address) as client:
            stream = await client.chat.completions.create(
                model="ledger", messages=MESSAGES, stream=True
            )
            await context.application.pipeline.in_progress.wait()
            await stream.close()
            await context.application.pipeline.closed.wait()

    run(work())


@when("the metrics are scraped with the operators' key")
def scrape(context):
    context.scrape = run(_scrape(context, OPERATOR_KEY))
    assert context.scrape.status_code == 200, context.scrape


@when("the metrics are scraped with a workspace key")
def scrape_with_workspace_key(context):
    context.scrape = run(_scrape(context, KEY))


async def _scrape(context, key):
    async with served(context.application) as address, httpx.AsyncClient() as client:
        headers = {"authorization": f"Bearer {key}"}
        return await client.get(f"http://{address}/metrics", headers=headers)


@when('{workspaces:d} workspaces send {count:d} requests each and then "{busy}" sends {more:d}')
def count_requests(context, workspaces, count, busy, more):
    context.named = set()
    names = [f"workspace-{index}" for index in range(workspaces) for _ in range(count)]
    for name in [*names, *[busy] * more]:
        context.named.add(context.labels.count_request(name))


@when("the router joins, applies revision {revision:d} and is checked {checks:d} times")
def change_board(context, revision, checks):
    async def work():
        changes = logs.ChangeLog(context.board, VirtualClock())
        await changes.start()
        await asyncio.sleep(logs.CHECK_INTERVAL_SECONDS)
        context.board.state = RouterState.SERVING
        context.board.configuration = Configuration(revision)
        await asyncio.sleep(checks * logs.CHECK_INTERVAL_SECONDS)
        await changes.stop()

    run_virtual(work())


@when('a line with the field "{name}" set to "{value}" is logged')
def log_secret(context, name, value):
    capture_logs(context)
    structlog.get_logger().info("event", **{name: value})


@when("the pipeline breaks with the same error {count:d} times")
def break_pipeline(context, count):
    context.application.pipeline.script = [RuntimeError("broken")]

    async def work():
        async with served(context.application) as address, httpx.AsyncClient() as client:
            for _ in range(count):
                response = await client.post(
                    f"http://{address}/v1/completions",
                    headers={"authorization": f"Bearer {KEY}"},
                    json={"model": "ledger", "prompt": "x"},
                )
                assert response.status_code == 500, response.text

    run(work())


def read_series(context, name, workspace, labels):
    for line in context.scrape.text.splitlines():
        found = re.match(rf"{name}{{(.*)}} (\S+)$", line)
        if not found:
            continue
        shown = dict(re.findall(r'(\w+)="([^"]*)"', found.group(1)))
        if shown.items() >= {"workspace": workspace, **labels}.items():
            return float(found.group(2))
    return 0.0


@then('the series {name} of "{workspace}" shows {value:d} with the labels {labels}')
def check_series(context, name, workspace, value, labels):
    wanted = dict(pair.split("=") for pair in labels.split(" and "))
    shown = read_series(context, name, workspace, wanted)
    assert shown == value, (shown, context.scrape.text)


@then('the series {name} of "{workspace}" is between {low:d} and {high:d}')
def check_series_range(context, name, workspace, low, high):
    shown = read_series(context, name, workspace, {})
    assert low <= shown <= high, (shown, context.scrape.text)


@then("the scrape is refused with {status:d} and shows nothing")
def check_scrape_refused(context, status):
    assert context.scrape.status_code == status
    assert "quinceferry_" not in context.scrape.text


@then('at most {count:d} workspaces are named and "{busy}" is one of them')
def check_named(context, count, busy):
    named = context.named - {OTHER_WORKSPACES}
    assert 1 < len(named) <= count, len(named)
    assert busy in named


@then("at most {count:d} workspaces are remembered without a name")
def check_remembered(context, count):
    assert len(context.labels._counts_by_workspace) <= count


@then("the log holds one line for the state and one for the revision")
def check_lines(context):
    events = [line["event"] for line in log_lines(context)]
    assert sorted(events) == ["configuration.applied", "router.state"], events


@then("each line is a JSON object with time, level and event")
def check_line_fields(context):
    for line in log_lines(context):
        assert {"timestamp", "level", "event", "vm"} <= set(line), line


@then('the log shows the field but not "{value}"')
def check_hidden(context, value):
    assert "fleet_secret" in context.log.getvalue()
    assert value not in context.log.getvalue()


@then("the log holds one line about a bug")
def check_bug(context):
    bugs = [line for line in log_lines(context) if line["event"] == "bug"]
    assert len(bugs) == 1, bugs
    assert "RuntimeError: broken" in bugs[0]["exception"], bugs
