"""Runs all features and prints the verdict line that CI reads."""

import json
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path

KNOWN_RED_FILE = Path("KNOWN-RED.txt")
"""One line for each known fault: the scenario or day that shows it, how to see it, cause, issue."""


def main() -> int:
    """Run behave, print failures and ``N passed, N failed``.

    :return: 0 when no scenario failed but those in the known list.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "-f", "json", "-o", str(report)]
        finished = subprocess.run([*command, "-f", "progress", "features"], check=False)
        statuses_by_name = _statuses(report)
    lines, failed = judge(statuses_by_name, _known_red(), finished.returncode)
    print("\n".join(lines))
    return 1 if failed else 0


def judge(
    statuses_by_name: Mapping[str, str], known_by_name: Mapping[str, str], exit_code: int
) -> tuple[list[str], bool]:
    """Return the lines to print, the verdict last, and whether the run has failed.

    :param known_by_name: lines of the known list by their first field. Those that are no scenario
        are faults that only a day of the users' bench shows; they are printed.
    :param exit_code: what behave ended with.
    """
    failed = sorted(name for name, status in statuses_by_name.items() if status != "passed")
    unexpected = [name for name in failed if name not in known_by_name]
    passed = len(statuses_by_name) - len(failed)
    lines = [f"{'known red' if name in known_by_name else 'failed'}: {name}" for name in failed]
    elsewhere = [line for name, line in known_by_name.items() if name not in statuses_by_name]
    lines += [f"known red, not run here: {line}" for line in elsewhere]
    crashed = exit_code != 0 and not failed
    if crashed:
        lines.append(f"behave itself exited with {exit_code}")
    lines.append(f"{passed} passed, {len(unexpected) + crashed} failed")
    return lines, bool(unexpected or crashed or not passed)


def _statuses(report: Path) -> dict[str, str]:
    """Read the status of each scenario, keyed by feature and name."""
    if not report.exists() or not report.read_text().strip():
        return {}
    features = json.loads(report.read_text())
    return {
        f"{feature['name']}: {scenario['name']}": scenario.get("status", "untested")
        for feature in features
        for scenario in feature.get("elements", ())
        if scenario["type"] != "background"
    }


def _known_red() -> dict[str, str]:
    """Read the known faults, by their first field."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.split(",")[0].strip(): line for line in lines if line.strip()}


if __name__ == "__main__":
    sys.exit(main())
