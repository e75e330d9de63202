"""Steps for the keys of callers."""

import json

from behave import when

from features.fixtures_gateway import configuration, until


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


def _publish(context, document):
    """Publish a document and wait until it is in force."""

    async def publish(scene):
        await scene.publish(document)
        board = scene.applications[0].blackboard
        await until(lambda: board.configuration.version == document["version"])

    context.gateway.acts.append(publish)
