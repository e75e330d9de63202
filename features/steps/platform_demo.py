"""Steps for the audit of the demo on a stand-in platform."""

import json
from collections import deque

from behave import given, then

from quinceferry_lab.platform_demo import BUDGET_KEY, WORKSPACE, Demo
from quinceferry_standins.managed_store import ManagedStore
from quinceferry_standins.managed_upstream import Answered, ManagedUpstream, Seen


class FixedStore(ManagedStore):
    """Store whose budget record is given."""

    def __init__(self, spent):
        super().__init__()
        self.record = {"budgets_by_workspace": {WORKSPACE: {"spent": spent}}}

    def value(self, key):
        assert key == BUDGET_KEY
        return json.dumps(self.record).encode()


@given("a platform demo in which {request} ran {count:d} time and {tokens:d} tokens are counted")
@given("a platform demo in which {request} ran {count:d} times and {tokens:d} tokens are counted")
def given_demo(context, request, count, tokens):
    upstream = ManagedUpstream("app-0", deque([Answered()]))
    headers = {b"x-quinceferry-request-id": request.encode()}
    upstream.seen += [Seen(b"POST", b"/post/1", headers, b"")] * count
    context.platform_demo = Demo(FixedStore(tokens), [upstream], [], None)


@given("one stream of it was whole")
def given_stream(context):
    context.platform_demo.whole_streams = 1


@then("the platform audit finds nothing")
def then_nothing(context):
    assert context.platform_demo.audit()["faults"] == []


@then('the platform audit finds "{fault}"')
def then_fault(context, fault):
    assert context.platform_demo.audit()["faults"] == [fault], context.platform_demo.faults
