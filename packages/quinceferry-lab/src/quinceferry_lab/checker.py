"""Judges a recorded history against every promise, knowing nothing of the routers' insides."""

from quinceferry_lab.budget_checks import (
    freed_too_much,
    overbilled,
    overspent,
    wrong_grants,
    wrongly_billed,
)
from quinceferry_lab.fleet_checks import (
    cut_by_stop,
    not_in_force,
    reverted,
    sent_to_leaving,
    sent_to_removed,
)
from quinceferry_lab.histories import History
from quinceferry_lab.request_checks import false_not_run, run_twice, wrong_answers
from quinceferry_lab.violations import Violation

CHECKS = (
    overspent,
    overbilled,
    freed_too_much,
    wrong_grants,
    wrongly_billed,
    wrong_answers,
    false_not_run,
    run_twice,
    sent_to_leaving,
    sent_to_removed,
    cut_by_stop,
    not_in_force,
    reverted,
)


def check(history: History) -> list[Violation]:
    """Return all violations, earliest first."""
    found = [violation for judge in CHECKS for violation in judge(history)]
    return sorted(found, key=lambda violation: violation.at)
