"""Steps for the costs of membership and configuration."""

from behave import then, when

from quinceferry_lab.measure_membership import Bench
from quinceferry_lab.virtual_time import run_virtual


@when("the membership bench runs with {size:d} routers")
def run_bench(context, size):
    async def measure():
        return await Bench(size).run()

    context.phases_by_name = {phase.name: phase for phase in run_virtual(measure())}


@then("no call was rejected")
def check_rejected(context):
    rejected = [phase.name for phase in context.phases_by_name.values() if phase.rejected]
    assert not rejected, rejected


@then("the idle fleet wrote nothing but lease renewals")
def check_idle_writes(context):
    idle = context.phases_by_name["idle"]
    assert 0 < idle.writes == idle.calls_by_kind["lease keep_alive"], idle


@then("the idle fleet made fewer than {limit:d} reads a second for each router")
def check_idle_reads(context, limit):
    idle = context.phases_by_name["idle"]
    assert 0 < idle.reads / idle.seconds / idle.routers < limit, idle


@then("a change was applied everywhere within {applied:d} seconds and accepted within {accepted:d}")
def check_change(context, applied, accepted):
    assert context.phases_by_name["change until applied"].seconds <= applied
    assert context.phases_by_name["change until accepted"].seconds <= accepted
