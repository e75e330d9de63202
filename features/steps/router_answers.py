"""Steps that check what routers answered, ran and billed."""

from behave import then
from fixtures_router_scenes import BILL_SECONDS

from quinceferry_core.outcomes import Failed, NotRun, Unknown
from quinceferryd.blackboard import RouterState


@then('request "{name:w}" is answered whole')
def check_whole(context, name):
    async def check(fleet):
        assert fleet.is_whole(fleet.sent[name]), fleet.answers_by_request[name]

    context.scene.play(check)


@then("it ran {runs:d} time and has {bills:d} bill for what the engine used")
def check_runs_and_bills(context, runs, bills):
    async def check(fleet):
        await fleet.clock.sleep(BILL_SECONDS)
        name = fleet.last.request_id
        ran = fleet.runs(name)
        billed = [bill for bill in await fleet.bills() if bill.request == name]
        assert (len(ran), len(billed)) == (runs, bills), (ran, billed)
        assert billed[0].tokens == ran[0].used_tokens, (ran, billed)

    context.scene.play(check)


@then("it has {bills:d} bill")
def check_bill_count(context, bills):
    async def check(fleet):
        await fleet.clock.sleep(BILL_SECONDS)
        billed = [bill for bill in await fleet.bills() if bill.request == fleet.last.request_id]
        assert len(billed) == bills, billed

    context.scene.play(check)


def check_refusal(fleet, name, reason, outcome):
    failed = fleet.answers_by_request[name].failed
    assert isinstance(failed, Failed), fleet.answers_by_request[name]
    assert failed.reason.value == reason, failed
    assert isinstance(failed.outcome, outcome), failed


@then('request "{name:w}" is refused as "{reason}"')
def check_refused(context, name, reason):
    async def check(fleet):
        check_refusal(fleet, name, reason, object)

    context.scene.play(check)


@then('request "{name:w}" is refused as "{reason}" and was not run')
def check_not_run(context, name, reason):
    async def check(fleet):
        check_refusal(fleet, name, reason, NotRun)
        assert fleet.runs(name) == []

    context.scene.play(check)


@then('request "{name:w}" is refused as "{reason}" and may have run')
def check_unknown(context, name, reason):
    async def check(fleet):
        check_refusal(fleet, name, reason, Unknown)

    context.scene.play(check)


@then("every request was answered whole")
def check_all_whole(context):
    async def check(fleet):
        broken = [name for name, request in fleet.sent.items() if not fleet.is_whole(request)]
        assert not broken, [fleet.answers_by_request[name] for name in broken]

    context.scene.play(check)


@then("they all ended within {seconds:d} seconds")
def check_fast(context, seconds):
    async def check(fleet):
        assert fleet.clock.monotonic() - fleet.many_sent_at <= seconds

    context.scene.play(check)


@then("every request has one bill")
def check_all_billed(context):
    async def check(fleet):
        await fleet.clock.sleep(BILL_SECONDS)
        billed = sorted(bill.request for bill in await fleet.bills())
        assert billed == sorted(fleet.sent), billed

    context.scene.play(check)


@then("every request has one bill at the router that is left")
def check_all_billed_there(context):
    async def check(fleet):
        left = [
            name
            for name, application in fleet.applications_by_name.items()
            if application.blackboard.state is RouterState.SERVING and name not in fleet.cut_off
        ]
        assert len(left) == 1, left
        billed = sorted(bill.request for bill in await fleet.bills(left[0]))
        assert billed == sorted(fleet.sent), billed

    context.scene.play(check)


@then("the closed incarnation has {count:d} bills")
def check_carried(context, count):
    async def check(fleet):
        bills = await fleet.bills()
        assert len(bills) == count, bills
        assert {bill.paid_by for bill in bills} == {fleet.old_incarnation}

    context.scene.play(check)


@then("every answered request has one bill and no other has any")
def check_answered_billed(context):
    async def check(fleet):
        await fleet.clock.sleep(BILL_SECONDS)
        answered = sorted(name for name, request in fleet.sent.items() if fleet.is_whole(request))
        billed = sorted(bill.request for bill in await fleet.bills())
        assert answered and billed == answered, (billed, answered)

    context.scene.play(check)


@then("the engines ran at most {tokens:d} tokens")
def check_spend(context, tokens):
    async def check(fleet):
        used = sum(run.used_tokens for run in fleet.runs())
        assert used <= tokens, used

    context.scene.play(check)


@then("the budget withholds what r2 kept for outages")
def check_withheld(context):
    async def check(fleet):
        balance = await fleet.balance()
        assert balance.withheld == fleet.dead_tokens > 0, balance

    context.scene.play(check)


@then("the budget has no tokens at {router:w} and withholds none")
def check_freed(context, router):
    async def check(fleet):
        balance = await fleet.balance()
        used = sum(run.used_tokens for run in fleet.runs())
        assert balance.withheld == 0, balance
        assert balance.settled == used, (balance, used)
        assert balance.held_by_routers == 0, balance

    context.scene.play(check)


@then("the balance covers what the engines ran")
def check_covered(context):
    async def check(fleet):
        balance = await fleet.balance()
        used = sum(run.used_tokens for run in fleet.runs())
        assert balance.settled + balance.withheld >= used, (balance, used)

    context.scene.play(check)


@then("the balance shows no withheld tokens")
def check_nothing_withheld(context):
    async def check(fleet):
        balance = await fleet.balance()
        assert balance.withheld == 0, balance

    context.scene.play(check)


@then("{router:w} serves under a new incarnation")
def check_rejoined(context, router):
    async def check(fleet):
        blackboard = fleet.applications_by_name[router].blackboard
        assert blackboard.state is RouterState.SERVING, blackboard.state
        assert blackboard.identity.incarnation != fleet.old_incarnation

    context.scene.play(check)
