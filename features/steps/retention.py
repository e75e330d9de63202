"""Steps for the retention of bills."""

import random

import msgspec
from behave import given, then, when

from features.fixtures_budgets import WORKSPACE, Bench
from quinceferry_core.exceptions import KvError
from quinceferry_core.journals import (
    JOURNAL_PREFIX,
    Segment,
    Settle,
    Slot,
    segment_key,
    slot_key,
)
from quinceferry_core.membership import IncarnationRecord, incarnation_key
from quinceferry_core.models import IncarnationId, VmId
from quinceferry_lab.virtual_time import EPOCH, run_virtual
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.proofs import read_journal
from quinceferryd.retention import RetentionController
from quinceferryd.settings import JournalSettings

OWNER = IncarnationId("r1-1")
TOKENS = 7
HOUR_SECONDS = 3600
DAY_SECONDS = 24 * HOUR_SECONDS


def bill(number):
    return Settle(WORKSPACE, f"q{number}", TOKENS, True, OWNER)


def play(context, check):
    async def scene():
        bench = Bench()
        connection = bench.connect("r2")
        retention = RetentionController(
            Blackboard(Identity(VmId("r2"), "z", "r2")),
            connection,
            bench.clock,
            random.Random(1),
            JournalSettings(),
        )
        for act in context.acts:
            await act(bench, connection, retention)
        await check(bench, connection)

    run_virtual(scene())


async def write_record(connection):
    record = IncarnationRecord(OWNER, VmId("r1"), "z", 1)
    await connection.put_if(incarnation_key(OWNER), msgspec.json.encode(record), 0)


@given("a {kind:w} router with {count:d} bills in its journal")
def given_journal(context, kind, count):
    async def act(bench, connection, retention):
        for number in range(count):
            slot = Slot(f"b{number}", (bill(number),), first=number)
            await connection.put_if(slot_key(OWNER, number), msgspec.json.encode(slot), 0)
        if kind == "recorded":
            await write_record(connection)

    context.acts = [act]


@given("a recorded router with {count:d} bills folded in two segments")
def given_segments(context, count):
    async def act(bench, connection, retention):
        await write_record(connection)
        parts = [range(count - 3), range(count - 3, count)]
        for part in parts:
            bills = tuple(bill(number) for number in part)
            spent = {WORKSPACE: part.stop * TOKENS}
            segment = Segment(part.start, part.stop, bills, spent, part.stop, EPOCH)
            key = segment_key(OWNER, part.start)
            await connection.put_if(key, msgspec.json.encode(segment), 0)

    context.acts = [act]


@when("retention checks at once and again after {hours:d} hours")
def check_twice(context, hours):
    async def act(bench, connection, retention):
        await retention.check()
        await bench.clock.sleep(hours * HOUR_SECONDS)
        await retention.check()

    context.acts.append(act)


@when("retention checks at once, is interrupted after {hours:d} hours, and checks again")
def check_interrupted(context, hours):
    async def act(bench, connection, retention):
        await retention.check()
        await bench.clock.sleep(hours * HOUR_SECONDS)
        bench.kv.faults.key_prefix = "journals/"
        bench.kv.faults.refuse_next = 1
        try:
            await retention.check()
        except KvError:
            await retention.check()
            return
        raise AssertionError("retention was not interrupted")

    context.acts.append(act)


@when("retention checks after {days:d} days")
def check_later(context, days):
    async def act(bench, connection, retention):
        await bench.clock.sleep(days * DAY_SECONDS)
        await retention.check()

    context.acts.append(act)


@then("its journal has no keys and its {bills:d} bills are listed")
def check_folded(context, bills):
    check_keys(context, 0, bills)


@then("its journal has {keys:d} keys and its {bills:d} bills are listed")
def check_keys(context, keys, bills):
    async def check(bench, connection):
        assert len(await connection.list(JOURNAL_PREFIX)) == keys
        listed = (await bench.budgets.bills(WORKSPACE)).bills
        assert [found.request for found in listed] == [f"q{n}" for n in range(bills)], listed

    play(context, check)


@then("its {count:d} latest bills are listed and the journal still tells what was spent")
def check_totals(context, count):
    async def check(bench, connection):
        listed = (await bench.budgets.bills(WORKSPACE)).bills
        assert len(listed) == count, listed
        state = await read_journal(connection, OWNER)
        assert state.spent_by_workspace == {WORKSPACE: 5 * TOKENS}, state

    play(context, check)
