"""Steps for the models of the core protocol."""

from dataclasses import replace

from behave import then, when

from quinceferry_lab.modelcheck import MODELS, SMALL_MODELS
from quinceferry_lab.protocol_model import Guard, explore

MODELS_BY_TITLE = {model.title: model for model in (*MODELS, *SMALL_MODELS)}


def _ends(model, labels, guards):
    """Return all states that a row of steps can lead to."""
    states = {model.initial}
    for label in labels:
        states = {
            following
            for state in states
            for name, following in model.steps(state, guards)
            if name == label
        }
    return states


@when('the protocol model "{title}" is explored')
def explore_model(context, title):
    context.result = explore(MODELS_BY_TITLE[title])


@when('the protocol model "{title}" is explored for "{promise}" without "{guard}"')
def explore_without_guard(context, title, promise, guard):
    model = MODELS_BY_TITLE[title]
    context.model = replace(model, invariants={promise: model.invariants[promise]})
    context.guard = Guard(guard)
    context.result = explore(context.model, without=context.guard)


@then("all its states are visited and keep every invariant")
def check_proven(context):
    assert context.result.counterexample is None, context.result.counterexample
    assert context.result.exhaustive
    assert context.result.states > 100, context.result.states


@then("the shortest counterexample breaks the promise when it is followed")
def check_counterexample(context):
    found = context.result.counterexample
    assert found is not None, f"{context.result.states} states without a counterexample"
    holds = context.model.invariants[found.invariant]
    ends = _ends(context.model, found.steps, frozenset(Guard) - {context.guard})
    assert found.final in ends
    assert not holds(found.final)


@then("with the guard in force the same steps break nothing")
def check_guarded(context):
    found = context.result.counterexample
    holds = context.model.invariants[found.invariant]
    ends = _ends(context.model, found.steps, frozenset(Guard))
    assert all(holds(state) for state in ends), found.steps
