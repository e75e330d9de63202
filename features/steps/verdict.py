"""Steps for the verdict of a run."""

from behave import given, then, use_step_matcher, when

from quinceferry_lab.verdict import judge, known_red

use_step_matcher("re")


@given('scenario "one" ended as "(?P<one>.*)" and scenario "two, three" as "(?P<two>.*)"')
def given_comma(context, one, two):
    context.statuses_by_name = {"one": one, "two, three": two}


@given('scenario "one" ended as "(?P<one>.*)" and scenario "two" as "(?P<two>.*)"')
def given_statuses(context, one, two):
    context.statuses_by_name = {"one": one, "two": two}


@given('the known list names "(?P<known>.*)"')
def given_known(context, known):
    context.known_by_name = known_red([known] if known else [], context.statuses_by_name)


@when(r"behave exits with (?P<code>\d+)")
def when_exits(context, code):
    context.lines, context.run_failed = judge(
        context.statuses_by_name, context.known_by_name, int(code), {"two": "a reason"}
    )


@then('the verdict says "(?P<said>.*)" and "(?P<counts>.*)", and the run (?P<end>passes|fails)')
def then_verdict(context, said, counts, end):
    expected = [said, counts] if said else [counts]
    assert [line for line in context.lines if line in expected] == expected, context.lines
    assert context.lines[-1] == counts, context.lines
    assert context.run_failed == (end == "fails"), context.lines


use_step_matcher("parse")
