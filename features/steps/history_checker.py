"""Steps for the checker of histories."""

from dataclasses import replace

from behave import given, then, when

from quinceferry_core.bills import Balance, Bill
from quinceferry_core.models import CallerRequest, ModelRef, RequestKind, Usage
from quinceferry_core.outcomes import NotRun, NotRunProof, RefusalReason, Unknown
from quinceferry_lab.checker import check
from quinceferry_lab.histories import (
    Accepted,
    Answered,
    Attempt,
    Broken,
    Closing,
    GracefulStop,
    History,
    Refused,
    Removal,
    RevisionSeen,
    SpendSample,
    TopUp,
    UpstreamLeft,
)
from quinceferry_lab.refusal_counts import count_false_refusals
from quinceferry_standins.outputs import expected_output
from quinceferry_standins.runs import RunRecord

WORKSPACE = "choir"
ROUTER = "router-1#1"
GRANTED = 1000
NOT_RUN = NotRun(NotRunProof.NEVER_SENT)


def _request(request_id="request-1", idempotent=True):
    return CallerRequest(
        workspace=WORKSPACE,
        request_id=request_id,
        kind=RequestKind.COMPLETION,
        target=ModelRef("ledger"),
        prompt="abc " * 10,
        body=b'{"stand_in_output_tokens": 20}',
        max_output_tokens=20,
        idempotent=idempotent,
    )


def _run(started_at=10.5, output_tokens=20):
    return RunRecord(
        WORKSPACE,
        "request-1",
        "engine-1",
        "router-1-1",
        1,
        1,
        received_at=started_at - 0.1,
        started_at=started_at,
        prompt_tokens=10,
        output_tokens=output_tokens,
        finished=True,
    )


def _attempt(end, *, number=1, sent_at=10.0, ended_at=12.0, text=""):
    return Attempt(_request(), "caller-1", number, ROUTER, sent_at, text, b"", end, ended_at)


def _close(history, *tokens, free=GRANTED - 30, granted=GRANTED):
    bills = [Bill(WORKSPACE, "request-1", used, "router-1-1") for used in tokens]
    balance = Balance(WORKSPACE, granted, granted - free, 0, 0, free)
    history.closings[WORKSPACE] = Closing(bills, balance)


@given("a history in which one request was asked, run, answered and billed")
def clean_history(context):
    history = History(ended_at=100.0)
    history.top_ups.append(TopUp(WORKSPACE, GRANTED, 0.0, 1.0))
    answered = Answered(Usage(10, 20), "stop")
    history.attempts.append(_attempt(answered, text=expected_output(_request())))
    history.runs.append(_run())
    history.samples.append(SpendSample(WORKSPACE, 30, 12.0))
    history.accepted.append(Accepted(3, 5.0))
    history.revisions.append(RevisionSeen(ROUTER, 3, True, 11.0))
    _close(history, 30)
    context.history = history


@when("the history changes so that {change}")
def change_history(context, change):
    CHANGES[change](context.history)


@then("the checker finds nothing")
def check_nothing(context):
    found = check(context.history)
    assert not found, found


@then('the checker finds that "{promise}" was broken')
def check_found(context, promise):
    promises = {violation.promise.value for violation in check(context.history)}
    assert promises == {promise}, promises


@when("a request is refused as spent while {left:d} tokens are left")
def refuse(context, left):
    history = context.history
    history.top_ups[0].tokens = 30 + left
    _close(history, 30, free=left, granted=30 + left)
    refused = Refused(RefusalReason.BUDGET_SPENT, NOT_RUN, 0.0, "", "budget.reserve")
    other = Attempt(_request("request-2"), "caller-1", 1, ROUTER, 50.0, "", b"", refused, 51.0)
    history.attempts.append(other)


@then("{refused:d} of {asked:d} requests counts as falsely refused")
def check_refusals(context, refused, asked):
    counted = count_false_refusals(context.history)
    assert (counted.falsely_refused, counted.asked) == (refused, asked), counted


def _use_too_much(history):
    history.runs[0].output_tokens = GRANTED
    history.samples.append(SpendSample(WORKSPACE, GRANTED + 10, 13.0))
    history.attempts[0].end = Answered(Usage(10, GRANTED), "stop")
    _close(history, GRANTED + 10, free=-10)


def _use_too_much_for_a_while(history):
    history.samples.append(SpendSample(WORKSPACE, GRANTED + 10, 13.0))
    history.top_ups.append(TopUp(WORKSPACE, 500, 20.0, 21.0))
    _close(history, 30, granted=GRANTED + 500)


def _bill_too_much(history):
    history.top_ups[0].tokens = 25
    history.samples.clear()
    _close(history, 30, free=-5, granted=25)


def _bill_nobody(history):
    history.runs.clear()
    history.attempts.clear()


def _cut_answer(history):
    history.attempts[0].text = history.attempts[0].text[:-1]


def _double_byte(history):
    text = history.attempts[0].text
    history.attempts[0].text = text[:5] + text[4:]


def _swap_answer(history):
    history.attempts[0].text = expected_output(_request("request-2"))


def _break_foreign(history):
    history.attempts[0].end = Broken("network")
    history.attempts[0].text = expected_output(_request("request-2"))[:8]


def _tell_not_run(history):
    history.attempts[0].text = ""
    history.attempts[0].end = Refused(RefusalReason.NO_UPSTREAM, NOT_RUN, 0.0, "", "")


def _run_late(history):
    _tell_not_run(history)
    history.runs[0].started_at = 30.0


def _retry(history):
    _tell_not_run(history)
    answered = Answered(Usage(10, 20), "stop")
    text = expected_output(_request())
    again = _attempt(answered, number=2, sent_at=13.0, ended_at=15.0, text=text)
    history.attempts.append(again)
    history.runs[0].started_at = 14.0


def _run_again(history):
    history.runs.append(_run(started_at=11.0))
    _close(history, 30, free=GRANTED - 60)


def _run_non_idempotent_again(history):
    request = replace(history.attempts[0].request, idempotent=False)
    history.attempts[0].request = request
    _run_again(history)


def _cut_by_stop(history):
    history.stops.append(GracefulStop(ROUTER, 11.0, 20.0))
    history.attempts[0].end = Broken("router")


def _unknown_by_stop(history):
    history.stops.append(GracefulStop(ROUTER, 11.0, 20.0))
    history.attempts[0].end = Refused(RefusalReason.ROUTER_STOPPING, Unknown(), 0.0, "", "")


def _killed_in_stop(history):
    _cut_by_stop(history)
    history.stops[0].disturbed = True


CHANGES = {
    "the upstream used more than was granted": _use_too_much,
    "the upstream used more than was granted for a while": _use_too_much_for_a_while,
    "the bills exceed what was granted": _bill_too_much,
    "the budget calls used tokens free": lambda history: _close(history, 30, free=GRANTED - 29),
    "a top-up was granted twice": lambda history: _close(history, 30, granted=2 * GRANTED),
    "the request has no bill": _close,
    "the request has two bills": lambda history: _close(history, 30, 30),
    "there is a bill for a request that never ran": _bill_nobody,
    "the bill is not what the run used": lambda history: _close(history, 29),
    "the answer lacks its last byte": _cut_answer,
    "the answer has a byte twice": _double_byte,
    "the answer is that of another request": _swap_answer,
    "a part of a broken answer is foreign": _break_foreign,
    "the caller was told not run": _tell_not_run,
    "the caller was told not run and it ran later": _run_late,
    "the caller was told not run, then tried again": _retry,
    "the non-idempotent request ran twice": _run_non_idempotent_again,
    "the idempotent request ran twice and was billed once": _run_again,
    "the upstream had announced its leaving 6 seconds before": (
        lambda history: history.departures.append(UpstreamLeft("engine-1", 4.4))
    ),
    "the upstream had announced its leaving 2 seconds before": (
        lambda history: history.departures.append(UpstreamLeft("engine-1", 8.4))
    ),
    "the upstream had been removed 6 seconds before": (
        lambda history: history.removals.append(Removal("engine-1", 4.4))
    ),
    "the upstream had been removed and was put back": (
        lambda history: history.removals.append(Removal("engine-1", 1.0, 9.0))
    ),
    "a planned stop broke the connection": _cut_by_stop,
    "a planned stop ended it with an unknown outcome": _unknown_by_stop,
    "a killed router broke the connection during a planned stop": _killed_in_stop,
    "a router serves an old revision after its acceptance": (
        lambda history: history.revisions.append(RevisionSeen("router-2#1", 2, True, 11.0))
    ),
    "a router that does not serve applies an old revision": (
        lambda history: history.revisions.append(RevisionSeen("router-2#1", 2, False, 11.0))
    ),
    "a router goes back to an older revision": (
        lambda history: history.revisions.append(RevisionSeen(ROUTER, 2, False, 12.0))
    ),
}
"""Changes of the clean history by their wording."""
