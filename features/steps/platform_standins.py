"""Steps for the stand-ins for the VM list and the weight store."""

import asyncio

from behave import given, then, when

from quinceferry_core.exceptions import PlatformUnavailableError
from quinceferry_core.models import ModelRef, VmId, VmRecord
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.vms import FakeVmList
from quinceferry_standins.weights import CHUNK_BYTES, FakeWeightStore

MODEL = ModelRef("ledger")
MODEL_BYTES = 1_000_000_000


@given("a stand-in VM list that lags {seconds:d} seconds")
def build_vms(context, seconds):
    initial = [VmRecord(VmId("vm-1"), "zone-a")]
    context.build_vms = lambda: FakeVmList(VirtualClock(), float(seconds), initial)


@when('VM "{vm}" is added to the stand-in VM list')
def add_vm(context, vm):
    context.change_vms = lambda vms: vms.add(VmRecord(VmId(vm), "zone-b"))


@when('VM "{vm}" is leaving in the stand-in VM list')
def mark_vm(context, vm):
    context.change_vms = lambda vms: vms.mark_leaving(VmId(vm))


@when('VM "{vm}" is removed from the stand-in VM list')
def remove_vm(context, vm):
    context.change_vms = lambda vms: vms.remove(VmId(vm))


@then('{seconds:d} seconds later the VM list shows "{expected}"')
def check_vms(context, seconds, expected):
    async def read_after_change():
        vms = context.build_vms()
        context.change_vms(vms)
        await asyncio.sleep(seconds)
        return await vms.list()

    records = run_virtual(read_after_change())
    shown = ", ".join(f"{record.vm} {record.state.value}" for record in records)
    assert shown == expected, shown


@then('{seconds:d} seconds later the VM list shows ""')
def check_no_vms(context, seconds):
    check_vms(context, seconds, "")


@when("one client is cut off from the stand-in VM list")
def cut_off_client(context):
    async def list_both():
        vms = context.build_vms()
        cut, other = vms.connect("cut"), vms.connect("other")
        cut.outage = True
        return await asyncio.gather(cut.list(), other.list(), return_exceptions=True)

    context.results = run_virtual(list_both())


@then("that client's VM list is unavailable and another client's is not")
def check_cut_off(context):
    cut, other = context.results
    assert isinstance(cut, PlatformUnavailableError), cut
    assert [record.vm for record in other] == ["vm-1"], other


@given("a stand-in weight store of {rate:d} bytes a second")
def build_weights(context, rate):
    context.build_weights = lambda: FakeWeightStore(VirtualClock(), rate, {MODEL: MODEL_BYTES})
    context.chunk_seconds = CHUNK_BYTES / rate
    context.alone_seconds = MODEL_BYTES / rate


async def _fetch(client):
    await client.fetch(MODEL)
    return VirtualClock().monotonic()


@when("{clients:d} clients fetch weights of {size:d} bytes together")
def fetch_together(context, clients, size):
    assert size == MODEL_BYTES

    async def fetch_all():
        store = context.build_weights()
        fetches = (_fetch(store.connect(f"engine-{number}")) for number in range(clients))
        return await asyncio.gather(*fetches)

    context.ended_at = run_virtual(fetch_all())


@then("the last weights arrive after {seconds:d} seconds")
def check_shared_rate(context, seconds):
    assert abs(max(context.ended_at) - seconds) < 1e-6, context.ended_at


@then("each weight fetch ends within 1 chunk of the others")
def check_fair(context):
    spread = max(context.ended_at) - min(context.ended_at)
    assert spread <= context.chunk_seconds + 1e-6, context.ended_at


@when("a client with {many:d} weight fetches competes with a client with 1")
def fetch_unequally(context, many):
    async def fetch_all():
        store = context.build_weights()
        greedy = store.connect("greedy")
        fetches = [_fetch(greedy) for _ in range(many)]
        return (await asyncio.gather(*fetches, _fetch(store.connect("single"))))[-1]

    context.single_ended_at = run_virtual(fetch_all())


@then("the single weight fetch ends within 1 chunk of twice its time alone")
def check_not_starved(context):
    excess = context.single_ended_at - 2 * context.alone_seconds
    assert abs(excess) <= context.chunk_seconds + 1e-6, context.single_ended_at


@when("the weight store goes out in the middle of a fetch")
def cut_fetch(context):
    async def fetch():
        store = context.build_weights()
        fetching = asyncio.create_task(store.connect("engine").fetch(MODEL))
        await asyncio.sleep(context.alone_seconds / 2)
        store.outage = True
        return (await asyncio.gather(fetching, return_exceptions=True))[0]

    context.result = run_virtual(fetch())


@then("the weight fetch reports that the platform is unavailable")
def check_fetch_failed(context):
    assert isinstance(context.result, PlatformUnavailableError), context.result
