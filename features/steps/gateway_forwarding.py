"""Steps for the promises that requests keep when a gateway forwards them to a peer."""

import asyncio
import json
import re
from collections import deque
from dataclasses import dataclass

from behave import given, then, when

from features.fixtures_gateway import KEY, WORKSPACE, until
from features.steps.gateway import BEHAVIOURS, check
from quinceferry_gateway.answers import REFUSAL_HEADER
from quinceferry_gateway.decisions.planned_stops import PlannedStop
from quinceferry_gateway.forwarding import FORWARDED_HEADER
from quinceferry_standins.managed_upstream import Answered, ManagedUpstream, Streaming, event_bytes

EVENTS = 12
PAUSE_SECONDS = 0.05
ALL_BEHAVIOURS = BEHAVIOURS | {
    "streams 12 events": Streaming(EVENTS, pause_seconds=PAUSE_SECONDS),
    "fails late": Answered(500, b"failed", delay_seconds=0.3),
    "answers 0.3 seconds late": Answered(delay_seconds=0.3),
}
TOKENS = {"x_quinceferry_token_count": "100,400", "x_quinceferry_prompt_prefix": "a:60,b:40"}
"""More output tokens than the streams of these scenarios use."""
FIRST_REQUESTS = 12
"""Requests that find the links cut, enough for one to fail at each upstream."""
UNLIMITED_KEY = "key-of-unlimited"
"""Key of a workspace whose requests use no prepaid tokens."""
RETRY_RATIO, RETRY_SLACK = 0.2, 20
"""Retries per request, and further ones, that the whole fleet may make in these scenarios."""
FORWARDED_METRIC = re.compile(
    r"quinceferry_gateway_forwarded_requests_total\{(?P<labels>.*)\} (?P<count>[0-9.]+)"
)

CRASH_METRICS = ("quinceferry_gateway_upstream_crashes_total", "quinceferry_gateway_quarantine")


class MarkingUpstream(ManagedUpstream):
    """Upstream whose answers carry the header with which gateways refuse forwarded requests."""

    def _announcement_headers(self):
        """Return the header with a refusal after which another gateway is asked."""
        return [(REFUSAL_HEADER, b"stopping")]


@dataclass(slots=True)
class Arrivals:
    """Arrival times of the events of a stream on the event loop's clock."""

    asked_at: float
    event_times: list
    body: bytes = b""


@given("the gateways know each other")
def given_known(context):
    async def meet(scene):
        boards = [item.blackboard for item in scene.applications]
        await until(lambda: all(len(board.usable_members()) == len(boards) for board in boards))

    context.gateway.acts.append(meet)


@given("the answers of upstreams carry the header of refusals by peers")
def given_marking(context):
    upstreams_by_id = context.gateway.upstreams_by_id
    for upstream_id, upstream in upstreams_by_id.items():
        upstreams_by_id[upstream_id] = MarkingUpstream(upstream_id, upstream.script)


@given("gateway 1 reaches no upstream")
def given_cut(context):
    workspaces = context.gateway.document["tenants"]
    workspaces.append({"name": "unlimited", "api_keys": [UNLIMITED_KEY]})

    async def cut(scene):
        scene.cut_links(0, refuses=True)
        board = scene.applications[0].blackboard
        await asyncio.gather(
            *(
                scene.ask("GET", "/get/first", x_quinceferry_request_id=f"first-{number}")
                for number in range(FIRST_REQUESTS)
            )
        )
        await scene.ask("POST", "/ask/first", b"{}", x_quinceferry_credential=UNLIMITED_KEY)
        await until(
            lambda: board.unreachable_services == frozenset(scene.services_by_id.values()),
            lambda: board.unreachable_services,
        )
        forget_requests(scene)

    context.gateway.acts.append(cut)


def forget_requests(scene):
    """Count requests and answers from now on."""
    scene.answers.clear()
    for upstream in scene.upstreams_by_id.values():
        upstream.seen.clear()


@given('from then on each upstream of service {service} "{behaviour}"')
def given_from_then_on(context, service, behaviour):
    def change(scene):
        for upstream_id, upstream in scene.upstreams_by_id.items():
            if scene.services_by_id[upstream_id] == service:
                upstream.script = deque([ALL_BEHAVIOURS[behaviour]])

    context.gateway.acts.append(change)


@given("gateway 1 can't connect to gateway {number:d}")
def given_peer_cut(context, number):
    def cut(scene):
        cut_peer(scene, number - 1)

    context.gateway.acts.append(cut)


def cut_peer(scene, peer, resets=False):
    """Cut the link of gateway 1 to a peer in addition to the others."""
    client = scene.clients[0]
    client.cut |= {scene.applications[peer].settings.listen.peers}
    client.resets = resets


@when("{count:d} requests are sent to gateway 1 for {target}")
@when("{count:d} request is sent to gateway 1 for {target}")
def when_sent(context, count, target):
    method = "GET" if target.startswith("/get/") else "POST"

    async def send(scene):
        for _ in range(count):
            await scene.ask(method, target, b"body")

    context.gateway.acts.append(send)


@when("{count:d} requests are sent together to gateway 1 for {target}")
def when_sent_together(context, count, target):
    async def send(scene):
        await asyncio.gather(
            *(
                scene.ask("GET", target, **{"x_quinceferry_request_id": f"t{number}"})
                for number in range(count)
            )
        )

    context.gateway.acts.append(send)


@when("a stream of {target} is asked for at gateway 1")
def when_streamed(context, target):
    context.gateway.acts.append(lambda scene: scene.ask("POST", target, b"{}", **TOKENS))


@when("gateway 1 begins to forward a stream of {target}")
def when_begins(context, target):
    async def begin(scene):
        scene.carried = asyncio.create_task(scene.ask("POST", target, b"{}", **TOKENS))
        context.add_cleanup(scene.carried.cancel)
        await until(lambda: scene.runs == 1, lambda: scene.answers)
        await asyncio.sleep(3 * PAUSE_SECONDS)

    context.gateway.acts.append(begin)


@when("gateway 1 begins to forward a request for {target}")
def when_begins_request(context, target):
    async def begin(scene):
        scene.carried = asyncio.create_task(scene.ask("POST", target, b"body"))
        context.add_cleanup(scene.carried.cancel)
        await until(lambda: scene.runs == 1, lambda: scene.answers)

    context.gateway.acts.append(begin)


@when("the connection to the peer that carries it is reset")
def when_hop_reset(context):
    context.gateway.acts.append(lambda scene: cut_peer(scene, carrier(scene), resets=True))


def carrier(scene):
    """Return the number of the only peer that has a request in progress."""
    (number,) = [
        number
        for number, application in enumerate(scene.applications)
        if number and application.caller_api.in_progress
    ]
    return number


@when("the peer that carries it is told to stop")
def when_carrier_stops(context):
    context.gateway.acts.append(lambda scene: scene.request_stop(carrier(scene)))


@when("the stream has ended")
@when("the request has ended")
def when_ended(context):
    async def wait(scene):
        await scene.carried

    context.gateway.acts.append(wait)


@when("its caller leaves")
def when_leaves(context):
    async def leave(scene):
        scene.carried.cancel()
        await asyncio.gather(scene.carried, return_exceptions=True)
        scene.left_at = asyncio.get_running_loop().time()
        await until(lambda: sum(item.closed_by_peer for item in scene.upstreams_by_id.values()))
        scene.closed_after_seconds = asyncio.get_running_loop().time() - scene.left_at

    context.gateway.acts.append(leave)


@when("the arrivals of a stream of {target} are observed at gateway 1")
def when_observed(context, target):
    async def observe(scene):
        loop = asyncio.get_running_loop()
        headers = [*scene.headers(**TOKENS), (b"content-length", b"2")]
        address = scene.applications[0].settings.listen.callers
        scene.arrivals = arrivals = Arrivals(loop.time(), [])
        opened = scene.http.open(address, b"POST", target.encode(), headers, b"{}")
        async with opened as reply:
            async for chunk in reply.chunks():
                arrivals.body += chunk
                count = arrivals.body.count(b"\n\n") - len(arrivals.event_times)
                arrivals.event_times += [loop.time()] * count

    context.gateway.acts.append(observe)


@when("gateway 1 loses its links while an upstream runs a request for {target}")
def when_lost_meanwhile(context, target):
    async def lose(scene):
        asking = asyncio.create_task(scene.ask("GET", target))
        await until(lambda: scene.runs == 1)
        scene.cut_links(0, refuses=True, resets=True)
        await asking

    context.gateway.acts.append(lose)


@when("gateway 1 loses its links, and its open connections are reset")
def when_reset(context):
    async def lose(scene):
        scene.cut_links(0, refuses=True, resets=True)
        await asyncio.gather(*scene.running)

    context.gateway.acts.append(lose)


@when("gateway 1 streams the same content of {target} {count:d} times at once")
def when_same_content(context, target, count):
    async def begin(scene):
        ids = [f"same-{number}" for number in range(count)]
        scene.running = [
            asyncio.create_task(
                scene.ask("POST", target, b"{}", x_quinceferry_request_id=name, **TOKENS)
            )
            for name in ids
        ]
        await until(lambda: scene.runs == count)
        await asyncio.sleep(2 * PAUSE_SECONDS)

    context.gateway.acts.append(begin)


@when("the links of gateway 1 heal, and it reaches all services within {seconds:g} seconds")
def when_heal(context, seconds):
    async def heal(scene):
        scene.heal_links(0)
        board = scene.applications[0].blackboard
        async with asyncio.timeout(seconds):
            await until(lambda: not board.unreachable_services)
        forget_requests(scene)
        scene.served_before = await forwarded_requests(scene)

    context.gateway.acts.append(heal)


@when("gateway {number:d} is about to end, which gateway 1 has not learned")
def when_about_to_end(context, number):
    def stop(scene):
        application = scene.applications[number - 1]
        settings = application.settings.stop
        began_at = asyncio.get_running_loop().time() - settings.grace_seconds
        application.caller_api.begin_stop(
            PlannedStop.starting_between(began_at, began_at, settings)
        )

    context.gateway.acts.append(stop)


@when('a caller sends "{name}: {value}" with a request for {target}')
def when_sends(context, name, value, target):
    changes = {name.replace("-", "_"): value}
    context.gateway.acts.append(lambda scene: scene.ask("POST", target, b"{}", **TOKENS | changes))


@when("a caller sends the mark of forwarded requests to the {listener} address of gateway 1")
def when_marked(context, listener):
    async def send(scene):
        address = getattr(scene.applications[0].settings.listen, listener)
        headers = [*scene.headers(**TOKENS), (b"content-length", b"2"), (FORWARDED_HEADER, b"9")]
        scene.reply = await scene.http.fetch(
            address, b"POST", b"/draft/a", headers, b"{}", timeout_seconds=3.0
        )

    context.gateway.acts.append(send)


async def metrics(scene):
    """Return the metrics of each gateway."""
    replies = [
        await scene.fetch(application.settings.listen.metrics, "/metrics")
        for application in scene.applications
    ]
    return [reply.body.decode() for reply in replies]


async def forwarded_requests(scene, outcome=None, direction="served"):
    """Return how many forwarded requests all gateways count, by outcome if one is given."""
    total = 0.0
    for text in await metrics(scene):
        for match in FORWARDED_METRIC.finditer(text):
            is_counted = outcome is None or f'outcome="{outcome}"' in match["labels"]
            if f'direction="{direction}"' in match["labels"] and is_counted:
                total += float(match["count"])
    return total


@then("all callers are answered {status:d}")
def then_all_answered(context, status):
    check(context)
    answers = context.gateway.answers
    assert answers and all(item.whole for item in answers), answers
    assert {item.status for item in answers} == {status}, answers


@then("upstreams ran {count:d} request in all")
@then("upstreams ran {count:d} requests in all")
def then_ran(context, count):
    assert context.gateway.runs == count, context.gateway.runs


@then("each request ran once")
def then_each_once(context):
    scene = context.gateway
    ids = [
        item.headers[b"x-quinceferry-request-id"]
        for upstream in scene.upstreams_by_id.values()
        for item in upstream.seen
    ]
    assert len(ids) == len(set(ids)) == len(scene.answers), (ids, scene.answers)


@then("upstreams ran a request at most {count:d} times")
def then_ran_at_most(context, count):
    check(context)
    assert 1 <= context.gateway.runs <= count, (context.gateway.runs, context.gateway.answers)


@then("the retries are within the budget of the fleet")
def then_within_budget(context):
    check(context)
    scene = context.gateway
    requests = len(scene.answers)
    retries = scene.runs - requests
    assert 0 < retries <= RETRY_RATIO * requests + RETRY_SLACK < requests, (retries, requests)


@then("the caller at gateway 1 gets all {count:d} events in order, each once")
def then_all_events(context, count):
    check(context)
    answer = context.gateway.answers[-1]
    assert answer.whole, answer
    assert answer.body == b"".join(event_bytes(number) for number in range(1, count + 1)), answer


@then("the run at the upstream has ended {seconds:g} seconds later")
def then_ended(context, seconds):
    check(context)
    assert context.gateway.closed_after_seconds <= seconds, context.gateway.closed_after_seconds


@then("no event arrives more than {seconds:g} seconds after it was made")
def then_at_once(context, seconds):
    check(context)
    arrivals = context.gateway.arrivals
    assert len(arrivals.event_times) == EVENTS, arrivals
    assert arrivals.event_times[0] - arrivals.asked_at <= seconds, arrivals
    gaps = [
        later - earlier
        for earlier, later in zip(arrivals.event_times, arrivals.event_times[1:], strict=False)
    ]
    assert max(gaps) <= PAUSE_SECONDS + seconds, gaps


@then("peers served none of them, and each upstream of service {service} at least {count:d}")
def then_direct(context, service, count):
    async def compare(scene):
        served = await forwarded_requests(scene) - scene.served_before
        assert served == 0, served
        runs = [
            len(upstream.seen)
            for upstream_id, upstream in scene.upstreams_by_id.items()
            if scene.services_by_id[upstream_id] == service
        ]
        assert min(runs) >= count, runs

    check(context, compare)


@when("the gateways are asked what they count")
def when_counted(context):
    async def scrape(scene):
        scene.refused_as_stopping = await forwarded_requests(scene, "stopping")
        scene.unavailable_peers = await forwarded_requests(scene, "unavailable", "sent")
        scene.crash_lines = [line for text in await metrics(scene) for line in crash_lines(text)]

    context.gateway.acts.append(scrape)


def crash_lines(text):
    """Return the metrics that count crashed upstreams or content in quarantine, if any."""
    return [
        line
        for line in text.splitlines()
        if line.startswith(CRASH_METRICS) and float(line.rpartition(" ")[2])
    ]


@then("a peer refused some as stopping")
def then_refused(context):
    assert context.gateway.refused_as_stopping > 0


@then("gateway 1 found a peer unavailable")
def then_unavailable(context):
    assert context.gateway.unavailable_peers > 0


@then("no gateway counts a crash or holds content in quarantine")
def then_no_crash(context):
    assert not context.gateway.crash_lines, context.gateway.crash_lines


@then("the workspace was charged {tokens:d} tokens in all")
def then_charged(context, tokens):
    record = json.loads(context.gateway.store.value("quinceferry/budgets/0"))
    budget = record["budgets_by_workspace"][WORKSPACE]
    assert budget["spent"] == tokens and not budget.get("allotments"), budget


@then("no upstream sees the mark of forwarded requests, but the key's workspace")
def then_no_mark(context):
    check(context)
    seen = [item for up in context.gateway.upstreams_by_id.values() for item in up.seen]
    assert seen
    for item in seen:
        assert FORWARDED_HEADER not in item.headers, item
        assert KEY.encode() not in item.headers.values(), item
        assert item.headers[b"x-quinceferry-tenant"] == WORKSPACE.encode(), item


@then("the request is not served there")
def then_not_served(context):
    check(context)
    reply = context.gateway.reply
    assert reply.status == 404 and REFUSAL_HEADER not in dict(reply.headers), reply
    assert context.gateway.runs == 0, context.gateway.runs
