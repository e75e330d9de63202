"""Steps for upstreams that announce in their answers that they leave."""

import asyncio
import itertools

from behave import then, when

from features.fixtures_gateway import PATIENCE_SECONDS
from quinceferry_standins.managed_upstream import LEAVING

SETTLING_SECONDS = 0.3
"""Time in which the announcement reaches the other gateways."""
HEARTBEAT_SECONDS = 0.2


@when(
    "{name} announces that it leaves, and each gateway gets requests on {target} until one passes "
    "that on"
)
def when_announced(context, name, target):
    async def announce(scene):
        scene.upstreams_by_id[name].leaving = True
        async with asyncio.timeout(PATIENCE_SECONDS):
            for number in itertools.count():
                gateway = number % len(scene.applications)
                answer = await scene.ask("GET", target, gateway=gateway)
                if LEAVING in answer.headers:
                    break
        context.announced_at = asyncio.get_running_loop().time()
        await asyncio.sleep(SETTLING_SECONDS)

    context.fleet.acts.append(announce)


@when("the list goes on to name {name} as ready for {seconds:d} second")
def when_still_listed(context, name, seconds):
    async def renew(scene):
        for number in range(round(seconds / HEARTBEAT_SECONDS)):
            await scene.register_one(name, seq=number + 2)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    context.fleet.acts.append(renew)


@when("the store of the fleet is away")
def when_store_away(context):
    def stop(scene):
        scene.store.faults.status = 503

    context.fleet.acts.append(stop)


@then("{name} got no request after the announcement had been passed on")
def then_left_alone(context, name):
    context.fleet.play()
    counted_from = context.announced_at + SETTLING_SECONDS
    late = [at for at in context.fleet.upstreams_by_id[name].arrived_at if at > counted_from]
    assert not late, (len(late), [round(at - context.announced_at, 3) for at in late[:5]])
