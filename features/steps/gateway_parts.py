"""Steps for small parts of the gateway."""

import json
import os
import random
import re
import tempfile
import time
from pathlib import Path

import structlog
from behave import given, then, when
from click.testing import CliRunner

from quinceferry_core.exceptions import SettingsError
from quinceferry_gateway.catalog import Call, Load, PromptPart, Upstream
from quinceferry_gateway.decisions import Demand, Placer, UpstreamStates
from quinceferry_gateway.events import EventBuffer
from quinceferry_gateway.exceptions import ConnectionBrokenError
from quinceferry_gateway.logs import EventLog
from quinceferry_gateway.retries import RetryBudget
from quinceferry_gateway.settings import Settings
from quinceferry_platform.command import main

MAX_FED_BYTES = 1_000_000
ROOT = Path(__file__).resolve().parents[2]
SETTINGS = {
    "gateway": {"vm": "a", "zone": "z", "region": "r"},
    "listen": {
        "callers": "127.0.0.1:1",
        "readiness": "127.0.0.1:2",
        "directory": "",
        "peers": "127.0.0.1:3",
        "metrics": "127.0.0.1:4",
    },
    "store": {"address": "127.0.0.1:5"},
    "retries": {"ratio": 0.2, "slack": 54, "window_seconds": 10},
    "stop": {"grace_seconds": 8},
    "freshness": {"configuration_milliseconds": 4000, "leaving_milliseconds": 3000},
}
FIELDS = {
    "node": "front-1",
    "zone": "hall-a",
    "region": "south",
    "listen.front": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "listen.directory": "10.1.0.40:8224",
    "ip": "10.1.0.40",
    "port_range.0": "7340",
    "platform.addr": "10.200.1.7:8223",
    "heartbeat_ms": "1200",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_slack": "54",
    "bounds.budget_window_s": "10",
    "bounds.grace_s": "8",
    "bounds.config_ms": "4000",
    "bounds.drain_ms": "3000",
    "bounds.cold_excess": "1.5",
    "bounds.cold_slack": "5",
    "limits.max_fds": "4200",
    "limits.memory_mb": "300",
}
ZONES = {"hall-a": "south", "hall-b": "north"}
"""Regions by availability zone, the only table that the template repeats a section for."""
OPTIONAL_FIELDS = frozenset(
    {"bounds.cold_excess", "bounds.cold_slack", "limits.max_fds", "limits.memory_mb"}
)
"""Fields that some deployments lack."""


class ManualClock:
    """Clock that the scenario moves."""

    def __init__(self):
        self.time = 100.0

    def monotonic(self):
        return self.time


@given("a retry budget of ratio {ratio:g} and slack {slack:d} in {window:d} seconds")
def given_retries(context, ratio, slack, window):
    context.clock = ManualClock()
    context.retries = RetryBudget(context.clock, ratio, slack, window)


@when("{count:d} requests of the service are counted")
def when_counted(context, count):
    for _ in range(count):
        context.retries.count_request()


@when("{rate:d} requests a second are counted for {seconds:d} seconds, and none is repeated")
def when_counted_long(context, rate, seconds):
    for _ in range(rate * seconds):
        context.clock.time += 1 / rate
        context.retries.count_request()


@then("the retry budget remembers at most {count:d} requests")
def then_remembers(context, count):
    assert context.retries.remembered <= count, context.retries.remembered


@when("all repeats among {members:d} gateways are taken")
def when_taken(context, members):
    while context.retries.try_acquire(members):
        pass


@when("{seconds:d} seconds pass for the retry budget")
def when_retry_seconds(context, seconds):
    context.clock.time += seconds


@when("1 repeat is allowed among {members:d} gateways")
def when_one_allowed(context, members):
    assert context.retries.try_acquire(members)


@then("{count:d} repeats are allowed among {members:d} gateways")
def then_allowed(context, count, members):
    taken = 0
    while context.retries.try_acquire(members):
        taken += 1
    assert taken == count, taken


@given("an event buffer")
def given_buffer(context):
    context.buffer = EventBuffer()
    context.passed = b""


@when('it is fed "{pieces}"')
def when_fed(context, pieces):
    for piece in pieces.replace(";", "\n").split("/"):
        context.passed += context.buffer.feed(piece.encode())


@then('it has passed "{passed}" with last event "{last}" of {count:d}')
@then('it has passed "" with last event "" of {count:d}')
def then_passed(context, count, passed="", last=""):
    assert context.passed == passed.replace(";", "\n").encode(), context.passed
    assert (context.buffer.last_id, context.buffer.count) == (last, count)


@when("it is fed chunks of {size:d} bytes without the end of an event")
def when_fed_endlessly(context, size):
    context.fed_bytes = 0
    context.error = None
    while context.error is None and context.fed_bytes < MAX_FED_BYTES:
        try:
            assert not context.buffer.feed(b"x" * size)
        except ConnectionBrokenError as error:
            context.error = error
        context.fed_bytes += size
    context.chunk_bytes = size


@then("it has refused the event after {limit:d} bytes")
def then_refused(context, limit):
    assert context.error is not None
    assert limit < context.fed_bytes <= limit + context.chunk_bytes, context.fed_bytes


@given("a router before {count:d} upstreams")
def given_router(context, count):
    context.upstream_states = UpstreamStates()
    context.router = Placer("z", context.upstream_states, random.Random(1))
    context.routed_at = 100.0
    context.candidates = [
        Upstream(f"u{number}", "llm", "", "z", 96, False) for number in range(count)
    ]
    context.chosen = []


@when('{count:d} prompts with the shared part "{part}" are routed')
def when_routed(context, count, part):
    for number in range(count):
        parts = (PromptPart(part, 3000), PromptPart(f"own{number}", 10))
        call = Call(
            f"r{number}", b"POST", b"/", "h", "/", (), prompt_tokens=3010, prompt_parts=parts
        )
        demand = Demand.from_call(call, 0.5)
        context.routed_at += 0.2
        found = context.router.place(demand, context.candidates, (), context.routed_at)
        context.attempt = context.upstream_states.start_attempt(
            found.upstream, found.uncached_tokens, demand.prefix_key, context.routed_at
        )
        context.attempt.finish(context.routed_at)
        context.chosen.append(found.upstream)


@when("that upstream reports {running:d} running and {waiting:d} waiting of {slots:d}")
def when_reports(context, running, waiting, slots):
    context.attempt.record_load(Load(running, waiting, slots), context.routed_at)


@when("that upstream fails")
def when_upstream_fails(context):
    context.attempt.record_failure(context.routed_at)


@then("one upstream got all prompts")
def then_one(context):
    assert len({upstream.id for upstream in context.chosen}) == 1


@then("more than one upstream got prompts")
def then_more(context):
    assert len({upstream.id for upstream in context.chosen}) > 1


@given("a log whose reader does not read")
def given_log(context):
    context.pipe = os.pipe()
    # Other features log with the library's settings as they were.
    context.add_cleanup(structlog.configure, **structlog.get_config())
    for descriptor in context.pipe:
        context.add_cleanup(os.close, descriptor)
    context.log = EventLog()
    context.log.configure(context.pipe[1], vm="test")


@when("{successes:d} successes and {failures:d} failures are logged at once")
def when_logged(context, successes, failures):
    started_at = time.monotonic()
    for number in range(successes):
        context.log.success("good", number=number, filler="x" * 400)
    for number in range(failures):
        context.log.failure("bad", number=number, filler="x" * 400)
    context.log.flush()
    context.seconds = time.monotonic() - started_at


@then("{successes:d} successes and {failures:d} failures are kept, and {dropped:d} dropped")
def then_kept(context, successes, failures, dropped):
    assert context.log.reset_dropped_count() == dropped
    os.set_blocking(context.pipe[0], False)
    written = b""
    for _ in range(20):
        try:
            written += os.read(context.pipe[0], 1 << 20)
        except BlockingIOError:
            context.log.flush()
    events = [json.loads(line)["event"] for line in written.splitlines()]
    assert (events.count("good"), events.count("bad")) == (successes, failures), len(events)


@then("writing to the log never waited")
def then_never_waited(context):
    assert context.seconds < 5.0, context.seconds


@given("the settings of a gateway with {name} = {value}")
def given_settings(context, name, value):
    table, _, key = name.partition(".")
    changed = {name: dict(values) for name, values in SETTINGS.items()}
    changed.setdefault(table, {})[key] = json.loads(value)
    lines = []
    for table, values in changed.items():
        lines.append(f"[{table}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    context.toml = "\n".join(lines)


@then('the settings are refused, naming "{named}"')
def then_refused(context, named):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.toml"
        path.write_text(context.toml)
        try:
            Settings.load(path)
        except SettingsError as error:
            assert named in str(error), error
        else:
            raise AssertionError("the settings were taken")


def render(template, fields):
    """Render a template as the platform does: sections first, then fields."""

    def section(match):
        name, body = match[1], match[2]
        if name == "zones":
            return "".join(
                body.replace("{{@}}", zone).replace("{{.}}", region)
                for zone, region in ZONES.items()
            )
        return body if name in fields else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields[match[1]], text)


@then("the rendered template passes the check {optional} optional fields")
def then_template(context, optional):
    template = (ROOT / "deploy" / "gateway.toml.template").read_text()
    left_out = OPTIONAL_FIELDS if optional == "without" else frozenset()
    fields = {name: value for name, value in FIELDS.items() if name not in left_out}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.toml"
        path.write_text(render(template, fields))
        result = CliRunner().invoke(main, ["--config", str(path), "--check"])
        assert result.exit_code == 0, result.output
        settings = Settings.load(path)
    assert settings.gateway.region_by_zone == ZONES, settings.gateway
    limit = settings.cold_starts
    assert (limit.excess, limit.slack) == ((1.0, 0.0) if left_out else (1.5, 5.0)), limit
    assert settings.limits.descriptors == (0 if left_out else 4200), settings.limits
    assert settings.limits.memory_megabytes == (0 if left_out else 300), settings.limits
