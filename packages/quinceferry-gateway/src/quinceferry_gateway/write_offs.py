"""Logs the tokens that count as spent because their holder ended."""

from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.logs import log
from quinceferry_gateway.shared_budgets import SharedBudgets


class WriteOffs:
    """Names each ended holder once, with what it had drawn and not reported as spent."""

    __slots__ = ("_blackboard", "_ended")

    def __init__(self, blackboard: Blackboard) -> None:
        self._blackboard = blackboard
        self._ended: set[str] = set()

    def note(self, shared: SharedBudgets) -> None:
        """Log the holders that have ended since the last call."""
        ended = {key for key in shared.holders() if self._blackboard.ended(key)}
        for holder in sorted(ended - self._ended):
            tokens_by_workspace = shared.outstanding_by_workspace(holder)
            if any(tokens_by_workspace.values()):
                log.change(
                    "allotments.written_off",
                    holder=holder,
                    tokens_by_workspace=tokens_by_workspace,
                )
        self._ended = ended
