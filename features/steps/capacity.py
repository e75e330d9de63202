"""Steps for capacity."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from features.fixtures_budgets import WORKSPACE, Bench
from quinceferry_core.journals import Begin, Settle
from quinceferry_core.kv_calls import KvCallKind
from quinceferry_core.models import CallerRequest, IncarnationId, ModelRef, RequestKind
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.kv import FakeKv
from quinceferryd.blackboard import Blackboard, Identity, RouterState
from quinceferryd.compaction import JournalCompactor
from quinceferryd.copy_store import CopyStore
from quinceferryd.journal import JournalWriter
from quinceferryd.proofs import read_segments
from quinceferryd.recovery import RecoveryController
from quinceferryd.scheduling import Scheduler
from quinceferryd.settings import JournalSettings, RecoverySettings, RoutingSettings

OWNER = IncarnationId("r1")


def begin(number):
    return Begin(WORKSPACE, f"q{number}", 1, "engine", 10)


def settle(number):
    return Settle(WORKSPACE, f"q{number}", 7, True, OWNER)


@given("the journal of one router among {routers:d}")
def given_fleet(context, routers):
    context.fleet = SimpleNamespace(count_members=lambda: routers)


def writer_of(context, bench):
    return JournalWriter(
        OWNER,
        bench.connect(OWNER),
        bench.clock,
        random.Random(1),
        JournalSettings(),
        lambda: None,
        context.fleet.count_members,
    )


@when("it records {count:d} requests, one every {milliseconds:d} milliseconds")
def when_records(context, count, milliseconds):
    async def scene():
        bench = Bench()
        writer = writer_of(context, bench)
        await writer.start()
        for number in range(count):
            last = writer.append(begin(number))
            began_at = bench.clock.monotonic()
            if number < count - 1:
                await bench.clock.sleep(milliseconds / 1000)
        context.commits = writer.commits
        await last.committed
        context.waited = bench.clock.monotonic() - began_at
        await writer.stop()

    run_virtual(scene())


@then("it has made at most {commits:d} commits")
def then_commits(context, commits):
    assert 0 < context.commits <= commits, context.commits


@then("the last request was durable within {milliseconds:d} milliseconds")
def then_durable(context, milliseconds):
    assert context.waited <= milliseconds / 1000, context.waited


@when("{count:d} settled slots of it are folded")
def when_folded(context, count):
    async def scene():
        bench = Bench()
        writer = JournalWriter(
            OWNER,
            bench.connect(OWNER),
            bench.clock,
            random.Random(1),
            JournalSettings(),
            lambda: None,
        )
        await writer.start()
        for number in range(count):
            both = [writer.append(begin(number)), writer.append(settle(number))]
            await asyncio.gather(*(appended.committed for appended in both))
        kv = TimedDeletes(bench.connect(OWNER), bench.clock)
        folder = JournalCompactor(
            context.fleet, kv, bench.clock, random.Random(1), JournalSettings()
        )
        context.folded = await folder.compact(OWNER)
        context.deletes_by_second = Counter(int(at) for at in kv.deleted_at)
        await writer.stop()

    run_virtual(scene())
    assert context.folded == count, context.folded


class TimedDeletes:
    """Passes calls on and notes when keys are deleted."""

    def __init__(self, inner, clock):
        self.deleted_at = []
        self.list = inner.list
        self.get = inner.get
        self.put_if = inner.put_if
        self._inner = inner
        self._clock = clock

    async def delete_if(self, key, expected_version):
        self.deleted_at.append(self._clock.monotonic())
        await self._inner.delete_if(key, expected_version)


@then("no second of the fold has more than {count:d} deletes")
def then_spread(context, count):
    assert max(context.deletes_by_second.values()) <= count, context.deletes_by_second


@given("a router that sees {routers:d} members")
def given_members(context, routers):
    context.board = Blackboard(Identity("vm-0", "zone-a", "10.0.0.1:80"))
    context.board.state = RouterState.SERVING
    for number in range(routers):
        context.board.members_by_incarnation[IncarnationId(f"vm-{number}")] = None


@when("it looks for the dead for {seconds:d} seconds")
def when_looks(context, seconds):
    async def scene():
        clock = VirtualClock()
        kv = FakeKv(clock)
        recovery = RecoveryController(
            context.board,
            kv,
            accounts=None,
            upstreams=None,
            vms=None,
            peers=None,
            copies=CopyStore(),
            clock=clock,
            rng=random.Random(1),
            settings=RecoverySettings(),
        )
        await recovery.start()
        await clock.sleep(seconds)
        await recovery.stop()
        return kv.total_calls_by_kind[KvCallKind("incarnations", "list")]

    context.checks = run_virtual(scene())


@then("it has read all incarnations between {least:d} and {most:d} times")
def then_checks(context, least, most):
    assert least <= context.checks <= most, context.checks


@when("it is folded {times:d} times, with {count:d} settled slots before each fold")
def when_folded_again(context, times, count):
    async def scene():
        bench = Bench()
        kv = CountedReads(bench.connect(OWNER))
        settings = JournalSettings()
        writer = JournalWriter(OWNER, kv, bench.clock, random.Random(1), settings, lambda: None)
        compactor = JournalCompactor(context.fleet, kv, bench.clock, random.Random(1), settings)
        await writer.start()
        context.bytes_by_fold = []
        for fold in range(times):
            for number in range(fold * count, (fold + 1) * count):
                both = [writer.append(begin(number)), writer.append(settle(number))]
                await asyncio.gather(*(appended.committed for appended in both))
            kv.bytes = 0
            assert await compactor.compact(OWNER) == count
            context.bytes_by_fold.append(kv.bytes)
        context.state = await read_segments(kv, OWNER)
        await writer.stop()

    run_virtual(scene())


@then("the last fold has read at most as many bytes as the second")
def then_no_more(context):
    # Numbers in the slots take a digit more as they grow.
    assert context.bytes_by_fold[-1] <= context.bytes_by_fold[1] * 1.05, context.bytes_by_fold


@then("the segments hold {count:d} bills with their total")
def then_segments(context, count):
    assert len(context.state.settled_requests) == count
    assert context.state.spent_by_workspace == {WORKSPACE: 7 * count}, context.state


class CountedReads:
    """Passes calls on and counts the bytes of listed values."""

    def __init__(self, inner):
        self.bytes = 0
        self.get = inner.get
        self.put_if = inner.put_if
        self.delete_if = inner.delete_if
        self._inner = inner

    async def list(self, prefix):
        entries = await self._inner.list(prefix)
        self.bytes += sum(len(entry.value) for entry in entries)
        return entries


@given("a scheduler that nothing waits for")
def given_scheduler(context):
    context.waiting_seconds = 0


@when("{seconds:d} seconds pass for the scheduler")
def when_idle(context, seconds):
    context.looks = run_virtual(looks_of_scheduler(0, seconds))


@when("a request waits for {waiting:d} seconds of {seconds:d}")
def when_waiting(context, waiting, seconds):
    context.looks = run_virtual(looks_of_scheduler(waiting, seconds))


async def looks_of_scheduler(waiting_seconds, seconds):
    clock = VirtualClock()
    board = Blackboard(Identity("vm-0", "zone-a", "10.0.0.1:80"))
    scheduler = Scheduler(board, clock, random.Random(1), RoutingSettings())
    looks = []
    process_queue = scheduler.admission.process_queue
    scheduler.admission.process_queue = lambda: (looks.append(clock.monotonic()), process_queue())
    await scheduler.start()
    await clock.sleep(10)
    if waiting_seconds:
        target = ModelRef("ledger")
        kind = RequestKind.CHAT
        request = CallerRequest(WORKSPACE, "q", kind, target, deadline_seconds=waiting_seconds)
        # No engine serves the target, so the request waits until its deadline.
        target_queue = scheduler.admission._queue_for(request)
        await scheduler.admission._wait_for_decision(request, 10, (), target_queue)
    await clock.sleep(seconds - clock.monotonic())
    await scheduler.stop()
    return len(looks)


@then("it has looked at waiting requests {count:d} times")
def then_looks(context, count):
    assert context.looks == count, context.looks


@then("it has looked at waiting requests between {least:d} and {most:d} times")
def then_looks_between(context, least, most):
    assert least <= context.looks <= most, context.looks
