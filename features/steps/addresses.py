"""Steps for address answers."""

import asyncio

from behave import given, then, when
from fixtures_membership import ZONES

WORKSPACE = "choir"


def first_addresses(context, count, vm="vm-1"):
    """Return the first address for callers of each zone of each workspace."""
    router = context.fleet.routers_by_vm[vm]
    return {
        (f"ws-{number}", zone): context.fleet.call(
            router.addresses.answer, f"ws-{number}", zone
        ).addresses[0]
        for number in range(count)
        for zone in ZONES
    }


def answer(context, vm, workspace=WORKSPACE, zone=""):
    return context.fleet.call(context.fleet.routers_by_vm[vm].addresses.answer, workspace, zone)


def named(context, vm):
    """Return the VMs that a router names to callers of any workspace and zone."""
    answers = [answer(context, vm, f"ws-{n}", zone) for n in range(20) for zone in ZONES]
    addresses = {address for one in answers for address in one.addresses}
    return {context.fleet.router_at(address).vm for address in addresses}


@then("every router gives the same answer to callers of a zone")
def check_same_answers(context):
    for zone in ZONES:
        answers = {answer(context, vm, zone=zone) for vm in context.fleet.routers_by_vm}
        assert len(answers) == 1, answers


@then("the first address of each answer is in the caller's zone")
def check_zone(context):
    for zone in ZONES:
        first = answer(context, "vm-1", zone=zone).addresses[0]
        assert context.fleet.router_at(first).blackboard.identity.zone == zone, first


@then("the callers of one workspace are sent to {count:d} routers in all")
def check_gathered(context, count):
    answers = [answer(context, "vm-1", zone=zone) for zone in (*ZONES, "zone-elsewhere")]
    addresses = {address for one in answers for address in one.addresses}
    assert len(addresses) == count, addresses


@then("of {count:d} workspaces each router is first for between {low:d} and {high:d}")
def check_spread(context, count, low, high):
    firsts = list(first_addresses(context, count).values())
    for router in context.fleet.routers_by_vm.values():
        share = firsts.count(router.blackboard.identity.address) / len(ZONES)
        assert low <= share <= high, (router.vm, share)


@when("answers for {count:d} workspaces are noted")
def note_answers(context, count):
    context.noted = first_addresses(context, count)


@when('router "{vm}" is killed and {seconds:d} fleet seconds pass')
def kill_router(context, vm, seconds):
    context.fleet.run(context.fleet.routers_by_vm[vm].kill())
    context.fleet.advance(seconds)


@then('only workspaces that were sent to "{vm}" are sent elsewhere')
def check_moved(context, vm):
    address = context.fleet.routers_by_vm[vm].blackboard.identity.address
    now = first_addresses(context, len(context.noted) // len(ZONES))
    moved = {key for key, first in context.noted.items() if now[key] != first}
    expected = {key for key, first in context.noted.items() if first == address}
    assert moved == expected and moved, (len(moved), len(expected))


@then("no workspace is sent elsewhere")
def check_not_moved(context):
    assert first_addresses(context, len(context.noted) // len(ZONES)) == context.noted


@then("the ticket of an answer names the router at its first address")
def check_ticket(context):
    for zone in ZONES:
        one = answer(context, "vm-1", zone=zone)
        home = context.fleet.router_at(one.addresses[0])
        assert one.ticket == f"{WORKSPACE} at {home.incarnation}", one


@then('no answer names the earlier incarnation of "{vm}"')
def check_newest_incarnation(context, vm):
    earlier = context.first_incarnations_by_vm[vm]
    router = context.fleet.routers_by_vm[vm]
    tickets = [answer(context, "vm-1", f"ws-{n}", zone).ticket for n in range(20) for zone in ZONES]
    assert not any(ticket.endswith(f" at {earlier}") for ticket in tickets)
    assert any(ticket.endswith(f" at {router.incarnation}") for ticket in tickets)


@when('router "{vm}" begins to stop and {seconds:d} fleet seconds pass')
def begin_stop(context, vm, seconds):
    router = context.fleet.routers_by_vm[vm]

    async def begin():
        context.stop_task = asyncio.create_task(router.shutdown.run())

    context.fleet.run(begin())
    context.fleet.advance(seconds)


@then('no router names "{vm}"')
def check_named_by_nobody(context, vm):
    for other in context.fleet.routers_by_vm:
        assert vm not in named(context, other), other


@then('router "{vm}" still takes requests')
def check_takes_requests(context, vm):
    assert context.fleet.routers_by_vm[vm].takes_requests


@given("routers answer callers once a second")
def answer_callers(context):
    async def ask_forever():
        while True:
            for router in context.fleet.routers_by_vm.values():
                for number in range(20):
                    router.addresses.answer(f"ws-{number}")
            await context.fleet.clock.sleep(1.0)

    async def begin():
        context.asking = asyncio.create_task(ask_forever())

    context.fleet.run(begin())


@when('the key-value service goes out and router "{vm}" is cut off from its peers')
def partition(context, vm):
    context.fleet.kv.faults.outage = True
    context.fleet.peers_cut_off.add(vm)


@when('router "{vm}" is joined to its peers again and {seconds:d} fleet seconds pass')
def rejoin_peers(context, vm, seconds):
    context.fleet.peers_cut_off.discard(vm)
    context.fleet.advance(seconds)


@then('router "{vm}" does not name "{other}"')
def check_not_named(context, vm, other):
    assert other not in named(context, vm)


@then('router "{vm}" names "{other}"')
def check_named(context, vm, other):
    assert other in named(context, vm), named(context, vm)


@then('router "{vm}" names itself')
def check_names_itself(context, vm):
    assert vm in named(context, vm), named(context, vm)


@then('router "{vm}" answers without an address')
def check_no_address(context, vm):
    assert answer(context, vm).addresses == ()
