"""Measures false refusals, overspend and stranded tokens against an equal split."""

import argparse
from concurrent.futures import ProcessPoolExecutor

from quinceferry_lab.budget_runs import Fault, RunFigures, System, measure

MAX_PROCESSES = 6
BAR = 0.1
"""Ours may refuse falsely at most this share of what the baseline does."""

_COLUMNS = (
    "fault",
    "system",
    "requests",
    "answered",
    "overspent",
    "falsely refused",
    "withheld",
    "stranded",
    "KV reads/s",
    "KV writes/s",
    "false refusals by reason",
)


def figures(seed: int, faults: tuple[Fault, ...] = tuple(Fault)) -> list[RunFigures]:
    """Measure both systems under each fault.

    :param seed: source of all draws.
    """
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        runs = [pool.submit(measure, system, fault, seed) for fault in faults for system in System]
        return [run.result() for run in runs]


def report(seed: int = 1, faults: tuple[Fault, ...] = tuple(Fault)) -> str:
    """Measure and return a table, with the bars at its end."""
    measured = figures(seed, faults)
    rows = [_COLUMNS, *(_row(run) for run in measured)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_COLUMNS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    return "\n".join([*lines, *_bars(measured)])


def _row(run: RunFigures) -> tuple[str, ...]:
    """Return the cells of one run."""
    reasons = ", ".join(f"{reason} {count}" for reason, count in run.reasons.most_common())
    return (
        run.fault.value,
        run.system.value,
        str(run.requests),
        str(run.answered),
        str(run.overspent),
        f"{run.falsely_refused} ({run.false_share:.2%})",
        str(run.withheld),
        str(run.stranded),
        f"{run.kv_reads_per_second:.1f}",
        f"{run.kv_writes_per_second:.1f}",
        reasons,
    )


def _bars(measured: list[RunFigures]) -> list[str]:
    """Return whether each bar is met."""
    lines = [f"overspent tokens in all: {sum(run.overspent for run in measured)} (bar: 0)"]
    runs_by_key = {(run.fault, run.system): run for run in measured}
    for fault in dict.fromkeys(run.fault for run in measured):
        base = runs_by_key[fault, System.BASELINE]
        ours = runs_by_key[fault, System.OURS]
        is_met = ours.false_share <= base.false_share * BAR
        if base.falsely_refused:
            verdict = "met" if is_met else "NOT met"
            share = ours.false_share / base.false_share
            lines.append(f"{fault.value}: {share:.1%} of the baseline's false refusals: {verdict}")
    return lines


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault", choices=[fault.name.lower() for fault in Fault])
    arguments = parser.parse_args()
    chosen = (Fault[arguments.fault.upper()],) if arguments.fault else tuple(Fault)
    print(report(arguments.seed, chosen))


if __name__ == "__main__":
    main()
