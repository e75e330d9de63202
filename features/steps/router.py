"""Steps for whole routers."""

import asyncio
import random
from dataclasses import replace

import msgspec
from behave import given, then, when

from features.fixtures_routers import WORKSPACE, Answer, Fleet
from quinceferry_core.copies import EntryCopy, HoldReply, HoldRequest
from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_core.journals import RequestKey, Settle
from quinceferry_core.ledgers import Ledger
from quinceferry_core.membership import IncarnationRecord, Member, incarnation_key
from quinceferry_core.models import IncarnationId, OperationId, RequestKind
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, RefusalReason, Unknown
from quinceferry_lab.virtual_time import run_virtual
from quinceferry_standins.upstream_faults import Break
from quinceferryd.blackboard import RouterState
from quinceferryd.forwards import Forwarder
from quinceferryd.recovery_cases import RecoveryCase
from quinceferryd.runs import RequestRun
from quinceferryd.settings import JournalSettings, ShutdownSettings

BILL_SECONDS = 2
DEAD = IncarnationId("dead-1")


class Scene:
    """Acts of one scenario, played in one virtual run before each check."""

    def __init__(self, routers, budget, journal=None):
        self.journal = journal or JournalSettings()
        self.routers = routers
        self.budget = budget
        self.acts = []

    def play(self, check):
        async def scene():
            fleet = Fleet(self.routers, self.budget, journal=self.journal)
            await fleet.start()
            fleet.last = None
            fleet.sent = {}
            for act in self.acts:
                await act(fleet)
            await check(fleet)
            await fleet.stop()

        run_virtual(scene())


@given("{routers:d} routers that commit each {seconds:d} seconds and a budget of {budget:d} tokens")
def given_slow_routers(context, routers, seconds, budget):
    journal = JournalSettings(min_commit_interval_seconds=float(seconds))
    context.scene = Scene(routers, budget, journal)


def add_act(context, act):
    context.scene.acts.append(act)


async def send(fleet, router, request):
    fleet.sent[request.request_id] = request
    fleet.last = request
    return await fleet.ask(router, request)


@given("{routers:d} routers and a budget of {budget:d} tokens")
def given_routers(context, routers, budget):
    context.scene = Scene(routers, budget)


@when('request "{name:w}" is sent to {router:w}')
def send_request(context, name, router):
    async def act(fleet):
        await send(fleet, router, fleet.request(name))

    add_act(context, act)


@when('changed request "{name:w}" is sent to {router:w}')
def send_other_body(context, name, router):
    add_act(context, lambda fleet: send(fleet, router, fleet.request(name, body=b'{"n":2}')))


@when('completion "{name:w}" is sent to {router:w}')
def send_completion(context, name, router):
    async def act(fleet):
        await send(fleet, router, fleet.request(name, kind=RequestKind.COMPLETION))

    add_act(context, act)


@when("{count:d} requests are sent to {router:w}")
def send_many(context, count, router):
    async def act(fleet):
        fleet.many_sent_at = fleet.clock.monotonic()
        names = [f"{router}-{number}" for number in range(count)]
        await asyncio.gather(*(send(fleet, router, fleet.request(name)) for name in names))

    add_act(context, act)


@when("{count:d} further requests are sent to {router:w}")
def send_further(context, count, router):
    async def act(fleet):
        names = [f"further-{number}" for number in range(count)]
        await asyncio.gather(*(send(fleet, router, fleet.request(name)) for name in names))

    add_act(context, act)


@when("{count:d} requests are sent at once over all routers")
def send_over_all(context, count):
    async def act(fleet):
        rng = random.Random(count)
        routers = list(fleet.applications_by_name)
        requests = [fleet.request(f"q{number}") for number in range(count)]
        await asyncio.gather(*(send(fleet, rng.choice(routers), one) for one in requests))

    add_act(context, act)


@when('request "{name:w}" is under way at {router:w}')
def start_request(context, name, router):
    async def act(fleet):
        request = fleet.request(name, max_output_tokens=6000)
        fleet.task = asyncio.create_task(send(fleet, router, request))
        await fleet.clock.sleep(1)
        assert fleet.answers_by_request[name].text

    add_act(context, act)


@when('unticketed request "{name:w}" is sent to {router:w}')
def send_without_ticket(context, name, router):
    add_act(context, lambda fleet: send(fleet, router, fleet.request(name, idempotent=False)))


@when('ticketed request "{name:w}" of home {home:w} is sent to {router:w}')
def send_to_home(context, name, home, router):
    async def act(fleet):
        ticket = fleet.ticket(router, home)
        await send(fleet, router, fleet.request(name, idempotent=False, ticket=ticket))

    add_act(context, act)


@when('later ticketed request "{name:w}" of home {home:w} is sent to {router:w}')
def send_with_later_ticket(context, name, home, router):
    async def act(fleet):
        await fleet.clock.sleep(1)
        ticket = fleet.ticket(router, home)
        await send(fleet, router, fleet.request(name, idempotent=False, ticket=ticket))

    add_act(context, act)


@when('outage-struck request "{name:w}" of home {home:w} is sent to {router:w}')
def send_in_outage(context, name, home, router):
    async def act(fleet):
        ticket = fleet.ticket(router, home)
        fleet.kv.faults.outage = True
        await fleet.clock.sleep(5)
        await send(fleet, router, fleet.request(name, idempotent=False, ticket=ticket))

    add_act(context, act)


@when('the same copy of request "{name:w}" comes to {router:w} again')
def send_copy(context, name, router):
    add_act(context, lambda fleet: send(fleet, router, fleet.sent[name]))


@when('ticketed request "{name:w}" of the dead home is sent to {router:w}')
def send_to_dead_home(context, name, router):
    async def act(fleet):
        request = fleet.request(name, idempotent=False, ticket=fleet.dead_ticket)
        await send(fleet, router, request)

    add_act(context, act)


@when("{router:w} dies")
def kill(context, router):
    async def act(fleet):
        fleet.dead_ticket = fleet.ticket("r1", router)
        fleet.dead = fleet.applications_by_name[router]
        fleet.dead_incarnation = fleet.dead.blackboard.identity.incarnation
        holding = fleet.dead.accounts.current.allotments.holdings_by_workspace.get(WORKSPACE)
        ledger = holding.ledger if holding else Ledger()
        fleet.dead_tokens = min(ledger.outage_tokens, ledger.available)
        await fleet.kill(router)

    add_act(context, act)


@when("{router:w} dies together with {other:w}")
def kill_two(context, router, other):
    kill(context, router)
    add_act(context, lambda fleet: fleet.kill(other))


@when("{router:w} reaches neither the service nor other routers")
def cut_off(context, router):
    async def act(fleet):
        fleet.cut_off.add(router)
        fleet.connections_by_name[router].faults.outage = True
        await fleet.clock.sleep(5)

    add_act(context, act)


@when("{router:w} dies and its journal is closed")
def kill_and_close(context, router):
    kill(context, router)
    wait(context, 120)


@when("the fleet runs on for {seconds:d} seconds")
def wait(context, seconds):
    add_act(context, lambda fleet: fleet.clock.sleep(seconds))


@when("{router:w} is closed by recovery although it lives")
def close_living(context, router):
    async def act(fleet):
        own = fleet.applications_by_name[router].blackboard.identity.incarnation
        fleet.old_incarnation = own
        fleet.connections_by_name[router].faults.outage = True
        await fleet.clock.sleep(60)
        fleet.connections_by_name[router].faults.outage = False

    add_act(context, act)


@when("{router:w} is stopped")
def stop_router(context, router):
    async def act(fleet):
        fleet.dead_incarnation = fleet.applications_by_name[router].blackboard.identity.incarnation
        await fleet.applications_by_name[router].stop()

    add_act(context, act)


@when("{router:w} dies and all holders of its copies stop before it is recovered")
def stop_holders(context, router):
    async def act(fleet):
        holders = fleet.applications_by_name[router].membership.record.copy_holders
        await fleet.kill(router)
        stopping = [
            asyncio.create_task(application.stop())
            for application in fleet.applications_by_name.values()
            if application.blackboard.identity.incarnation in holders
        ]
        assert len(stopping) == 3
        await fleet.clock.sleep(60)
        fleet.kv.faults.outage = False
        await asyncio.gather(*stopping)
        await fleet.clock.sleep(10)

    add_act(context, act)


@when("{router:w} is closed with {count:d} bills in memory and then stops")
def close_with_bills(context, router, count):
    async def act(fleet):
        accounts = fleet.applications_by_name[router].accounts
        fleet.connections_by_name[router].faults.outage = True
        fleet.old_incarnation = accounts.current.incarnation
        for number in range(count):
            bill = Settle(WORKSPACE, f"b{number}", 7, True, fleet.old_incarnation)
            accounts.current.journal.append(bill)
        accounts.current.journal.fence()
        fleet.connections_by_name[router].faults.outage = False
        await accounts.leave()

    add_act(context, act)


@when("r1 and r2 each believe that the other holds tokens")
def believe_each_other(context):
    async def act(fleet):
        for name in ("r3", "r2", "r1"):
            allotments = fleet.applications_by_name[name].accounts.current.allotments
            (await allotments.reserve(WORKSPACE, "look", 1000)).unwrap()
        for name in ("r1", "r2"):
            allotments = fleet.applications_by_name[name].accounts.current.allotments
            await allotments.reserve(WORKSPACE, "look again", 10**9)
        for name in ("r1", "r2"):
            allotments = fleet.applications_by_name[name].accounts.current.allotments
            ledger = allotments.ledger(WORKSPACE)
            (await allotments.reserve(WORKSPACE, "use", ledger.available)).unwrap()

    add_act(context, act)


@when('request "{name:w}" is sent to r1 and to r2 at once')
def send_to_both(context, name):
    async def act(fleet):
        fleet.cut_off.add("r3")
        request = fleet.request(name)
        async with asyncio.timeout(60):
            await asyncio.gather(*(send(fleet, router, request) for router in ("r1", "r2")))

    add_act(context, act)


@when("{router:w} holds a copy of a dead router and is closed and joins again")
def close_holder(context, router):
    async def act(fleet):
        holder = fleet.applications_by_name[router]
        name = holder.blackboard.identity.incarnation
        copies = (EntryCopy(0, Settle(WORKSPACE, "a", 7, True, DEAD)),)
        reply = holder.copies.hold(HoldRequest(name, DEAD, copies))
        assert reply is HoldReply.HELD
        connection = fleet.connections_by_name["r1"]
        dead = msgspec.json.encode(IncarnationRecord(DEAD, "vm", "z", 1))
        await connection.put_if(incarnation_key(DEAD), dead, 0)
        entry = await connection.get(incarnation_key(name))
        record = msgspec.json.decode(entry.value, type=IncarnationRecord)
        closed = replace(record, closed_by=IncarnationId("other"))
        await connection.put_if(entry.key, msgspec.json.encode(closed), entry.version)
        holder.membership.report_fenced()
        await fleet.clock.sleep(15)
        assert holder.blackboard.identity.incarnation != name
        fleet.holder_record = closed

    add_act(context, act)


@when("{router:w} holds a bill of a router that was retired without asking it")
def hold_forgotten(context, router):
    async def act(fleet):
        holder = fleet.applications_by_name[router]
        name = holder.blackboard.identity.incarnation
        copies = (EntryCopy(0, Settle(WORKSPACE, "a", 7, True, DEAD)),)
        assert holder.copies.hold(HoldRequest(name, DEAD, copies)) is HoldReply.HELD

    add_act(context, act)


@then("that bill is listed once")
def check_forgotten(context):
    async def check(fleet):
        listed = [(bill.request, bill.tokens) for bill in await fleet.bills()]
        assert listed == [("a", 7)], listed

    context.scene.play(check)


@then("r1 learns the copy from r2")
def check_copy_learned(context):
    async def check(fleet):
        asked = fleet.applications_by_name["r1"]
        holder = fleet.holder_record
        dead = IncarnationRecord(DEAD, "vm", "z", 1, copy_holders=(holder.incarnation,))
        case = RecoveryCase(0.0)
        await asked.recovery._evidence.collect_copies(case, dead, (holder,))
        assert case.knows_all(dead) and len(case.copies_by_position) == 1, case

    context.scene.play(check)


class BreakingPeers:
    """The first router breaks off before its first event, the second refuses."""

    async def forward(self, address, request):
        if address == "first":
            raise PeerUnavailableError("broke off", step="forward", peer=address)
        yield Failed(RefusalReason.BUDGET_SPENT, NotRun(NotRunProof.NEVER_SENT))


@when('request "{name:w}" is forwarded to a router that breaks off and to one that refuses')
def forward_to_breaking(context, name):
    async def act(fleet):
        request = fleet.request(name)
        run = RequestRun(RequestKey(WORKSPACE, name), b"")
        members = [Member(f"m{address}", "vm", "z", address, 1) for address in ("first", "second")]
        await Forwarder(BreakingPeers()).forward(run, request, tuple(members))
        fleet.answers_by_request[name] = Answer(failed=run.events[-1])

    add_act(context, act)


@when("{router:w} is stopped with a bound of {seconds:d} seconds")
def stop_bounded(context, router, seconds):
    async def act(fleet):
        application = fleet.applications_by_name[router]
        application.shutdown._settings = ShutdownSettings(max_drain_seconds=float(seconds))
        await application.stop()

    add_act(context, act)


@when("{router:w} loses the service")
def lose_service(context, router):
    async def act(fleet):
        fleet.connections_by_name[router].faults.outage = True
        await fleet.clock.sleep(5)

    add_act(context, act)


@when("{router:w} draws {tokens:d} tokens that it does not need")
def draw_unneeded(context, router, tokens):
    async def act(fleet):
        allotments = fleet.applications_by_name[router].accounts.current.allotments
        result = await allotments.reserve(WORKSPACE, "unneeded", tokens)
        assert result.unwrap() == tokens
        allotments.settle(WORKSPACE, "unneeded", 0)

    add_act(context, act)


@when("{router:w} has seen that and holds none")
def see_record(context, router):
    async def act(fleet):
        allotments = fleet.applications_by_name[router].accounts.current.allotments
        await allotments.reserve(WORKSPACE, "look", 10**9)
        assert allotments.ledger(WORKSPACE).available == 0

    add_act(context, act)


@when("the service goes down")
def start_outage(context):
    async def act(fleet):
        fleet.kv.faults.outage = True
        await fleet.clock.sleep(5)

    add_act(context, act)


@when("the service comes back")
def end_outage(context):
    async def act(fleet):
        fleet.kv.faults.outage = False
        await fleet.clock.sleep(30)

    add_act(context, act)


@when("the operator adds {tokens:d} tokens")
def add_tokens(context, tokens):
    async def act(fleet):
        budgets = fleet.applications_by_name["r1"].budgets
        await budgets.top_up(WORKSPACE, tokens, OperationId("more"))

    add_act(context, act)


@when("the next stream of {router:w} breaks before its first token")
def break_stream(context, router):
    async def act(fleet):
        for engine in fleet.engines_by_id:
            link = fleet.upstreams_by_name[router].link(engine)
            link.stream_faults.append(Break(0))
            break

    add_act(context, act)


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
