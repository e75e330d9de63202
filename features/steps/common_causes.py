"""Steps for what requests that crash upstreams have in common."""

import contextlib
import heapq
import itertools
import random
import signal
from dataclasses import dataclass, field

from behave import given, then, when

from quinceferry_core.common_causes import CommonCauses
from quinceferry_core.crash_records import RequestAtCrash
from quinceferry_core.quarantine import EVIDENCE_DELAY_SECONDS, RunStage

REQUIRED = 3
SETTLED_SECONDS = 0.6
RESTART_SECONDS = 2.0
CRASH_SECONDS = 0.1
"""Time from the beginning of an answer to the crash."""
ANSWER_SECONDS = (0.1, 2.0)
"""Shortest and longest time of an answer."""
SURVIVED_SECONDS = 1.0
"""Time after which a request has not made its upstream crash by beginning its answer."""
WAIT_SECONDS = (0.0, 0.3)
"""Shortest and longest time until an upstream begins an answer."""
ROUTERS = 5
FIFTH = 4
"""Index of the fifth crash."""
MAX_EVALUATION_SECONDS = 10
"""Longest time that an evaluation may take before it counts as endless."""
RARE_PARTS = 60
"""Parts that some of the sound requests have besides the common one."""


@given("traits of requests at crashes, of which {required:d} are required")
def given_causes(context, required):
    context.causes = CommonCauses()
    context.numbers = itertools.count()
    context.now = 0.0
    context.quarantined = []
    context.required = required
    context.answered, context.interrupted = 20, 1


@given("{answered:d} of {count:d} other requests are answered")
def given_answered(context, answered, count):
    context.answered, context.interrupted = answered, count - answered


def crash(context, traits, stage, content, later):
    """Record one crash of another upstream."""
    context.now += later
    context.lifetime = f"u{next(context.numbers)}"
    add_request(context, traits, stage, content)


def add_request(context, traits, stage, content):
    """Record one more request that the last crashed upstream had."""
    request = RequestAtCrash(content, RunStage[stage.upper()], tuple(traits.split("+")))
    context.causes.record_crash(context.lifetime, "llm", request, context.now)


@when("requests with {traits} are {stage} at {count:d} crashes, {apart:d} second apart")
@when("requests with {traits} are {stage} at {count:d} crashes, {apart:d} seconds apart")
def when_crashes(context, traits, stage, count, apart):
    for _ in range(count):
        crash(context, traits, stage, f"content {next(context.numbers)}", apart)


@when("requests with {traits} are {stage} at 1 crash of another upstream")
def when_crash(context, traits, stage):
    crash(context, traits, stage, f"content {next(context.numbers)}", 1.0)


@when(
    "requests with {traits} are {stage} at {count:d} crashes, {apart:d} second apart, each after "
    "one with {other} has begun"
)
def when_crashes_beside(context, traits, stage, count, apart, other):
    for _ in range(count):
        number = next(context.numbers)
        crash(context, other, "begun", f"sound {number}", apart)
        add_request(context, traits, stage, f"new {number}")
        context.causes.clear([other])


@when(
    "{count:d} upstreams with {requests:d} requests of {traits:d} traits each crash, {apart:d} "
    "second apart"
)
def when_many(context, count, requests, traits, apart):
    for _ in range(count):
        own = [f"own-{next(context.numbers)}-{number}" for number in range(requests)]
        crash(context, "p", "begun", f"{own[0]} content", apart)
        for name in own:
            names = "+".join(f"{name}-{number}" for number in range(traits))
            add_request(context, names, "sent", name)


@when("the same request with {traits} is {stage} at {count:d} crashes, {apart:d} second apart")
def when_same(context, traits, stage, count, apart):
    for _ in range(count):
        crash(context, traits, stage, "the same", apart)


@when("a request with {trait} is answered")
def when_answered(context, trait):
    context.causes.clear([trait])


@contextlib.contextmanager
def time_limit(seconds):
    """Fail a step that takes longer; a loop without end could not be ended otherwise."""

    def fail(*_):
        raise AssertionError(f"not evaluated within {seconds} seconds")

    previous = signal.signal(signal.SIGALRM, fail)
    signal.alarm(seconds)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous)


@then("{found} is found")
@then("after that {found} is found")
def then_found(context, found):
    context.now += SETTLED_SECONDS
    for _ in range(context.answered):
        context.causes.record_answer("llm", ("other",), context.now)
    for _ in range(context.interrupted):
        context.causes.record_interruption("llm", ("other",), context.now)
    with time_limit(MAX_EVALUATION_SECONDS):
        causes = context.causes.find_causes(context.now, context.quarantined, lambda _: REQUIRED)
    context.quarantined += causes
    assert causes == ([] if found == "nothing" else [found]), causes


@given("evidence of {crashes:d} crashes that is drawn with seeds {first:d} to {last:d}")
def given_drawn(context, crashes, first, last):
    context.drawn = [drawn_causes(seed, crashes) for seed in range(first, last + 1)]


def drawn_causes(seed, crashes):
    """Return drawn evidence, and the names of all traits in it."""
    rng, causes, present = random.Random(seed), CommonCauses(), set()
    for number in range(crashes):
        for position in range(rng.randint(1, 6)):
            names = [f"t{rng.randrange(40)}" for _ in range(rng.randint(0, 3))]
            traits = tuple(["common"] * (rng.random() < 0.5) + names)
            stage = RunStage.SENT if "common" in traits else rng.choice(list(RunStage))
            present.update(traits)
            request = RequestAtCrash(f"{number}-{position}", stage, traits)
            causes.record_crash(f"u{number}", "llm", request, float(number))
    for _ in range(rng.randint(0, 20)):
        causes.record_answer("llm", ("other",), float(crashes))
    return causes, present, crashes + 1.0


@then("each search ends, and finds no trait twice and none that was not there")
def then_ends(context):
    for causes, present, now in context.drawn:
        with time_limit(MAX_EVALUATION_SECONDS):
            found = causes.find_causes(now, (), lambda _: REQUIRED)
        assert len(found) == len(set(found)) and set(found) <= present, found


@dataclass(order=True)
class _Event:
    """Something that happens at a time in a modelled fleet."""

    at: float
    number: int
    kind: str = field(compare=False)
    subject: object = field(compare=False, default=None)


@dataclass
class _Request:
    """A request at an upstream, sent by one of the routers."""

    content: str
    traits: tuple
    upstream: int
    router: int
    begins_at: float

    def stage(self, now):
        """Return how far the upstream has come with it."""
        if now < self.begins_at:
            return RunStage.SENT
        return RunStage.BEGUN if now < self.begins_at + 1.0 else RunStage.PRODUCING


class _ModelFleet:
    """Upstreams that serve requests, and routers that report crashes to each other.

    A trait that one router has found is refused by all.
    """

    def __init__(self, seed, upstreams, rates, lost_share):
        self.random = random.Random(seed)
        self.rates = rates
        self.lost_share = lost_share
        self.routers = [CommonCauses() for _ in range(ROUTERS)]
        self.lifetimes = [1] * upstreams
        self.down_until = [0.0] * upstreams
        self.running = [[] for _ in range(upstreams)]
        self.numbers = itertools.count()
        self.events = []
        self.quarantined = []
        self.fatal_crashes = []
        self.found_at = None
        for kind, rate in rates.items():
            if rate:
                self.plan(self.random.expovariate(rate), kind)

    def plan(self, at, kind, subject=None):
        """Let something happen at a time."""
        heapq.heappush(self.events, _Event(at, next(self.numbers), kind, subject))

    def run(self, seconds):
        """Play for some seconds."""
        while self.events and self.events[0].at < seconds:
            event = heapq.heappop(self.events)
            getattr(self, event.kind)(event.at, event.subject)

    def sound(self, now, _):
        """Send a sound request; some have a rare part, and half the part of fatal requests."""
        self.plan(now + self.random.expovariate(self.rates["sound"]), "sound")
        rare = [f"rare-{self.random.randrange(RARE_PARTS)}"] if self.random.random() < 0.3 else []
        common = self.random.choice(["a", "b"])
        self.send(now, (common, *rare), "answer", self.random.uniform(*ANSWER_SECONDS))

    def fatal(self, now, _):
        """Send a request with the fatal trait."""
        self.plan(now + self.random.expovariate(self.rates["fatal"]), "fatal")
        self.send(now, ("a", "f"), "die", CRASH_SECONDS)

    def ambient(self, now, _):
        """Let an upstream crash by itself."""
        self.plan(now + self.random.expovariate(self.rates["ambient"]), "ambient")
        living = self.living(now)
        if living:
            self.crash(now, self.random.choice(living))

    def living(self, now):
        """Return the upstreams that are up."""
        return [key for key, until in enumerate(self.down_until) if until <= now]

    def send(self, now, traits, ending, seconds):
        """Send a request to an upstream that is up."""
        living = self.living(now)
        if not living or set(traits) & set(self.quarantined):
            return
        upstream, router = self.random.choice(living), self.random.randrange(ROUTERS)
        begins_at = now + self.random.uniform(*WAIT_SECONDS)
        request = _Request(f"content {next(self.numbers)}", traits, upstream, router, begins_at)
        self.running[upstream].append(request)
        if ending == "answer" and seconds > SURVIVED_SECONDS:
            self.plan(begins_at + SURVIVED_SECONDS, "survive", request)
        self.plan(begins_at + seconds, ending, request)

    def answer(self, now, request):
        """End a request with its answer."""
        if request in self.running[request.upstream]:
            self.running[request.upstream].remove(request)
            self.routers[request.router].record_answer("llm", request.traits, now)
            for router in self.hearing(request):
                router.clear(request.traits)

    def survive(self, now, request):
        """Tell that an upstream has produced output for a request for some time."""
        if request in self.running[request.upstream]:
            for router in self.hearing(request):
                router.clear(request.traits)

    def die(self, now, request):
        """Crash an upstream under a request."""
        if request in self.running[request.upstream]:
            self.fatal_crashes.append(now)
            self.crash(now, request.upstream)

    def hearing(self, request):
        """Return the routers that learn what became of a request."""
        return [
            router
            for number, router in enumerate(self.routers)
            if number == request.router or self.random.random() >= self.lost_share
        ]

    def crash(self, now, upstream):
        """Crash an upstream, and report its requests."""
        lifetime = f"u{upstream}@{self.lifetimes[upstream]}"
        for request in self.running[upstream]:
            self.routers[request.router].record_interruption("llm", request.traits, now)
            reported = RequestAtCrash(request.content, request.stage(now), request.traits)
            for router in self.hearing(request):
                router.record_crash(lifetime, "llm", reported, now)
        self.running[upstream].clear()
        self.lifetimes[upstream] += 1
        self.down_until[upstream] = now + RESTART_SECONDS
        self.plan(now + EVIDENCE_DELAY_SECONDS, "settle")

    def settle(self, now, _):
        """Decide once the evidence of a crash has arrived."""
        for router in self.routers:
            self.quarantined += router.find_causes(now, self.quarantined, lambda _: REQUIRED)
        if "f" in self.quarantined and self.found_at is None:
            self.found_at = now


@given(
    "{upstreams:d} upstreams, {sound:g} sound and {fatal:g} fatal requests a second, {ambient:g} "
    "other crashes a second"
)
def given_model(context, upstreams, sound, fatal, ambient):
    context.model = (upstreams, {"sound": sound, "fatal": fatal, "ambient": ambient})


@when("{lost:d} of 100 reports are lost in {runs:d} runs of {seconds:d} seconds")
def when_model(context, lost, runs, seconds):
    context.fleets = [_ModelFleet(seed, *context.model, lost / 100) for seed in range(runs)]
    for fleet in context.fleets:
        fleet.run(seconds)


@then("the fatal trait is found within {seconds:d} second of its fifth crash each time")
@then("the fatal trait is found within {seconds:d} seconds of its fifth crash each time")
def then_soon(context, seconds):
    late = []
    for fleet in context.fleets:
        crashes = fleet.fatal_crashes
        fifth = crashes[FIFTH] if len(crashes) > FIFTH else float("inf")
        late.append((fleet.found_at or float("inf")) - fifth if crashes[FIFTH:] else 0.0)
    assert all(item <= seconds for item in late), [round(item, 2) for item in late]


@then("sound requests are never refused")
def then_no_other(context):
    refused = [set(fleet.quarantined) - {"f"} for fleet in context.fleets]
    assert not any(refused), refused
