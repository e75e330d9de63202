"""Steps for the pages."""

import re

from behave import then, when
from fixtures_docs import (
    ROOT,
    event_faults,
    exported_series,
    gateway_page_faults,
    link_faults,
    make_faults,
    module_faults,
    pages,
    read,
    reason_faults,
    series_faults,
    settings_faults,
)

TEXT_CHECKS = (make_faults, series_faults, event_faults, settings_faults, module_faults)


def expect_none(faults):
    assert not faults, "\n".join(faults)


def faults_of_all(*checks):
    found = pages()
    assert len(found) > 5, found
    return [fault for page in found for check in checks for fault in check(page.name, read(page))]


@then("no page has a link to a missing file or heading")
def check_links(context):
    expect_none([fault for page in pages() for fault in link_faults(page, read(page))])


@then("no page names a make target that the Makefile lacks")
def check_targets(context):
    expect_none(faults_of_all(make_faults))


@then('the page "{page}" explains each reason of a refusal')
def check_reasons(context, page):
    expect_none(reason_faults(read(page)))


@then("no page names a metric or label value that a router does not export")
def check_series(context):
    expect_none(faults_of_all(series_faults))


@then('the page "{page}" names every metric that a router exports')
def check_series_complete(context, page):
    text = read(page)
    expect_none(
        [
            f"{page} lacks {name}"
            for name in sorted(exported_series())
            if name.startswith("quinceferry_") and f"`{name}`" not in text
        ]
    )


@then("no page names a log line, setting or module that the code lacks")
def check_names(context):
    expect_none(faults_of_all(event_faults, settings_faults, module_faults))


@when('a page says "{text}"')
def write_page(context, text):
    page = ROOT / "docs" / "page.md"
    context.faults = link_faults(page, text)
    for check in TEXT_CHECKS:
        context.faults += check(page.name, text)


@when('the row of "{reason}" in "{page}" is replaced by "{row}"')
def replace_row(context, reason, page, row):
    text, count = re.subn(rf"^\| `{reason}` \|.*$", row.replace("/", "|"), read(page), flags=re.M)
    assert count == 1, count
    context.faults = reason_faults(text)


@when('the row of "{reason}" in "{page}" is replaced by ""')
def remove_row(context, reason, page):
    replace_row(context, reason, page, "")


@then('the check of {subject} finds "{found}"')
def check_found(context, subject, found):
    assert found in context.faults, context.faults


@then('all that a gateway logs and counts is on "{page}"')
def check_gateway_page(context, page):
    expect_none(gateway_page_faults(read(page)))


@when('"{page}" loses its line on "{event}"')
def lose_line(context, page, event):
    kept = [line for line in read(page).splitlines() if f"`{event}`" not in line]
    context.faults = gateway_page_faults("\n".join(kept))
