"""Measures the choice of upstream and admission under load, on virtual time.

Ten stand-in engines serve skewed workspaces with shared prompt prefixes through three routers. Each
policy meets the same requests, drawn from the seed, at several shares of the capacity.
"""

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor

from quinceferry_lab.routing_load import POLICIES, Policy
from quinceferry_lab.routing_runs import RunFigures, measure_leaving, measure_run

LOADS = (0.5, 0.9, 1.2)
"""Offered load, as shares of the capacity with every shared prefix cached."""
WORKERS = 3
"""Runs measured at the same time; they share nothing."""

_COLUMNS = (
    "policy",
    "load",
    "hit share",
    "first token p50",
    "p95",
    "p99",
    "high p95",
    "between p95",
    "refused high/normal/low",
)


def figures(seed: int) -> list[RunFigures]:
    """Measure every policy at every load.

    :param seed: source of all draws.
    """
    runs = [(policy, load, seed) for load in LOADS for policy in POLICIES]
    with ProcessPoolExecutor(WORKERS) as workers:
        return list(workers.map(_measure, runs))


def _measure(run: tuple[Policy, float, int]) -> RunFigures:
    return measure_run(*run)


def report(seed: int = 1) -> str:
    """Measure and return a table, with the bars at its end."""
    measured = figures(seed)
    leaving = measure_leaving(seed)
    rows = [_COLUMNS, *(_row(each) for each in measured)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_COLUMNS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    lines += [
        f"leaving under load: {leaving.sent_late} requests sent over 3 s after the first sign "
        f"(least reported load: {leaving.sent_late_naive}), {leaving.sent_in_time} before",
        *_bars(measured),
    ]
    return "\n".join(lines)


def _row(run: RunFigures) -> tuple[str, ...]:
    return (
        run.policy.value,
        f"{run.load:.0%}",
        f"{run.hit_share:.1%}",
        *(f"{seconds * 1000:.0f} ms" for seconds in run.first_token_p50_p95_p99),
        f"{run.high_first_token_p95 * 1000:.0f} ms",
        f"{run.between_tokens_p95 * 1000:.1f} ms",
        "/".join(f"{refused}" for refused in run.refused_by_class),
    )


def _bars(measured: list[RunFigures]) -> list[str]:
    """Compare the measured figures with what is asked of them."""
    by_key = {(run.policy, run.load): run for run in measured}
    ours, least = by_key[Policy.OURS, 0.9], by_key[Policy.LEAST_REPORTED, 0.9]
    rand = by_key[Policy.RANDOM, 0.9]
    busy, quiet = by_key[Policy.OURS, 1.2], by_key[Policy.OURS, 0.5]
    first_token = ours.first_token_p50_p95_p99[1] / least.first_token_p50_p95_p99[1]
    hits = ours.hit_share / max(rand.hit_share, 1e-9)
    high = busy.high_first_token_p95 / max(quiet.high_first_token_p95, 1e-9)
    return [
        _bar("first token p95 at 90%, ours to least reported load", first_token, 0.5, below=True),
        _bar("cache hit share at 90%, ours to random", hits, 2.0, below=False),
        _bar("high-priority p95, at 120% to at 50%", high, 1.5, below=True),
    ]


def _bar(name: str, value: float, bound: float, *, below: bool) -> str:
    met = value <= bound if below else value >= bound
    word = "at most" if below else "at least"
    return f"{'met' if met else 'NOT MET'}: {name} {value:.2f} ({word} {bound:g})"


def main() -> int:
    """Print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.json:
        print(json.dumps([run.as_fields() for run in figures(options.seed)]))
    else:
        print(report(options.seed))
    return 0


if __name__ == "__main__":
    sys.exit(main())
