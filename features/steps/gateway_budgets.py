"""Steps for prepaid tokens at the gateways."""

import asyncio

from behave import given, then, when

from features.fixtures_gateway_budgets import WORKSPACE, Bench
from quinceferry_gateway.budgets import (
    Account,
    Allowance,
    HolderAllotment,
    WorkspaceBudget,
    update_allotment,
)
from quinceferry_gateway.catalog import Configuration, Workspace
from quinceferry_gateway.peers import ReserveRequest, Settlement
from quinceferry_lab.virtual_time import run_virtual

BUSY_REQUESTS = 4
"""Requests of each tenth of a second between restarts; in outages they use more than the limits."""
RESTART_PROBABILITY = 0.03
MAX_DOWN_SECONDS = 4.0
CALM_SECONDS = 6.0
"""Time without faults in which all holders write the record."""
MIN_USED_TOKENS = 100_000
MIN_HELD_TOKENS = 50_000
OTHER = "orchestra"


@given("{count:d} token holders and a budget of {prepaid:d} tokens")
def given_holders(context, count, prepaid):
    context.size = (count, prepaid)
    context.acts = []


@when("{seconds:g} seconds pass for the holders")
def when_seconds(context, seconds):
    context.acts.append(lambda bench: bench.clock.sleep(seconds))


@when("they serve requests for {seconds:d} seconds under {faults}, seed {seed:d}")
def when_serve(context, seconds, faults, seed):
    serve_under(context, seconds, faults, seed, Bench.request)


@when(
    "they serve requests, drawing on demand, for {seconds:d} seconds under {faults}, seed {seed:d}"
)
def when_serve_drawing(context, seconds, faults, seed):
    serve_under(context, seconds, faults, seed, Bench.request_drawing)


def serve_under(context, seconds, faults, seed, request):
    """Let holders serve requests under faults."""
    context.seed = seed

    async def serve(bench):
        for _ in range(seconds * 10):
            disturb(bench, faults)
            if "kills" in faults and bench.holders_by_name and bench.random.random() < 0.01:
                await bench.kill(bench.random.choice(list(bench.holders_by_name)))
            if "stops" in faults and bench.holders_by_name and bench.random.random() < 0.02:
                await bench.end(bench.random.choice(list(bench.holders_by_name)))
            if "restarts" in faults:
                restart_some(bench)
                bench.start_again()
            else:
                await bench.fill()
            for _ in range(BUSY_REQUESTS if "restarts" in faults else 1):
                if bench.holders_by_name:
                    bench.next_request += 1
                    await request(bench, bench.next_request)
            await bench.clock.sleep(0.1)

    context.acts.append(serve)


def restart_some(bench):
    """Kill single holders or all of them now and then, and start others on their vms later."""
    if bench.random.random() > RESTART_PROBABILITY:
        return
    names = list(bench.holders_by_name)
    if bench.random.random() < 0.5:
        names = bench.random.sample(names, min(1, len(names)))
    down_seconds = bench.random.uniform(0.0, MAX_DOWN_SECONDS)
    for name in names:
        bench.begin_restart(name, down_seconds)


def disturb(bench, faults):
    """Draw what the store does for the next moment."""
    if "lost" in faults:
        bench.kv.faults.lose_probability = 0.3
    if "outages" in faults and bench.random.random() < 0.03:
        bench.kv.faults.outage = not bench.kv.faults.outage
        bench.refresh()
    if "cuts" in faults and bench.holders_by_name and bench.random.random() < 0.03:
        names = list(bench.holders_by_name)
        count = bench.random.randint(1, len(names))
        bench.cut(bench.random.sample(names, count), bench.random.random() < 0.5)


@when("the store is away and holder {number:d} stops")
def when_stops(context, number):
    stop_away(context, number, 1)


@when("the store is away and holder {number:d} stops, its message arriving twice")
def when_stops_twice(context, number):
    stop_away(context, number, 2)


def stop_away(context, number, times):
    """Stop a holder during an outage."""

    async def stop(bench):
        bench.kv.faults.outage = True
        bench.refresh()
        await bench.end(f"g{number}", times)
        await bench.clock.sleep(2.0)

    context.acts.append(stop)


@when("the holders spend all that they hold")
def when_spend_all(context):
    async def spend(bench):
        for name, holder in bench.holders_by_name.items():
            reserved = holder.reserve("all", WORKSPACE, bench.prepaid).reserved
            assert reserved > MIN_HELD_TOKENS, reserved
            holder.settle(Settlement("all", WORKSPACE, reserved))
            bench.count_used(name, reserved)

    context.acts.append(spend)


@when("the store is back, and the configuration without the workspace, for {seconds:d} seconds")
def when_back_without(context, seconds):
    async def back(bench):
        for board in bench.boards_by_name.values():
            board.configuration = Configuration(2, {}, {}, {OTHER: Workspace(OTHER, 9_000)})
        bench.kv.faults.outage = False
        bench.refresh()
        await bench.clock.sleep(seconds)

    context.acts.append(back)


@when("the store is back for {seconds:d} seconds")
def when_back(context, seconds):
    async def back(bench):
        bench.kv.faults.outage = False
        bench.refresh()
        await bench.clock.sleep(seconds)

    context.acts.append(back)


def play(context, check):
    """Run the acts and a check, which may be a coroutine function."""

    async def scene():
        bench = Bench(*context.size, seed=getattr(context, "seed", 0))
        await bench.fill()
        for act in context.acts:
            await act(bench)
        await check(bench)
        await bench.close()

    run_virtual(scene())


@then("the holders have about {tokens:d} tokens available together")
def then_available(context, tokens):
    async def check(bench):
        held = bench.held()
        assert abs(sum(held) - tokens) < 0.02 * tokens, held

    play(context, check)


@then("no more than {tokens:d} tokens were used")
def then_used(context, tokens):
    async def check(bench):
        used = bench.used + sum(sum(opened.values()) for opened in bench.open_by_name.values())
        assert used <= tokens, used
        assert used > 0.1 * tokens, used

    play(context, check)


@then("the record counts at least what was used")
def then_counts(context):
    async def check(bench):
        used = bench.used + sum(sum(opened.values()) for opened in bench.open_by_name.values())
        budget = await bench.record()
        assert budget.spent + budget.outstanding >= used, (budget, used)

    play(context, check)


@then("no write has counted less than what the holders that it removed had used")
def then_counts_removed(context):
    async def check(bench):
        await asyncio.gather(*bench.restarts)
        bench.kv.faults.clear()
        bench.cut(list(bench.holders_by_name), False)
        await bench.clock.sleep(CALM_SECONDS)
        for name in list(bench.holders_by_name):
            assert await bench.holders_by_name[name].return_tokens()
            bench.remove(name)
        budget = await bench.record()
        assert bench.used > MIN_USED_TOKENS, bench.used
        assert budget.spent + budget.outstanding >= bench.used, (budget, bench.used)
        assert not bench.underreported, bench.underreported

    play(context, check)


@then("the record holds {spent:d} spent tokens and {allotments:d} allotments")
def then_record(context, spent, allotments):
    async def check(bench):
        budget = await bench.record()
        assert budget.spent == spent, budget
        assert len(budget.allotments_by_holder) == allotments, budget

    play(context, check)


@when("holder {number:d} stops, and the store takes its return but goes away before it answers")
def when_return_lost(context, number):
    async def stop(bench):
        bench.kv.faults.lose_probability = 1.0
        ending = asyncio.create_task(bench.end(f"g{number}"))
        await bench.clock.sleep(0.4)
        bench.kv.faults.outage = True
        bench.refresh()
        await ending

    context.acts.append(stop)


@then("holder {number:d} has about {tokens:d} tokens available")
def then_holder_available(context, number, tokens):
    async def check(bench):
        held = bench.holders_by_name[f"g{number}"].held_by_workspace()[WORKSPACE]
        assert abs(held - tokens) < 0.02 * tokens, held

    play(context, check)


@given("an account with {tokens:d} drawn tokens")
def given_account(context, tokens):
    context.account = Account(drawn=tokens)
    context.budget = WorkspaceBudget(0, {"me": HolderAllotment(drawn=tokens)})


@when("the record is updated towards a target of {target:d} tokens")
def when_updated(context, target):
    update_allotment(context.budget, "me", context.account, 0, Allowance(target, target))


@then("the account has {tokens:d} tokens available")
def then_account(context, tokens):
    assert context.account.held == tokens, context.account


@when("holder {number:d} is asked for {tokens:d} tokens, drawing what is missing")
def when_asked(context, number, tokens):
    async def ask(bench):
        holder = bench.holders_by_name[f"g{number}"]
        began_at = bench.clock.monotonic()
        first = holder.reserve("asked", WORKSPACE, tokens).reserved
        missing = tokens - first
        if missing and await holder.draw_missing(WORKSPACE, missing):
            first += holder.reserve("asked/drawn", WORKSPACE, missing).reserved
        context.reserved = first
        context.waited = bench.clock.monotonic() - began_at

    context.acts.append(ask)


@when("the store goes away")
def when_away(context):
    def leave(bench):
        bench.kv.faults.outage = True
        bench.refresh()
        return bench.clock.sleep(0)

    context.acts.append(leave)


@when("holder {number:d} draws all that nobody holds")
def when_draws_all(context, number):
    context.acts.append(
        lambda bench: bench.holders_by_name[f"g{number}"].draw_missing(WORKSPACE, 7_218)
    )


@when("holder {number:d} spends {tokens:d} tokens")
def when_spends(context, number, tokens):
    async def spend(bench):
        holder = bench.holders_by_name[f"g{number}"]
        await holder.draw_missing(WORKSPACE, tokens)
        reserved = holder.reserve("spent", WORKSPACE, tokens).reserved
        assert abs(reserved - tokens) < 0.02 * tokens, reserved
        holder.settle(Settlement("spent", WORKSPACE, reserved))

    context.acts.append(spend)


@then("each holder has tokens, and all of them no more than {tokens:d}")
def then_each_has(context, tokens):
    async def check(bench):
        held = bench.held()
        assert all(held), held
        assert sum(held) <= tokens, held

    play(context, check)


@then("all {tokens:d} tokens are reserved")
def then_all_reserved(context, tokens):
    async def check(_bench):
        assert context.reserved == tokens, context.reserved

    play(context, check)


@then("{tokens:d} tokens are reserved, without waiting")
def then_reserved_at_once(context, tokens):
    async def check(_bench):
        assert context.reserved == tokens, context.reserved
        assert context.waited < 0.01, context.waited

    play(context, check)


@then("holder {number:d} has tokens again")
def then_has_again(context, number):
    async def check(bench):
        held = bench.holders_by_name[f"g{number}"].available_by_workspace()[WORKSPACE]
        assert held > 0, held

    play(context, check)


@when("holder {number:d} is killed")
def when_killed(context, number):
    context.acts.append(lambda bench: bench.kill(f"g{number}"))


@then("the killed and the living used no more than {most:d} tokens, and more than {least:d}")
def then_used_together(context, most, least):
    async def check(bench):
        used = bench.used + sum(sum(opened.values()) for opened in bench.open_by_name.values())
        budget = await bench.record()
        stranded = sum(
            entry.outstanding
            for name, entry in budget.allotments_by_holder.items()
            if name not in bench.holders_by_name
        )
        assert used + stranded <= most, (used, stranded)
        assert used > least, (used, stranded)

    play(context, check)


@when("another starts on its vm")
def when_another_starts(context):
    async def start(bench):
        await bench.add("g1-2", "g1")
        bench.refresh()

    context.acts.append(start)


def left_at(bench, number):
    """Return what a holder says is left at most."""
    return bench.holders_by_name[f"g{number}"].reserve("left", WORKSPACE, 0).max_remaining


@then("holder {number:d} knows of more than {tokens:d} tokens left")
def then_more_left(context, number, tokens):
    async def check(bench):
        assert left_at(bench, number) > tokens, left_at(bench, number)

    play(context, check)


@then("holder {number:d} knows of less than {tokens:d} tokens left")
def then_less_left(context, number, tokens):
    async def check(bench):
        assert 0 < left_at(bench, number) < tokens, left_at(bench, number)

    play(context, check)


@when("holder {number:d} stops while it draws {tokens:d} tokens for a request")
def when_stops_drawing(context, number, tokens):
    async def stop(bench):
        drawing = asyncio.create_task(
            bench.holders_by_name[f"g{number}"].draw_missing(WORKSPACE, tokens)
        )
        await bench.clock.sleep(0)
        await bench.end(f"g{number}")
        assert not await drawing

    context.acts.append(stop)


@when(
    "{count:d} requests together ask holder {number:d} for {tokens:d} tokens each, drawing what is "
    "missing"
)
def when_asked_together(context, count, number, tokens):
    async def ask(bench):
        holder = bench.holders_by_name[f"g{number}"]
        requests = [
            ReserveRequest(f"together-{index}", WORKSPACE, tokens, allow_draw=True)
            for index in range(count)
        ]
        replies = await asyncio.gather(
            *(holder.reserve_for_request(request) for request in requests)
        )
        context.granted = [reply.reserved for reply in replies]
        context.asked_tokens = tokens

    context.acts.append(ask)


@then("all {count:d} get their tokens")
def then_all_get(context, count):
    async def check(_bench):
        assert context.granted == [context.asked_tokens] * count, context.granted

    play(context, check)
