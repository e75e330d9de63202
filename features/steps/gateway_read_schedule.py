"""Steps for when a gateway reads a list of the store."""

import random

from behave import given, then, when

from quinceferry_gateway.fleet.read_schedule import INTERVAL_SHARE, MAX_AGE_SHARE, ReadSchedule


@given("{count:d} gateways that read a list with a bound of {bound:g} seconds at second 0")
def given_schedules(context, count, bound):
    context.schedules = [
        ReadSchedule(INTERVAL_SHARE * bound, MAX_AGE_SHARE * bound, random.Random(seed))
        for seed in range(count)
    ]
    for schedule in context.schedules:
        schedule.read_started(0.0)
    context.requested_at = 0.0


@when("the next call of each fails at second {at:g}")
def when_failed(context, at):
    for schedule in context.schedules:
        schedule.read_started(at)
        schedule.read_failed(False, 0.0, at, len(context.schedules))


@when("each has a copy that was requested at second {at:g}")
@when("each gets a copy that was requested at second {at:g}, and no more")
def when_copied(context, at):
    context.requested_at = at


@when("they get no copies")
def when_not_copied(context):
    context.requested_at = 0.0


@then("all of them read the list {least:g} to {most:g} seconds after that")
def then_read(context, least, most):
    context.ages = sorted(
        schedule.due_at(False, context.requested_at) - context.requested_at
        for schedule in context.schedules
    )
    assert least <= context.ages[0] and context.ages[-1] <= most, context.ages


@then("at most {most:d} of them do so within any {seconds:g} seconds")
def then_spread(context, most, seconds):
    for begin in context.ages:
        count = sum(begin <= age < begin + seconds for age in context.ages)
        assert count <= most, (begin, count)
