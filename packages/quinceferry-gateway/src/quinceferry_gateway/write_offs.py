"""Logs the tokens that count as spent because their holder terminated."""

from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.logs import log
from quinceferry_gateway.shared_budgets import SharedBudgets


class WriteOffs:
    """Logs each terminated holder once, with the tokens drawn and not reported as spent."""

    __slots__ = ("_blackboard", "_logged")

    def __init__(self, blackboard: Blackboard) -> None:
        self._blackboard = blackboard
        self._logged: set[str] = set()

    def log_new(self, shared_budgets: SharedBudgets) -> None:
        """Log the holders that have terminated since the last call."""
        terminated = {
            key for key in shared_budgets.holders() if self._blackboard.has_terminated(key)
        }
        for holder in sorted(terminated - self._logged):
            tokens_by_workspace = shared_budgets.outstanding_by_workspace(holder)
            if any(tokens_by_workspace.values()):
                log.change(
                    "allotments.written_off",
                    holder=holder,
                    tokens_by_workspace=tokens_by_workspace,
                )
        self._logged = terminated
