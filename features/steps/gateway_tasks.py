"""Steps for background tasks of a gateway that fail, on stand-ins of the users' platform."""

import asyncio
import inspect

from behave import given, then, when

from features.fixtures_gateway import Scene, until
from quinceferry_gateway import Metrics
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.fleet.gossip import Gossip
from quinceferry_gateway.holder_accounts import HolderAccounts
from quinceferry_gateway.logs import log
from quinceferry_platform.store import PlatformStore
from quinceferry_standins.managed_upstream import Answered

OWNERS = {
    item.__name__: item for item in (PlatformStore, HolderAccounts, Gossip, Metrics, UpstreamStates)
}
MEMBER = '{"incarnation": "x-1", "vm": "x", "zone": "z", "peer_address": %s, "caller_address": %s}'
RECORDS_BY_FAULT = {
    "deep JSON": '{"other": %s}' % ("[" * 5_000 + "]" * 5_000),
    "a peer without a port": MEMBER % ('"127.0.0.1"', '"127.0.0.1:9"'),
    "a peer outside ASCII": MEMBER % ('"caf\u00e9:9"', '"127.0.0.1:9"'),
    "an end in the year 1": '{"content": "x", "ends_at": "0001-01-01T00:00:00"}',
}
SERVED_SECONDS = 2.0
"""Time in which each gateway sends digests to all members."""
RETURNING = {"quarantine"}
"""Tasks that end when they have done their work."""


@given('a gateway of which the task "{task}" fails once in "{call}"')
def given_failing(context, task, call):
    owner_name, _, name = call.partition(".")
    owner = OWNERS[owner_name]
    original = getattr(owner, name)
    context.task_name, context.failures = task, []

    def fail_once():
        current = asyncio.current_task()
        if not context.failures and current is not None and current.get_name() == task:
            context.failures.append(name)
            raise RuntimeError("a failure that nobody expects")

    if inspect.iscoroutinefunction(original):

        async def failing(*args, **kwargs):
            fail_once()
            return await original(*args, **kwargs)

    else:

        def failing(*args, **kwargs):
            fail_once()
            return original(*args, **kwargs)

    setattr(owner, name, failing)
    context.add_cleanup(setattr, owner, name, original)
    keep_failures(context)
    context.tasks_scene = Scene()
    context.tasks_scene.add_upstream("llm-1", "llm")


def keep_failures(context):
    """Keep the failures that gateways log, and the tasks that they name."""
    context.log_events = []
    write = log.failure
    log.failure = lambda event, **fields: context.log_events.append((event, fields.get("task")))
    context.add_cleanup(setattr, log, "failure", write)


@when("it has served for long enough")
def when_served(context):
    async def watch(scene):
        await until(lambda: ("task.restarted", context.task_name) in context.log_events)
        await until(lambda: context.task_name in RETURNING or is_running(context.task_name))

    context.tasks_scene.play(watch)


def is_running(name):
    """Return whether a task runs."""
    return any(task.get_name() == name and not task.done() for task in asyncio.all_tasks())


@then("the gateway has logged that the task runs again")
def then_logged(context):
    assert context.failures, "the task never made the call"
    assert ("task.restarted", context.task_name) in context.log_events, context.log_events


@then("the task is running")
def then_running(context):
    assert ("task.failed", context.task_name) not in context.log_events, context.log_events


@given("a store in which another writer has left {key} with {fault}")
def given_record(context, key, fault):
    keep_failures(context)
    context.tasks_scene = Scene(gateways=2, records_by_key={key: RECORDS_BY_FAULT[fault].encode()})
    context.tasks_scene.add_upstream("app-1", "app", *[Answered()] * 2)


@when("two gateways start and get requests")
def when_start(context):
    async def act(scene):
        boards = [item.blackboard for item in scene.applications]
        await until(lambda: all(len(board.usable_peers()) == 1 for board in boards))
        await asyncio.sleep(SERVED_SECONDS)
        for gateway in range(2):
            await scene.ask("GET", "/get/a", gateway=gateway)
        context.known_vms = [set(board.members_by_vm) for board in boards]

    context.tasks_scene.play(act)


@then("each gateway serves, knows the other one alone, and has restarted no task")
def then_serves(context):
    assert [answer.status for answer in context.tasks_scene.answers] == [200, 200]
    assert context.known_vms == [{"vm-0", "vm-1"}] * 2, context.known_vms
    ended = [item for item in context.log_events if item[0] in ("task.failed", "task.restarted")]
    assert not ended, ended
