"""Steps for streams that go on at another upstream, on real gateways and stand-ins."""

import asyncio
import itertools
from collections import defaultdict, deque

from behave import given, then, when

from features.fixtures_gateway import Scene, configuration, until
from features.steps.gateway_parts import ManualClock
from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.software_versions import SoftwareVersions
from quinceferry_standins.managed_upstream import Streaming

EVENTS = 6
EVENTS_BEFORE_BREAK = 2
MAX_ATTEMPTS = 4
PROBES = 30
"""Requests after which a gateway must know that it reaches no upstream."""
AT_ONCE_SECONDS = 1.5
"""Far below the time limits of a scenario's requests, and above what a slow machine takes."""
WHOLE = Streaming(EVENTS)
LONG_STREAM = Streaming(60, pause_seconds=0.1)
LEASE_SECONDS = 3.6
SUSPECT_SECONDS = 2.0
"""Time after which an upstream whose connections failed is tried again."""
BREAKING = Streaming(EVENTS, last=EVENTS_BEFORE_BREAK, then="reset")


def add_versions(context, gateways, counts_by_version, breaks=False, services=("llm", "llm")):
    """Create a fleet before upstreams of two versions."""
    document = configuration()
    for route in document["routes"]:
        route["attempts"] = MAX_ATTEMPTS
    document["services"].append({"name": "other", "max_conns": 100, "engine": {"stride": 4}})
    context.scene = scene = Scene(document, gateways=gateways)
    context.version_by_upstream = {}
    for service, (version, count) in zip(services, counts_by_version, strict=True):
        for number in range(1, count + 1):
            name = f"{service}-{version}-{number}"
            is_breaking = breaks and (number < count or count == 1)
            scene.add_upstream(name, service, *((BREAKING, WHOLE) if is_breaking else (WHOLE,)))
            context.version_by_upstream[name] = version

    async def meet(scene):
        for name, version in context.version_by_upstream.items():
            await scene.register_one(name, version=version)
        boards = [item.blackboard for item in scene.applications]
        await until(lambda: all(len(board.usable_members()) == gateways for board in boards))
        await until(lambda: all(knows_versions(context, board) for board in boards))

    scene.acts.append(meet)


def knows_versions(context, board):
    """Tell whether a gateway has all upstreams in its list with their versions."""
    known = {key: item.software_version for key, item in board.upstreams_by_id.items()}
    return known == context.version_by_upstream


FLEET = (
    "a fleet with {gateways:d} gateways, and upstreams of version v1 ({first:d}) and version v2 "
)
FLEET += "({second:d})"


@given(FLEET)
def given_versions(context, gateways, first, second):
    add_versions(context, gateways, [("v1", first), ("v2", second)])


@given(FLEET + " whose first streams break")
def given_breaking(context, gateways, first, second):
    add_versions(context, gateways, [("v1", first), ("v2", second)], breaks=True)


@given("a fleet with {gateways:d} gateways, and {count:d} upstreams of each of two services")
def given_services(context, gateways, count):
    add_versions(context, gateways, [("v1", count), ("v1", count)], services=("llm", "other"))


@given("gateway 1 of the fleet reaches no upstream")
def given_cut(context):
    async def cut(scene):
        scene.cut_links(0, refuses=True)
        board = scene.applications[0].blackboard
        for number in range(PROBES):
            if "llm" in board.unreachable_services:
                break
            await ask(scene, f"probe{number}")
        assert "llm" in board.unreachable_services
        scene.answers.clear()

    context.scene.acts.append(cut)


async def ask(scene, request_id, gateway=0, **headers):
    """Send a request for a stream and return its answer, with the time until it ended."""
    sent_at = asyncio.get_running_loop().time()
    answer = await scene.ask(
        "POST",
        "/draft/",
        request_id.encode(),
        gateway=gateway,
        x_quinceferry_request_id=request_id,
        x_quinceferry_token_count="100,40",
        x_quinceferry_prompt_prefix=f"{request_id.split('-')[0]}:60,last:40",
        **headers,
    )
    answer.seconds = asyncio.get_running_loop().time() - sent_at
    return answer


async def resume(scene, first_request_id, request_id, gateway):
    """Resume a stream as its caller does, after the events that a broken one would have sent."""
    return await ask(
        scene,
        request_id,
        gateway,
        last_event_id=str(EVENTS_BEFORE_BREAK),
        resumes=first_request_id,
    )


@when("gateway 1 gets {count:d} streams")
def when_streams(context, count):
    async def act(scene):
        # The first streams that break come from every upstream in turn.
        for number in range(count):
            await ask(scene, f"s{number}")

    context.scene.acts.append(act)


async def leave_one_of_each_version(context, scene):
    """Remove all upstreams from the list but one of each version."""
    kept = dict(zip(context.version_by_upstream.values(), context.version_by_upstream, strict=True))
    for name in context.version_by_upstream:
        if name not in kept.values():
            await scene.store.remove(f"servers/{name}")
    boards = [item.blackboard for item in scene.applications]
    await until(lambda: all(set(kept.values()) == set(board.upstreams_by_id) for board in boards))


@when("callers receive {count:d} streams, and resume each at another gateway")
def when_resumed(context, count):
    async def act(scene):
        for number in range(count):
            await ask(scene, f"s{number}", number % 3)
        await leave_one_of_each_version(context, scene)
        for number in range(count):
            await resume(scene, f"s{number}", f"s{number}-again", (number + 1) % 3)

    context.scene.acts.append(act)


@when("callers receive {count:d} streams, and resume each at two other gateways in turn")
def when_resumed_twice(context, count):
    async def act(scene):
        for number in range(count):
            await ask(scene, f"s{number}", number % 3)
            await resume(scene, f"s{number}", f"s{number}-again", (number + 1) % 3)
        await leave_one_of_each_version(context, scene)
        for number in range(count):
            await resume(scene, f"s{number}", f"s{number}-thrice", (number + 2) % 3)

    context.scene.acts.append(act)


@when("a caller resumes a stream that no gateway knows")
def when_unknown(context):
    async def act(scene):
        await resume(scene, "nobody-knows", "again", 0)

    context.scene.acts.append(act)
    context.resumed_id = "again"


@when(
    "a caller receives a stream, its upstream leaves, and the caller resumes it at another gateway"
)
def when_left(context):
    async def act(scene):
        await ask(scene, "first")
        (used,) = upstreams_of(scene, "first")
        await scene.store.remove(f"servers/{used}")
        boards = [item.blackboard for item in scene.applications]
        await until(lambda: not any(used in board.upstreams_by_id for board in boards))
        await resume(scene, "first", "again", 1)

    context.scene.acts.append(act)
    context.resumed_id = "again"


@when("a caller receives a stream, its route moves to the other service, and the caller resumes it")
def when_moved(context):
    async def act(scene):
        await ask(scene, "first")
        document = scene.document | {"version": 2}
        document["routes"] = [
            item | ({"service": "other"} if item["name"] == "draft" else {})
            for item in document["routes"]
        ]
        await scene.publish(document)
        boards = [item.blackboard for item in scene.applications]
        await until(lambda: all(board.configuration.version == 2 for board in boards))
        await resume(scene, "first", "again", 1)

    context.scene.acts.append(act)
    context.resumed_id = "again"


def upstreams_of(scene, stream_id):
    """Return the upstreams that have run a stream, under any request of its caller."""
    return [
        name
        for name, upstream in scene.upstreams_by_id.items()
        for seen in upstream.seen
        if seen.body.decode().split("-")[0] == stream_id
    ]


def groups_by_stream(scene, group_by_upstream):
    """Return the groups, such as versions, of the upstreams that have run each stream."""
    groups = defaultdict(set)
    for name, upstream in scene.upstreams_by_id.items():
        for seen in upstream.seen:
            groups[seen.body.decode().split("-")[0]].add(group_by_upstream[name])
    return groups


def mixed(groups):
    """Return the streams that upstreams of several groups have run."""
    return [key for key, names in groups.items() if len(names) > 1]


def mixed_streams(context):
    """Return the streams that upstreams of several versions have run."""
    return mixed(groups_by_stream(context.scene, context.version_by_upstream))


@then("all of them are whole, and each has events of one version")
def then_whole(context):
    context.scene.play()
    answers = context.scene.answers
    assert all(item.status == 200 and item.whole for item in answers), answers
    assert not mixed_streams(context), mixed_streams(context)


@given("the route leads to both services alike")
def given_split(context):
    for route in context.scene.document["routes"]:
        if route["name"] == "draft":
            del route["service"]
            route["split"] = [{"service": name, "weight": 50} for name in ("llm", "other")]


@when("callers receive {count:d} streams of it, and resume each at the other gateway")
def when_resumed_at_other(context, count):
    async def act(scene):
        for number in range(count):
            await ask(scene, f"s{number}", number % 2)
            await resume(scene, f"s{number}", f"s{number}-again", (number + 1) % 2)

    context.scene.acts.append(act)


@then("all of them are whole, and each has events of one service")
def then_one_service(context):
    context.scene.play()
    answers = context.scene.answers
    assert all(item.status == 200 and item.whole for item in answers), answers
    services = groups_by_stream(context.scene, context.scene.services_by_id)
    assert set.union(*services.values()) == {"llm", "other"}, services
    assert not mixed(services), mixed(services)


@then("each of them has events of one version")
def then_unmixed(context):
    context.scene.play()
    assert not mixed_streams(context), mixed_streams(context)
    assert any(item.whole for item in context.scene.answers), context.scene.answers


@then("both are broken at once, and each has events of one version")
def then_broken(context):
    context.scene.play()
    answers = context.scene.answers
    assert not mixed_streams(context), mixed_streams(context)
    assert all(item.status == 200 and not item.whole for item in answers), answers
    assert all(item.seconds < AT_ONCE_SECONDS for item in answers), answers


@then("it is refused at once with 503, and reaches no upstream")
def then_refused(context):
    context.scene.play()
    answer = context.scene.answers[-1]
    bodies = [
        seen.body.decode() for item in context.scene.upstreams_by_id.values() for seen in item.seen
    ]
    assert (answer.status, context.resumed_id in bodies) == (503, False), (answer, bodies)
    assert answer.seconds < AT_ONCE_SECONDS, answer


@when("a caller resumes a stream without naming it")
def when_unnamed(context):
    async def act(scene):
        context.resumed_id = "new-1"
        await ask(scene, context.resumed_id, last_event_id=str(EVENTS_BEFORE_BREAK))

    context.scene.acts.append(act)


@given("lists of versions {versions} that are read each second, and then {pause:d} seconds nothing")
def given_lists(context, versions, pause):
    context.list_clock = ManualClock()
    context.software_versions = SoftwareVersions(None, None, context.list_clock, LEASE_SECONDS)
    read_lists(context, versions.split(","), 3)
    context.list_clock.time += pause


@when("version {version} alone is listed for {seconds:d} seconds more")
def when_alone(context, version, seconds):
    read_lists(context, [version], seconds)


def read_lists(context, versions, times):
    """Read the same list once a second."""
    for _ in range(times):
        context.list_clock.time += 1.0
        listed = [
            Upstream(f"u{n}", "llm", "a:1", "z", 1, False, software_version=version)
            for n, version in enumerate(versions)
        ]
        context.software_versions.list_read(listed, context.list_clock.time)


@then("it is {proof} that the service had a single version for {seconds:d} seconds")
def then_proof(context, proof, seconds):
    is_proved = context.software_versions.has_single_version("llm", seconds)
    assert is_proved == (proof == "proved")


async def start_again_unlisted(scene):
    """Let an upstream crash under streams and listen again in an outage of the store.

    :return: that upstream, the other one, and the streams.
    """
    first, second = scene.upstreams_by_id.values()
    first.script, second.script = deque([LONG_STREAM]), deque([LONG_STREAM])
    number = itertools.count()
    streams = []
    while not (first.seen and second.seen):
        streams.append(asyncio.create_task(ask(scene, f"long{next(number)}")))
        await asyncio.sleep(0.1)
    scene.store.faults.status = 503
    first.crash()
    await asyncio.sleep(SUSPECT_SECONDS)
    await first.restart()
    first.seen.clear()
    return first, second, streams


@when(
    "an upstream of version v1 starts again unlisted, and {count:d} streams of the other one break"
)
def when_break_beside(context, count):
    async def act(scene):
        context.restarted, second, streams = await start_again_unlisted(scene)
        for number in range(count):
            streams.append(asyncio.create_task(ask(scene, f"more{number}")))
        await asyncio.sleep(0.5)
        second.reset_connections()
        context.restarted.script = second.script = deque([WHOLE])
        await asyncio.gather(*streams)

    context.scene.acts.append(act)


@then("no stream goes on at the upstream that started again")
def then_not_there(context):
    context.scene.play()
    headers = [seen.headers for seen in context.restarted.seen]
    assert not any(b"last-event-id" in item for item in headers), headers


@when(
    "an upstream of version v1 starts again unlisted, and callers resume {count:d} streams that it "
    "began"
)
def when_began_there(context, count):
    async def act(scene):
        first, second, streams = await start_again_unlisted(scene)
        first.script = deque([BREAKING])
        second.crash()
        await asyncio.gather(*streams)
        context.resumed = []
        for number in range(count):
            answer = await ask(scene, f"new{number}")
            if b"id: 2" in answer.body:
                context.resumed.append(await resume(scene, f"new{number}", f"again{number}", 1))

    context.scene.acts.append(act)


@then("each of them is refused with {status:d}")
def then_each_refused(context, status):
    context.scene.play()
    statuses = [answer.status for answer in context.resumed]
    assert statuses and set(statuses) == {status}, statuses


@when("connections of gateway 1 time out once, and it gets {count:d} streams afterwards")
def when_timed_out(context, count):
    async def act(scene):
        scene.cut_links(0)
        await asyncio.gather(*(ask(scene, f"lost{number}") for number in range(4)))
        scene.heal_links(0)
        await asyncio.sleep(SUSPECT_SECONDS)
        scene.answers.clear()
        for number in range(count):
            await ask(scene, f"s{number}")

    context.scene.acts.append(act)
