"""Steps for the stand-in key-value service."""

import asyncio

from behave import given, then, when

from quinceferry_core.adapters import ABSENT_VERSION
from quinceferry_core.exceptions import (
    KvConflictError,
    KvError,
    KvUnavailableError,
    LeaseLostError,
)
from quinceferry_core.kv_calls import KvCallKind
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.kv import FakeKv
from quinceferry_standins.kv_faults import KvLimits

KEY = "budgets/choir"
OLD = b"old"
NEW = b"new"
TIMEOUT_SECONDS = 2.0


def _build(context, **limits):
    context.build_kv = lambda: FakeKv(
        VirtualClock(), limits=KvLimits(**limits), timeout_seconds=TIMEOUT_SECONDS
    )


async def _error_of(call):
    try:
        await call
    except KvError as error:
        return error
    return None


@given("a stand-in KV")
def build_kv(context):
    _build(context)


@given("a stand-in KV that remembers {events:d} events")
def build_forgetful_kv(context, events):
    _build(context, history_size=events)


@given("a stand-in KV that admits {writes:d} writes and {reads:d} reads a second")
def build_limited_kv(context, writes, reads):
    _build(context, writes_per_second=float(writes), reads_per_second=float(reads))


@when("two clients write the same KV key from the same version")
def race_writes(context):
    async def race():
        kv = context.build_kv()
        entry = await kv.put_if(KEY, OLD, ABSENT_VERSION)
        writes = (
            _error_of(kv.connect(name).put_if(KEY, name.encode(), entry.version))
            for name in ("a", "b")
        )
        return await asyncio.gather(*writes), await kv.get(KEY)

    context.errors, context.entry = run_virtual(race())


@then("one KV write succeeds and the other gets a conflict")
def check_race(context):
    winners = [name for name, error in zip("ab", context.errors, strict=True) if error is None]
    losers = [error for error in context.errors if isinstance(error, KvConflictError)]
    assert len(winners) == len(losers) == 1, context.errors
    assert context.entry.value == winners[0].encode()


@when("a KV key is written, deleted and written again")
def recreate_key(context):
    async def recreate():
        kv = context.build_kv()
        first = await kv.put_if(KEY, OLD, ABSENT_VERSION)
        await kv.delete_if(KEY, first.version)
        return first, await kv.put_if(KEY, NEW, ABSENT_VERSION)

    context.entries = run_virtual(recreate())


@then("the second KV version is higher than the first")
def check_recreated(context):
    first, second = context.entries
    assert second.version > first.version, context.entries


def _write_under_faults(context, **faults):
    async def write():
        kv = context.build_kv()
        connection = kv.connect("router")
        for name, value in faults.items():
            setattr(connection.faults, name, value)
        context.error = await _error_of(connection.put_if(KEY, NEW, ABSENT_VERSION))
        connection.faults.clear()
        context.entry_at_timeout = await kv.get(KEY)
        await asyncio.sleep(1e6)
        context.entry = await kv.get(KEY)

    run_virtual(write())


@when("a KV write is made while its answer is lost")
def write_unanswered(context):
    _write_under_faults(context, lose_next=1)


@when("a KV write is made while writes are refused")
def write_refused(context):
    _write_under_faults(context, refuse_next=1)


@when("a KV write is made while every call takes minutes")
def write_slowly(context):
    _write_under_faults(context, extra_latency_seconds=600.0)


@then("the KV caller sees that no answer came")
def check_unavailable(context):
    assert isinstance(context.error, KvUnavailableError), context.error


@then("the KV key holds the new value")
def check_written(context):
    assert context.entry_at_timeout.value == NEW, context.entry_at_timeout


@then("the KV key does not exist")
def check_not_written(context):
    assert context.entry is None, context.entry


@then("the KV key holds the new value in the end, but not at the timeout")
def check_written_late(context):
    assert context.entry_at_timeout is None, context.entry_at_timeout
    assert context.entry.value == NEW, context.entry


@when("a leased KV key is renewed once and then left alone")
def let_lease_lapse(context):
    async def lapse():
        kv = context.build_kv()
        lease = await kv.grant_lease(10.0)
        entry = await kv.put_if("members/a", NEW, ABSENT_VERSION, lease)
        await asyncio.sleep(8.0)
        await kv.keep_alive(lease)
        context.renewed_at = VirtualClock().monotonic()
        context.batch = await kv.watch("members/", entry.version, 60.0)
        context.ended_at = VirtualClock().monotonic()
        context.renewal_error = await _error_of(kv.keep_alive(lease))
        context.use_error = await _error_of(kv.put_if("members/a", NEW, ABSENT_VERSION, lease))

    run_virtual(lapse())


@then("the KV watch reports its deletion after the renewed lease ended")
def check_lapse(context):
    (event,) = context.batch.events
    assert event.key == "members/a", event
    assert event.entry is None, event
    lasted = context.ended_at - context.renewed_at
    assert 9.9 < lasted < 10.1, lasted


@then("the KV lease cannot be renewed or used again")
def check_lease_lost(context):
    assert isinstance(context.renewal_error, LeaseLostError), context.renewal_error
    assert isinstance(context.use_error, LeaseLostError), context.use_error


@when("KV keys inside and outside a watched prefix change")
def watch_changes(context):
    async def watch():
        kv = context.build_kv()
        start = await kv.watch("config/", -1, 60.0)
        waiting = asyncio.create_task(kv.connect("watcher").watch("config/", start.cursor, 60.0))
        await asyncio.sleep(1.0)
        await kv.put_if(KEY, NEW, ABSENT_VERSION)
        await kv.put_if("config/a", NEW, ABSENT_VERSION)
        first = await waiting
        context.woken_at = VirtualClock().monotonic()
        entry = await kv.get("config/a")
        await kv.delete_if("config/a", entry.version)
        second = await kv.watch("config/", first.cursor, 60.0)
        third = await kv.watch("config/", second.cursor, 60.0)
        return start, first, second, third

    context.batches = run_virtual(watch())


@then("the KV watch returns the inner changes in order and then none")
def check_watched(context):
    start, first, second, third = context.batches
    assert start.events == third.events == (), context.batches
    assert context.woken_at < 2.0, context.woken_at
    assert [(event.key, event.entry is None) for event in first.events] == [("config/a", False)]
    assert [(event.key, event.entry is None) for event in second.events] == [("config/a", True)]
    assert not any(batch.reset for batch in context.batches), context.batches


@when("{changes:d} KV changes pass a sleeping watcher")
def overrun_history(context, changes):
    async def overrun():
        kv = context.build_kv()
        start = await kv.watch("config/", -1, 0.0)
        for number in range(changes):
            await kv.put_if(f"config/{number}", NEW, ABSENT_VERSION)
        stale = await kv.watch("config/", start.cursor, 60.0)
        fresh = await kv.watch("config/", stale.cursor, 1.0)
        return stale, fresh

    context.batches = run_virtual(overrun())


@then("the KV watch asks the watcher to read the prefix again")
def check_reset(context):
    stale, fresh = context.batches
    assert stale.reset, stale
    assert not fresh.reset, fresh


def _calls_of(kv):
    return {
        "get": lambda: kv.get(KEY),
        "list": lambda: kv.list("budgets/"),
        "put_if": lambda: kv.put_if(KEY, NEW, ABSENT_VERSION),
        "delete_if": lambda: kv.delete_if(KEY, 1),
        "grant_lease": lambda: kv.grant_lease(1.0),
        "keep_alive": lambda: kv.keep_alive("lease-1"),
        "revoke_lease": lambda: kv.revoke_lease("lease-1"),
        "watch": lambda: kv.watch("budgets/", 0, 60.0),
    }


@when("the KV is out")
def call_during_outage(context):
    async def call_all():
        kv = context.build_kv()
        kv.faults.outage = True
        calls = _calls_of(kv.connect("router"))
        context.errors_by_verb = {verb: await _error_of(call()) for verb, call in calls.items()}
        context.elapsed = VirtualClock().monotonic()

    run_virtual(call_all())


@then("every KV method reports that no answer came, naming its step and peer")
def check_outage(context):
    for verb, error in context.errors_by_verb.items():
        assert isinstance(error, KvUnavailableError), (verb, error)
        assert error.step == f"kv.{verb}", error.step
        assert error.peer, verb


@then("every KV method has waited for its timeout and no longer")
def check_outage_waits(context):
    waits = context.elapsed / len(context.errors_by_verb)
    assert abs(waits - TIMEOUT_SECONDS) < 1e-6, context.elapsed


@when("one KV client is partitioned")
def partition_client(context):
    async def call_both():
        kv = context.build_kv()
        kv.connect("cut").faults.outage = True
        return [await _error_of(kv.connect(name).get(KEY)) for name in ("cut", "other")]

    context.errors = run_virtual(call_both())


@then("its KV calls fail and those of another client succeed")
def check_partition(context):
    cut, other = context.errors
    assert isinstance(cut, KvUnavailableError), cut
    assert other is None, other


@when("the KV goes out under a waiting watch and a key's lease ends")
def cut_waiting_watch(context):
    async def cut():
        kv = context.build_kv()
        lease = await kv.grant_lease(10.0)
        entry = await kv.put_if("members/a", NEW, ABSENT_VERSION, lease)
        watching = asyncio.create_task(kv.watch("members/", entry.version, 60.0))
        await asyncio.sleep(1.0)
        kv.faults.outage = True
        context.error = await _error_of(watching)

    run_virtual(cut())


@when("{writes:d} KV writes and {watches:d} KV watches are made at once")
def exceed_rates(context, writes, watches):
    async def exceed():
        kv = context.build_kv()
        write_calls = (
            _error_of(kv.put_if(f"budgets/{number}", NEW, ABSENT_VERSION))
            for number in range(writes)
        )
        watch_calls = (_error_of(kv.watch("config/", -1, 1.0)) for _ in range(watches))
        context.write_errors = await asyncio.gather(*write_calls)
        context.watch_errors = await asyncio.gather(*watch_calls)
        context.counts = kv.total_calls_by_kind.copy()
        await asyncio.sleep(1.0)
        context.later_error = await _error_of(kv.put_if(KEY, NEW, ABSENT_VERSION))

    run_virtual(exceed())


@then("{writes:d} KV writes and {watches:d} KV watches are turned away")
def check_rejected(context, writes, watches):
    for errors, expected in ((context.write_errors, writes), (context.watch_errors, watches)):
        rejected = [error for error in errors if isinstance(error, KvUnavailableError)]
        assert len(rejected) == expected, errors


@then("the KV counts {writes:d} writes and {watches:d} watches by purpose")
def check_counts(context, writes, watches):
    expected = {KvCallKind("budgets", "put_if"): writes, KvCallKind("config", "watch"): watches}
    assert context.counts == expected, context.counts


@then("a second later a KV write is admitted")
def check_admitted_later(context):
    assert context.later_error is None, context.later_error


@when("a KV value of {size:d} bytes is written")
def write_large_value(context, size):
    async def write():
        kv = context.build_kv()
        context.error = await _error_of(kv.put_if(KEY, bytes(size), ABSENT_VERSION))
        context.entry = await kv.get(KEY)

    run_virtual(write())


@then("the KV refuses it for its size")
def check_size_refused(context):
    assert type(context.error) is KvError, context.error
