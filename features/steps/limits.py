"""Steps for workspace limits shared between routers."""

import random

from behave import given, then, when
from fixtures_limits import LimitFleet, lone_router
from fixtures_routing import request

from quinceferry_core.addresses import home_members
from quinceferry_core.limits import ClaimedShare
from quinceferry_core.membership import Member
from quinceferry_core.models import Configuration, Limits, WorkspaceSpec
from quinceferry_core.outcomes import NotRun
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.shares import LimitShares


@given("4 routers that share a limit of {streams:d} streams over late views, seed {seed:d}")
def build_late(context, streams, seed):
    context.fleet = LimitFleet(random.Random(seed), Limits(10.0, 0.0, streams))


@given("4 routers that share a limit of {streams:d} streams over prompt views")
def build_prompt(context, streams):
    context.fleet = LimitFleet(random.Random(0), Limits(10.0, 0.0, streams), prompt=True)


@given("the routers use their claims without reading them back")
def break_guard(context):
    class Unguarded(ClaimedShare):
        """Uses what it claims at once."""

        def update_claim(self, target, claimed_by_others, total, has_precedence):
            super().update_claim(target, claimed_by_others, total, has_precedence)
            self.in_use = self.next_claim

    for router in context.fleet.routers:
        router.shares.update()
        for share in router.shares._shares_by_id.values():
            share.rate, share.streams = Unguarded(), Unguarded()


@given("a router that holds the whole of a limit of {rate:d} requests a second")
def build_rate(context, rate):
    context.fleet = lone_router(Limits(requests_per_second=float(rate)))


@given("a router that holds the whole of a limit of {streams:d} concurrent streams")
def build_streams(context, streams):
    context.fleet = lone_router(Limits(concurrent_streams=streams))


@when("they claim parts under changing demand for {steps:d} steps")
def claim_parts(context, steps):
    fleet = context.fleet
    hot = [fleet.rng.choice(fleet.routers) for _ in range(steps // 200 + 1)]

    def demand(step):
        hot_now = hot[step // 200]
        return hot_now if fleet.rng.random() < 0.7 else fleet.rng.choice(fleet.routers)

    fleet.run(steps, demand)


@when("no requests come for {steps:d} steps")
def idle(context, steps):
    context.fleet.run(steps, lambda step: None)


@when("all requests come to router 0 for {steps:d} steps")
def heat_first(context, steps):
    context.fleet.run(steps, lambda step: context.fleet.routers[0])


@when("the lease of a router that holds a part lapses")
def lapse(context):
    fleet = context.fleet
    context.lapsed = next(router for router in fleet.routers if router.in_use[1])
    fleet.routers.remove(context.lapsed)
    fleet.stopped.append(context.lapsed)
    for router in fleet.routers:
        fleet.read_all(router)
        del router.blackboard.members_by_incarnation[context.lapsed.member.incarnation]


@when("all requests come to another router for {steps:d} steps")
def heat_other(context, steps):
    context.fleet.run(steps, lambda step: context.fleet.routers[0])


@when("the VM of the lapsed router is gone from the VM list")
def remove_vm(context):
    context.fleet.stopped.clear()
    for router in context.fleet.routers:
        del router.blackboard.vms_by_id[context.lapsed.member.vm]


@when("a router that holds a part joins again under a new incarnation")
def rejoin(context):
    context.rejoined = next(router for router in context.fleet.routers if router.in_use[1])
    context.rejoined.rejoin(f"{context.rejoined.name}.2")


@when("{count:d} requests come at once")
def ask_at_once(context, count):
    shares = context.fleet.routers[0].shares
    context.refusals = []
    for number in range(count):
        refusal = shares.check(request(f"r{number}"), 1)
        context.refusals.append(refusal)
        if refusal is None:
            shares.count_admission(request(f"r{number}"), 1)


@then("the parts in use never added up to more than the whole")
def check_sum(context):
    rate, streams = context.fleet.highest
    assert 0.5 < rate <= 1.0 + 1e-6, rate
    assert 3 < streams <= 7, streams


@then("the parts in use added up to more than the whole")
def check_broken_sum(context):
    rate, streams = context.fleet.highest
    assert rate > 1.0 + 1e-6 and streams > 7, (rate, streams)


@then("parts moved between routers at least {count:d} times")
def check_moves(context, count):
    assert context.fleet.moves >= count, context.fleet.moves


@then("3 routers may use 3 streams each")
def check_homes(context):
    streams = sorted(router.in_use[1] for router in context.fleet.routers)
    assert streams == [0, 3, 3, 3], streams


@then("router 0 may use at least {count:d} streams")
def check_first(context, count):
    assert context.fleet.routers[0].in_use[1] >= count, context.fleet.routers[0].in_use


@then("that other router may use at least {count:d} streams")
def check_other(context, count):
    check_first(context, count)


@then("the parts in use with those of the lapsed router never exceed the whole")
def check_lapsed(context):
    assert context.fleet.highest[1] <= 9, context.fleet.highest
    assert context.lapsed.in_use[1] > 0


@then("it may use nothing until its new claim is read back")
def check_rejoined(context):
    context.rejoined.shares.update()
    assert context.rejoined.in_use == (0.0, 0)
    context.fleet.run(60, lambda step: context.rejoined)
    assert context.rejoined.in_use[1] > 0
    assert context.fleet.highest[1] <= 9


@then("{count:d} requests are within the rate and the others are refused with rate_limited")
def check_rate(context, count):
    refused = [refusal for refusal in context.refusals if refusal is not None]
    assert len(context.refusals) - len(refused) == count
    assert all(refusal.reason.value == "rate_limited" for refusal in refused)
    assert all(isinstance(refusal.outcome, NotRun) for refusal in refused)


@then("a request that waits for the stated time is within the rate")
def check_retry(context):
    fleet = context.fleet
    refusal = context.refusals[-1]
    assert 0 < refusal.retry_after_seconds < 1
    fleet.clock.seconds += refusal.retry_after_seconds * 0.9
    assert fleet.routers[0].shares.check(request("early"), 1) is not None
    fleet.clock.seconds += refusal.retry_after_seconds * 0.1 + 1e-6
    assert fleet.routers[0].shares.check(request("late"), 1) is None


@then("the last one is refused with streams_limited")
def check_streams(context):
    reasons = [refusal and refusal.reason.value for refusal in context.refusals]
    assert reasons == [None, None, "streams_limited"], reasons


@then("after one stream ends the next request is admitted")
def check_next_stream(context):
    shares = context.fleet.routers[0].shares
    shares.count_completion(request("r0"))
    assert shares.check(request("r9"), 1) is None


@given("{routers:d} routers in {zones:d} zones and {count:d} limited quiet workspaces")
def given_quiet_fleet(context, routers, zones, count):
    context.members = {
        name: Member(name, f"vm-{name}", f"zone-{number % zones}", name, number)
        for number, name in enumerate(f"r{number}" for number in range(routers))
    }
    limits = Limits(requests_per_second=90.0)
    specs = (WorkspaceSpec(f"w{number}", limits=limits) for number in range(count))
    context.configuration = Configuration(1, {spec.id: spec for spec in specs})


@then("each workspace's shares are claimed by its homes and no other router")
def check_home_shares(context):
    claimed = {}
    for name, member in context.members.items():
        board = Blackboard(Identity(member.vm, member.zone, member.address, name))
        board.members_by_incarnation = dict(context.members)
        board.configuration = context.configuration
        claimed[name] = _claims_of(board)
    for workspace in context.configuration.workspaces_by_id:
        homes = {
            member.incarnation for member in home_members(workspace, context.members.values(), 3)
        }
        claimers = {name for name, claims in claimed.items() if workspace in claims}
        assert claimers == homes, (workspace, claimers, homes)


def _claims_of(board):
    async def update():
        shares = LimitShares(board, VirtualClock())
        for workspace in board.configuration.workspaces_by_id:
            shares.usable_parts(workspace)
        shares.update()
        return {claim.workspace for claim in board.limit_claims}

    return run_virtual(update())
