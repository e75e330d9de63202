"""Steps for the platform's services over HTTP on 127.0.0.1."""

import asyncio
import subprocess
import sys

import httpx
import msgspec
from behave import then, when

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, WatchBatch
from quinceferry_core.clocks import SystemClock
from quinceferry_core.exceptions import KvError, KvUnavailableError, PlatformUnavailableError
from quinceferry_core.models import ModelRef, VmId, VmRecord
from quinceferry_core.platform_messages import (
    WEIGHT_FETCH_PATH,
    WeightFetchReply,
    WeightFetchRequest,
)
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.kv import FakeKv
from quinceferry_standins.kv_faults import KvFaults
from quinceferry_standins.platform_app import (
    CONTROL_PATH,
    ChangeVm,
    Platform,
    SetKvFaults,
    SetOutages,
    VmChangeKind,
    platform_app,
)
from quinceferry_standins.serving import listen, running, url_of
from quinceferry_standins.vms import FakeVmList
from quinceferry_standins.weights import FakeWeightStore
from quinceferryd.kv_client import HttpKv
from quinceferryd.vm_client import HttpVmList

KEY = "budgets/choir"
MODEL = ModelRef("ledger", "notes", "2")
MODEL_BYTES = 3_000_000
PATIENCE_SECONDS = 30.0
SHORT_SECONDS = 0.05


def _platform(clock, kv_timeout_seconds=SHORT_SECONDS):
    return Platform(
        FakeKv(clock, timeout_seconds=kv_timeout_seconds),
        FakeVmList(clock, 0.0, [VmRecord(VmId("vm-1"), "zone-a")], SHORT_SECONDS),
        FakeWeightStore(clock, 1e9, {MODEL: MODEL_BYTES}),
    )


async def _outcome(call):
    try:
        return await call
    except KvError as error:
        return type(error).__name__


async def _make_calls(kv, set_faults):
    """Return the results of every kind of call, with errors by their name."""
    results = []

    async def note(call):
        results.append(await _outcome(call))
        return results[-1]

    await note(kv.get(KEY))
    start = await note(kv.watch("", -1, 0.0))
    entry = await note(kv.put_if(KEY, b"\x00\xff", ABSENT_VERSION))
    await note(kv.put_if(KEY, b"late", ABSENT_VERSION))
    await note(kv.put_if("budgets/fleet", bytes(1_000_001), ABSENT_VERSION))
    lease = await note(kv.grant_lease(1e6))
    await note(kv.put_if("members/a", b"here", ABSENT_VERSION, lease))
    await note(kv.keep_alive(lease))
    await note(kv.list(""))
    await note(kv.revoke_lease(lease))
    await note(kv.keep_alive(lease))
    await note(kv.delete_if(KEY, entry.version + 1))
    await note(kv.delete_if(KEY, entry.version))
    await note(kv.watch("", start.cursor, 0.0))
    await note(kv.watch("", 10_000, 0.0))
    await set_faults(KvFaults(lose_next=1))
    await note(kv.put_if(KEY, b"new", ABSENT_VERSION))
    await note(kv.get(KEY))
    await set_faults(KvFaults(outage=True))
    await note(kv.get(KEY))
    await set_faults(KvFaults())
    await note(kv.get(KEY))
    return results


async def _call_in_process():
    kv = _platform(VirtualClock()).kv

    async def set_faults(faults):
        for name in ("outage", "lose_next"):
            setattr(kv.faults, name, getattr(faults, name))

    return await _make_calls(kv.connect("router"), set_faults)


async def _call_over_http():
    app = platform_app(_platform(SystemClock()))
    async with running(app) as url, httpx.AsyncClient() as http:

        async def set_faults(faults):
            await _control(http, url, "kv_faults", SetKvFaults(faults, "router"))

        return await _make_calls(HttpKv(url, PATIENCE_SECONDS, http, "router"), set_faults)


async def _control(http, url, name, message):
    response = await http.post(f"{url}{CONTROL_PATH}/{name}", content=msgspec.json.encode(message))
    response.raise_for_status()


@when("the same calls are made to a KV in process and to one over HTTP")
def call_both(context):
    context.in_process = run_virtual(_call_in_process())
    context.over_http = asyncio.run(_call_over_http())


@then("both KVs give the same results and errors")
def check_same(context):
    assert context.over_http == context.in_process, (context.over_http, context.in_process)


@then("the KV results over HTTP hold a conflict, a lost lease, a lost answer and an outage")
def check_contents(context):
    results = context.over_http
    errors = [result for result in results if isinstance(result, str) and "Error" in result]
    assert errors == [
        "KvConflictError",
        "KvError",
        "LeaseLostError",
        "KvConflictError",
        "KvUnavailableError",
        "KvUnavailableError",
    ], errors
    assert isinstance(results[-1], KvEntry), results
    assert results[-1].value == b"new", results
    batches = [result for result in results if isinstance(result, WatchBatch)]
    assert [batch.reset for batch in batches] == [False, False, True], batches


async def _write_error(url, timeout_seconds):
    async with httpx.AsyncClient() as http:
        try:
            await HttpKv(url, timeout_seconds, http).put_if(KEY, b"new", ABSENT_VERSION)
        except KvError as error:
            return error
    return None


@when("a KV over HTTP is silent for longer than its client waits")
def call_silent(context):
    async def call():
        platform = _platform(SystemClock(), kv_timeout_seconds=PATIENCE_SECONDS)
        platform.kv.faults.outage = True
        async with running(platform_app(platform)) as url:
            return url, await _write_error(url, SHORT_SECONDS)

    context.url, context.error = asyncio.run(call())


@when("a KV over HTTP has no listener")
def call_nobody(context):
    listener = listen("127.0.0.1", 0)
    context.url = url_of(listener)
    listener.close()
    context.error = asyncio.run(_write_error(context.url, PATIENCE_SECONDS))


@when("a KV over HTTP answers a write with a page of text")
def call_garbled(context):
    async def app(scope, receive, send):
        if scope["type"] != "http":
            return
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"<html>"})

    async def call():
        async with running(app) as url:
            return url, await _write_error(url, PATIENCE_SECONDS)

    context.url, context.error = asyncio.run(call())


@then("the KV client over HTTP reports that no answer came")
def check_unavailable(context):
    assert isinstance(context.error, KvUnavailableError), context.error
    assert (context.error.step, context.error.peer) == ("kv.put_if", context.url)


@when("VMs change behind a VM list over HTTP")
def change_vms(context):
    async def call():
        platform = _platform(SystemClock())
        async with running(platform_app(platform)) as url, httpx.AsyncClient() as http:
            added = ChangeVm(VmChangeKind.ADD, VmRecord(VmId("vm-2"), "zone-b"))
            left = ChangeVm(VmChangeKind.LEAVE, VmRecord(VmId("vm-1"), ""))
            await _control(http, url, "vms", added)
            await _control(http, url, "vms", left)
            vms = HttpVmList(url, PATIENCE_SECONDS, http)
            records = await vms.list()
            await _control(http, url, "outages", SetOutages(vms=True))
            return records, (await asyncio.gather(vms.list(), return_exceptions=True))[0]

    context.records, context.error = asyncio.run(call())


@then('the VM list over HTTP shows "{expected}"')
def check_vms(context, expected):
    shown = ", ".join(f"{record.vm} {record.state.value}" for record in context.records)
    assert shown == expected, shown


@then("the VM list over HTTP is unavailable during its outage")
def check_vms_out(context):
    assert isinstance(context.error, PlatformUnavailableError), context.error


@when("weights are fetched over HTTP")
def fetch_weights(context):
    async def call():
        platform = _platform(SystemClock())
        async with running(platform_app(platform)) as url, httpx.AsyncClient() as http:
            body = msgspec.json.encode(WeightFetchRequest(MODEL))
            return await http.post(url + WEIGHT_FETCH_PATH, content=body)

    context.response = asyncio.run(call())


@then("the weight store over HTTP reports their size")
def check_weights(context):
    reply = msgspec.json.decode(context.response.content, type=WeightFetchReply)
    assert reply.size_bytes == MODEL_BYTES, reply


@when("the platform command is started on a port of the system's choice")
def run_command(context):
    module = "quinceferry_standins.platform_server"
    command = [sys.executable, "-m", module, "--port", "0", "--vm", "vm-7=zone-c"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            context.url = process.stdout.readline().strip()
            context.records = asyncio.run(_list_vms(context.url))
        finally:
            process.terminate()


async def _list_vms(url):
    async with httpx.AsyncClient() as http:
        return await HttpVmList(url, PATIENCE_SECONDS, http).list()


@then("the address it prints serves the VM it was given")
def check_command(context):
    assert context.records == [VmRecord(VmId("vm-7"), "zone-c")], (context.url, context.records)
