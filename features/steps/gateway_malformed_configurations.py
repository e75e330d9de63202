"""Steps for configurations with malformed entries."""

import asyncio
import json
import re

from behave import given, then, when

from features.fixtures_gateway import KEY, configuration
from features.steps.gateway import check
from quinceferry_gateway.logs import log

MAX_APPLY_SECONDS = 2.0
"""Time until a new version must be in force."""
CHECK_SECONDS = 0.02


def replaced(document, path, value):
    """Return a document with another value at a path such as ``tenants[0].prepaid``."""
    *parents, last = [int(part) if part.isdigit() else part for part in re.findall(r"\w+", path)]
    target = document
    for part in parents:
        target = target[part]
    if isinstance(target, list) and last == len(target):
        target.append(value)
    else:
        target[last] = value
    return document


def publish(context, document):
    """Publish a document and wait until it must be in force."""

    async def act(scene):
        await scene.publish(document)
        board = scene.applications[0].blackboard
        for _ in range(round(MAX_APPLY_SECONDS / CHECK_SECONDS)):
            if board.configuration.version == document["version"]:
                break
            await asyncio.sleep(CHECK_SECONDS)

    context.gateway.acts.append(act)


@given("its configuration has {path} = {value}")
def given_entry(context, path, value):
    context.gateway.document = replaced(configuration(), path, json.loads(value))


@when("the operators publish version {version:d} without keys, and with {path} = {value}")
def when_revoked(context, version, path, value):
    document = configuration(version)
    document["tenants"][0]["api_keys"] = []
    publish(context, replaced(document, path, json.loads(value)))


@when("the operators publish version {version:d} with {count:d} malformed tenants")
def when_many_malformed(context, version, count):
    malformed = [{"name": f"w-{number}", "api_keys": KEY} for number in range(count)]
    document = configuration(version)
    document["tenants"] += malformed
    _record_failures(context)
    publish(context, document)


@when("the operators publish version {version:d} with {path} = {value}")
def when_published(context, version, path, value):
    publish(context, replaced(configuration(version), path, json.loads(value)))


def _record_failures(context):
    """Record the log lines about failures."""
    context.failures = []
    original = log.failure

    def record(event, **fields):
        context.failures.append((event, fields))
        original(event, **fields)

    log.failure = record
    context.add_cleanup(setattr, log, "failure", original)


@then("at most {most:d} log lines name malformed entries, none of them a key")
def then_logged(context, most):
    check(context)
    lines = [item for item in context.failures if item[0] == "configuration.entry_malformed"]
    assert 0 < len(lines) <= most, lines
    assert all(fields["path"].startswith("$.tenants[") for _, fields in lines), lines
    assert KEY not in str(lines), lines


@then('the gateway counts {count:d} malformed entries of kind "{kind}"')
def then_counted(context, count, kind):
    async def read(scene):
        reply = await scene.fetch(scene.applications[0].settings.listen.metrics, "/metrics")
        context.exposition = reply.body.decode()

    context.gateway.acts.append(read)
    check(context)
    pattern = rf'quinceferry_gateway_malformed_entries{{kind="{kind}"[^}}]*}} (\S+)'
    values = re.findall(pattern, context.exposition)
    assert [float(value) for value in values] == [count], values
