"""Steps for membership."""

from dataclasses import replace

import msgspec
from behave import given, step, then, when
from fixtures_membership import Fleet

from quinceferry_core.exceptions import KvConflictError
from quinceferry_core.membership import (
    MEMBER_PREFIX,
    AbsenceProof,
    IncarnationRecord,
    absence_proof,
    incarnation_key,
)
from quinceferry_core.models import IncarnationId, VmRecord


@given("a fleet of {count:d} member routers")
def start_fleet(context, count):
    context.fleet = Fleet(context)
    add_routers(context, count)


@given('a fleet whose next write below "{prefix}" loses its answer')
def start_lossy_fleet(context, prefix):
    context.fleet = Fleet(context)
    context.fleet.kv.faults.key_prefix = prefix
    context.fleet.kv.faults.lose_next = 1


@given("a fleet whose key-value service is out")
def start_fleet_in_outage(context):
    context.fleet = Fleet(context)
    context.fleet.kv.faults.outage = True


@step("{count:d} member routers are added")
@step("{count:d} member router is added")
def add_routers(context, count):
    for _ in range(count):
        context.fleet.add_router(f"vm-{len(context.fleet.routers_by_vm) + 1}")
    if not hasattr(context, "first_incarnations_by_vm"):
        context.first_incarnations_by_vm = {}


@step("{seconds:d} fleet seconds pass")
def pass_seconds(context, seconds):
    context.fleet.advance(seconds)
    remember_incarnations(context)


def remember_incarnations(context):
    for vm, router in context.fleet.routers_by_vm.items():
        if router.incarnation:
            context.first_incarnations_by_vm.setdefault(vm, router.incarnation)


@then("every router is serving and sees {count:d} members")
def check_serving(context, count):
    for vm, router in context.fleet.routers_by_vm.items():
        state = router.blackboard.state.value
        seen = sorted(router.blackboard.members_by_incarnation)
        assert state == "serving", (vm, state)
        assert len(seen) == count, (vm, seen)


@then("every router is serving and sees {count:d} members at each of {seconds:d} fleet seconds")
def check_serving_throughout(context, count, seconds):
    for _ in range(seconds):
        context.fleet.advance(1)
        check_serving(context, count)


@then("no two incarnations share a fencing number")
def check_fencing_numbers(context):
    numbers = [record.fencing for record in context.fleet.run(context.fleet.read_records())]
    assert len(numbers) == len(context.fleet.routers_by_vm), numbers
    assert len(set(numbers)) == len(numbers), numbers


@then("the fleet holds {count:d} incarnation records")
def check_record_count(context, count):
    records = context.fleet.run(context.fleet.read_records())
    assert len(records) == count, records


@when('router "{vm}" is paused for {seconds:d} fleet seconds')
def pause_router(context, vm, seconds):
    context.fleet.routers_by_vm[vm].clock.pause()
    context.fleet.advance(seconds)


@when('router "{vm}" resumes and {seconds:d} fleet seconds pass')
def resume_router(context, vm, seconds):
    context.fleet.routers_by_vm[vm].clock.resume()
    context.fleet.advance(seconds)


@when('router "{vm}" is cut off for {seconds:d} fleet seconds')
def cut_off_router(context, vm, seconds):
    context.fleet.routers_by_vm[vm].kv.faults.outage = True
    context.fleet.advance(seconds)


@when('router "{vm}" is reconnected and {seconds:d} fleet seconds pass')
def reconnect_router(context, vm, seconds):
    context.fleet.routers_by_vm[vm].kv.faults.outage = False
    context.fleet.advance(seconds)


@when('router "{vm}" ends, its record is removed and {seconds:d} fleet seconds pass')
def remove_router(context, vm, seconds):
    fleet = context.fleet
    router = fleet.routers_by_vm[vm]
    fleet.run(router.kill())
    key = f"{MEMBER_PREFIX}{router.incarnation}"
    entry = fleet.run(fleet.kv.get(key))
    fleet.run(fleet.kv.delete_if(key, entry.version))
    fleet.advance(seconds)


@when("the key-value service is out for {seconds:d} fleet seconds")
def cut_off_everyone(context, seconds):
    context.fleet.kv.faults.outage = True
    context.fleet.advance(seconds)
    context.fleet.kv.faults.outage = False


@when("the key-value service returns and {seconds:d} fleet seconds pass")
def end_outage(context, seconds):
    context.fleet.kv.faults.outage = False
    context.fleet.advance(seconds)


@when('the incarnation of router "{vm}" is closed by router "{closer}"')
def close_incarnation(context, vm, closer):
    incarnation = context.first_incarnations_by_vm[vm]
    context.fleet.run(context.fleet.close_incarnation(incarnation, closer))


@when('router "{closer}" prepares to close the incarnation of router "{vm}"')
def prepare_close(context, closer, vm):
    key = incarnation_key(context.first_incarnations_by_vm[vm])
    context.prepared = context.fleet.run(context.fleet.kv.get(key))


@then("the prepared close fails")
def check_close_fails(context):
    entry = context.prepared
    record = msgspec.json.decode(entry.value, type=IncarnationRecord)
    value = msgspec.json.encode(replace(record, closed_by=IncarnationId("vm-2-2")))
    try:
        context.fleet.run(context.fleet.kv.put_if(entry.key, value, entry.version))
    except KvConflictError:
        return
    raise AssertionError("the close took effect")


@then('router "{vm}" sees {count:d} members')
def check_member_count(context, vm, count):
    seen = sorted(context.fleet.routers_by_vm[vm].blackboard.members_by_incarnation)
    assert len(seen) == count, seen


@then('router "{vm}" is in state "{state}"')
def check_state(context, vm, state):
    actual = context.fleet.routers_by_vm[vm].blackboard.state.value
    assert actual == state, actual


@then('router "{vm}" serves under its first incarnation')
def check_same_incarnation(context, vm):
    router = context.fleet.routers_by_vm[vm]
    assert router.incarnation == context.first_incarnations_by_vm[vm], router.incarnation
    assert router.membership.leases_lost > 0


@then('router "{vm}" gave up its first incarnation')
def check_new_incarnation(context, vm):
    router = context.fleet.routers_by_vm[vm]
    first = context.first_incarnations_by_vm[vm]
    assert router.fenced_incarnations == [first], router.fenced_incarnations
    assert router.incarnation not in ("", first), router.incarnation


@when("call counts are taken over {seconds:d} fleet seconds")
def count_calls(context, seconds):
    before = context.fleet.kv.total_calls_by_kind.copy()
    context.fleet.advance(seconds)
    context.calls_by_kind = context.fleet.kv.total_calls_by_kind - before


@then('there were no writes below "{first}" or "{second}"')
def check_no_writes(context, first, second):
    writes = {
        kind: count
        for kind, count in context.calls_by_kind.items()
        if kind.purpose in (first, second) and kind.verb == "put_if"
    }
    assert not writes, writes


@then("there were at most {limit:d} renewals of leases")
def check_renewals(context, limit):
    renewals = sum(n for kind, n in context.calls_by_kind.items() if kind.verb == "keep_alive")
    assert 0 < renewals <= limit, renewals


@given('a router "{vm}" whose VM is not listed')
def add_unlisted_router(context, vm):
    context.fleet.add_router(vm, listed=False)
    context.fleet.advance(10)
    remember_incarnations(context)


@when(
    'router "{vm}" is killed and {seconds:d} fleet seconds pass under observation by "{observer}"'
)
def kill_and_observe(context, vm, seconds, observer):
    context.fleet.run(context.fleet.routers_by_vm[vm].kill())
    observe(context, observer, seconds)


@when('the VM of router "{vm}" ends')
def end_vm(context, vm):
    context.fleet.run(context.fleet.routers_by_vm[vm].kill())
    context.fleet.call(context.fleet.vm_list.remove, vm)


@when('router "{observer}" observes for {seconds:d} fleet seconds')
def observe(context, observer, seconds):
    for _ in range(seconds):
        context.fleet.advance(1)
        judge_all(context, observer)


def judge_all(context, observer):
    """Return the incarnations that an observer takes for gone, by its VM list."""
    vms = context.fleet.routers_by_vm[observer].vms
    records = context.fleet.run(context.fleet.read_records())
    return {record.vm for record in records if context.fleet.call(vms.is_terminated, record)}


@when('the VM list drops "{vm}" for {seconds:d} fleet seconds')
def drop_from_list(context, vm, seconds):
    zone = context.fleet.routers_by_vm[vm].blackboard.identity.zone
    judge_all(context, "vm-1")
    context.fleet.call(context.fleet.vm_list.remove, vm)
    context.fleet.advance(seconds)
    context.fleet.call(context.fleet.vm_list.add, VmRecord(vm, zone))


@then('router "{observer}" has no proof that "{vm}" is gone')
def check_not_gone(context, observer, vm):
    assert vm not in judge_all(context, observer)


@then('router "{observer}" has proof that "{vm}" is gone')
def check_gone(context, observer, vm):
    gone = judge_all(context, observer)
    assert gone == {vm}, gone


@when('router "{vm}" is killed and started again on the same address')
def restart_process(context, vm):
    fleet = context.fleet
    old = fleet.routers_by_vm[vm]
    fleet.run(old.kill())
    seed = int(old.blackboard.identity.address.split(":")[0].rpartition(".")[2])
    fleet.routers_by_vm[vm] = fleet.router_class(fleet, vm, seed)
    fleet.run(fleet.routers_by_vm[vm].start())


@when('router "{vm}" reports that it listens and {seconds:d} fleet seconds pass')
def mark_listening(context, vm, seconds):
    context.fleet.routers_by_vm[vm].membership.mark_listening()
    context.fleet.advance(seconds)


def proof_for(context, vm):
    first = context.first_incarnations_by_vm[vm]
    records = context.fleet.run(context.fleet.read_records())
    subject = next(record for record in records if record.incarnation == first)
    return absence_proof(subject, tuple(records), vm_terminated=False)


@then('the earlier incarnation of "{vm}" is not proven absent')
def check_not_superseded(context, vm):
    proof = proof_for(context, vm)
    assert proof is None, proof


@then('the earlier incarnation of "{vm}" is proven superseded')
def check_superseded(context, vm):
    proof = proof_for(context, vm)
    assert proof is AbsenceProof.SUPERSEDED, proof
