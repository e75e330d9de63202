"""Steps for the settings file."""

import dataclasses
import re
import tempfile
import typing
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from quinceferryd import main as daemon
from quinceferryd.settings import Settings
from quinceferryd.settings_file import SettingsFileError, load_settings
from quinceferryd.settings_rules import check_value

REFERENCE = Path(__file__).parents[2] / "docs" / "settings.md"
REQUIRED = {
    "router.vm": '"vm-1"',
    "router.zone": '"a"',
    "router.host": '"10.0.0.1"',
    "router.port": "7100",
    "router.fleet_secret": '"fleet-secret-of-test"',
    "router.operator_key": '"operator-key-of-test"',
    "platform.kv_url": '"http://10.0.0.9:7000"',
    "platform.vm_list_url": '"http://10.0.0.9:7001"',
}


def write_file(context, content):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "quinceferryd.toml"
    if content is not None:
        context.path.write_bytes(content)


def write_values(context, values_by_key):
    tables = {}
    for key, value in values_by_key.items():
        table, _, name = key.partition(".")
        tables.setdefault(table, []).append(f"{name} = {value}")
    lines = [line for name, table in tables.items() for line in (f"[{name}]", *table)]
    write_file(context, "\n".join(lines).encode())


@given("a settings file with only the required keys")
def write_required(context):
    write_values(context, REQUIRED)


@given("a settings file with the changes")
def write_changed(context):
    changes = {row["key"]: row["value"] for row in context.table}
    values = {**REQUIRED, **changes}
    write_values(context, {key: value for key, value in values.items() if value})


@given("a settings file that {state}")
def write_broken(context, state):
    contents_by_state = {
        "does not exist": None,
        "is not valid TOML": b"[router\n",
        "is not UTF-8": b'[router]\nvm = "\xff"\n',
    }
    write_file(context, contents_by_state[state])


@when("the settings file is loaded")
def load_file(context):
    context.settings, context.faults = None, []
    try:
        context.settings = load_settings(context.path)
    except SettingsFileError as error:
        context.faults = error.faults
        context.fault_lines = str(error)


@when("quinceferryd checks the settings file")
def check_file(context):
    context.result = CliRunner().invoke(daemon.main, ["--config", str(context.path), "--check"])


@then("the settings hold its values and the defaults")
def check_values(context):
    assert context.faults == [], context.faults
    assert context.settings.router.host == "10.0.0.1"
    assert context.settings.router.port == 7100
    assert context.settings.callers == type(context.settings.callers)()


@then("no secret is in the text form of the settings")
def check_secrets(context):
    text = repr(context.settings)
    assert "fleet-secret-of-test" not in text, text
    assert "operator-key-of-test" not in text, text


@then("exactly these faults are reported")
def check_faults(context):
    expected = [(row["key"], row["reason"]) for row in context.table]
    found = {fault.key: fault.reason for fault in context.faults}
    assert len(found) == len(context.faults) == len(expected), context.fault_lines
    for key, reason in expected:
        assert found.get(key, "").startswith(reason), (key, found.get(key))


@then("each fault names the settings file")
def check_file_named(context):
    lines = context.fault_lines.splitlines()
    assert len(lines) == len(context.faults)
    assert all(line.startswith(f"{context.path}: ") for line in lines), lines


@then('no fault holds "{value}"')
def check_not_leaked(context, value):
    assert value not in context.fault_lines


@then('the only fault is at "{key}"')
def check_only_fault(context, key):
    assert [fault.key for fault in context.faults] == [key], context.faults


@then('the settings file as a whole has the fault "{reason}"')
def check_only_reason(context, reason):
    assert [fault.key for fault in context.faults] == [""], context.faults
    assert context.faults[0].reason.startswith(reason), context.faults


def _defaults_by_key():
    keys = {}
    for table, kind in typing.get_type_hints(Settings).items():
        for field in dataclasses.fields(kind):
            required = field.default is dataclasses.MISSING
            keys[f"{table}.{field.name}"] = "required" if required else _toml(field.default)
    return keys


def _toml(value):
    return f'"{value}"' if isinstance(value, str) else str(value)


@then("the settings reference and the data classes name the same keys and defaults")
def check_reference(context):
    documented, table = {}, ""
    for line in REFERENCE.read_text().splitlines():
        heading = re.match(r"## `\[(\w+)\]`", line)
        table = heading.group(1) if heading else table
        row = re.match(r"\| `(\w+)` \| `?([^|`]+)`? \| (\S.*) \|$", line)
        if row:
            documented[f"{table}.{row.group(1)}"] = row.group(2).strip()
    expected = _defaults_by_key()
    assert set(documented) == set(expected), set(documented) ^ set(expected)
    wrong = {key for key in expected if documented[key] != expected[key]}
    assert not wrong, {key: (documented[key], expected[key]) for key in wrong}


@then("every number in the settings has a range")
def check_ranges(context):
    for table, kind in typing.get_type_hints(Settings).items():
        for field, expected in typing.get_type_hints(kind).items():
            if expected in (int, float):
                assert check_value(f"{table}.{field}", expected(-1)), f"{table}.{field}"


@then("it exits with 0 and says that the settings are valid")
def check_valid(context):
    assert context.result.exit_code == 0, context.result.output
    assert "valid" in context.result.output


@then('it exits with 2 and names "{key}"')
def check_invalid(context, key):
    assert context.result.exit_code == 2, context.result.output
    assert key in context.result.output, context.result.output
