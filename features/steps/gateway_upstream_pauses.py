"""Steps for upstreams that refuse requests and ask for a pause."""

from collections import deque

from behave import given, then, when

from quinceferry_gateway.decisions.pauses import RequestPause
from quinceferry_platform.headers import PlatformDialect
from quinceferry_standins.managed_upstream import Answered, Declined


@given('{name} always refuses with a pause of "{seconds}" seconds')
def given_refusing(context, name, seconds):
    context.fleet.upstreams_by_id[name].script = deque([Declined(retry_after=seconds)])


@given('{name} refuses once with a pause of "{seconds}" seconds')
def given_refusing_once(context, name, seconds):
    script = deque([Declined(retry_after=seconds), Answered()])
    context.fleet.upstreams_by_id[name].script = script


@when("a request on {target} arrives whose time is up")
def when_time_is_up(context, target):
    context.fleet.acts.append(lambda scene: scene.ask("GET", target, x_quinceferry_deadline_ms="0"))


@then("{name} got at most {limit:d} requests between {start:g} and {end:g} seconds after the first")
def then_got_at_most(context, name, limit, start, end):
    arrivals = seconds_after_first(context, name)
    during = [seconds for seconds in arrivals if start <= seconds < end]
    assert len(during) <= limit, (len(during), during[:5])


@then("{name} got {minimum:d} or more requests later than {start:g} seconds after the first")
def then_got_at_least(context, name, minimum, start):
    arrivals = seconds_after_first(context, name)
    later = [seconds for seconds in arrivals if seconds > start]
    assert len(later) >= minimum, (len(later), arrivals)


@then("no refusal has a retry time before the end of the pause of {name}")
def then_no_early_retry(context, name):
    script = context.fleet.upstreams_by_id[name].script
    pause = float(script[0].retry_after)
    refused = [answer for answer in context.fleet.answers if answer.status == 503]
    first_at = context.fleet.upstreams_by_id[name].arrived_at[0]
    early = [
        answer
        for answer in refused
        if answer.received_at + float(answer.headers[b"retry-after"]) < first_at + pause
    ]
    assert not early, (len(early), len(refused))


def seconds_after_first(context, name):
    """Return the arrival times of requests at an upstream, relative to the first one."""
    if not context.fleet.answers:
        context.fleet.play()
    arrived_at = context.fleet.upstreams_by_id[name].arrived_at
    return [at - arrived_at[0] for at in arrived_at]


@given("an upstream asked for a pause of {seconds:g} seconds at {at:g} s")
def given_paused(context, seconds, at):
    context.pause = RequestPause()
    context.pause.begin(seconds, at)


@when("it asks for a pause of {seconds:g} second at {at:g} s")
def when_paused_again(context, seconds, at):
    context.pause.begin(seconds, at)


@when("an earlier request is answered at {at:g} s")
@when("that request is answered at {at:g} s")
def when_answered(context, at):
    context.pause.answer_received(at)


@when("a request is sent at {at:g} s")
def when_sent(context, at):
    context.pause.request_sent(at)


@then("no request may be sent at {at:g} s")
def then_blocked(context, at):
    assert context.pause.blocked_until > at, context.pause.blocked_until


@then("requests may be sent at {at:g} s")
def then_unblocked(context, at):
    assert context.pause.blocked_until <= at, context.pause.blocked_until


@when("requests are refused {seconds} seconds before a pause ends")
def when_refused(context, seconds):
    context.named_by_remaining = {
        remaining: dict(PlatformDialect().refusal_headers("r1", float(remaining)))[b"retry-after"]
        for remaining in seconds.replace(" and ", ", ").split(", ")
    }


@then("no retry time is before the end of the pause or more than {limit:g} seconds after it")
def then_named_within(context, limit):
    wrong = {
        remaining: named
        for remaining, named in context.named_by_remaining.items()
        if not float(remaining) <= float(named) <= float(remaining) + limit
    }
    assert context.named_by_remaining and not wrong, wrong


@when('an answer with status {status:d} has the Retry-After header "{header}"')
def when_decoded(context, status, header):
    headers = [(b"Retry-After", header.encode())]
    context.head = PlatformDialect().decode_answer(status, headers)


@then("the pause is parsed as {pause}")
def then_parsed(context, pause):
    malformed = pause == "malformed"
    assert context.head.malformed_headers == (("retry-after",) if malformed else ())
    expected = None if pause in ("malformed", "None") else float(pause)
    assert context.head.retry_after_seconds == expected, context.head
