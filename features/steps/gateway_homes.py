"""Steps for requests that may run in some regions only."""

import json
import random

from behave import given, then, when

from features.fixtures_gateway import Scene, configuration
from features.steps.gateway import check, move_upstreams
from quinceferry_gateway.blackboard import Blackboard, Member, Phase
from quinceferry_gateway.fleet_api import caller_addresses
from quinceferry_platform.configurations import decode_configuration
from quinceferry_platform.endpoints import permitted_zones

REGION_BY_ZONE = {"zone-a": "north", "zone-b": "north", "zone-s": "south"}
ZONE_BY_PLACE = {"the north": "zone-b", "the south": "zone-s", "an unknown one": "zone-x"}
DIRECTORY_REGION_BY_ZONE = {"north-a": "north", "south-a": "south"}


@given("a gateway before the services in region north, which knows region south")
def given_gateway(context):
    context.gateway = Scene(region="north", region_by_zone=REGION_BY_ZONE)


@given("upstream {name} is in {place}")
def given_place(context, name, place):
    move_upstreams(context, {name: ZONE_BY_PLACE[place]})


@given("{name} is listed in the south, and {other} in the north")
def given_places(context, name, other):
    south, north = ZONE_BY_PLACE["the south"], ZONE_BY_PLACE["the north"]
    move_upstreams(context, {name: south, other: north})


def homes(text):
    """Return the names in a list with commas, none for the word none."""
    return [] if text == "none" else text.split(",")


@given('the home regions of the route are "{route}", and those of the workspace "{workspace}"')
def given_homes(context, route, workspace):
    document = configuration()
    for item in document["routes"]:
        item["home_regions"] = homes(route)
    document["tenants"][0]["home_regions"] = homes(workspace)
    context.gateway.document = document


@then("the request is counted as {outcome}")
def then_counted(context, outcome):
    async def scrape(scene):
        listen = scene.applications[0].settings.listen
        reply = await scene.fetch(listen.metrics, "/metrics")
        assert f'outcome="{outcome}"' in reply.body.decode(), outcome

    context.gateway.answers.clear()
    check(context, scrape)


@given("gateways in the zones {zones}")
def given_gateways(context, zones):
    members = [Member(f"vm-{zone}-1", f"vm-{zone}", zone, "a:1", zone) for zone in homes(zones)]
    context.board = Blackboard(members[0], phase=Phase.SERVING, upstreams_revision=1)
    context.board.members_by_incarnation = {item.incarnation: item for item in members}


@when("a caller of region {region} asks for an address, and the home region is {home}")
def when_asked(context, region, home):
    document = configuration()
    for item in document["routes"]:
        item["home_regions"] = homes(home)
    context.board.configuration = decode_configuration(json.dumps(document).encode())
    zones = permitted_zones(
        context.board.configuration, "books.example", region, DIRECTORY_REGION_BY_ZONE
    )
    context.named = caller_addresses(context.board, 64, "", random.Random(1), zones)


@then("it is told the addresses of {named}")
def then_named(context, named):
    assert sorted(context.named) == sorted(homes(named)), context.named
