"""Steps for configurations in which values are replaced at random."""

import copy
import json

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_each
from hypothesis import strategies as st

from quinceferry_gateway.exceptions import ConfigurationError
from quinceferry_platform.configurations import decode_configuration

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**20), 10**20)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=6)
    | st.sampled_from(["w-0", "key-0", "key-1", "/p-0/", "h.example", "safe", "", "/"]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["name", "api_keys", "weight", "x"]), inner, max_size=3),
    max_leaves=6,
)


def base_document(routes, workspaces):
    """Return a document whose routes and workspaces have different fields."""
    common = {"host": "h.example", "kind": "safe", "timeout_ms": 1000, "service": "app"}
    return {
        "version": 7,
        "routes": [
            common | {"name": f"r-{n}", "prefix": f"/p-{n}/", "attempts": n, "anonymous": n == 1}
            for n in range(routes)
        ],
        "services": [{"name": "app"}, {"name": "llm", "engine": {"stride": 4}, "cold_s": 3.0}],
        "limits": {"max_body_bytes": 5000},
        "tenants": [
            {"name": f"w-{n}", "api_keys": [f"key-{n}", f"other-{n}"], "prepaid": n, "priority": n}
            for n in range(workspaces)
        ],
    }


def paths_of(value, path=()):
    """Yield the paths of all values in a document."""
    if path:
        yield path
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        if isinstance(inner, dict | list):
            yield from paths_of(inner, (*path, key))
        else:
            yield (*path, key)


def value_at(document, path):
    """Return the value at a path."""
    for key in path:
        document = document[key]
    return document


def replace_value(document, path, value):
    """Replace the value at a path, if an earlier replacement has left it there."""
    target = document
    for key in path[:-1]:
        try:
            target = target[key]
        except (KeyError, IndexError, TypeError):
            return
    try:
        target[path[-1]] = copy.deepcopy(value)
    except (KeyError, IndexError, TypeError):
        return


@given("a configuration of {routes:d} routes and {workspaces:d} workspaces")
def given_base(context, routes, workspaces):
    context.base = base_document(routes, workspaces)


@when("values of it are replaced at random, {count:d} times")
def when_replaced(context, count):
    context.played = []
    paths = list(paths_of(context.base))
    # Values of other paths are well-formed, and make entries contradict each other.
    values = VALUES | st.sampled_from([value_at(context.base, path) for path in paths])
    changes = st.lists(st.tuples(st.sampled_from(paths), values), min_size=1, max_size=3)

    @settings(
        max_examples=count,
        database=None,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_each(changes)
    def play(drawn):
        document = copy.deepcopy(context.base)
        for path, value in drawn:
            replace_value(document, path, value)
        try:
            decoded = decode_configuration(json.dumps(document).encode())
        except ConfigurationError:
            decoded = None
        context.played.append((document, drawn, decoded))

    play()


@then("each document is decoded, or refused as a whole without a whole number as its version")
def then_decoded(context):
    for document, _, decoded in context.played:
        version = document["version"]
        is_number = isinstance(version, int) and not isinstance(version, bool)
        assert (decoded is not None) == is_number, (document, decoded)


def names_by_listed_key(document):
    """Return the names of the workspaces that list each text as a key."""
    names_by_key = {}
    tenants = document.get("tenants")
    for tenant in tenants if isinstance(tenants, list) else []:
        is_readable = isinstance(tenant, dict) and isinstance(tenant.get("name"), str)
        listed = tenant.get("api_keys") if is_readable and tenant["name"] else None
        for key in listed if isinstance(listed, list) else []:
            if isinstance(key, str) and key:
                names_by_key.setdefault(key, set()).add(tenant["name"])
    return names_by_key


@then("each valid key is a text that one workspace alone lists")
def then_listed(context):
    for document, _, decoded in context.played:
        if decoded is None:
            continue
        assert decoded.requires_keys, document
        names_by_key = names_by_listed_key(document)
        valid = {key: {item.name} for key, item in decoded.workspaces_by_key.items()}
        expected = {key: names for key, names in names_by_key.items() if len(names) == 1}
        assert valid == expected, (document, valid, expected)


@then("all entries without a replaced value are decoded as before")
def then_unchanged(context):
    before = decode_configuration(json.dumps(context.base).encode())
    checked = 0
    for document, drawn, decoded in context.played:
        replaced_parts = {path[:2] for path, _ in drawn}
        if decoded is None or any(len(part) < 2 for part in replaced_parts):
            continue
        checked += 1
        _check_routes(context.base, document, replaced_parts, before, decoded)
        _check_workspaces(context.base, document, replaced_parts, before, decoded)
    assert checked > len(context.played) // 4, checked


def _check_routes(base, document, replaced_parts, before, decoded):
    """Check the routes whose entries are the same, and whose host and prefix no other has."""
    prefixes = [
        item.get("prefix") if isinstance(item, dict) else None for item in document["routes"]
    ]
    for index, entry in enumerate(base["routes"]):
        if ("routes", index) not in replaced_parts and prefixes.count(entry["prefix"]) == 1:
            path = entry["prefix"] + "a"
            found = decoded.route(entry["host"], path)
            assert found == before.route(entry["host"], path), (document, found)


def _check_workspaces(base, document, replaced_parts, before, decoded):
    """Check the workspaces whose entries are the same, and whose name no other has."""
    names = [item.get("name") if isinstance(item, dict) else None for item in document["tenants"]]
    for index, entry in enumerate(base["tenants"]):
        if ("tenants", index) not in replaced_parts and names.count(entry["name"]) == 1:
            found = decoded.workspaces_by_name[entry["name"]]
            assert found == before.workspaces_by_name[entry["name"]], (document, found)
