"""Measures all slopes, derives the long-run figures and writes the file and the page's tables."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click
import msgspec

from quinceferry_lab import (
    capacity_daemons,
    capacity_fleet,
    capacity_journals,
    capacity_membership,
    capacity_memory,
    capacity_messages,
    capacity_requests,
)
from quinceferry_lab.capacity_figures import Report
from quinceferry_lab.capacity_fits import Slope
from quinceferry_lab.capacity_model import complete
from quinceferry_lab.capacity_page import render

T = TypeVar("T")

FILE = Path("docs/capacity.json")
PAGE = Path("docs/CAPACITY.md")


def measure() -> Report:
    """Run all measurements, one after the other."""
    slopes = _said("memory", capacity_memory.measure)
    daemon_slopes, readings = _said("daemons", lambda: asyncio.run(_measure_daemons()))
    fleets, fleet_slopes = _said("fleets", capacity_fleet.measure)
    journals = _said("journals", capacity_journals.measure)
    membership = _said("membership", capacity_membership.measure)
    return complete(
        Report(
            tuple(slopes + daemon_slopes + fleet_slopes),
            readings,
            tuple(fleets),
            tuple(journals),
            tuple(membership),
        )
    )


async def _measure_daemons() -> tuple[list[Slope], dict[str, float]]:
    """Measure real daemons."""
    async with capacity_daemons.running() as daemons:
        slopes, readings = await capacity_requests.measure(daemons)
        return slopes + await capacity_messages.measure(daemons), readings


def _said(name: str, work: Callable[[], T]) -> T:
    """Run one measurement and say how long it took."""
    began_at = time.monotonic()
    result = work()
    click.echo(f"{name}: {time.monotonic() - began_at:.0f} s", err=True)
    return result


@click.command()
@click.option("--derive-only", is_flag=True, help="Use the slopes that the file has.")
def main(derive_only: bool) -> None:
    """Measure, and write the file and the tables of the page."""
    if derive_only:
        report = complete(msgspec.json.decode(FILE.read_bytes(), type=Report))
    else:
        report = measure()
    encoded = msgspec.json.format(msgspec.json.encode(report), indent=1)
    FILE.write_bytes(encoded + b"\n")
    if PAGE.exists():
        PAGE.write_text(render(PAGE.read_text(), report))


if __name__ == "__main__":
    main()
