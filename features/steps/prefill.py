"""Steps for prompts that engines have still to read."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from behave import given, then, when
from fixtures_admission import Fleet
from fixtures_routing import MODEL, Answer, Router, Site, request
from returns.result import Success

from quinceferry_core.adapters import LoadReport
from quinceferry_core.models import Priority, UpstreamId, WorkspaceId
from quinceferry_core.outcomes import Chunk, Failed
from quinceferry_core.queues import QueueEntry
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.engine_settings import EngineSettings
from quinceferryd.target_queues import TargetQueue

E0 = UpstreamId("e0")


@dataclass
class _Timed:
    answer: Answer
    refusal: Failed | None = None
    first_token_seconds: float | None = None
    seconds: float = 0.0


async def _ask(router, wanted):
    """Admit a request and read its answer, noting when its first token comes."""
    asked_at = VirtualClock().monotonic()
    timed = _Timed(Answer(wanted))
    entered = await router.scheduler.admit(wanted, 1)
    if not isinstance(entered, Success):
        timed.refusal = entered.failure()
        return timed
    async for event in router.open(wanted, timed.answer.result, timed.answer.dispatches):
        if timed.first_token_seconds is None and isinstance(event, Chunk):
            timed.first_token_seconds = VirtualClock().monotonic() - asked_at
        timed.answer.events.append(event)
    entered.unwrap().release()
    timed.seconds = VirtualClock().monotonic() - asked_at
    return timed


def _text(name, tokens):
    """Return a text of so many tokens that shares no block with another name's."""
    return f"{name:<8}" * (tokens // 2)


def _refusals(answers):
    return Counter(timed.refusal.reason.value for timed in answers if timed.refusal)


@given("{routers:d} routers before {engines:d} engines that are idle")
def build_idle(context, routers, engines):
    context.fleet = Fleet.build(routers, engines)


@given("a router that journals for {seconds:g} seconds before an engine of {slots:d} slots")
def build_wide(context, seconds, slots):
    context.journal_seconds, context.slots = seconds, slots


@given("that engine takes 1.5 seconds to each first token")
def build_slow(context):
    settings = EngineSettings(models=(MODEL,), slots=context.slots, step_seconds=0.75)
    site = Site.build(1, settings)
    context.fleet = Fleet(site, [Router(site, journal_seconds=context.journal_seconds)])


@given("a lone router that sent {count:d} prompts of {tokens:d} tokens {seconds:d} seconds ago")
def send_some(context, count, tokens, seconds):
    context.fleet = Fleet.build(1, 1)
    scheduler = context.fleet.routers[0].scheduler

    async def work(reported):
        for number in range(count):
            wanted = request(f"r{number}", prompt=_text(f"r{number}", tokens))
            scheduler.record_sent(wanted, E0)
            scheduler.record_dispatched(wanted, E0)
        await asyncio.sleep(seconds)
        report = LoadReport(count, 0, reported, 16 - count, (MODEL,))
        scheduler.tracker.apply_report(E0, report)
        return scheduler.tracker.free_slots_for(request("next"), E0)

    context.work = work


@given("a lone router that journals a ledger of {tokens:d} tokens")
def journal_ledger(context, tokens):
    context.fleet = Fleet.build(1, 1)
    scheduler = context.fleet.routers[0].scheduler
    first, second = (request(name, prompt=_text(name, tokens)) for name in ("l1", "l2"))

    async def work():
        scheduler.record_sent(first, E0)
        await asyncio.sleep(0.25)
        scheduler.record_sent(first, E0)
        return scheduler.tracker.free_slots_for(second, E0)

    context.room = context.fleet.run(work)


@given("a pool with {count:d} waiting requests that was watched for {seconds:d} seconds")
def build_pool(context, count, seconds):
    context.pool, context.now = TargetQueue(256, 0.5), float(seconds)
    for number in range(count):
        waiting = QueueEntry(number, WorkspaceId("choir"), Priority.NORMAL, 1, 60.0, 0.0)
        context.pool.push(waiting, 0.0)


@when(
    "{count:d} callers of one workspace send {ledgers} of {tokens:d} tokens at once, "
    "and receipts meanwhile"
)
def send_ledgers(context, count, ledgers, tokens):
    fleet = context.fleet
    names = [f"l{0 if ledgers == 'one ledger' else number}" for number in range(count)]
    prompts = [f"{_text(name, tokens)} Question {n}?" for n, name in enumerate(names)]
    wanted = [request(f"l{n}", prompt=text, output_tokens=48) for n, text in enumerate(prompts)]
    receipts = [request(f"q{n}", prompt=f"Receipt {n}?", output_tokens=10) for n in range(40)]
    routers = fleet.routers

    async def work():
        tasks = [_ask(routers[n % len(routers)], each) for n, each in enumerate(wanted)]
        ledgers = asyncio.gather(*tasks)
        answered = []
        for number, each in enumerate(receipts):
            await asyncio.sleep(0.1)
            answered.append(asyncio.create_task(_ask(routers[number % len(routers)], each)))
        return await ledgers, await asyncio.gather(*answered)

    context.ledgers, context.receipts = fleet.run(work)


@when("{rate:d} prompts of {tokens:d} tokens a second are sent to it for {seconds:d} seconds")
def send_prompts(context, rate, tokens, seconds):
    async def work():
        tasks = []
        for number in range(rate * seconds):
            wanted = request(f"p{number}", prompt=_text(f"p{number}", tokens), output_tokens=1)
            tasks.append(asyncio.create_task(_ask(context.fleet.routers[0], wanted)))
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*tasks)

    context.prompts = context.fleet.run(work)


@when("the engine reports {tokens:d} unread tokens")
def report_unread(context, tokens):
    context.room = context.fleet.run(lambda: context.work(tokens))


@then("no ledger is refused")
def check_ledgers(context):
    assert not _refusals(context.ledgers), _refusals(context.ledgers)
    assert all(timed.first_token_seconds is not None for timed in context.ledgers)


@then("the ledgers run on at least {count:d} engines")
def check_engines(context, count):
    runs = [run for run in context.fleet.site.runs() if run.request_id.startswith("l")]
    ran = Counter(run.upstream for run in runs)
    assert len(ran) >= count, ran


@then("every receipt has its first token within {seconds:g} seconds")
def check_receipts(context, seconds):
    assert not _refusals(context.receipts), _refusals(context.receipts)
    slowest = max(timed.first_token_seconds for timed in context.receipts)
    assert slowest <= seconds, slowest


@then("none of the prompts is refused")
def check_prompts(context):
    assert not _refusals(context.prompts), _refusals(context.prompts)


@then("there is no room for another prompt")
@then("there is no room for another ledger at that engine")
def check_no_room(context):
    assert context.room < 0.5, context.room


@then("there is room for another prompt")
def check_room(context):
    assert context.room >= 0.5, context.room


@then("a wait of {seconds:d} seconds is expected")
def check_wait(context, seconds):
    assert context.pool.expected_wait_seconds(Priority.NORMAL, context.now) == seconds
