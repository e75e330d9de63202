"""Steps for prompt parts that crash upstreams, on real gateways and stand-ins."""

import asyncio
import itertools
import random
from collections import deque
from dataclasses import dataclass

from behave import given, then, when

from features.steps.gateway_crashes import SLOW_STREAM
from quinceferry_standins.managed_upstream import PROMPT_PARTS

FATAL_PAUSE_SECONDS = (0.1, 0.5)
"""Shortest and longest pause between two requests with a fatal part."""
SOUND_PAUSE_SECONDS = 0.2
RESTART_SECONDS = 0.5
"""Time after which the next upstream is listed in place of one that has crashed."""
FIFTH = 4
"""Index of the fifth crash."""


@dataclass
class SoundRequest:
    """A request without a fatal part: when it was sent, and whether it was answered whole."""

    sent_at: float
    answered: bool
    refused: bool


@given(
    "prompt part {fatal} crashes all upstreams after {events:d} events, and another one starts for "
    "each"
)
def given_fatal(context, fatal, events):
    context.fatal_parts = frozenset(part.encode() for part in fatal.split(","))
    scene = context.fleet

    def arm(upstream):
        upstream.script = deque([SLOW_STREAM])
        upstream.fatal_parts = context.fatal_parts
        upstream.events_before_crash = events

    async def replace(scene):
        for number in itertools.count():
            for key, upstream in list(scene.upstreams_by_id.items()):
                if upstream.crashed and key not in replaced:
                    replaced.add(key)
                    name = f"next-{number}-{len(replaced)}"
                    scene.add_upstream(name, scene.services_by_id[key], SLOW_STREAM)
                    arm(scene.upstreams_by_id[name])
                    tasks.append(asyncio.create_task(start(scene, key, name)))
            await asyncio.sleep(0.02)

    async def start(scene, key, name):
        await scene.upstreams_by_id[name].start()
        scene.ending.push_async_callback(scene.upstreams_by_id[name].stop)
        await asyncio.sleep(RESTART_SECONDS)
        await scene.store.remove(f"servers/{key}")
        await scene.register_one(name, slots=64)

    replaced, tasks = set(), []

    async def begin(scene):
        for upstream in scene.upstreams_by_id.values():
            arm(upstream)
        await scene.register(**{key: {"slots": 64} for key in scene.upstreams_by_id})
        tasks.append(asyncio.create_task(replace(scene)))
        scene.ending.callback(lambda: [task.cancel() for task in tasks])

    scene.acts.append(begin)


@given("one upstream crashes by itself every {seconds:d} seconds")
def given_ambient(context, seconds):
    async def crash(scene):
        while True:
            await asyncio.sleep(seconds)
            living = [item for item in scene.upstreams_by_id.values() if not item.crashed]
            if living:
                living[0].crash()

    spawn(context, crash)


@given("{count:d} upstreams crash by themselves at once after {seconds:d} seconds")
def given_burst(context, count, seconds):
    async def crash(scene):
        await asyncio.sleep(seconds)
        for upstream in list(scene.upstreams_by_id.values())[:count]:
            upstream.crash()

    spawn(context, crash)


def spawn(context, act):
    """Run an act beside the others until the end of the scene."""

    async def begin(scene):
        task = asyncio.create_task(act(scene))
        scene.ending.callback(task.cancel)

    context.fleet.acts.append(begin)


@when(
    "for {seconds:d} seconds {callers:d} callers stream with parts {sound}, and others with parts "
    "{fatal} on {target}, seed {seed:d}"
)
def when_requests(context, seconds, callers, sound, fatal, target, seed):
    context.sound = []
    draws = random.Random(seed)
    numbers = itertools.count()

    async def ask(scene, parts):
        number = next(numbers)
        gateway = draws.randrange(len(scene.applications))
        prefix = ",".join(f"{part}:20" for part in parts.split("+"))
        return await scene.ask(
            "POST",
            target,
            f"request {number}".encode(),
            gateway=gateway,
            x_quinceferry_request_id=f"q{number}",
            x_quinceferry_token_count="100,40",
            x_quinceferry_prompt_prefix=f"{prefix},own-{number}:20",
        )

    async def call_soundly(scene):
        while True:
            sent_at = asyncio.get_running_loop().time()
            answer = await ask(scene, sound)
            whole = answer.status == 200 and answer.whole
            refused = answer.status == 503 and b"retry-after" in answer.headers
            context.sound.append(SoundRequest(sent_at, whole, refused))
            await asyncio.sleep(draws.uniform(0, 2 * SOUND_PAUSE_SECONDS))

    async def call_fatally(scene, parts):
        while True:
            await asyncio.sleep(draws.uniform(*FATAL_PAUSE_SECONDS))
            tasks.append(asyncio.create_task(ask(scene, parts)))

    tasks = []

    async def act(scene):
        tasks.extend(asyncio.create_task(call_soundly(scene)) for _ in range(callers))
        await asyncio.sleep(1.0)
        tasks.extend(asyncio.create_task(call_fatally(scene, parts)) for parts in fatal.split(","))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.fleet.acts.append(act)


def has_part(seen, part):
    """Tell whether a request that reached an upstream has a prompt part."""
    return part in {item.partition(b":")[0] for item in seen.headers[PROMPT_PARTS].split(b",")}


def fatal_arrivals(context, part):
    """Return when requests with a fatal part reached upstreams."""
    return sorted(
        at
        for upstream in context.fleet.upstreams_by_id.values()
        for seen, at in zip(upstream.seen, upstream.arrived_at, strict=True)
        if has_part(seen, part)
    )


def fifth_crash(context, part):
    """Return when the fifth upstream crashed that had a part, the last one if there were fewer."""
    crashed_at = sorted(
        upstream.crashed_at
        for upstream in context.fleet.upstreams_by_id.values()
        if upstream.crashed_at is not None and any(has_part(seen, part) for seen in upstream.seen)
    )
    return crashed_at[min(FIFTH, len(crashed_at) - 1)]


@then(
    "at most {most:d} requests with a fatal part are sent to upstreams later than {seconds:d} "
    "second after its fifth crash"
)
def then_few(context, most, seconds):
    context.fleet.play()
    for part in context.fatal_parts:
        crash = fifth_crash(context, part)
        arrivals = fatal_arrivals(context, part)
        late = [at - crash for at in arrivals if at > crash + seconds]
        assert len(late) <= most, (part, len(arrivals), late)


@then(
    "later than {seconds:d} seconds after it half as many sound requests are answered at the first "
    "attempt as were before"
)
def then_sound(context, seconds):
    fifth = max(fifth_crash(context, part) for part in context.fatal_parts)
    first = min(at for part in context.fatal_parts for at in fatal_arrivals(context, part))
    before = [item.answered for item in context.sound if item.sent_at < first - 0.5]
    after = [item.answered for item in context.sound if item.sent_at > fifth + seconds]
    assert len(before) >= 20 and len(after) >= 20, (len(before), len(after))
    shares = [sum(items) / len(items) for items in (before, after)]
    assert shares[1] >= shares[0] / 2, (shares, len(before), len(after))


@then("nothing was refused for its content or its parts")
def then_unrefused(context):
    async def look(scene):
        context.quarantined = [
            line.decode()
            for item in scene.applications
            for line in (await scene.fetch(item.settings.listen.metrics, "/metrics")).body.split(
                b"\n"
            )
            if line.startswith(b"quinceferry_gateway_quarantined_contents")
        ]

    context.fleet.play(look)
    assert context.quarantined, "no gateway counts quarantines"
    assert all(line.endswith(" 0.0") for line in context.quarantined), context.quarantined
    assert sum(item.answered for item in context.sound) >= 20, context.sound
