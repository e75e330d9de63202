"""Steps for soaks of gateway processes and for their checks."""

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when

from quinceferry_lab.gateway_processes import StopRecord
from quinceferry_lab.soak import STARVATIONS, Finale, play
from quinceferry_lab.soak_callers import Kind, Try
from quinceferry_lab.soak_checks import RECOVERY_SECONDS, Outage, Soaked, find_faults

ADDRESS = "127.0.0.1:1"
SIGNALLED_AT = 100.0
GRACE_SECONDS = 8.0


@when(
    "{gateways:d} gateway processes are soaked for {seconds:g} seconds with seed {seed:d}, "
    "starved by {name}"
)
def when_soaked(context, gateways, seconds, seed, name):
    starvation = next(item for item in STARVATIONS if item.name == name)
    with tempfile.TemporaryDirectory() as folder:
        context.soaked = asyncio.run(play(seed, gateways, seconds, starvation, Path(folder)))


@when(
    "{gateways:d} gateway processes are soaked for {seconds:g} seconds with seed {seed:d} and then "
    "killed together {kills:d} times"
)
def when_soaked_and_killed(context, gateways, seconds, seed, kills):
    finale = Finale(kills, observed_seconds=6.0)
    with tempfile.TemporaryDirectory() as folder:
        context.soaked = asyncio.run(
            play(seed, gateways, seconds, STARVATIONS[0], Path(folder), finale, 3_000_000)
        )


@then("the soak has stopped gateways and broken no promise")
def then_kept(context):
    assert context.soaked.stops
    assert any(item.whole for item in context.soaked.tries)
    faults = find_faults(context.soaked)
    assert not faults, faults


def _soaked(item, runs=1, prepaid_tokens=10_000):
    stop = StopRecord("vm-1", SIGNALLED_AT, SIGNALLED_AT + GRACE_SECONDS)
    vms_by_address = {ADDRESS: "vm-1"}
    run_ids = [item.request_id] * runs
    return Soaked([item], run_ids, [stop], vms_by_address, {}, GRACE_SECONDS, prepaid_tokens)


@given("a stream sent {sent:g} s after SIGTERM, which ended {ended:g} s after it without its end")
def given_cut(context, sent, ended):
    item = Try("r", Kind.STREAM, ADDRESS, SIGNALLED_AT + sent, status=200)
    item.ended_at = SIGNALLED_AT + ended
    context.soaked = _soaked(item)


@given(
    "requests before and after a kill of all gateways, of which {before:d} and {after:d} of "
    "{count:d} are served"
)
def given_killed_together(context, before, after, count):
    outage = Outage(SIGNALLED_AT + 10.0, SIGNALLED_AT + 11.2)
    sent_after = outage.returned_at + RECOVERY_SECONDS + 1.0
    tries = [
        Try(f"{sent_at}-{number}", Kind.SAFE, ADDRESS, sent_at, status=200, whole=number < served)
        for sent_at, served in ((SIGNALLED_AT, before), (sent_after, after))
        for number in range(count)
    ]
    context.soaked = Soaked(tries, [], [], {}, {}, GRACE_SECONDS, 0, outage=outage)


@given("a request of kind {kind} that ran {runs:d} times and was answered {status:d}")
def given_answered(context, kind, runs, status):
    item = Try("r", Kind[kind], ADDRESS, SIGNALLED_AT, status=status, whole=True)
    context.soaked = _soaked(item, runs)


@given("a whole stream of {events:d} events for {tokens:d} prepaid tokens")
def given_streamed(context, events, tokens):
    item = Try("r", Kind.STREAM, ADDRESS, SIGNALLED_AT, status=200, events=events, whole=True)
    context.soaked = _soaked(item, prepaid_tokens=tokens)


@then('the checks of the soak find "{found}"')
def then_found(context, found):
    faults = find_faults(context.soaked)
    assert [fault.partition(":")[0] for fault in faults] == [found], faults


@then("the checks of the soak find nothing")
def then_nothing_found(context):
    assert not find_faults(context.soaked), find_faults(context.soaked)
