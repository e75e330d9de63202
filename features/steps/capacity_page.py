"""Steps for the capacity page and the fits behind it."""

import re
from pathlib import Path

import msgspec
from behave import given, then, when

from quinceferry_lab.capacity_figures import Report
from quinceferry_lab.capacity_fits import Point, Series, fit
from quinceferry_lab.capacity_model import complete
from quinceferry_lab.capacity_page import render

FOLDER = Path(__file__).resolve().parents[2] / "docs"
SERIES = Series("trial", "item", "bytes")


@given("the capacity page and its file")
def given_page(context):
    context.page = (FOLDER / "CAPACITY.md").read_text()
    context.report = msgspec.json.decode((FOLDER / "capacity.json").read_bytes(), type=Report)


@when("one figure of the file changes")
def when_changed(context):
    first, *others = context.report.figures
    changed = msgspec.structs.replace(first, value=first.value * 2)
    context.report = msgspec.structs.replace(context.report, figures=(changed, *others))


@then("writing the page anew from the file changes nothing")
def then_same(context):
    assert render(context.page, context.report) == context.page


@then("writing the page anew from the file changes it")
def then_other(context):
    assert render(context.page, context.report) != context.page


@then("deriving the figures anew gives those of the file")
def then_derived(context):
    assert complete(context.report) == context.report


@then("every slope of the file has at least {count:d} sizes")
def then_sizes(context, count):
    assert context.report.slopes
    for slope in context.report.slopes:
        assert len({point.size for point in slope.points}) >= count, slope.name


@then('each row of the verdicts says "{fits}", "{named}" or "{fails}"')
def then_verdicts(context, fits, named, fails):
    section = context.page.partition("## Verdicts")[2].partition("\n## ")[0]
    rows = [line for line in section.splitlines() if line.startswith("|")][2:]
    assert len(rows) >= 10, rows
    for row in rows:
        verdict = row.rstrip("| ").rpartition("|")[2]
        assert f"**{fits}" in verdict or f"**{named}" in verdict or f"**{fails}" in verdict, row


@when("a line is fitted to the values {values} at the sizes {sizes}")
def when_fitted(context, values, sizes):
    points = [Point(*pair) for pair in zip(_numbers(sizes), _numbers(values), strict=True)]
    context.slope = fit(SERIES, points)


@then("it grows by {per_item:d} for each item from {fixed:d}, with an error of {error:d}")
def then_line(context, per_item, fixed, error):
    slope = context.slope
    assert (slope.per_item, slope.fixed, slope.error) == (per_item, fixed, error), slope


@then("its error is above {error:d}")
def then_error(context, error):
    assert context.slope.error > error, context.slope


@then("fitting a line to {count:d} sizes is refused")
def then_refused(context, count):
    try:
        fit(SERIES, [Point(size, size) for size in range(count)])
    except ValueError:
        return
    raise AssertionError("the line was fitted")


def _numbers(text):
    return [float(number) for number in re.findall(r"\d+", text)]
