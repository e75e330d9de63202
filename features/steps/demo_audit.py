"""Steps for the demo's audit."""

from dataclasses import replace

from behave import given, step, then, when

from quinceferry import Usage
from quinceferry_core.budgets import Allotment, BudgetRecord
from quinceferry_core.models import RequestKind
from quinceferry_core.operator_replies import BillReply
from quinceferry_lab.demo_audit import Truth, audit
from quinceferry_lab.demo_load import PlannedRequest, RequestResult
from quinceferry_lab.demo_operators import DemoWorkspace
from quinceferry_standins.runs import RunRecord

WORKSPACE = DemoWorkspace("choir", "ledger-large", 5000, "key")
ASK = (WORKSPACE.name, "ask-1")
POST = (WORKSPACE.name, "post-1")


@given("a demo run with one answered request and one call of a service")
def clean_run(context):
    ask = PlannedRequest(WORKSPACE, RequestKind.CHAT, ASK[1], "prompt", streamed=True)
    post = PlannedRequest(WORKSPACE, RequestKind.SERVICE, POST[1], "{}", streamed=False)
    context.results = [RequestResult(ask, usage=Usage(90, 10)), RequestResult(post)]
    context.workspace = WORKSPACE
    context.truth = Truth()
    context.truth.runs_by_request[ASK] = [_run(ASK, 90, 10)]
    context.truth.runs_by_request[POST] = [_run(POST, 0, 0)]
    context.truth.bills_by_request[ASK] = [_bill(ASK, 100)]
    context.truth.bills_by_request[POST] = [_bill(POST, 0)]
    context.truth.budgets_by_workspace["choir"] = BudgetRecord("choir", 5000, settled=100)


@step("in the demo run the request is billed twice")
def bill_twice(context):
    context.truth.bills_by_request[ASK].append(_bill(ASK, 100))


@step("in the demo run the request is not billed")
def bill_nothing(context):
    del context.truth.bills_by_request[ASK]


@step("in the demo run a request that nobody sent is billed")
def bill_unknown(context):
    context.truth.bills_by_request["choir", "ghost"] = [_bill(("choir", "ghost"), 0)]


@step("in the demo run the answer is another one")
def answer_wrongly(context):
    context.results[0] = replace(context.results[0], right=False)


@step("in the demo run the caller was told another use")
def tell_other_use(context):
    context.results[0] = replace(context.results[0], usage=Usage(90, 11))


@step("in the demo run the engine ran other tokens than billed")
def run_other_tokens(context):
    context.truth.runs_by_request[ASK] = [_run(ASK, 90, 11)]


@step("in the demo run no engine ran the request")
def run_nowhere(context):
    del context.truth.runs_by_request[ASK]


@step("in the demo run the service ran the call twice")
def run_twice(context):
    context.truth.runs_by_request[POST].append(_run(POST, 0, 0))


@step("in the demo run a request told as not run has run")
def lie_about_run(context):
    context.results[0] = RequestResult(context.results[0].planned, "queue_full", "not_run")


@step("in the demo run a request has no known outcome")
def lose_outcome(context):
    context.results[0] = RequestResult(context.results[0].planned, "no_answer", "unknown")


@step("in the demo run the budget record holds another grant")
def grant_other(context):
    _change_budget(context, granted=7)


@step("in the demo run more was settled than billed")
def settle_more(context):
    _change_budget(context, settled=101)


@step("in the demo run tokens were not returned")
def keep_tokens(context):
    _change_budget(context, allotments_by_incarnation={"r-1": Allotment(50)})


@step("in the demo run less was granted than billed")
def grant_less(context):
    context.workspace = replace(WORKSPACE, granted=60)


@when("the demo run is audited")
def audit_run(context):
    context.findings = audit(context.results, context.truth, [context.workspace])


@then("the audit finds nothing broken")
def check_nothing(context):
    assert not context.findings.broken, context.findings.broken


@then("the audit counts {answered:d} answered and {billed:d} billed")
def check_counts(context, answered, billed):
    findings = context.findings
    assert (findings.answered, findings.billed) == (answered, billed), findings


@then('the audit finds "{words}"')
def check_found(context, words):
    assert any(words in line for line in context.findings.broken), context.findings.broken


@then("the audit counts {tokens:d} overspent tokens")
def check_overspent(context, tokens):
    assert context.findings.overspent_tokens == tokens, context.findings


def _run(name, prompt_tokens, output_tokens):
    """Return the record of a finished run."""
    run = RunRecord(*name, "engine-1", "r-1", 1, 1, received_at=0.0, started_at=0.0)
    run.prompt_tokens = prompt_tokens
    run.output_tokens = output_tokens
    run.finished = True
    return run


def _bill(name, tokens):
    """Return a bill."""
    return BillReply(request_id=name[1], tokens=tokens, paid_by="r-1")


def _change_budget(context, **fields):
    """Change the workspace's final budget record."""
    record = context.truth.budgets_by_workspace["choir"]
    context.truth.budgets_by_workspace["choir"] = replace(record, **fields)
