"""Steps for planned stops."""

import asyncio

from behave import given, step, then, when
from fixtures_membership import ZONES
from returns.result import Failure, Success

from quinceferry_core.membership import AbsenceProof, absence_proof
from quinceferry_core.models import VmRecord
from quinceferryd.blackboard import RouterState
from quinceferryd.shutdown import DRAIN_KEY_PREFIX, StopStep

ASK_SECONDS = 0.5
REQUEST_SECONDS = 20.0


@given('router "{vm}" takes {seconds:d} seconds to join the fleet')
def join_slowly(context, vm, seconds):
    fleet = context.fleet
    router = fleet.router_class(fleet, vm, len(fleet.routers_by_vm) + 1)
    fleet.call(fleet.vm_list.add, VmRecord(router.vm, router.blackboard.identity.zone))
    router.membership.add_join_hook(lambda: fleet.clock.sleep(seconds))
    fleet.routers_by_vm[vm] = router
    fleet.run(router.start())
    fleet.advance(1)


@then('router "{vm}" is not ready for callers')
def check_not_ready(context, vm):
    state = context.fleet.routers_by_vm[vm].blackboard.state
    assert state is not RouterState.SERVING, state


@given('router "{vm}" has {count:d} requests in progress')
def hold_requests(context, vm, count):
    context.fleet.routers_by_vm[vm].open_requests = count


@when('the requests of "{vm}" end and {seconds:d} fleet seconds pass')
def end_requests(context, vm, seconds):
    context.fleet.routers_by_vm[vm].open_requests = 0
    context.fleet.advance(seconds)


@then('the stop of "{vm}" has reached "{name}"')
def check_step(context, vm, name):
    reached = context.fleet.routers_by_vm[vm].shutdown.current_step
    assert reached.value == name, reached


@then('the stop of "{vm}" went through every step and cut nothing')
def check_steps(context, vm):
    shutdown = context.fleet.routers_by_vm[vm].shutdown
    assert shutdown.entered_steps == list(StopStep), shutdown.entered_steps
    assert shutdown.aborted_requests == 0


@then('"{vm}" returned its allotments before it left')
def check_returned(context, vm):
    assert context.fleet.routers_by_vm[vm].allotments_returned_at is not None


@then('the record of "{vm}" proves that it left')
def check_left(context, vm):
    records = context.fleet.run(context.fleet.read_records())
    record = next(record for record in records if record.vm == vm)
    assert absence_proof(record, tuple(records), vm_terminated=False) is AbsenceProof.LEFT


@when('an operator at "{at}" drains "{vm}"')
def drain(context, at, vm):
    operators = context.fleet.routers_by_vm[at].operators
    target = context.fleet.routers_by_vm.get(vm)
    incarnation = target.incarnation if target else f"{vm}-1"
    answer = context.fleet.run(operators.drain(incarnation, f"drain-{at}"))
    context.drains = [*getattr(context, "drains", []), answer]


@when('an operator at "{at}" drains "{vm}" as the key-value service forgets its history')
def drain_unseen(context, at, vm):
    drain(context, at, vm)
    context.fleet.kv.forget_history()


@then('router "{vm}" has been told to stop')
def check_requested(context, vm):
    assert context.fleet.routers_by_vm[vm].shutdown.stop_requested.is_set()


@then('the operator at "{at}" sees "{vm}" in step "{name}" with {count:d} requests')
def check_progress(context, at, vm, name, count):
    members = context.fleet.routers_by_vm[at].operators.routers()
    member = next(member for member in members if member.vm == vm)
    assert (member.stop_step, member.open_streams) == (name, count), member


@then("no order to drain is left")
def check_no_order(context):
    assert context.fleet.run(context.fleet.kv.list(DRAIN_KEY_PREFIX)) == []


@then('both drains are answered with the record of "{vm}"')
def check_drains(context, vm):
    assert [type(answer) for answer in context.drains] == [Success, Success], context.drains
    assert {answer.unwrap().vm for answer in context.drains} == {vm}


@then("the drain is refused")
def check_drain_refused(context):
    assert isinstance(context.drains[-1], Failure), context.drains


@when('all writes of "{vm}" are answered again and {seconds:d} fleet seconds pass')
def answer_again(context, vm, seconds):
    context.fleet.routers_by_vm[vm].kv.faults.clear()
    context.fleet.advance(seconds)


@step('the stop of "{vm}" reports {count:d} cut request')
def check_cut(context, vm, count):
    assert context.fleet.routers_by_vm[vm].shutdown.aborted_requests == count


class HeldAnswers:
    """Callers that ask every router again and again, and use each answer until it is stale."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._held = []
        self.refused = []
        self.used = 0

    async def run(self):
        while True:
            await self._fleet.clock.sleep(ASK_SECONDS)
            self._ask()
            self._use()

    def _ask(self):
        now = self._fleet.clock.monotonic()
        for router in self._fleet.routers_by_vm.values():
            if not router.takes_requests:
                continue
            for number in range(5):
                answer = router.addresses.answer(f"ws-{number}", ZONES[number % len(ZONES)])
                first = self._fleet.router_at(answer.addresses[0])
                self._held.append((now + answer.ttl_seconds, router.vm, first))

    def _use(self):
        now = self._fleet.clock.monotonic()
        self._held = [held for held in self._held if held[0] > now]
        for _, asked, named in self._held:
            self.used += 1
            if not named.takes_requests:
                self.refused.append((now, asked, named.vm, named.blackboard.state))


@given("callers keep the answers of every router while they hold")
def hold_answers(context):
    context.held = HeldAnswers(context.fleet)

    async def begin():
        context.holding = asyncio.create_task(context.held.run())

    context.fleet.run(begin())


@when("every router is drained and replaced by a new one, one after another")
def replace_all(context):
    context.fleet.run(replace_each(context))


async def replace_each(context):
    fleet = context.fleet
    context.stopped = list(fleet.routers_by_vm.values())
    for number, old in enumerate(context.stopped):
        await start_replacement(fleet, f"vm-{number + 11}")
        operator = next(r for r in fleet.routers_by_vm.values() if r is not old)
        assert isinstance(await operator.operators.drain(old.incarnation, f"d-{number}"), Success)
        await old.shutdown.stop_requested.wait()
        old.open_requests = 1
        asyncio.get_running_loop().call_later(60 + REQUEST_SECONDS, end_request, old)
        await old.shutdown.run()
        await old.kill()
        del fleet.routers_by_vm[old.vm]


async def start_replacement(fleet, vm):
    router = fleet.router_class(fleet, vm, int(vm.split("-")[1]))
    fleet.vm_list.add(VmRecord(router.vm, router.blackboard.identity.zone))
    fleet.routers_by_vm[vm] = router
    await router.start()
    await fleet.clock.sleep(5)


def end_request(router):
    router.open_requests = 0


@then("every router named in an answer took requests while the answer held")
def check_nothing_refused(context):
    assert not context.held.refused, context.held.refused[:3]
    assert context.held.used > 1000
    assert {router.shutdown.current_step for router in context.stopped} == {StopStep.DONE}


@then("no stop cut a request")
def check_nothing_cut(context):
    assert [router.shutdown.aborted_requests for router in context.stopped] == [0, 0, 0]
