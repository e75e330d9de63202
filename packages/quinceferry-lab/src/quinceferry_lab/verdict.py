"""Runs all features and prints the verdict line that CI reads."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

KNOWN_RED_FILE = Path("KNOWN-RED.txt")
"""One line for each scenario that may fail: name, cause, issue."""


def main() -> int:
    """Run behave, print failures and ``N passed, N failed``.

    :return: 0 when no scenario failed but those in the known list.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "-f", "json", "-o", str(report)]
        finished = subprocess.run([*command, "-f", "progress", "features"], check=False)
        statuses_by_name = _statuses(report)
    known = _known_red()
    failed = sorted(name for name, status in statuses_by_name.items() if status != "passed")
    unexpected = [name for name in failed if name not in known]
    passed = len(statuses_by_name) - len(failed)
    for name in failed:
        print(f"{'known red' if name in known else 'failed'}: {name}")
    crashed = finished.returncode != 0 and not failed
    if crashed:
        print(f"behave itself exited with {finished.returncode}")
    print(f"{passed} passed, {len(unexpected) + crashed} failed")
    return 1 if unexpected or crashed or not passed else 0


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


def _known_red() -> set[str]:
    """Read the names of scenarios that are known to fail."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.split(",")[0].strip() for line in lines if line.strip()}


if __name__ == "__main__":
    sys.exit(main())
