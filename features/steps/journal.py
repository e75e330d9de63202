"""Steps for the journal."""

import asyncio
import random
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.fixtures_budgets import WORKSPACE, Bench
from quinceferry_core.exceptions import FencedError, KvUnavailableError
from quinceferry_core.journals import Begin, Settle, Slot, slot_key
from quinceferry_core.models import IncarnationId
from quinceferry_lab.virtual_time import run_virtual
from quinceferryd.compaction import JournalCompactor
from quinceferryd.proofs import read_journal
from quinceferryd.settings import JournalSettings


def begin(name):
    return Begin(WORKSPACE, f"q{name}", 1, "engine", 10)


def settle(name):
    return Settle(WORKSPACE, f"q{name}", 7, True, IncarnationId("r1"))


async def close_journal(bench, owner, closer):
    connection = bench.connect(closer)
    while True:
        state = await read_journal(connection, owner)
        if state.closed_by:
            return
        slot = Slot(f"close/{closer}", (), closer)
        try:
            await connection.put_if(slot_key(owner, state.next_slot), msgspec.json.encode(slot), 0)
        except Exception as error:
            assert type(error).__name__ == "KvConflictError", error


async def record(writer, names):
    futures = [writer.append(begin(name)).committed for name in names]
    return await asyncio.gather(*futures, return_exceptions=True)


@given('a journal of router "{name}"')
def given_journal(context, name):
    context.name = name
    context.acts = []
    context.numbers = iter(range(10_000))


def play(context, check):
    async def scene():
        bench = Bench()
        writer = bench.writer(context.name)
        await writer.start()
        for act in context.acts:
            await act(bench, writer)
        await check(bench, writer)
        await writer.stop()

    run_virtual(scene())


@when("{count:d} requests are recorded at once")
def record_at_once(context, count):
    names = [next(context.numbers) for _ in range(count)]

    async def act(bench, writer):
        assert await record(writer, names) == [None] * count

    context.acts.append(act)


@when("{count:d} requests are recorded at once, failing")
def record_failing(context, count):
    async def act(bench, writer):
        results = await record(writer, [f"late{number}" for number in range(count)])
        assert all(isinstance(result, FencedError) for result in results), results

    context.acts.append(act)


@when("the answers to the next {count:d} journal writes are lost")
def lose_answers(context, count):
    async def act(bench, writer):
        bench.kv.faults.lose_next = count

    context.acts.append(act)


@when("the service is down for {seconds:d} seconds while {count:d} requests are recorded")
def record_in_outage(context, seconds, count):
    async def act(bench, writer):
        bench.kv.faults.outage = True
        waiting = asyncio.create_task(record(writer, range(count)))
        await bench.clock.sleep(seconds)
        assert not waiting.done()
        bench.kv.faults.outage = False
        assert await waiting == [None] * count

    context.acts.append(act)


@when('router "{closer}" closes the journal')
def close_it(context, closer):
    async def act(bench, writer):
        await close_journal(bench, context.name, closer)

    context.acts.append(act)


@when('router "{closer}" closes the journal while {count:d} are recorded, over {orders:d} orders')
def close_while_recording(context, closer, count, orders):
    async def one_order(seed):
        bench = Bench()
        rng = random.Random(seed)
        bench.connect(context.name).faults.extra_latency_seconds = 0.01
        bench.connect(closer).faults.extra_latency_seconds = 0.01
        writer = bench.writer(context.name)
        await writer.start()

        async def write():
            results = []
            for number in range(count):
                await bench.clock.sleep(rng.random() * 0.05)
                results.extend(await record(writer, [number]))
            return results

        results, _ = await asyncio.gather(write(), close_journal(bench, context.name, closer))
        state = await read_journal(bench.connect("reader"), context.name)
        await writer.stop()
        return results, state

    context.outcomes = [run_virtual(one_order(seed)) for seed in range(orders)]


@when("{count:d} requests are recorded and settled one by one, with one left open after {first:d}")
def record_and_settle(context, count, first):
    async def act(bench, writer):
        for name in range(count):
            both = [writer.append(begin(name)), writer.append(settle(name))]
            await asyncio.gather(*(appended.committed for appended in both))
            if name == first - 1:
                await writer.append(begin("open")).committed
                await bench.clock.sleep(1)
        context.before = await bench.budgets.bills(WORKSPACE)

    # The open request stays unsettled, so one of the counted requests is left out.
    count -= 1
    context.acts.append(act)


def folder(bench):
    connection = bench.connect("r1")
    fleet = SimpleNamespace(count_members=lambda: 1)
    return JournalCompactor(fleet, connection, bench.clock, random.Random(1), JournalSettings())


@when("the journal is folded with a crash between its writes")
def fold_with_crash(context):
    async def act(bench, writer):
        bench.connect("r1").faults.key_prefix = "journals/"
        bench.connect("r1").faults.refuse_next = 1
        try:
            await folder(bench).compact(context.name)
        except KvUnavailableError:
            return
        raise AssertionError("the fold was not interrupted")

    context.acts.append(act)


@when("the journal is folded")
def fold(context):
    async def act(bench, writer):
        context.folded = await folder(bench).compact(context.name)

    context.acts.append(act)


@then("the journal holds {count:d} requests in at most {slots:d} slots")
def check_journal(context, count, slots):
    async def check(bench, writer):
        state = await read_journal(bench.connect("reader"), context.name)
        assert len(state.begins_by_request) == count, state
        assert all(len(begins) == 1 for begins in state.begins_by_request.values())
        assert state.next_slot - bool(state.closed_by) <= slots, state.next_slot

    play(context, check)


@when("a settlement is appended to the fenced journal")
def settle_fenced(context):
    async def act(bench, writer):
        assert writer.fenced
        writer.append(settle("after"))

    context.acts.append(act)


@then("the fenced journal hands on that settlement")
def check_handed_on(context):
    async def check(bench, writer):
        assert settle("after") in writer.take_uncommitted()

    play(context, check)


@then("the writer is fenced")
def check_fenced(context):
    async def check(bench, writer):
        assert writer.fenced and bench.fenced == [context.name]

    play(context, check)


@then("each recorded request is either in the closed journal or refused")
def check_orders(context):
    refused = 0
    for results, state in context.outcomes:
        recorded = {key.request for key in state.begins_by_request}
        for number, result in enumerate(results):
            assert (result is None) == (f"q{number}" in recorded), (results, recorded)
            refused += result is not None
    assert 0 < refused < sum(len(results) for results, _ in context.outcomes), refused


@then("{count:d} slots are gone")
def check_folded(context, count):
    async def check(bench, writer):
        assert context.folded == count, context.folded

    play(context, check)


@then("the bills and totals of {count:d} requests are as before")
def check_bills(context, count):
    async def check(bench, writer):
        bills = await bench.budgets.bills(WORKSPACE)
        assert bills == context.before
        assert len(bills.bills) == count
        state = await read_journal(bench.connect("reader"), context.name)
        assert state.spent_by_workspace == {WORKSPACE: 7 * count}

    play(context, check)
