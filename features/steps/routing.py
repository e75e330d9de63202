"""Steps for the choice of upstream."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from fixtures_admission import Fleet
from fixtures_routing import Answer, Router, Site, request
from returns.result import Success

from quinceferry_core.adapters import CacheEvent, EngineOrder, OrderKind
from quinceferry_core.models import (
    CallerRequest,
    Configuration,
    ModelRef,
    RequestId,
    RequestKind,
    UpstreamId,
    UpstreamKind,
    UpstreamSpec,
    VmRecord,
    VmState,
    WorkspaceId,
)
from quinceferry_core.outcomes import Chunk, Finished
from quinceferry_core.prefixes import PrefixIndex
from quinceferry_lab.routing_load import LeastReportedScheduler
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.outputs import expected_output

E0 = UpstreamId("e0")


class _LeastReportedRouter(Router):
    scheduler_type = LeastReportedScheduler


def _stuck(context, router=Router):
    context.fleet = Fleet.build(3, 4, router)
    for each in context.fleet.routers:
        each.client.stuck_at_zero = True


def _choose(router, wanted):
    return router.scheduler.choose(wanted).map(lambda spec: spec.id).value_or(None)


def _choose_ten(context, wanted):
    async def work():
        return [_choose(context.fleet.routers[0], wanted) for _ in range(10)]

    return context.fleet.run(work)


@given("3 routers before 4 engines, one of which always reports no load")
def build_stuck(context):
    _stuck(context)


@given(
    "3 routers that choose the least reported load before 4 engines, "
    "one of which always reports no load"
)
def build_stuck_naive(context):
    _stuck(context, _LeastReportedRouter)


@given("2 routers before 3 engines under steady load")
def build_two(context):
    context.fleet = Fleet.build(2, 3)


@given("{routers:d} routers before {engines:d} engines under no load")
def build_several(context, routers, engines):
    context.fleet = Fleet.build(routers, engines)


@given("a lone router before {count:d} idle engines")
def build_lone(context, count):
    context.fleet = Fleet.build(1, count)


@given('a lone router before {count:d} idle engines, of which one has "{model}" loaded')
def build_lone_model(context, count, model):
    context.fleet = Fleet.build(1, count)
    context.order = EngineOrder(OrderKind.LOAD, ModelRef.parse(model), fencing=1)


@given("router 1 gets no load reports from e0 from second {second:d} on")
def lose_reports(context, second):
    context.fleet.routers[1].client.lost_from = second


@given('engines that have "{loaded}" loaded')
def build_loaded(context, loaded):
    site = Site.build(1, EngineSettings(models=(ModelRef.parse(loaded),)))
    context.fleet = Fleet(site, [Router(site)])


@given('a router before the service "{first}" and the service "{second}"')
def build_services(context, first, second):
    site = Site.build(0, EngineSettings())
    specs = {
        UpstreamId(name): UpstreamSpec(
            UpstreamId(name), "", "a", UpstreamKind.SERVICE, service=name
        )
        for name in (first, second)
    }
    site.configuration = Configuration(1, {}, {}, specs)
    context.fleet = Fleet(site, [Router(site)])


@given("a prefix index that holds {count:d} hashes and has seen event {sequence:d}")
def build_index(context, count, sequence):
    context.index = PrefixIndex(last_sequence=sequence)
    context.index.record_sent(tuple(range(count)))


@given('a lone router in zone "a" before an idle engine in each of the zones "a", "b" and "c"')
def build_zones(context):
    context.fleet = Fleet.build(1, 3)
    specs = context.fleet.site.configuration.upstreams_by_id
    for upstream, zone in zip(list(specs), "bac", strict=True):
        specs[upstream] = replace(specs[upstream], zone=zone)


@when("48 long answers are asked for over 12 seconds")
def ask_many(context):
    async def work():
        fleet = context.fleet
        tasks = []
        for number in range(48):
            wanted = request(f"r{number}", output_tokens=600)
            tasks.append(asyncio.create_task(fleet.serve(fleet.routers[number % 3], wanted)))
            await asyncio.sleep(0.25)
        await asyncio.gather(*tasks)

    context.fleet.run(work)


@when("engine e0 begins to leave at second 10")
def leave(context):
    fleet = context.fleet

    async def work():
        load = asyncio.create_task(fleet.steady_load(20.0, 0.05))
        await asyncio.sleep(7.0)
        fleet.site.engines_by_id[E0].leave()
        await load

    fleet.run(work)


@when("the VM list shows the VM of e0 as leaving")
def list_leaving(context):
    vm = context.fleet.site.configuration.upstreams_by_id[E0].vm
    board = context.fleet.routers[0].blackboard
    board.vms_by_id = {vm: VmRecord(vm, "a", VmState.LEAVING)}


@when("the load controller stops for {seconds:d} seconds")
def stop_polling(context, seconds):
    router = context.fleet.routers[0]

    async def work():
        await router.loads.stop()
        await asyncio.sleep(seconds)
        context.choice = _choose(router, request())
        context.asked_for = set(router.scheduler.tracker.requested_reports)

    context.fleet.run(work)


@when("each router gets {count:d} requests with one shared prefix, one after the other")
def ask_shared(context, count):
    fleet = context.fleet
    prefix = "The chart of accounts of the choir. " * 200

    async def work():
        for number in range(count * 3):
            wanted = request(f"r{number}", prompt=f"{prefix} Question {number}?")
            await fleet.serve(fleet.routers[number % 3], wanted)

    fleet.run(work)


@when("event {sequence:d} says that the oldest hash was evicted")
def evict_oldest(context, sequence):
    context.index.apply((CacheEvent(sequence, 9, False),))


@when("event {sequence:d} arrives after a gap of 2")
def apply_gap(context, sequence):
    context.index.apply((CacheEvent(sequence, 0, True),))


@when("event {sequence:d} arrives late")
def apply_late(context, sequence):
    context.held = [context.index.matched_blocks((number,)) for number in range(10)]
    context.index.apply((CacheEvent(sequence, 0, False),))


@when("6 ledgers of 12000 tokens and then 10 short questions are asked")
def ask_mixed(context):
    fleet = context.fleet
    ledgers = [request(f"l{n}", prompt=f"{n:07d} " * 6000, output_tokens=30) for n in range(6)]
    questions = [request(f"q{n}", prompt=f"Receipt {n}?", output_tokens=10) for n in range(10)]

    async def timed(wanted):
        router = fleet.routers[0]
        asked_at = VirtualClock().monotonic()
        permit = (await router.scheduler.admit(wanted, 1)).unwrap()
        answer = Answer(wanted)
        first = None
        async for event in router.open(wanted, answer.result, answer.dispatches):
            if first is None and isinstance(event, Chunk):
                first = VirtualClock().monotonic() - asked_at
            answer.events.append(event)
        permit.release()
        return answer, first

    async def work():
        tasks = [asyncio.create_task(timed(wanted)) for wanted in ledgers]
        for wanted in questions:
            await asyncio.sleep(0.1)
            tasks.append(asyncio.create_task(timed(wanted)))
        return await asyncio.gather(*tasks)

    context.timed = fleet.run(work)


@when("the router polls for 20 seconds")
def pass_time(context):
    router = context.fleet.routers[0]
    context.most_fresh = 0

    async def work():
        context.calls_before = router.loads.polls
        for _ in range(20):
            await asyncio.sleep(1)
            specs = context.fleet.site.configuration.upstreams_by_id.values()
            fresh = sum(router.scheduler.tracker.has_fresh_report(spec) for spec in specs)
            context.most_fresh = max(context.most_fresh, fresh)
        context.calls = router.loads.polls - context.calls_before
        context.seconds = 20

    context.fleet.run(work)


@when('requests for "{model}" come each second')
def ask_each_second(context, model):
    router = context.fleet.routers[0]
    wanted = request(target=ModelRef.parse(model))

    async def work():
        context.fleet.site.engines_by_id[UpstreamId("e37")].order(context.order)
        context.reasons = []
        context.calls_before = router.loads.polls
        for _ in range(120):
            entered = await router.scheduler.admit(wanted, 1)
            if isinstance(entered, Success):
                entered.unwrap().release()
                break
            context.reasons.append(entered.failure().reason.value)
            await asyncio.sleep(1)
        context.calls = router.loads.polls - context.calls_before
        context.found = isinstance(entered, Success)

    context.fleet.run(work)


def _count_at(context, upstream):
    return len(context.fleet.site.engines_by_id[upstream].runs)


@then("the engine with the stuck report gets at most {count:d} of them")
def check_not_herded(context, count):
    assert _count_at(context, E0) <= count, _count_at(context, E0)


@then("the engine with the stuck report gets at least {count:d} of them")
def check_herded(context, count):
    assert _count_at(context, E0) >= count, _count_at(context, E0)


@then("the answers are spread over all 4 engines")
def check_spread(context):
    counts = [len(engine.runs) for engine in context.fleet.site.engines_by_id.values()]
    assert min(counts) >= 5, counts


def _late(context):
    runs = context.fleet.site.engines_by_id[E0].runs
    assert context.fleet.first_sign is not None
    return [run for run in runs if run.received_at > context.fleet.first_sign + 3.0]


@then("e0 gets no new request later than 3 seconds after the first sign")
def check_leaving(context):
    assert _late(context) == [], _late(context)


@then("e0 got requests before")
def check_was_used(context):
    assert _count_at(context, E0) > 10, _count_at(context, E0)


@then("every answer is whole")
def check_all_whole(context):
    assert len(context.fleet.answers) == 400, len(context.fleet.answers)
    for answer in context.fleet.answers:
        assert answer.text == expected_output(answer.request), answer


@then("10 choices all fall on {upstream:w}")
def check_choices(context, upstream):
    assert _choose_ten(context, request()) == [upstream] * 10


@then("there is no upstream to choose")
def check_none(context):
    assert context.choice is None


@then("the reports of both engines are asked for")
def check_asked(context):
    assert context.asked_for == {"e0", "e1"}, context.asked_for


@then('a request for "{wanted}" is sent to e0')
def check_sent(context, wanted):
    target = ModelRef.parse(wanted)
    assert _choose_ten(context, request(target=target)) == [E0] * 10


@then('a request for "{wanted}" is refused: model_not_loaded')
def check_not_loaded(context, wanted):
    async def work():
        target = ModelRef.parse(wanted)
        return await context.fleet.routers[0].scheduler.admit(request(target=target), 1)

    refusal = context.fleet.run(work).failure()
    assert refusal.reason.value == "model_not_loaded", refusal


@then('10 calls of "{service}" all fall on the service "{upstream}"')
def check_service(context, service, upstream):
    call = CallerRequest(
        WorkspaceId("choir"), RequestId("s1"), RequestKind.SERVICE, ModelRef(service)
    )
    assert _choose_ten(context, call) == [upstream] * 10


@then("at least {count:d} of the 12 requests find the prefix cached")
def check_cached(context, count):
    runs = context.fleet.site.runs()
    assert len(runs) == 12
    assert sum(run.cached_tokens > run.prompt_tokens // 2 for run in runs) >= count, runs


@then("the index holds {count:d} hashes")
def check_index(context, count):
    assert len(context.index) == count


@then("the index forgets the 2 least recently used hashes")
def check_forgotten(context):
    held = [number for number in range(10) if context.index.matched_blocks((number,))]
    assert held == [0, 1, 2, 3, 4, 5, 6], held


@then("the index does not change")
def check_unchanged(context):
    held = [context.index.matched_blocks((number,)) for number in range(10)]
    assert held == context.held


@then('10 choices all fall on the engine in zone "a"')
def check_zone(context):
    assert _choose_ten(context, request()) == ["e1"] * 10


@then("every question has its first token within {seconds:g} seconds")
def check_questions(context, seconds):
    waits = [first for answer, first in context.timed if answer.request.request_id[0] == "q"]
    assert len(waits) == 10 and max(waits) <= seconds, waits


@then("every ledger is answered whole")
def check_ledgers(context):
    for answer, _ in context.timed:
        assert isinstance(answer.last, Finished), answer.last
        assert answer.text == expected_output(answer.request)


@then("they are refused with model_not_loaded at first and admitted within 120 seconds")
def check_found(context):
    assert context.found
    assert context.reasons[:1] == ["model_not_loaded"], context.reasons
    context.seconds = len(context.reasons)


@then("at most {rate:d} control calls a second were made")
def check_poll_rate(context, rate):
    assert 0 < context.calls <= rate * context.seconds, (context.calls, context.seconds)


@then("at most {count:d} engines have fresh reports at a time")
def check_fresh(context, count):
    assert 8 <= context.most_fresh <= count + 4, context.most_fresh
