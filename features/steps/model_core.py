"""Steps for the state machine over the real budget functions."""

from behave import then, when
from hypothesis.stateful import run_state_machine_as_test

from features.fixtures_model_core import (
    DEFECT_SETTINGS,
    MACHINE_SETTINGS,
    MACHINES_BY_DEFECT,
    BudgetMachine,
)


def _broken_invariant(machine, settings):
    """Return the message of the first broken invariant, or None."""
    try:
        run_state_machine_as_test(machine, settings=settings)
    except AssertionError as error:
        return str(error)
    return None


@when("the state machine drives the budget functions")
def drive_budget_functions(context):
    context.broken = _broken_invariant(BudgetMachine, MACHINE_SETTINGS)


@when('the state machine drives a holder that "{defect}"')
def drive_defective_holder(context, defect):
    context.broken = _broken_invariant(MACHINES_BY_DEFECT[defect], DEFECT_SETTINGS)


@then("no sequence of operations overspends the budget")
def check_machine_passes(context):
    assert context.broken is None, context.broken


@then('a sequence of operations is found with tokens "{broken}"')
def check_machine_fails(context, broken):
    assert context.broken is not None, "every sequence kept the invariants"
    assert broken in context.broken, context.broken
