"""Generated parts of the capacity page: tables, and single figures in the text."""

import re
from collections.abc import Callable, Iterable

from quinceferry_lab.capacity_figures import Figure, Report

_BLOCK = re.compile(r"<!-- table: (\S+) -->\n.*?<!-- end -->", re.DOTALL)
_INLINE = re.compile(r"<!-- (\w+) -->[^<]*<!-- / -->")
_MEGABYTE = 1e6
_GIGABYTE = 1e9


def render(page: str, report: Report) -> str:
    """Return the page with its generated parts written anew.

    :raises KeyError: the page names a table or figure that the report lacks.
    """
    page = _BLOCK.sub(lambda match: _block(match[1], report), page)
    figures_by_name = {figure.name: figure for figure in report.figures}

    def inline(match: re.Match[str]) -> str:
        return f"<!-- {match[1]} -->{amount(figures_by_name[match[1]])}<!-- / -->"

    return _INLINE.sub(inline, page)


def amount(figure: Figure) -> str:
    """Return a figure as text, with its unit."""
    return _amount(figure.value, figure.unit)


def _amount(value: float, unit: str) -> str:
    """Return a value in the unit that readers expect."""
    match unit:
        case "bytes":
            return (
                f"{value / _GIGABYTE:,.1f} GB"
                if value >= _GIGABYTE
                else f"{value / _MEGABYTE:,.1f} MB"
            )
        case "bytes/s":
            return f"{value / 1000:,.1f} KB/s"
        case "s/s":
            return f"{value * 100:,.2f}% of a core"
        case "s":
            return f"{value:,.0f} s" if value >= 10 else f"{value * 1000:,.0f} ms"
        case _:
            return (
                f"{value:,.4g} {unit}".strip() if value < 1000 else f"{value:,.0f} {unit}".strip()
            )


def _block(name: str, report: Report) -> str:
    """Return a whole generated block."""
    kind, _, argument = name.partition(":")
    rows = _TABLES[kind](report, argument)
    return f"<!-- table: {name} -->\n\n{_table(rows)}\n\n<!-- end -->"


def _slopes(report: Report, prefix: str) -> Iterable[tuple[str, ...]]:
    """Return the measured slopes whose names begin with a prefix."""
    yield ("what", "for each", "slope", "standard error", "at size zero", "sizes")
    for slope in report.slopes:
        if not slope.name.startswith(prefix):
            continue
        sizes = ", ".join(f"{size:g}" for size in dict.fromkeys(p.size for p in slope.points))
        cells = (
            f"{value:,.4g} {slope.unit}" for value in (slope.per_item, slope.error, slope.fixed)
        )
        yield (f"`{slope.name}`", slope.item, *cells, sizes)


def _figures(report: Report, prefix: str) -> Iterable[tuple[str, ...]]:
    """Return the derived figures whose names begin with a prefix."""
    yield ("what", "at the long-run size", "limit", "used", "from")
    for figure in report.figures:
        if figure.name.startswith(prefix):
            limit = _amount(figure.limit, figure.unit) if figure.limit else ""
            share = f"{figure.share:.0%}" if figure.limit else ""
            yield (figure.what, amount(figure), limit, share, figure.formula)


def _journals(report: Report, _: str) -> Iterable[tuple[str, ...]]:
    """Return the journals of each fleet."""
    yield ("routers", "commits/s", "entries a commit", "mean wait of a begin", "95th percentile")
    for cost in report.journals:
        waits = (f"{s * 1000:,.0f} ms" for s in (cost.mean_wait_seconds, cost.p95_wait_seconds))
        yield (
            str(cost.routers),
            f"{cost.commits_per_second:,}",
            f"{cost.entries_per_commit}",
            *waits,
        )


def _membership(report: Report, _: str) -> Iterable[tuple[str, ...]]:
    """Return what each phase of membership costs."""
    yield ("phase", "routers", "time", "reads", "writes", "refused by the rate limit")
    for phase in sorted(report.membership, key=lambda p: (p.name, p.routers)):
        counts = (f"{phase.reads:,}", f"{phase.writes:,}", f"{phase.rejected:,}")
        yield (phase.name, str(phase.routers), f"{phase.seconds:.2f} s", *counts)


def _fleets(report: Report, kind: str) -> Iterable[tuple[str, ...]]:
    """Return the calls of each fleet by purpose."""
    attribute = f"{kind}_by_purpose"
    purposes = sorted({p for run in report.fleets for p in getattr(run, attribute)})
    yield ("routers", "workspaces", "requests/s", *purposes)
    for run in sorted(
        report.fleets, key=lambda r: (r.routers, r.workspaces, r.requests_per_second)
    ):
        calls = (f"{getattr(run, attribute).get(purpose, 0.0):.2f}" for purpose in purposes)
        yield (str(run.routers), str(run.workspaces), f"{run.requests_per_second:g}", *calls)


def _readings(report: Report, _: str) -> Iterable[tuple[str, ...]]:
    """Return single readings and the settings that the derivation uses."""
    yield ("what", "value")
    for values in (report.sizes, report.limits, report.settings, report.readings):
        for name, value in values.items():
            yield (name.replace("_", " "), f"{value:,.5g}" if value < 1e5 else f"{value:,.0f}")


def _table(rows: Iterable[tuple[str, ...]]) -> str:
    """Return a Markdown table."""
    head, *body = rows
    lines = [head, tuple("---" for _ in head), *body]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


_TABLES: dict[str, Callable[[Report, str], Iterable[tuple[str, ...]]]] = {
    "slopes": _slopes,
    "figures": _figures,
    "journals": _journals,
    "membership": _membership,
    "fleets": _fleets,
    "readings": _readings,
}
