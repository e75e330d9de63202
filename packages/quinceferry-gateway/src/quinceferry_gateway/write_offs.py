"""Logs the tokens that count as spent because their holder terminated."""

from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.shared_budgets import SharedBudgets


class WriteOffs:
    """Logs each terminated holder once, with the tokens drawn and not reported as spent."""

    __slots__ = ("_blackboard", "_logged", "_metrics")

    def __init__(self, blackboard: Blackboard, metrics: Metrics) -> None:
        self._metrics = metrics
        self._blackboard = blackboard
        self._logged: set[str] = set()

    def log_new(self, shared_budgets: SharedBudgets) -> None:
        """Log the holders that have terminated since the last call.

        One whose last write is still in the record is left to its successor, which may return a
        part of its tokens.
        """
        terminated = {
            key
            for key in shared_budgets.holders()
            if self._blackboard.has_terminated(key) and not shared_budgets.last_write(key)
        }
        for holder in sorted(terminated - self._logged):
            tokens_by_workspace = shared_budgets.outstanding_by_workspace(holder)
            if any(tokens_by_workspace.values()):
                log.change(
                    "allotments.written_off",
                    holder=holder,
                    tokens_by_workspace=tokens_by_workspace,
                )
                if self._blackboard.vm_of(holder) == self._blackboard.own.vm:
                    lost_tokens = sum(tokens_by_workspace.values())
                    self._metrics.count_predecessor_tokens("written_off", lost_tokens)
        self._logged = terminated
