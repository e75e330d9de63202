"""Checks of the pages against the code: each returns what is wrong, one line for each fault."""

import ast
import dataclasses
import importlib.util
import random
import re
from functools import cache
from pathlib import Path

from fixtures_edge import FakeApplication

from quinceferry_core.clocks import SystemClock
from quinceferry_core.kv_calls import call_kind
from quinceferry_core.models import Priority, Usage
from quinceferry_core.outcomes import RefusalReason
from quinceferry_gateway import Metrics
from quinceferry_gateway.catalog import Route, RouteKind
from quinceferry_gateway.events import StreamPace
from quinceferryd.application import Application, Dependencies
from quinceferryd.blackboard import RouterState
from quinceferryd.exports import export_router_metrics
from quinceferryd.metrics import ScrapedMetrics
from quinceferryd.refusals import STATUS_BY_REASON
from quinceferryd.settings import Settings
from quinceferryd.workspace_labels import WorkspaceLabels

ROOT = Path(__file__).resolve().parents[1]
MIN_WORDS = 4
"""Fewer words do not explain a reason."""

_LINK = re.compile(r"\]\(([^)\s]+)\)")
_FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
_SPAN = re.compile(r"`([^`\n]+)`")
_MAKE = re.compile(r"\bmake ((?:[a-z][\w-]*)(?: +[a-z][\w-]*)*)")
_TARGET = re.compile(r"^([a-z][\w-]*):(?!=)", re.MULTILINE)
_SERIES = re.compile(r'(quinceferry_[a-z_]+)(?:\{(\w+)="([^"]*)"\})?')
_REASON_ROW = re.compile(r"^\| `(\w+)` \| (\d+) \|(.*)\|$", re.MULTILINE)
_EVENT = re.compile(r"event=([a-z_. ]+)")
_MODULE = re.compile(r"quinceferry(?:d|_core|_lab|_standins)?\.[a-z_]+")
_LOG_CALLS = ("log.success", "log.failure", "log.change", "self.failure")
_CHANGES = (".added", ".removed")
_VALUES_BY_LABEL = {
    "state": {state.value for state in RouterState},
    "reason": {reason.value for reason in RefusalReason},
    "result": {"admitted", *(reason.value for reason in RefusalReason)},
    "outcome": {"run", "not_run", "unknown", "caller_left"},
}


def pages():
    """Return every page for people."""
    return sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])


def read(page):
    return (ROOT / page).read_text()


def link_faults(page, text):
    """Return the relative links that lead to no file, or to no heading of one."""
    faults = []
    for target in _LINK.findall(_FENCE.sub("", text)):
        if re.match(r"[a-z]+:", target):
            continue
        path, _, heading = target.partition("#")
        linked = (page.parent / path).resolve() if path else page
        if not linked.exists():
            faults.append(f"{page.name}: no file {path}")
        elif heading and heading not in _headings(linked.read_text()):
            faults.append(f"{page.name}: no heading {target}")
    return faults


def make_faults(name, text):
    """Return the ``make`` targets in code that the Makefile lacks."""
    targets = set(_TARGET.findall(read("Makefile")))
    code = "\n".join([*_FENCE.findall(text), *_SPAN.findall(_FENCE.sub("", text))])
    named = {word for words in _MAKE.findall(code) for word in words.split()}
    return [f"{name}: no target {target}" for target in sorted(named - targets)]


def reason_faults(text):
    """Return the reasons that have no row with their status and an explanation."""
    rows = {name: (int(status), meaning) for name, status, meaning in _REASON_ROW.findall(text)}
    known = {reason.value: status for reason, status in STATUS_BY_REASON.items()}
    faults = [f"unknown reason {name}" for name in sorted(rows.keys() - known.keys())]
    for name, status in known.items():
        if name not in rows:
            faults.append(f"{name} is not explained")
        elif rows[name][0] != status:
            faults.append(f"{name} has status {status}")
        elif len(rows[name][1].split()) < MIN_WORDS:
            faults.append(f"{name} is not explained")
    return faults


def series_faults(name, text):
    """Return the metrics and label values that no router exports."""
    faults = []
    for series, label, value in _SERIES.findall(" ".join(_SPAN.findall(_FENCE.sub("", text)))):
        if series in _packages():
            continue
        if series not in exported_series() | gateway_series():
            faults.append(f"{name}: no metric {series}")
        elif label and value not in _label_values(series, label):
            faults.append(f"{name}: {series} has no {label} {value}")
    return faults


def event_faults(name, text):
    """Return the log lines, named as ``event=...``, that the daemon's code does not write."""
    constants = _daemon_strings()
    faults = []
    for event in _EVENT.findall("\n".join(_SPAN.findall(text))):
        stem = event.strip()
        for change in _CHANGES:
            stem = stem.removesuffix(change)
        if stem not in constants:
            faults.append(f"{name}: no log line {event.strip()}")
    return faults


def settings_faults(name, text):
    """Return the settings, named as ``table.key``, that do not exist."""
    tables = {table.name: table.type for table in dataclasses.fields(Settings)}
    faults = []
    for span in _SPAN.findall(_FENCE.sub("", text)):
        table, _, key = span.partition(".")
        if table in tables and re.fullmatch(r"[a-z]+(_[a-z]+)+", key):
            keys = {field.name for field in dataclasses.fields(tables[table])}
            if key not in keys:
                faults.append(f"{name}: no setting {span}")
    return faults


def module_faults(name, text):
    """Return the modules that cannot be found."""
    named = {module for span in _SPAN.findall(text) for module in _MODULE.findall(span)}
    return [f"{name}: no module {module}" for module in sorted(named) if not _is_module(module)]


def exported_series():
    """Return the names of all series of a router."""
    types = [line.split() for line in _exposition() if line.startswith("# TYPE ")]
    return {words[2] for words in types}


@cache
def gateway_series():
    """Return the names of all series of a gateway that has recorded each of them once."""
    metrics = Metrics()
    metrics.record_answer("w", "r", 0.1)
    metrics.count_store_call("get", "200")
    metrics.count_peer_messages("digest", "sent", 1, 1)
    metrics.observe_list_age(lambda: 0.1)
    metrics.observe_configuration_age(lambda: 0.1)
    metrics.count_prompt_tokens("r", 2, 1)
    metrics.count_upstream_crash("s")
    metrics.count_predecessor_tokens("reclaimed", 1)
    metrics.count_charged_tokens("w", True, 1)
    metrics.observe_workspace_tokens(lambda: {("w", "left"): 1})
    metrics.observe_quarantine(lambda: 1)
    metrics.count_permit("granted")
    metrics.count_attempt("s", "answered")
    metrics.count_forwarded_request("sent", "answered")
    metrics.count_stream_origin_lookup("own")
    metrics.observe_stream_origins(lambda: 1)
    metrics.observe_unreachable_services(lambda: 1)
    metrics.count_request_while_stopping()
    metrics.count_request_ended_by_stop()
    metrics.record_loop_delay(0.1)
    metrics.count_limited_connection("callers", "idle")
    metrics.observe_connections(lambda: {"callers": 1})
    metrics.count_address_answer("serving", True)
    metrics.count_upstream_pause("s")
    metrics.count_admission("admitted")
    metrics.count_rejection("s", "no_room")
    metrics.count_rejection("s", "paused")
    metrics.count_rate_limited_send("s")
    metrics.observe_rate_limits(lambda: 1)
    metrics.observe_fragile_upstreams(lambda: 1)
    metrics.observe_evacuated_zones(lambda: 1)
    metrics.observe_rejected_documents(lambda: 0)
    metrics.observe_malformed_entries(lambda: {"route": 1})
    metrics.observe_cold_upstreams(lambda: 1)
    route = Route("r", "h", "/", RouteKind.STREAM, (), 1.0, 0.1, 0, 1, max_pause_seconds=0.1)
    pace = StreamPace(0.0)
    for time in (1.0, 2.0):
        pace.record_event(time)
    metrics.record_stream("w", route, pace)
    types = [line.split() for line in metrics.exposition().decode().splitlines()]
    return {words[2] for words in types if words[:2] == ["#", "TYPE"]}


def gateway_page_faults(text):
    """Return the log lines and metrics of a gateway that a page does not name, or names wrongly."""
    named = set(re.findall(r"`([a-z_]+\.[a-z_]+)`", text))
    written = _gateway_events()
    faults = [f"{event} is not explained" for event in sorted(written - named)]
    faults += [f"no log line {event}" for event in sorted(named - written)]
    ours = {name for name in gateway_series() if name.startswith("quinceferry_")}
    return faults + [f"{name} is not explained" for name in sorted(ours) if name not in text]


def _gateway_events():
    """Return every log line that the gateway or its adapter writes."""
    found = set()
    folders = (ROOT / "packages/quinceferry-gateway/src", ROOT / "platform")
    for path in (path for folder in folders for path in folder.glob("quinceferry_*/**/*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and ast.unparse(node.func) in _LOG_CALLS:
                found.add(node.args[0].value)
    return found


def _label_values(series, label):
    """Return the values that a label of a series may have."""
    shown = {
        value
        for line in _exposition()
        if line.startswith(series + "{")
        for value in re.findall(rf'{label}="([^"]*)"', line)
    }
    return shown | _VALUES_BY_LABEL.get(label, set()) if shown else set()


@cache
def _exposition():
    """Return the metrics of a router that has recorded each of them once."""
    metrics = ScrapedMetrics(WorkspaceLabels())
    metrics.count_refusal(None, RefusalReason.INTERNAL)
    metrics.count_finished_request("w", Priority.HIGH, "run", Usage(1, 1))
    metrics.record_first_token("w", Priority.HIGH, 0.1)
    metrics.record_time_between_tokens("w", Priority.HIGH, 0.1)
    metrics.record_queue_wait("w", Priority.HIGH, 0.1)
    metrics.count_limited_connection("late")
    unused = Dependencies(SystemClock(), None, None, None, None, random.Random(1))
    router = Application(FakeApplication().settings, unused)
    router.scheduler.counters.admitted[Priority.HIGH] += 1
    router.kv.calls_by_kind[call_kind("get", "members/1")] += 1
    export_router_metrics(router, metrics)
    return metrics.exposition().decode().splitlines()


def _headings(text):
    """Return the anchors of a page's headings."""
    lines = re.findall(r"^#+ (.+)$", _FENCE.sub("", text), re.MULTILINE)
    return {re.sub(r"[^\w\- ]", "", line.lower()).replace(" ", "-") for line in lines}


@cache
def _packages():
    packages = {path.name for path in ROOT.glob("packages/*/src/quinceferry*")}
    return packages | {path.name for path in ROOT.glob("platform/quinceferry*")}


@cache
def _daemon_strings():
    """Return every string in the daemon's code."""
    found = set()
    for path in ROOT.glob("packages/quinceferry-daemon/src/quinceferryd/*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
    return found


@cache
def _is_module(name):
    return importlib.util.find_spec(name) is not None
