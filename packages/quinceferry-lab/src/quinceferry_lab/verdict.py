"""Runs all features and prints the verdict line that CI reads."""

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

KNOWN_RED_FILE = Path("KNOWN-RED.txt")
"""One line for each known fault: the scenario or day that shows it, how to see it, cause, issue."""
MAX_REASON_CHARACTERS = 500
"""Longest reason of a failure that is printed."""


def main() -> int:
    """Run behave, print failures and ``N passed, N failed``.

    :return: 0 when no scenario failed but those in the known list.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "-f", "json", "-o", str(report)]
        finished = subprocess.run([*command, "-f", "progress", "features"], check=False)
        features = _features(report)
    statuses_by_name = _statuses(features)
    known_by_name = known_red(_known_lines(), statuses_by_name)
    lines, failed = judge(statuses_by_name, known_by_name, finished.returncode, _reasons(features))
    print("\n".join(lines))
    return 1 if failed else 0


def judge(
    statuses_by_name: Mapping[str, str],
    known_by_name: Mapping[str, str],
    exit_code: int,
    reasons_by_name: Mapping[str, str],
) -> tuple[list[str], bool]:
    """Return the lines to print, the verdict last, and whether the run has failed.

    :param known_by_name: lines of the known list by the scenario that they name. Those that name
        none are faults that only a day of the users' bench shows; they are printed.
    :param exit_code: what behave ended with.
    :param reasons_by_name: what failed scenarios said, as far as they did.
    """
    failed = sorted(name for name, status in statuses_by_name.items() if status != "passed")
    unexpected = [name for name in failed if name not in known_by_name]
    passed = len(statuses_by_name) - len(failed)
    lines = []
    for name in failed:
        lines.append(f"{'known red' if name in known_by_name else 'failed'}: {name}")
        if name in reasons_by_name:
            lines.append(f"  {reasons_by_name[name][-MAX_REASON_CHARACTERS:]}")
    elsewhere = [line for name, line in known_by_name.items() if name not in statuses_by_name]
    lines += [f"known red, not run here: {line}" for line in elsewhere]
    crashed = exit_code != 0 and not failed
    if crashed:
        lines.append(f"behave itself exited with {exit_code}")
    lines.append(f"{passed} passed, {len(unexpected) + crashed} failed")
    return lines, bool(unexpected or crashed or not passed)


def known_red(lines: Iterable[str], names: Iterable[str]) -> dict[str, str]:
    """Return the lines of the known list by the scenario with which they begin.

    A line that begins with none is returned by its first field.
    """
    longest_first = sorted(names, key=len, reverse=True)
    found = {}
    for line in lines:
        first = line.split(",")[0].strip()
        found[next((name for name in longest_first if line.startswith(name + ",")), first)] = line
    return found


def _features(report: Path) -> list[dict[str, Any]]:
    """Read the report of behave; empty when it wrote none."""
    if not report.exists() or not report.read_text().strip():
        return []
    return json.loads(report.read_text())


def _scenarios(features: Iterable[dict[str, Any]]) -> Iterator[tuple[str, dict[str, Any]]]:
    """Return all scenarios with their names, which begin with that of their feature."""
    for feature in features:
        for scenario in feature.get("elements", ()):
            if scenario["type"] != "background":
                yield f"{feature['name']}: {scenario['name']}", scenario


def _statuses(features: Iterable[dict[str, Any]]) -> dict[str, str]:
    """Return the status of each scenario."""
    return {name: item.get("status", "untested") for name, item in _scenarios(features)}


def _reasons(features: Iterable[dict[str, Any]]) -> dict[str, str]:
    """Return what the failed step of each failed scenario said."""
    reasons_by_name = {}
    for name, scenario in _scenarios(features):
        results = (step.get("result", {}) for step in scenario.get("steps", ()))
        messages = (result.get("error_message") for result in results)
        message = next((message for message in messages if message), None)
        if message is not None:
            joined = message if isinstance(message, str) else "\n".join(message)
            reasons_by_name[name] = joined.strip()
    return reasons_by_name


def _known_lines() -> list[str]:
    """Read the list of known faults."""
    if not KNOWN_RED_FILE.exists():
        return []
    return [line for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]


if __name__ == "__main__":
    sys.exit(main())
