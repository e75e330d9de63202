"""Steps for the decision on content that crashes upstreams."""

import random
from collections import Counter

from behave import given, then, when

from quinceferry_core.quarantine import (
    EVIDENCE_DELAY_SECONDS,
    MAX_CONTENTS_PER_CRASH,
    MAX_CRASHES,
    Quarantine,
    RunStage,
)

STAGES_BY_NAME = {stage.name.lower(): stage for stage in RunStage}
HOLD_SECONDS = 600.0
MAX_SENDS = 4
"""How often one content is sent at most: twice for each of two tries of its caller."""
ANSWERED_WITHIN_SECONDS = 2.0
"""How long requests of the modelled callers run at most."""
QUEUED_SHARE = 0.3
"""Part of the modelled requests that wait at their upstream for a slot."""
CRASH_PAUSE_SECONDS = 0.25
"""Pause between two crashes beside the time in which evidence comes."""
BEGINNING_SECONDS = 0.2
"""How long a modelled run takes to its first output."""


class Scene:
    """A quarantine and the time."""

    def __init__(self, crashes):
        self.quarantine = Quarantine(crashes, HOLD_SECONDS)
        self.now = 100.0
        self.unsettled = []

    def crash(self, lifetime, content, stage):
        """Note one content at a crash."""
        if lifetime not in self.unsettled:
            self.unsettled.append(lifetime)
        return self.quarantine.record_crash(lifetime, content, stage, self.now)

    def settle(self):
        """Let the time pass in which evidence comes."""
        self.now += EVIDENCE_DELAY_SECONDS
        for lifetime in self.unsettled:
            self.quarantine.evaluate_crash(lifetime, self.now)
        self.unsettled.clear()


@given("a quarantine for content that crashes {crashes:d} upstreams")
def given_quarantine(context, crashes):
    context.scene = Scene(crashes)


@when("content {content} is {stage} at crashes of {lifetimes}")
def when_crashes(context, content, stage, lifetimes):
    for lifetime in lifetimes.split(", "):
        context.scene.crash(lifetime, content, STAGES_BY_NAME[stage])


@when("other content is begun at each of these crashes")
def when_other_content(context):
    for number, lifetime in enumerate(list(context.scene.unsettled)):
        context.scene.crash(lifetime, f"other-{number}", RunStage.BEGUN)


@when("content {content} is answered")
def when_answered(context, content):
    context.scene.quarantine.record_completion(content, context.scene.now)


@when("{seconds:d} seconds pass in quarantine")
def when_pass(context, seconds):
    context.scene.now += seconds


@when("another router holds {content} for {seconds:d} more seconds")
def when_other_holds(context, content, seconds):
    context.scene.quarantine.adopt(content, float(seconds), context.scene.now)


@then("held are {contents}")
def then_held(context, contents):
    scene = context.scene
    scene.settle()
    expected = [] if contents == "nothing" else contents.split(", ")
    held = scene.quarantine.remaining_seconds_by_content(scene.now)
    assert sorted(held) == expected, held
    assert [key for key in expected if not scene.quarantine.remaining_seconds(key, scene.now)] == []


@then("it lasts {seconds:d} seconds")
def then_lasts(context, seconds):
    scene = context.scene
    (left,) = scene.quarantine.remaining_seconds_by_content(scene.now).values()
    assert left == seconds - EVIDENCE_DELAY_SECONDS, left


@then("{count:d} orders of the same evidence, some of it twice, come to the same conclusion")
def then_same_conclusion(context, count):
    draws = random.Random(7)
    evidence = [
        (f"u{draws.randrange(5)}", draws.choice("abcdef"), draws.choice(list(RunStage)))
        for _ in range(30)
    ]
    conclusions = set()
    for _ in range(count):
        quarantine = Quarantine(3, HOLD_SECONDS)
        for item in draws.sample(evidence, len(evidence)) + draws.sample(evidence, 10):
            quarantine.record_crash(*item, 0.0)
        for lifetime, _, _ in evidence:
            quarantine.evaluate_crash(lifetime, EVIDENCE_DELAY_SECONDS)
        conclusions.add(
            tuple(sorted(quarantine.remaining_seconds_by_content(EVIDENCE_DELAY_SECONDS)))
        )
    assert len(conclusions) == 1 and any(conclusions), conclusions


class Engines:
    """Upstreams that work on requests, which are sent to others when they break off.

    Each entry of ``runs`` is a content, since when it runs, and until when it takes.
    """

    def __init__(self, scene, count, slots, seed):
        self.scene = scene
        self.random = random.Random(seed)
        self.slots = slots
        self.lifetime = [0] * count
        self.runs = [[] for _ in range(count)]
        self.fresh = 0
        self.sends = Counter()
        for number in range(count):
            self.fill(number)

    def fill(self, number, again=()):
        """Give an upstream requests, some of which have been broken off before."""
        waiting = list(again)
        while len(self.runs[number]) < self.slots:
            self.fresh += 1
            content = waiting.pop() if waiting else f"c{self.fresh}"
            self.sends[content] += 1
            began_at = self.scene.now + BEGINNING_SECONDS * self.random.random()
            if self.random.random() < QUEUED_SHARE:
                began_at += ANSWERED_WITHIN_SECONDS * self.random.random()
            ends_at = began_at + ANSWERED_WITHIN_SECONDS * self.random.random()
            self.runs[number].append((content, began_at, ends_at))
        return waiting

    def advance(self, seconds):
        """Let time pass; requests whose time is over are answered, and others come."""
        self.scene.now += seconds
        for number, runs in enumerate(self.runs):
            done = [run for run in runs if run[2] <= self.scene.now]
            for content, _, _ in done:
                self.scene.quarantine.record_completion(content, self.scene.now)
            self.runs[number] = [run for run in runs if run[2] > self.scene.now]
            self.fill(number)

    def crash(self, number, culprit=None):
        """Crash an upstream; its requests are sent to the others."""
        lifetime = f"{number}@{self.lifetime[number]}"
        self.lifetime[number] += 1
        broken = self.runs[number]
        if culprit:
            broken = [*broken, (culprit, self.scene.now - 0.04, 0.0)]
        for content, began_at, _ in self.random.sample(broken, len(broken)):
            self.scene.crash(lifetime, content, self.stage(began_at))
        self.scene.settle()
        self.runs[number] = []
        again = [item[0] for item in broken if 0 < self.sends[item[0]] < MAX_SENDS]
        for other in range(len(self.runs)):
            if other != number and again:
                self.runs[other] = self.runs[other][len(again) :]
                again = self.fill(other, again)

    def stage(self, began_at):
        """Return how far a request has come."""
        since = self.scene.now - began_at
        if since < 0:
            return RunStage.SENT
        return RunStage.BEGUN if since < BEGINNING_SECONDS else RunStage.PRODUCING


@when("{count:d} upstreams of {slots:d} requests each crash under one request, with seed {seed:d}")
def when_culprit(context, count, slots, seed):
    engines = Engines(context.scene, count, slots, seed)
    context.crashes = 0
    while (
        not context.scene.quarantine.remaining_seconds_by_content(context.scene.now)
        and context.crashes < 20
    ):
        engines.advance(CRASH_PAUSE_SECONDS)
        engines.crash(context.crashes % count, "culprit")
        context.crashes += 1


@then("held is the culprit alone, after {crashes:d} crashes")
def then_culprit(context, crashes):
    held = context.scene.quarantine.remaining_seconds_by_content(context.scene.now)
    assert list(held) == ["culprit"] and context.crashes == crashes, (held, context.crashes)


@when(
    "{count:d} upstreams of {slots:d} requests each crash by themselves {times:d} times, with "
    "seed {seed:d}"
)
def when_no_culprit(context, count, slots, times, seed):
    engines = Engines(context.scene, count, slots, seed)
    for _ in range(times):
        engines.advance(CRASH_PAUSE_SECONDS)
        engines.crash(engines.random.randrange(count))


@when("{crashes:d} upstreams crash under {contents:d} contents each")
def when_many(context, crashes, contents):
    for number in range(crashes):
        for content in range(contents):
            context.scene.crash(f"u{number}", f"{number}-{content}", RunStage.SENT)


@then("at most {crashes:d} crashes of {contents:d} contents are remembered")
def then_bounded(context, crashes, contents):
    assert (crashes, contents) == (MAX_CRASHES, MAX_CONTENTS_PER_CRASH)
    quarantine = context.scene.quarantine
    found = {number for number in range(300) if quarantine.is_suspected(f"{number}-0")}
    assert found == set(range(300 - crashes, 300)), len(found)
    assert not quarantine.is_suspected(f"299-{contents}")
