"""Steps for background tasks of a gateway that fail, on stand-ins of the users' platform."""

import asyncio
import inspect

from behave import given, then, when

from features.fixtures_gateway import Scene, until
from quinceferry_gateway import Metrics
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.fleet.gossip import Gossip
from quinceferry_gateway.holder import TokenHolder
from quinceferry_gateway.logs import log
from quinceferry_platform.store import PlatformStore

OWNERS = {
    item.__name__: item for item in (PlatformStore, TokenHolder, Gossip, Metrics, UpstreamStates)
}
RETURNING = {"quarantine"}
"""Tasks that end when they have done their work."""


@given('a gateway of which the task "{task}" fails once in "{call}"')
def given_failing(context, task, call):
    owner_name, _, name = call.partition(".")
    owner = OWNERS[owner_name]
    original = getattr(owner, name)
    context.task_name, context.failures, context.log_events = task, [], []

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
    write = log.failure
    log.failure = lambda event, **fields: context.log_events.append((event, fields.get("task")))
    context.add_cleanup(setattr, log, "failure", write)
    context.tasks_scene = Scene()
    context.tasks_scene.add_upstream("llm-1", "llm")


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
