"""Explores all protocol models and shows what goes wrong without each guard."""

import sys
from collections.abc import Callable

from quinceferry_lab.budget_model import BUDGET_MODEL, TOP_UP_MODEL, TRANSFER_MODEL
from quinceferry_lab.copies_model import COPIES_MODEL, ONE_REGISTRATION_MODEL
from quinceferry_lab.execution_model import EXECUTION_MODELS
from quinceferry_lab.inquiry_model import INQUIRY_MODEL
from quinceferry_lab.protocol_model import Exploration, Guard, Model, explore
from quinceferry_lab.recovery_model import ONE_REQUEST_MODELS, RECOVERY_MODELS

MODELS: tuple[Model, ...] = (
    BUDGET_MODEL,
    *RECOVERY_MODELS,
    INQUIRY_MODEL,
    COPIES_MODEL,
    *EXECUTION_MODELS,
)
"""All models; each is explored on its own."""

SMALL_MODELS: tuple[Model, ...] = (
    TRANSFER_MODEL,
    TOP_UP_MODEL,
    *ONE_REQUEST_MODELS,
    INQUIRY_MODEL,
    ONE_REGISTRATION_MODEL,
    *EXECUTION_MODELS,
)
"""Parts of the models that each test run explores to the end."""


def main() -> int:
    """Print a report.

    :return: 0 when every model is proven and every guard's removal gives a counterexample.
    """
    failures = sum(not _report(model, print) for model in MODELS)
    shown = {guard for model in MODELS for guard in model.guards}
    unused = [guard.value for guard in Guard if guard not in shown]
    for name in unused:
        print(f"guard never removed: {name}")
    print(f"{len(MODELS) - failures} of {len(MODELS)} models as expected, {len(shown)} guards")
    return 1 if failures or unused else 0


def _report(model: Model, write: Callable[[str], None]) -> bool:
    """Print what a model shows.

    :return: whether it is proven and every removed guard gives a counterexample.
    """
    intact = explore(model)
    write(f"{model.title}: {describe(intact)}")
    _write_counterexample(intact, write)
    results = [_report_without(model, guard, write) for guard in model.guards]
    write("")
    return intact.proven and all(results)


def _report_without(model: Model, guard: Guard, write: Callable[[str], None]) -> bool:
    """Print what happens without one guard; return whether a counterexample was found."""
    weakened = explore(model, without=guard)
    write(f"  without: {guard.value}: {describe(weakened)}")
    _write_counterexample(weakened, write)
    return weakened.counterexample is not None


def describe(result: Exploration) -> str:
    """Return the result of an exploration in one line."""
    extent = "exhaustive" if result.exhaustive else "not exhaustive"
    if result.counterexample is not None:
        return f"{result.states} states explored, stopped at a counterexample"
    verdict = "all invariants hold" if result.proven else "undetermined"
    return f"{result.states} states explored, {extent}, {verdict}"


def _write_counterexample(result: Exploration, write: Callable[[str], None]) -> None:
    """Print the steps of a counterexample."""
    if result.counterexample is None:
        return
    write(f"    broken: {result.counterexample.invariant}")
    for number, step in enumerate(result.counterexample.steps, start=1):
        write(f"    {number:2}. {step}")


if __name__ == "__main__":
    sys.exit(main())
