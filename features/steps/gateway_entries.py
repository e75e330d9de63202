"""Steps for entries of the list of upstreams, as the platform's store returns them."""

import asyncio
import base64
import json

from behave import given, then, when

from quinceferry_gateway import Metrics
from quinceferry_gateway.logs import log
from quinceferry_gateway.transport import Reply
from quinceferry_platform.store import UPSTREAM_PREFIX, PlatformStore

WHOLE = {
    "service": "llm",
    "addr": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 3,
}
NOT_BASE64 = "abc"
NUMBER = 123_456_789
"""Stands for a value that JSON text is then put in for."""


def with_text(name, text):
    """Return an entry in which a field has a value that is given as JSON text."""
    return json.dumps(WHOLE | {name: NUMBER}).replace(str(NUMBER), text).encode()


RAW_BY_FAULT = {
    'has a deep "cold_left_ms"': with_text("cold_left_ms", "[" * 2_000 + "]" * 2_000),
    "has a deep unknown field": with_text("other", "[" * 100_000 + "]" * 100_000),
    'has "born" of 400 digits': with_text("born", "9" * 400),
    "has a port of 5000 digits": with_text("addr", f'"10.0.0.1:{"8" * 5_000}"'),
    'has a "seq" of 5000 digits': with_text("seq", "9" * 5_000),
    "is no Base64": NOT_BASE64,
    "has an identifier of two lines": json.dumps(WHOLE).encode(),
    "is no JSON": b"{half",
    "is no text": b'{"service": "\xff\xfe"}',
    "is a list": b"[1, 2]",
    "is empty": b"",
}


class ScriptedRange:
    """HTTP client that returns the entries of one range."""

    def __init__(self):
        self.documents_by_id = {}
        self.revisions_by_id = {}

    def put(self, upstream_id, document):
        """Write an entry."""
        self.documents_by_id[upstream_id] = document
        self.revisions_by_id[upstream_id] = self.revisions_by_id.get(upstream_id, 0) + 1

    async def fetch(self, address, method, target, headers, body=b"", *, timeout_seconds):
        """Return all entries."""
        items = [
            {
                "key": UPSTREAM_PREFIX + key,
                "value": (
                    document if document == NOT_BASE64 else base64.b64encode(document).decode()
                ),
                "rev": self.revisions_by_id[key],
            }
            for key, document in self.documents_by_id.items()
        ]
        page = {"items": items, "has_more": False, "at": 9}
        return Reply(200, (), json.dumps(page).encode())


def begin(context):
    """Make a store client before an empty list, and count its log lines."""
    context.range = ScriptedRange()
    context.range_store = PlatformStore("127.0.0.1:1", 1.0, context.range, Metrics())
    context.malformed = []
    original = log.failure
    log.failure = lambda event, **fields: context.malformed.append((event, fields))
    context.add_cleanup(setattr, log, "failure", original)


def broken(fault):
    """Return the document of an entry with a fault."""
    if fault in RAW_BY_FAULT:
        return RAW_BY_FAULT[fault]
    verb, _, rest = fault.partition(" ")
    name, _, value = rest.partition(" = ")
    entry = dict(WHOLE)
    if verb == "lacks":
        del entry[json.loads(name)]
    else:
        entry[json.loads(name)] = json.loads(value)
    return json.dumps(entry).encode()


@given("a list with a whole entry and one that {fault}")
def given_faulty(context, fault):
    begin(context)
    upstream_id = "two\nlines" if "identifier" in fault else "faulty"
    context.range.put(upstream_id, broken(fault))
    context.range.put("whole", json.dumps(WHOLE).encode())


@given("a list with {count:d} entries that can't be read")
def given_many(context, count):
    begin(context)
    for number in range(count):
        context.range.put(f"faulty{number}", b"{")


@given("a list with a whole entry born at {milliseconds:d}")
def given_born(context, milliseconds):
    begin(context)
    context.range.put("whole", json.dumps(WHOLE | {"born": milliseconds}).encode())


@when("one of these entries changes")
def when_changes(context):
    context.range.put("faulty7", b"[")


@when("the list of upstreams is read")
@when("the list of upstreams is read {times:d} times")
def when_list_read(context, times=1):
    for _ in range(times):
        context.listed = asyncio.run(context.range_store.upstreams())


@then("it names the whole entry alone")
def then_whole(context):
    assert list(context.listed.by_id) == ["whole"], context.listed


@then("{count:d} log lines tell of it")
def then_lines(context, count):
    events = [event for event, _ in context.malformed]
    assert events == ["upstream.malformed"] * count, len(events)


@then("the upstream began at {seconds:g} seconds")
def then_began(context, seconds):
    assert context.listed.by_id["whole"].started_at == seconds
