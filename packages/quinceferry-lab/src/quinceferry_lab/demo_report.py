"""The demo's table for people and its line for programs."""

import json
from collections import Counter
from typing import TYPE_CHECKING

import click

from quinceferry_lab.demo_audit import Findings

if TYPE_CHECKING:
    from quinceferry_lab.demo import DemoRun

_MEBIBYTE = 1024 * 1024
_MAX_BROKEN_LINES = 20


def show_report(run: "DemoRun", findings: Findings, seconds: float) -> None:
    """Print the table, what broke, and the JSON line.

    :param seconds: duration of the demo.
    """
    _show_workspaces(run)
    click.echo()
    for name, value in _summary(run, findings, seconds).items():
        click.echo(f"{name:<24} {value}")
    for line in findings.broken[:_MAX_BROKEN_LINES]:
        click.echo(f"BROKEN: {line}")
    click.echo("all promises held" if not findings.broken else f"{len(findings.broken)} broken")
    click.echo(json.dumps(_summary(run, findings, seconds)))


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies; zero for none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def _show_workspaces(run: "DemoRun") -> None:
    """Print one line for each workspace."""
    header = ("workspace", "requests", "answered", "refused", "granted", "used")
    click.echo("\n{:<20}{:>10}{:>10}{:>10}{:>12}{:>12}".format(*header))
    for workspace in run.workspaces:
        mine = [r for r in run.results if r.planned.workspace.name == workspace.name]
        counts = Counter(bool(result.reason) for result in mine)
        used = sum(result.usage.total_tokens for result in mine if result.usage)
        click.echo(
            f"{workspace.name:<20}{len(mine):>10}{counts[False]:>10}{counts[True]:>10}"
            f"{workspace.granted:>12}{used:>12}"
        )


def _summary(run: "DemoRun", findings: Findings, seconds: float) -> dict[str, object]:
    """Return the figures of the JSON line."""
    first_tokens = [
        result.first_token_seconds * 1000
        for result in run.results
        if result.first_token_seconds is not None
    ]
    return {
        "requests": len(run.results),
        "answered": findings.answered,
        "refused_by_reason": dict(sorted(findings.refused_by_reason.items())),
        "billed": findings.billed,
        "billed_by_router": dict(sorted(findings.billed_by_router.items())),
        "double_billed": findings.double_billed,
        "overspent_tokens": findings.overspent_tokens,
        "false_refusals": findings.false_refusals,
        "cut_streams": run.cut_streams,
        "first_token_ms": {
            "p50": round(percentile(first_tokens, 0.5), 1),
            "p95": round(percentile(first_tokens, 0.95), 1),
        },
        "router_memory_mb": {
            "idle": _megabytes(run.idle_bytes_by_router),
            "busy": _megabytes(run.busy_bytes_by_router),
        },
        "broken_promises": len(findings.broken),
        "seconds": round(seconds, 1),
    }


def _megabytes(bytes_by_router: dict[str, int]) -> dict[str, float]:
    """Return memory in mebibytes."""
    return {name: round(size / _MEBIBYTE, 1) for name, size in bytes_by_router.items()}
