"""Whether the store answers this gateway."""

from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.logs import log


def record_store_answer(board: Blackboard) -> None:
    """Note that an own call to the store was answered, and log its return."""
    if not board.store_reachable:
        board.store_reachable = True
        log.change("store.regained")


def record_store_failure(board: Blackboard, error: Exception) -> None:
    """Note that an own call to the store failed, and log its loss."""
    if board.store_reachable:
        board.store_reachable = False
        log.change("store.lost", error=str(error))
