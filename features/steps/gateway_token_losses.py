"""Steps for tokens that are lost with their holders."""

from behave import then, when

from features.steps.gateway_budgets import play
from quinceferry_gateway.decisions.outages import OutageHistory

BETWEEN_KILLS_SECONDS = 2.8
CLOSED_WITHIN_SECONDS = 3.0
"""Time in which holders that start find out what their predecessors may have spent."""


@when("all holders are killed and others start on their vms")
def when_all_killed(context):
    context.acts.append(lambda bench: bench.restart_all())


@when(
    "all holders are killed {kills:d} times and others start on their vms {seconds:g} seconds later"
)
def when_killed_for(context, kills, seconds):
    async def kill_all(bench):
        for number in range(kills):
            if number:
                await bench.spend(context.rate, BETWEEN_KILLS_SECONDS)
            await bench.restart_all(seconds)

    context.acts.append(kill_all)


@then("no more than {tokens:d} tokens are lost")
def then_lost(context, tokens):
    async def check(bench):
        await bench.clock.sleep(CLOSED_WITHIN_SECONDS)
        budget = await bench.record()
        dead = budget.allotments_by_holder.keys() - bench.holders_by_name.keys()
        lost = budget.spent + sum(budget.allotments_by_holder[name].outstanding for name in dead)
        assert lost <= tokens, (lost, budget)

    play(context, check)


@when("they are cut off from the store")
def when_all_cut(context):
    async def cut(bench):
        bench.cut(list(bench.holders_by_name))

    context.acts.append(cut)


@when("{count:d} more holders start")
def when_more_start(context, count):
    async def start(bench):
        bench.count += count
        await bench.fill()

    context.acts.append(start)


@then("the holders have no more than {tokens:d} tokens available together")
def then_at_most_together(context, tokens):
    async def check(bench):
        held = bench.held()
        assert sum(held) <= tokens, held

    play(context, check)


@when("they spend {tokens:d} tokens a second for {seconds:d} seconds")
def when_they_spend(context, tokens, seconds):
    context.rate = tokens

    async def spend(bench):
        share = await bench.spend(tokens, seconds)
        assert share > 0.9, share

    context.acts.append(spend)


@when("they are asked for {tokens:d} tokens a second for {seconds:d} seconds")
def when_they_are_asked(context, tokens, seconds):
    context.acts.append(lambda bench: bench.spend(tokens, seconds))


@when("nothing happens to them")
def when_nothing_happens(context):
    pass


@when("an outage of {seconds:d} seconds happens to them")
def when_outage_happens(context, seconds):
    async def outage(bench):
        bench.kv.faults.outage = True
        bench.refresh()
        await bench.spend(context.rate, seconds)
        bench.kv.faults.outage = False
        bench.refresh()

    context.acts.append(outage)


@when("a cut of {count:d} holders while the others start again happens to them")
def when_cut_happens(context, count):
    async def cut(bench):
        names = list(bench.holders_by_name)
        bench.cut(names[:count])
        for name in names[count:]:
            await bench.restart(name)
            await bench.spend(context.rate, 3)
        await bench.spend(context.rate, 1)

    context.acts.append(cut)


@when("another kill of all a second before happens to them")
def when_killed_before(context):
    when_all_killed(context)
    context.acts.append(lambda bench: bench.spend(context.rate, 1))


@then("more than a quarter of the requests of the next {seconds:d} seconds get their tokens")
def then_quarter(context, seconds):
    async def check(bench):
        share = await bench.spend(context.rate, seconds)
        assert share > 0.25, share

    play(context, check)


@then("more than {percent:d} of 100 requests get tokens in another outage of {seconds:d} seconds")
def then_lasts(context, percent, seconds):
    async def check(bench):
        bench.kv.faults.outage = True
        bench.refresh()
        share = await bench.spend(context.rate, seconds)
        assert share > percent / 100, share

    play(context, check)


@when("the store answers at 10 seconds, fails at 12, 15 and 17 and answers at 18 and 19")
def when_store_fails(context):
    context.outages = OutageHistory()
    context.outages.record_answer(10.0)
    for _ in range(3):
        context.outages.record_failure()
    context.outages.record_answer(18.0)
    context.outages.record_answer(19.0)


@then("the longest outage took {seconds:g} seconds")
def then_longest(context, seconds):
    assert context.outages.longest_seconds == seconds, context.outages.longest_seconds
