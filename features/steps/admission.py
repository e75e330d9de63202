"""Steps for bounded queues and early refusal."""

import asyncio

from behave import given, then, when
from fixtures_admission import Fleet
from fixtures_routing import request

from quinceferry_core.models import Priority, WorkspaceId
from quinceferry_core.outcomes import NotRun, NotRunProof
from quinceferry_core.queues import FairQueue, QueueEntry
from quinceferry_core.retries import BURST_RETRIES, RetryBudget
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferryd.admission import Admission, Admitted
from quinceferryd.choices import Availability
from quinceferryd.settings import RoutingSettings


class _Gate:
    """Places requests only while it has places; stands for the upstreams."""

    def __init__(self) -> None:
        self.places = 0

    def is_long(self, wanted):
        return False

    def record_sent(self, wanted, upstream):
        self.places -= 1

    def record_ended(self, wanted, upstream):
        self.places += 1

    def availability(self, wanted):
        return Availability([], [self] if self.places > 0 else [], 1.0)

    def choose_with_free_slots(self, wanted, hashes, availability, *, allow_cache_miss):
        return self if availability.with_free_slots else None

    id = "gate"


def _admission(**settings):
    gate = _Gate()
    return gate, Admission(gate, gate, VirtualClock(), RoutingSettings(**settings))


async def _fill(admission, count, priority=Priority.NORMAL, workspaces=4):
    tasks = []
    for number in range(count):
        wanted = request(
            f"w{number}",
            prompt="?",
            workspace=f"w{number % workspaces}",
            priority=priority,
        )
        tasks.append(asyncio.create_task(admission.admit(wanted, 10)))
    await asyncio.sleep(0)
    return tasks


async def _stop(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@given("an admission queue that moves {rate:d} requests a second and holds {count:d}")
def build_moving(context, rate, count):
    async def fill():
        gate, admission = _admission()
        tasks = await _fill(admission, count + rate * 4)
        for _ in range(rate * 4):
            await asyncio.sleep(1 / rate)
            gate.places = 1
            admission.process_queue()
        assert len(admission) == count, len(admission)
        return admission, tasks

    context.fill = fill


@given("a full admission queue of {count:d} low-priority requests")
def build_full(context, count):
    async def fill():
        gate, admission = _admission(max_queued_requests=count)
        tasks = await _fill(admission, count, Priority.LOW)
        context.gate = gate
        return admission, tasks

    context.fill = fill


@given("an admission queue for {count:d} requests of which one workspace may fill half")
def build_half(context, count):
    async def fill():
        _, admission = _admission(max_queued_requests=count)
        return admission, []

    context.fill = fill


@given(
    "a queue with 20 requests of 100 tokens of one workspace "
    "and 5 requests of 400 tokens of another"
)
def build_token_queue(context):
    context.queue = FairQueue(100)
    for number in range(20):
        context.queue.push(_waiting("first", 100, number))
    for number in range(5):
        context.queue.push(_waiting("second", 400, number))


@given("a queue with requests of one workspace due in 30, 10 and 20 seconds")
def build_deadlines(context):
    context.queue = FairQueue(100)
    for deadline in (30, 10, 20):
        context.queue.push(_waiting("first", 1, deadline))


@given("a queue in which high-priority requests always wait and one low-priority request")
def build_starving(context):
    context.queue = FairQueue(100)
    context.queue.push(_waiting("first", 1, 0, Priority.LOW))
    for number in range(40):
        context.queue.push(_waiting("first", 1, number, Priority.HIGH))


def _waiting(workspace, tokens, deadline, priority=Priority.NORMAL):
    return QueueEntry(None, WorkspaceId(workspace), priority, tokens, float(deadline), 0.0)


@given("a lone engine with all slots taken and one caller waiting")
def build_taken(context):
    context.fleet = Fleet.build(1, 1)

    async def work():
        scheduler = context.fleet.routers[0].scheduler
        permits = []
        for number in range(100):
            entering = asyncio.create_task(scheduler.admit(request(f"r{number}"), 1))
            await asyncio.sleep(0)
            if not entering.done():
                break
            permits.append(entering.result().unwrap())
        assert len(permits) > 5 and len(scheduler.admission) == 1
        entering.cancel()
        await asyncio.gather(entering, return_exceptions=True)
        for permit in permits:
            permit.release()
        return scheduler

    context.work = work


@given("a permit of a request that was never dispatched")
def build_permit(context):
    context.fleet = Fleet.build(1, 1)

    async def work():
        scheduler = context.fleet.routers[0].scheduler
        permit = (await scheduler.admit(request(), 1)).unwrap()
        assert scheduler.tracker.in_flight("e0") == 1
        permit.release()
        permit.release()
        return scheduler

    context.work = work


@given("a retry budget of one retry in five requests with its burst used up")
def build_budget(context):
    context.budget = RetryBudget(0.2)
    for _ in range(int(BURST_RETRIES)):
        assert context.budget.try_withdraw()


@when("a request with a deadline of {seconds:d} second arrives")
@when("a request with a deadline of {seconds:d} seconds arrives")
def arrive(context, seconds):
    async def work():
        admission, tasks = await context.fill()
        started = VirtualClock().monotonic()
        wanted = request("late", prompt="?", deadline_seconds=seconds)
        context.refusal = await admission.admit(wanted, 10)
        context.delay = VirtualClock().monotonic() - started
        await _stop(tasks)

    run_virtual(work())


@when("a high-priority request arrives")
def arrive_high(context):
    async def work():
        admission, tasks = await context.fill()
        wanted = request("high", prompt="?", priority=Priority.HIGH)
        high = asyncio.create_task(admission.admit(wanted, 10))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        context.refused = [task.result() for task in tasks if task.done()]
        context.gate.places = 1
        admission.process_queue()
        await asyncio.sleep(0)
        context.high = high.result() if high.done() else None
        await _stop(tasks)

    run_virtual(work())


@when("that workspace sends {count:d} requests")
def fill_half(context, count):
    async def work():
        admission, _ = await context.fill()
        tasks = await _fill(admission, count, workspaces=1)
        await asyncio.sleep(0)
        context.refused = [task.result() for task in tasks if task.done()]
        other = request("other", prompt="?", workspace="club")
        entering = asyncio.create_task(admission.admit(other, 10))
        await asyncio.sleep(0)
        context.other_waits = not entering.done()
        await _stop([*tasks, entering])

    run_virtual(work())


@when("{count:d} requests leave")
def depart(context, count):
    context.left = [_depart(context.queue) for _ in range(count)]


def _depart(queue):
    (waiting,) = queue.peek(1)
    queue.dispatch(waiting)
    return waiting


@when("the waiting caller leaves and the slots come free")
@when("its holder leaves twice")
def run_work(context):
    context.scheduler = context.fleet.run(context.work)


@when("{count:d} requests are counted")
def count_requests(context, count):
    for _ in range(count):
        context.budget.deposit()


@then("it is refused with {reason} without any delay")
def check_refused(context, reason):
    assert context.refusal.reason.value == reason, context.refusal
    assert context.delay == 0.0


@then("the refusal says that it was never sent and when to retry")
def check_truth(context):
    assert context.refusal.outcome == NotRun(NotRunProof.NEVER_SENT)
    assert 1.0 <= context.refusal.retry_after_seconds <= 60.0


@then("one low-priority request is refused with queue_full")
def check_evicted(context):
    assert [refusal.reason.value for refusal in context.refused] == ["queue_full"]


@then("the high-priority request leaves the queue first")
def check_high(context):
    assert isinstance(context.high, Admitted), context.high


@then("{count:d} of them are refused with queue_full")
def check_half(context, count):
    assert [refusal.reason.value for refusal in context.refused] == ["queue_full"] * count


@then("a request of another workspace may wait")
def check_other(context):
    assert context.other_waits


@then("between {least:d} and {most:d} of them are of the first workspace")
def check_shares(context, least, most):
    first = sum(waiting.workspace == "first" for waiting in context.left)
    assert least <= first <= most, first


@then("they leave in the order 10, 20, 30")
def check_order(context):
    assert [_depart(context.queue).deadline for _ in range(3)] == [10, 20, 30]


@then("the low-priority request is among them")
def check_not_starved(context):
    assert any(waiting.priority is Priority.LOW for waiting in context.left)


@then("nothing waits and nothing is in flight")
def check_nothing(context):
    assert len(context.scheduler.admission) == 0
    assert context.scheduler.tracker.in_flight("e0") == 0


@then("{count:d} retries are allowed and the fifth is denied")
def check_budget(context, count):
    assert [context.budget.try_withdraw() for _ in range(count + 1)] == [True] * count + [False]
