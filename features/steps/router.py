"""Steps for whole routers."""

import asyncio
import random

from behave import given, when
from fixtures_router_scenes import Scene, add_act, send

from quinceferry_core.models import RequestKind
from quinceferryd.settings import JournalSettings


@given("{routers:d} routers that commit each {seconds:d} seconds and a budget of {budget:d} tokens")
def given_slow_routers(context, routers, seconds, budget):
    journal = JournalSettings(min_commit_interval_seconds=float(seconds))
    context.scene = Scene(routers, budget, journal)


@given("{routers:d} routers and a budget of {budget:d} tokens")
def given_routers(context, routers, budget):
    context.scene = Scene(routers, budget)


@when('request "{name:w}" is sent to {router:w}')
def send_request(context, name, router):
    async def act(fleet):
        await send(fleet, router, fleet.request(name))

    add_act(context, act)


@when('changed request "{name:w}" is sent to {router:w}')
def send_other_body(context, name, router):
    add_act(context, lambda fleet: send(fleet, router, fleet.request(name, body=b'{"n":2}')))


@when('completion "{name:w}" is sent to {router:w}')
def send_completion(context, name, router):
    async def act(fleet):
        await send(fleet, router, fleet.request(name, kind=RequestKind.COMPLETION))

    add_act(context, act)


@when("{count:d} requests are sent to {router:w}")
def send_many(context, count, router):
    async def act(fleet):
        fleet.many_sent_at = fleet.clock.monotonic()
        names = [f"{router}-{number}" for number in range(count)]
        await asyncio.gather(*(send(fleet, router, fleet.request(name)) for name in names))

    add_act(context, act)


@when("{count:d} further requests are sent to {router:w}")
def send_further(context, count, router):
    async def act(fleet):
        names = [f"further-{number}" for number in range(count)]
        await asyncio.gather(*(send(fleet, router, fleet.request(name)) for name in names))

    add_act(context, act)


@when("{count:d} requests are sent at once over all routers")
def send_over_all(context, count):
    async def act(fleet):
        rng = random.Random(count)
        routers = list(fleet.applications_by_name)
        requests = [fleet.request(f"q{number}") for number in range(count)]
        await asyncio.gather(*(send(fleet, rng.choice(routers), one) for one in requests))

    add_act(context, act)


@when('request "{name:w}" is under way at {router:w}')
def start_request(context, name, router):
    async def act(fleet):
        request = fleet.request(name, max_output_tokens=6000)
        fleet.task = asyncio.create_task(send(fleet, router, request))
        await fleet.clock.sleep(1)
        assert fleet.answers_by_request[name].text

    add_act(context, act)


@when('unticketed request "{name:w}" is sent to {router:w}')
def send_without_ticket(context, name, router):
    add_act(context, lambda fleet: send(fleet, router, fleet.request(name, idempotent=False)))


@when('ticketed request "{name:w}" of home {home:w} is sent to {router:w}')
def send_to_home(context, name, home, router):
    async def act(fleet):
        ticket = fleet.ticket(router, home)
        await send(fleet, router, fleet.request(name, idempotent=False, ticket=ticket))

    add_act(context, act)


@when('later ticketed request "{name:w}" of home {home:w} is sent to {router:w}')
def send_with_later_ticket(context, name, home, router):
    async def act(fleet):
        await fleet.clock.sleep(1)
        ticket = fleet.ticket(router, home)
        await send(fleet, router, fleet.request(name, idempotent=False, ticket=ticket))

    add_act(context, act)


@when('outage-struck request "{name:w}" of home {home:w} is sent to {router:w}')
def send_in_outage(context, name, home, router):
    async def act(fleet):
        ticket = fleet.ticket(router, home)
        fleet.kv.faults.outage = True
        await fleet.clock.sleep(5)
        await send(fleet, router, fleet.request(name, idempotent=False, ticket=ticket))

    add_act(context, act)


@when('the same copy of request "{name:w}" comes to {router:w} again')
def send_copy(context, name, router):
    add_act(context, lambda fleet: send(fleet, router, fleet.sent[name]))


@when('ticketed request "{name:w}" of the dead home is sent to {router:w}')
def send_to_dead_home(context, name, router):
    async def act(fleet):
        request = fleet.request(name, idempotent=False, ticket=fleet.dead_ticket)
        await send(fleet, router, request)

    add_act(context, act)
