"""Steps for the keys of callers."""

import json

from behave import when

from features.fixtures_gateway import Answer, configuration, until


@when("the operators publish version {version:d} with workspaces {workspaces}")
def when_workspaces(context, version, workspaces):
    _publish(context, configuration(version) | {"tenants": json.loads(workspaces)})


@when("the operators publish version {version:d} with anonymous routes and no keys")
def when_anonymous(context, version):
    document = configuration(version) | {"tenants": []}
    document["routes"] = [route | {"anonymous": True} for route in document["routes"]]
    _publish(context, document)


@when("the operators publish version {version:d} without a list of workspaces")
def when_no_workspaces(context, version):
    document = configuration(version)
    del document["tenants"]
    _publish(context, document)


@when("a request carries the key {key} in UTF-8")
def when_key_sent(context, key):
    async def ask(scene):
        address = scene.applications[0].settings.listen.callers
        headers = [item for item in scene.headers() if item[0] != b"x-quinceferry-credential"]
        headers.append((b"x-quinceferry-credential", key.encode()))
        async with scene.http.open(address, b"GET", b"/get/a", headers) as reply:
            scene.answers.append(Answer(reply.status, dict(reply.headers)))
            async for _ in reply.chunks():
                pass

    context.gateway.acts.append(ask)


def _publish(context, document):
    """Publish a document and wait until it is in force."""

    async def publish(scene):
        await scene.publish(document)
        board = scene.applications[0].blackboard
        await until(lambda: board.configuration.version == document["version"])

    context.gateway.acts.append(publish)
