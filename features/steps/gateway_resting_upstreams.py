"""Steps for upstreams that turn requests away and ask for a pause."""

from collections import deque

from behave import given, then

from quinceferry_standins.managed_upstream import Answered, Declined


@given('{name} always refuses with a pause of "{seconds}" seconds')
def given_refusing(context, name, seconds):
    context.fleet.upstreams_by_id[name].script = deque([Declined(retry_after=seconds)])


@given('{name} refuses once with a pause of "{seconds}" seconds')
def given_refusing_once(context, name, seconds):
    script = deque([Declined(retry_after=seconds), Answered()])
    context.fleet.upstreams_by_id[name].script = script


@then("{name} got at most {most:d} requests between {start:g} and {end:g} seconds after the first")
def then_spared(context, name, most, start, end):
    passed = seconds_after_first(context, name)
    during = [seconds for seconds in passed if start <= seconds < end]
    assert len(during) <= most, (len(during), during[:5])


@then("{name} got {least:d} or more requests later than {start:g} seconds after the first")
def then_used_again(context, name, least, start):
    passed = seconds_after_first(context, name)
    later = [seconds for seconds in passed if seconds > start]
    assert len(later) >= least, (len(later), passed)


@then("no caller was told to come back before the pause of {name} ends")
def then_truthful(context, name):
    script = context.fleet.upstreams_by_id[name].script
    pause = float(script[0].retry_after)
    refused = [answer for answer in context.fleet.answers if answer.status == 503]
    first_at = context.fleet.upstreams_by_id[name].arrived_at[0]
    early = [
        answer
        for answer in refused
        if answer.at + float(answer.headers[b"retry-after"]) < first_at + pause
    ]
    assert not early, (len(early), len(refused))


def seconds_after_first(context, name):
    """Return when requests arrived at an upstream, counted from the first of them."""
    if not context.fleet.answers:
        context.fleet.play()
    arrived_at = context.fleet.upstreams_by_id[name].arrived_at
    return [at - arrived_at[0] for at in arrived_at]
