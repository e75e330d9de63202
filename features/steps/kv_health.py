"""Steps for the health of the key-value service."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from behave import given, then, when

from quinceferry_core.adapters import ABSENT_VERSION
from quinceferry_core.exceptions import KvError
from quinceferry_core.kv_calls import KvCallKind
from quinceferry_core.models import VmId
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.kv import FakeKv
from quinceferryd.blackboard import Blackboard, Identity, KvHealth
from quinceferryd.kv_health import PROBE_KEY, KvProbe, MonitoredKv

KEY = "budgets/choir"
TIMEOUT_SECONDS = 2.0


class _Counter:
    """Counts like a metric."""

    def __init__(self):
        self.counts = Counter()

    def add(self, amount, attributes):
        self.counts[tuple(attributes.values())] += amount


@dataclass(slots=True)
class _Router:
    """A monitored store with its probe."""

    service: FakeKv
    counter: _Counter
    blackboard: Blackboard
    kv: MonitoredKv
    probe: KvProbe


def _build_router():
    clock = VirtualClock()
    service = FakeKv(clock, timeout_seconds=TIMEOUT_SECONDS)
    blackboard = Blackboard(Identity(VmId("vm-1"), "zone-a", "10.0.0.1:80"))
    counter = _Counter()
    kv = MonitoredKv(service.connect("router"), blackboard, clock, counter)
    probe = KvProbe(kv, blackboard, clock, random.Random(1))
    return _Router(service, counter, blackboard, kv, probe)


async def _ignore_error(call):
    try:
        await call
    except KvError:
        return


@given("a router with a monitored KV")
def build_router(context):
    context.build_router = _build_router


@when("the monitored KV is out for {seconds:d} seconds and one read is made")
def suffer_outage(context, seconds):
    async def suffer():
        router = context.build_router()
        await router.probe.start()
        router.service.faults.outage = True
        await _ignore_error(router.kv.get(KEY))
        context.seen = KvHealth(router.blackboard.kv.available, router.blackboard.kv.changed_at)
        await asyncio.sleep(seconds - VirtualClock().monotonic())
        context.probes = router.kv.calls_by_kind[KvCallKind(PROBE_KEY, "get")]
        router.service.faults.outage = False
        context.outage_ended_at = VirtualClock().monotonic()
        await asyncio.sleep(60.0)
        await router.probe.stop()
        context.health = router.blackboard.kv

    run_virtual(suffer())


@then("the router sees the KV out at the end of that read")
def check_outage_seen(context):
    assert not context.seen.available
    assert context.seen.changed_at == TIMEOUT_SECONDS, context.seen


@then("the router sees the KV back within {seconds:d} seconds of the outage's end")
def check_recovery_seen(context, seconds):
    assert context.health.available
    delay = context.health.changed_at - context.outage_ended_at
    assert 0.0 < delay <= seconds, delay


@then("the KV probe has made between {fewest:d} and {most:d} reads")
def check_probe_rate(context, fewest, most):
    assert fewest <= context.probes <= most, context.probes


@when("a monitored KV write conflicts after an outage has been seen")
def conflict_after_outage(context):
    async def conflict():
        router = context.build_router()
        await router.kv.put_if(KEY, b"", ABSENT_VERSION)
        router.service.faults.outage = True
        await _ignore_error(router.kv.get(KEY))
        assert not router.blackboard.kv.available
        router.service.faults.outage = False
        await _ignore_error(router.kv.put_if(KEY, b"", ABSENT_VERSION))
        context.health = router.blackboard.kv

    run_virtual(conflict())


@when("only a watch of the monitored KV goes unanswered")
def lose_watch(context):
    async def lose():
        router = context.build_router()
        router.service.faults.outage = True
        await _ignore_error(router.kv.watch("config/", 0, 1.0))
        assert router.counter.counts["config", "watch", "unavailable"] == 1
        context.health = router.blackboard.kv

    run_virtual(lose())


@when("a monitored KV write is lost while a later read is answered")
def lose_early_write(context):
    async def lose():
        router = context.build_router()
        router.service.faults.lose_next = 1
        write = asyncio.create_task(_ignore_error(router.kv.put_if(KEY, b"", ABSENT_VERSION)))
        await asyncio.sleep(TIMEOUT_SECONDS / 2)
        await router.kv.get(KEY)
        await write
        assert router.counter.counts["budgets", "put_if", "unavailable"] == 1
        context.health = router.blackboard.kv

    run_virtual(lose())


@then("the router sees the KV as available")
def check_available(context):
    assert context.health.available, context.health


@when("monitored KV calls of several kinds are made")
def make_calls(context):
    async def make():
        router = context.build_router()
        entry = await router.kv.put_if(KEY, b"", ABSENT_VERSION)
        await _ignore_error(router.kv.put_if(KEY, b"", ABSENT_VERSION))
        await router.kv.list("members/")
        await router.kv.delete_if(KEY, entry.version)
        lease = await router.kv.grant_lease(5.0)
        await router.kv.revoke_lease(lease)
        await _ignore_error(router.kv.keep_alive(lease))
        return router.counter.counts

    context.counts = run_virtual(make())


@then("the monitored KV has counted each by purpose, verb and result")
def check_counts(context):
    assert context.counts == {
        ("budgets", "put_if", "ok"): 1,
        ("budgets", "put_if", "KvConflictError"): 1,
        ("members", "list", "ok"): 1,
        ("budgets", "delete_if", "ok"): 1,
        ("lease", "grant_lease", "ok"): 1,
        ("lease", "revoke_lease", "ok"): 1,
        ("lease", "keep_alive", "LeaseLostError"): 1,
    }, context.counts
