"""Steps for upstreams that announce in their answers that they are leaving."""

import asyncio
import itertools

from behave import then, when

from features.fixtures_gateway import PATIENCE_SECONDS, until
from quinceferry_platform.headers import PlatformDialect
from quinceferry_standins.managed_upstream import LEAVING

SETTLING_SECONDS = 0.3
"""Time after the announcement that is not counted, since it is still spreading."""
HEARTBEAT_SECONDS = 0.2
RESTART_TIME_MILLISECONDS = 1_700_000_000_000


@when(
    "{name} announces that it is leaving, and the gateways get requests on {target} until one "
    "returns the announcement"
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


@when("the list still names {name} as ready for {seconds:d} second")
def when_still_listed(context, name, seconds):
    async def renew(scene):
        for number in range(round(seconds / HEARTBEAT_SECONDS)):
            await scene.register_one(name, seq=number + 2)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    context.fleet.acts.append(renew)


@when("the store of the fleet is away")
def when_store_away(context):
    def fail_store(scene):
        scene.store.faults.status = 503

    context.fleet.acts.append(fail_store)


@then("{name} got no request after the announcement had reached all gateways")
def then_no_requests(context, name):
    context.fleet.play()
    counted_from = context.announced_at + SETTLING_SECONDS
    late = [at for at in context.fleet.upstreams_by_id[name].arrived_at if at > counted_from]
    assert not late, (len(late), [round(at - context.announced_at, 3) for at in late[:5]])


@when("{name} restarts with the same identifier")
def when_restarted(context, name):
    async def restart(scene):
        upstream = scene.upstreams_by_id[name]
        upstream.leaving = False
        context.arrivals_before = len(upstream.arrived_at)
        await scene.register_one(name, born=RESTART_TIME_MILLISECONDS)
        board = scene.applications[0].blackboard
        await until(lambda: board.upstreams_by_id[name].started_at > 0)

    context.fleet.acts.append(restart)


@then("{name} got requests after its restart")
def then_got_requests(context, name):
    context.fleet.play()
    assert len(context.fleet.upstreams_by_id[name].arrived_at) > context.arrivals_before


@when('an answer has the leaving header "{header}"')
@when('an answer has the leaving header ""')
def when_header_decoded(context, header=""):
    context.head = PlatformDialect().decode_answer(200, [(b"Server-Leaving", header.encode())])


@then("the leaving header is {result}")
def then_header_parsed(context, result):
    assert context.head.leaving == (result == "valid"), context.head
    malformed = ("server-leaving",) if result == "malformed" else ()
    assert context.head.malformed_headers == malformed, context.head
