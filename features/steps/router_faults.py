"""Steps that end, cut off or stop routers and break what they rely on."""

import asyncio
from dataclasses import replace

import msgspec
from behave import then, when
from fixtures_router_scenes import DEAD, add_act, send

from features.fixtures_routers import WORKSPACE, Answer
from quinceferry_core.copies import EntryCopy, HoldReply, HoldRequest
from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_core.journals import RequestKey, Settle
from quinceferry_core.ledgers import Ledger
from quinceferry_core.membership import IncarnationRecord, Member, incarnation_key
from quinceferry_core.models import IncarnationId, OperationId
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, RefusalReason
from quinceferry_standins.upstream_faults import Break
from quinceferryd.forwards import Forwarder
from quinceferryd.recovery_cases import RecoveryCase
from quinceferryd.runs import RequestRun
from quinceferryd.settings import ShutdownSettings


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
        await accounts.flush_and_retire()

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
        holder.membership.mark_fenced()
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
        assert case.has_all_copies(dead) and len(case.copies_by_position) == 1, case

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
