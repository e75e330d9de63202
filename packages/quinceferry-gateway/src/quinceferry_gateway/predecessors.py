"""Closes the allotments of holders that terminated on the vm of this one."""

from quinceferry_core.clocks import MachineTime
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.budgets import ClosedAllotment
from quinceferry_gateway.decisions.spending_limits import missing_proof
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.shared_budgets import SharedBudgets


class Predecessors:
    """Returns the tokens that terminated holders on this vm cannot have spent.

    Only the successor on the vm does this: its clocks are those of its predecessors, which had
    terminated when it began to listen on their addresses. A predecessor is decided on once, when
    the record contains its last write.

    :param metrics: counts the tokens that are returned and those that are lost.
    """

    __slots__ = ("_blackboard", "_closed", "_listens_since", "_metrics", "_reasons_by_holder")

    def __init__(self, blackboard: Blackboard, metrics: Metrics) -> None:
        self._blackboard = blackboard
        self._listens_since: MachineTime | None = None
        self._metrics = metrics
        self._closed: dict[str, dict[str, ClosedAllotment]] = {}
        self._reasons_by_holder: dict[str, str] = {}

    def record_start(self, now: MachineTime) -> None:
        """Record that this gateway listens on its addresses since now."""
        self._listens_since = now

    def are_undecided(self, budgets: SharedBudgets) -> bool:
        """Return whether the record has a predecessor that may have unspent tokens."""
        return bool(self._undecided(budgets))

    def close(self, budgets: SharedBudgets) -> None:
        """Close all predecessors in the record in memory, which is then to be written."""
        self._closed.clear()
        self._reasons_by_holder.clear()
        for holder in self._undecided(budgets):
            write = budgets.last_write(holder)
            reason = missing_proof(write.begun_at, write.limit_seconds, self._listens_since)
            if reason:
                self._reasons_by_holder[holder] = reason
            else:
                self._closed[holder] = budgets.close(holder)
            budgets.forget_write(holder)

    def confirm(self) -> None:
        """Log what the last write of the record has decided."""
        for holder, closed_by_workspace in self._closed.items():
            closed = closed_by_workspace.values()
            lost_tokens = sum(item.lost for item in closed)
            log.change(
                "allotments.reclaimed",
                holder=holder,
                tokens_by_workspace={
                    name: item.reclaimed for name, item in closed_by_workspace.items()
                },
                lost=lost_tokens,
                lost_reserved=sum(item.reserved for item in closed),
            )
            reclaimed_tokens = sum(item.reclaimed for item in closed)
            self._metrics.count_predecessor_tokens("reclaimed", reclaimed_tokens)
            self._metrics.count_predecessor_tokens("lost", lost_tokens)
        for holder, reason in self._reasons_by_holder.items():
            log.change("allotments.not_reclaimed", holder=holder, reason=reason)
        self._closed.clear()
        self._reasons_by_holder.clear()

    def _undecided(self, budgets: SharedBudgets) -> list[str]:
        """Return the holders that terminated on this vm and that nobody has decided on."""
        own = self._blackboard.own
        return [
            holder
            for holder in budgets.holders_with_writes()
            if holder != own.incarnation and self._blackboard.vm_of(holder) == own.vm
        ]
