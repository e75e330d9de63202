"""Steps for budgets."""

import asyncio

import msgspec
from behave import given, then, when
from returns.result import Failure, Success

from features.fixtures_budgets import SMALL_DRAWS, WORKSPACE, Bench
from quinceferry_core.budgets import Allotment, budget_key, close_allotment
from quinceferry_core.exceptions import FencedError
from quinceferry_core.models import IncarnationId
from quinceferry_lab.virtual_time import run_virtual
from quinceferryd.holdings import decode_budget
from quinceferryd.settings import BudgetSettings


class Scene:
    """Collects the acts of a scenario and plays them in one virtual run."""

    def __init__(self, tokens, routers, settings=SMALL_DRAWS):
        self.tokens = tokens
        self.routers = routers
        self.settings = settings
        self.acts = []
        self.reserved = 0

    def play(self, check):
        """Run all acts and then a check."""

        async def scene():
            bench = Bench()
            await bench.grant(self.tokens)
            bench.holders = [
                bench.holder(f"r{number + 1}", self.settings) for number in range(self.routers)
            ]
            for act in self.acts:
                await act(bench)
            await check(bench)

        self.reserved = 0
        run_virtual(scene())


async def reserve(bench, router, tokens, request=None):
    holder = bench.holders[router - 1]
    name = request or f"q{bench.clock.monotonic()}"
    return await holder.reserve(WORKSPACE, name, tokens)


async def read_record(bench):
    return decode_budget(WORKSPACE, await bench.connect("operator").get(budget_key(WORKSPACE)))


@given("a budget of {tokens:d} tokens and {routers:d} router")
@given("a budget of {tokens:d} tokens and {routers:d} routers")
def given_budget(context, tokens, routers):
    context.scene = Scene(tokens, routers)


@given("a budget of {tokens:d} tokens and {routers:d} routers with default settings")
def given_default_budget(context, tokens, routers):
    context.scene = Scene(tokens, routers, BudgetSettings())


@when("both routers reserve {tokens:d} tokens at once, {times:d} times")
def reserve_at_once(context, tokens, times):
    async def act(bench):
        for turn in range(times):
            results = await asyncio.gather(
                *(reserve(bench, router, tokens, f"{router}-{turn}") for router in (1, 2))
            )
            context.scene.reserved += sum(isinstance(result, Success) for result in results)

    context.scene.acts.append(act)


@when("the answer to the next budget write is lost")
def lose_next(context):
    async def act(bench):
        bench.kv.faults.key_prefix = "budgets/"
        bench.kv.faults.lose_next = 1

    context.scene.acts.append(act)


@when("the router reserves {tokens:d} tokens, failing")
def reserve_failing(context, tokens):
    async def act(bench):
        assert isinstance(await reserve(bench, 1, tokens), Failure)

    context.scene.acts.append(act)


@when("the router reserves {tokens:d} tokens")
def reserve_one(context, tokens):
    async def act(bench):
        assert isinstance(await reserve(bench, 1, tokens), Success)

    context.scene.acts.append(act)


@when("router {router:d} reserves {tokens:d} tokens")
def reserve_at(context, router, tokens):
    async def act(bench):
        assert isinstance(await reserve(bench, router, tokens), Success)

    context.scene.acts.append(act)


@when("the router reserves {tokens:d} tokens and settles {used:d}")
def reserve_and_settle(context, tokens, used):
    async def act(bench):
        await reserve(bench, 1, tokens, "settled")
        bench.holders[0].settle(WORKSPACE, "settled", used)

    context.scene.acts.append(act)


@when("the router is asked to return {tokens:d} tokens")
def ask_return(context, tokens):
    async def act(bench):
        await bench.holders[0].recall(WORKSPACE, tokens)

    context.scene.acts.append(act)


@when("router {router:d} loses the service")
def lose_service(context, router):
    async def act(bench):
        bench.connect(f"r{router}").faults.outage = True

    context.scene.acts.append(act)


@when('the operator tops up {tokens:d} tokens as "{operation}", with an unknown result')
def top_up_unknown(context, tokens, operation):
    async def act(bench):
        result = await bench.grant(tokens, operation)
        assert result.failure().is_outcome_unknown, result

    context.scene.acts.append(act)


@when('the operator tops up {tokens:d} tokens as "{operation}"')
def top_up(context, tokens, operation):
    async def act(bench):
        assert isinstance(await bench.grant(tokens, operation), Success)

    context.scene.acts.append(act)


@when("the operator tops up {tokens:d} tokens {times:d} times, each sent twice")
def top_up_often(context, tokens, times):
    async def act(bench):
        for number in range(times):
            await bench.grant(tokens, f"op{number}")
            await bench.grant(tokens, f"op{number}")

    context.scene.acts.append(act)


@when("the router's allotment is closed")
def close_allotment_of_router(context):
    async def act(bench):
        connection = bench.connect("operator")
        entry = await connection.get(budget_key(WORKSPACE))
        closed = close_allotment(decode_budget(WORKSPACE, entry), IncarnationId("r1"), 50)
        await connection.put_if(entry.key, msgspec.json.encode(closed), entry.version)

    context.scene.acts.append(act)


@then("{count:d} reservations succeed")
def check_reserved(context, count):
    async def check(bench):
        assert context.scene.reserved == count, context.scene.reserved

    context.scene.play(check)


@then("the budget record adds up")
def check_record(context):
    async def check(bench):
        record = await read_record(bench)
        assert record.settled + record.withheld + record.outstanding <= record.granted, record
        for holder in bench.holders:
            held = record.allotments_by_incarnation.get(holder.incarnation, Allotment())
            assert holder.ledger(WORKSPACE).drawn <= held.drawn, held

    context.scene.play(check)


@then("the router holds {held:d} tokens of the record's {drawn:d}")
def check_held(context, held, drawn):
    async def check(bench):
        record = await read_record(bench)
        assert bench.holders[0].ledger(WORKSPACE).drawn == held
        assert record.allotments_by_incarnation["r1"].drawn == drawn

    context.scene.play(check)


@then("the router can not reserve {tokens:d} tokens while the service is down")
def check_not_reserved(context, tokens):
    async def check(bench):
        bench.kv.faults.outage = True
        assert isinstance(await reserve(bench, 1, tokens), Failure)

    context.scene.play(check)


@then("{tokens:d} tokens are granted")
def check_granted(context, tokens):
    async def check(bench):
        record = await read_record(bench)
        assert record.granted == tokens, record

    context.scene.play(check)


@then('a top-up of {tokens:d} tokens as "{operation}" is rejected')
def check_top_up_rejected(context, tokens, operation):
    async def check(bench):
        result = await bench.grant(tokens, operation)
        assert not result.failure().is_outcome_unknown

    context.scene.play(check)


@then("router {router:d} can reserve {tokens:d} tokens")
def check_can_reserve(context, router, tokens):
    async def check(bench):
        result = await reserve(bench, router, tokens)
        assert isinstance(result, Success), result

    context.scene.play(check)


@then("router {router:d} can not reserve {tokens:d} tokens")
def check_can_not_reserve(context, router, tokens):
    async def check(bench):
        assert isinstance(await reserve(bench, router, tokens), Failure)

    context.scene.play(check)


@then("the router is fenced when it reserves {tokens:d} tokens")
def check_fenced(context, tokens):
    async def check(bench):
        try:
            await reserve(bench, 1, tokens)
        except FencedError:
            assert bench.fenced == ["r1"]
            return
        raise AssertionError("a closed allotment was drawn on")

    context.scene.play(check)
